package autoscaler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Only a 503 that says so is a refusal; every other status but 200 leaves the outcome open.
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
