package api

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Users tell by the status whether a submission is malformed (400) or can't run with this team and these machine
// types (422). A submission that is accepted by mistake would wait forever.
func TestInvalidSubmissionIsRejectedWithStatus(t *testing.T) {
	f := newAPIFixture(t)
	for _, c := range []struct {
		why    string
		body   string
		status int
	}{
		{"not JSON", `{`, 400},
		{"not an object", `[1]`, 400},
		{"null", `null`, 400},
		{"no id", validJobWith(`"id":"job-000412",`, ``), 400},
		{"a bad id", validJobWith(`job-000412`, `job-x`), 400},
		{"too many tasks", validJobWith(`"shards":16`, `"shards":100001`), 400},
		{"no tasks", validJobWith(`"shards":16`, `"shards":0`), 400},
		{"a fraction of a task", validJobWith(`"shards":16`, `"shards":1.5`), 400},
		{"negative CPUs", validJobWith(`"cpus":8.0`, `"cpus":-1`), 400},
		{"too much", validJobWith(`"cpus":8.0`, `"cpus":1e400`), 400},
		{"an unknown shape", validJobWith(`"array"`, `"heap"`), 400},
		{"an unknown priority", validJobWith(`"high"`, `"highest"`), 400},
		{"a string for a number", validJobWith(`8.0`, `"8"`), 400},
		{"a list that no record holds", validJobWith(`"hulls":null`, `"hulls":["`+strings.Repeat("x", 5000)+`"]`), 400},
		{"an unknown team", validJobWith(`"red"`, `"blue"`), 422},
		{"over the limit", validJobWith(`"cpus":8.0`, `"cpus":65`), 422},
		{"fits nothing", validJobWith(`"cpus":8.0`, `"cpus":33`), 422},
		{"an unknown type", validJobWith(`"hulls":null`, `"hulls":["huge"]`), 422},
		{"an unknown zone", validJobWith(`"yard":null`, `"yard":"z"`), 422},
	} {
		require.Equal(t, c.status, f.submit(c.body).Status, c.why)
	}
	require.Equal(t, 404, f.do("GET", "/nonsense", "").Status)
	require.Equal(t, 405, f.do("DELETE", "/job-1", "").Status)
	require.Equal(t, 404, f.do("GET", "/job-1/tasks", "").Status)
}
