package leaderelection

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Controllers of the previous release and of this one read each other's records, so the field names must stay.
func TestRecordsKeepTheirJSONFields(t *testing.T) {
	for want, record := range map[string]any{
		`{"holder":"a","incarnation":"i","term":3}`: Record{Leader: "a", Incarnation: "i", Term: 3},
		`{"incarnation":"i","deaf":true}`:           Registration{Incarnation: "i", Unreachable: true},
	} {
		b, err := json.Marshal(record)
		require.NoError(t, err)
		require.JSONEq(t, want, string(b))
	}
}
