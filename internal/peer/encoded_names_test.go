package peer

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

// Controllers of two releases work together during a rolling restart. gob and net/rpc transmit the names of
// fields and methods, so a renamed one would be dropped or rejected by controllers of the other release.
func TestEncodedNamesOfMessagesAndMethodsStay(t *testing.T) {
	for _, c := range []struct {
		message any
		fields  []string
	}{
		{Heartbeat{}, []string{"Contact", "Resigned", "From", "Strays", "Machines", "Unheard"}},
		{PollRequest{}, []string{"Incarnation", "Cursor", "Terms", "Wait", "Gen", "Most", "AfterID", "Demands"}},
		{PollResponse{}, []string{"Incarnation", "Cursor", "Full", "Parts", "Machines", "More", "Capacity", "Standings", "Holds"}},
		{Batch{}, []string{"From", "Seq", "Terms", "Asks", "Stops", "Settles", "Cancels", "Starts", "Slow"}},
		{BatchResponse{}, []string{"Incarnation", "Refused", "Versions", "Yielded"}},
		{JobRequest{}, []string{"Team", "ID"}},
		{JobResponse{}, []string{"Known", "Found", "Retry", "State"}},
	} {
		var names []string
		for f := range reflect.TypeOf(c.message).Fields() {
			names = append(names, f.Name)
		}
		require.Equal(t, c.fields, names, "%T", c.message)
	}
	service := reflect.TypeFor[Service]()
	for _, method := range []string{
		"Round", "Poll", "Hello", "Demand", "Status", "Withdraw", "Submit", "Drain", "Gone", "Teams", "Zones", "HoldZone", "History",
	} {
		_, ok := service.MethodByName(method)
		require.True(t, ok, method)
	}
	require.Equal(t, "Merlinlatch", serviceName)
}
