package autoscaler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Only a 503 whose body gives lack of capacity as the reason is a refusal. After any other status but 200 the instances
// may have been granted, so the kind is held back only for unknownOutcomeBackoff, not for the longer backoff of a
// refusal.
func TestCloudStatusIsRefusalOnlyWithNoCapacity(t *testing.T) {
	require.NoError(t, checkStatus(200, nil))
	require.ErrorIs(t, checkStatus(503, []byte(`{"error":"no capacity"}`)), errNoCapacity)
	for _, x := range []struct {
		status int
		body   string
	}{{503, `{"error":"trouble"}`}, {503, "no capacity"}, {500, `{"error":"no capacity"}`}, {429, ""}} {
		err := checkStatus(x.status, []byte(x.body))
		require.Error(t, err, "%+v", x)
		require.NotErrorIs(t, err, errNoCapacity, "%+v", x)
	}
}
