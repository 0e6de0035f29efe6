package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// settingsText returns the contents of the settings file that the tests use.
func settingsText(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/settings.json")
	require.NoError(t, err)
	return string(b)
}

// A platform may add fields to the settings file. A controller that rejected unknown fields could then not start.
func TestSettingsWithUnknownFieldAreRead(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(settingsText(t), "{", `{"new_field": {"x": 1},`, 1)))
	require.NoError(t, err)
	require.Equal(t, "alpha", s.Host)
	require.Equal(t, 2, len(s.Params.Teams))
	require.EqualValues(t, 16_000_000, s.Lease())
}

// An unusable settings file must be rejected with a one-line error that names the field, or the settings if the file is
// no JSON, so that the operator finds the mistake.
func TestBadSettingsAreRejectedWithFieldName(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"host_name": "alpha"`, `"host_name": ""`, "host_name"},
		{`"listen": "127.0.0.1:8080"`, `"listen": "nowhere"`, "field listen"},
		{`"lease_s": 16`, `"lease_s": "long"`, "lease_s"},
		{`"lease_s": 16`, `"lease_s": -1`, "params.workers.lease_s"},
		{`"rps": 100`, `"rps": 0`, "params.state.rps"},
		{`"cpus_max": 20`, `"cpus_max": 5`, "params.teams[0]"},
		{`"name": "blue"`, `"name": "red"`, "params.teams[1].name"},
		{`"host_name": "beta"`, `"host_name": "alpha"`, "others[0].host_name"},
		{`"value_kb": 8`, `"value_kb": 0`, "params.state.value_kb"},
		{`"memory_mb": 128`, `"memory_mb": -1`, "params.machine_limits.memory_mb"},
		{`"core_share": 0.2`, `"core_share": -0.1`, "params.machine_limits.core_share"},
		{`"fd_limit": 1000`, `"fd_limit": -5`, "params.machine_limits.fd_limit"},
		{`{`, ``, "settings"},
	} {
		text := strings.Replace(settingsText(t), c.old, c.new, 1)
		require.NotEqual(t, settingsText(t), text, c.old)
		_, err := Parse([]byte(text))
		require.ErrorContains(t, err, c.want)
		require.NotContains(t, err.Error(), "\n")
	}
}

// A very small limit must not prevent the start. The service must report exactly the limit that is too small, with the
// consequence.
func TestVerySmallLimitsAreReportedAsDegradations(t *testing.T) {
	s, err := Parse([]byte(settingsText(t)))
	require.NoError(t, err)
	require.Empty(t, s.Degradations())
	for _, c := range []struct{ old, new, want string }{
		{`"txn_ops": 12`, `"txn_ops": 1`, "txn_ops is 1"},
		{`"value_kb": 8`, `"value_kb": 0.5`, "value_kb is 0.5"},
		{`"rps": 100`, `"rps": 1`, "params.state.rps"},
	} {
		text := strings.Replace(settingsText(t), c.old, c.new, 1)
		require.NotEqual(t, settingsText(t), text, c.old)
		s, err := Parse([]byte(text))
		require.NoError(t, err)
		require.Len(t, s.Degradations(), 1)
		require.Contains(t, s.Degradations()[0], c.want)
	}
}

// Sockets for inbound connections, deliveries and services must together stay within the limit of file descriptors, or
// the controller could not accept connections or reach the key-value store at full load. One controller alone must be
// able to serve the heartbeats of 1,800 machines.
func TestSocketsAreDividedWithinLimit(t *testing.T) {
	for limit, minInbound := range map[int]int{2993: 1800 + 600, 4190: 1800, 1200: 800} {
		s := Settings{}
		s.Params.Count, s.Params.Limits.FileDescriptors = 3, limit
		in, deliveries := s.Sockets()
		require.LessOrEqual(t, in+deliveries+24, limit)
		require.GreaterOrEqual(t, in, minInbound)
		require.GreaterOrEqual(t, deliveries, limit/10)
	}
}
