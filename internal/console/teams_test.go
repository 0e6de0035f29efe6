package console

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

func teamsStub(host string, a *peer.TeamsResponse) Controller {
	return Controller{host, func(method string, _, out any, _ time.Duration) error {
		if a == nil || method != "Teams" {
			return peer.ErrUnavailable
		}
		*out.(*peer.TeamsResponse) = *a
		return nil
	}}
}

func twoTeams() *config.Settings {
	s := &config.Settings{}
	s.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	return s
}

// The table joins what the controllers know: a team's numbers come from its placer of the
// latest term, its shares are of all owners' machines. Who did not answer is named.
func TestTeamsOfSeveralControllers(t *testing.T) {
	wait := telemetry.Quantiles{Count: 3, P50: 1_500_000, P95: 2_000_000, P99: 2_100_000}
	a := &peer.TeamsResponse{Host: "a", Capacity: resources.Capacity(100, 0, 0), Yielded: 4,
		Teams:     []peer.TeamStatus{{Team: "red", Term: 7, Used: resources.Capacity(12, 0, 0), Limit: resources.Capacity(40, 0, 0), Jobs: 2, Running: 6, Waiting: 9, Waits: wait}},
		Standings: []fairshare.Standing{{Team: "red", Weight: 2, Share: 0.25, Taken: 0.1}, {Team: "blue", Weight: 1, Share: 0.75, Taken: 0.5}}}
	b := &peer.TeamsResponse{Host: "b", Capacity: resources.Capacity(50, 0, 0),
		Teams:     []peer.TeamStatus{{Team: "red", Term: 6, Jobs: 99}},
		Standings: []fairshare.Standing{{Team: "red", Weight: 2, Share: 0.5, Taken: 0.04}}}
	var out bytes.Buffer
	require.NoError(t, Teams(&out, twoTeams(), []Controller{teamsStub("a", a), teamsStub("b", b), teamsStub("c", nil)}, ""))
	require.Equal(t, `TEAM  PLACER  CPUS  GUARANTEE  LIMIT  JOBS  RUNNING  WAITING  WAIT p50/p95/p99  LATE p50/p95/p99  WEIGHT  SHARE  TAKEN
blue  -       0.0   none       none   0     0        0        -                 -                 1       75.0   50.0
red   a       12.0  none       40.0   2     6        9        1.5/2.0/2.1 s     -                 2       50.0   12.0
shares are of 150 CPUs; 4 asks were refused in favour of other teams
not reached: c; what they place and own is left out
`, out.String())
}

func TestTeamsPlainly(t *testing.T) {
	var out bytes.Buffer
	require.ErrorIs(t, Teams(&out, twoTeams(), []Controller{teamsStub("a", nil)}, ""), ErrUnreachable)
	require.ErrorContains(t, Teams(&out, twoTeams(), nil, "green"), `there is no team "green"`)
	require.Empty(t, out.String())
	require.NoError(t, Teams(&out, twoTeams(), []Controller{teamsStub("a", &peer.TeamsResponse{Host: "a"})}, "red"))
	require.Contains(t, out.String(), "fair shares are off")
	require.NotContains(t, out.String(), "blue")
}
