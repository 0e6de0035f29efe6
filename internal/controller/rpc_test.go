package controller

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Guards against a renamed RPC method. The names are on the wire, and controllers of other releases call them.
func TestPeerMethodsKeepTheirWireNames(t *testing.T) {
	service := reflect.TypeFor[peer.Service]()
	for wireName, method := range map[string]string{
		"Round":    methodBatch,
		"Poll":     methodPoll,
		"Hello":    methodHeartbeat,
		"Demand":   methodDemand,
		"Status":   methodStatus,
		"Withdraw": methodCancel,
		"Submit":   methodSubmit,
		"Drain":    methodDrain,
		"Gone":     methodGone,
	} {
		require.Equal(t, wireName, method)
		_, offered := service.MethodByName(method)
		require.True(t, offered, method)
	}
}
