package console

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

func teamsController(host string, response peer.TeamsResponse) Controller {
	return controllerWith(host, "Teams", response)
}

// Each controller knows only a part of the table, and a former leader may still report a team. The table must
// take a team's numbers from the leader of the latest term, sum its shares over all partition leaders, and name
// the controllers that did not answer.
func TestTeamsMergesResponsesOfSeveralControllers(t *testing.T) {
	red := peer.TeamStatus{
		Team: "red", Term: 7, Used: resources.Capacity(12, 0, 0), Limit: resources.Capacity(40, 0, 0),
		Jobs: 2, Running: 6, Waiting: 9,
		Waits: telemetry.Quantiles{Count: 3, P50: 1_500_000, P95: 2_000_000, P99: 2_100_000},
	}
	a := peer.TeamsResponse{
		Host: "a", Capacity: resources.Capacity(100, 0, 0), Yielded: 4,
		Teams: []peer.TeamStatus{red},
		Standings: []fairshare.Standing{
			{Team: "red", Weight: 2, Share: 0.25, Taken: 0.1},
			{Team: "blue", Weight: 1, Share: 0.75, Taken: 0.5},
		},
	}
	b := peer.TeamsResponse{
		Host: "b", Capacity: resources.Capacity(50, 0, 0),
		Teams:     []peer.TeamStatus{{Team: "red", Term: 6, Jobs: 99}},
		Standings: []fairshare.Standing{{Team: "red", Weight: 2, Share: 0.5, Taken: 0.04}},
	}
	controllers := []Controller{teamsController("a", a), teamsController("b", b), controllerDown("c")}
	var out bytes.Buffer
	require.NoError(t, Teams(&out, settingsOfTeams("red", "blue"), controllers, ""))
	require.Equal(t, `TEAM  PLACER  CPUS  GUARANTEE  LIMIT  JOBS  RUNNING  WAITING  WAIT p50/p95/p99  LATE p50/p95/p99  WEIGHT  SHARE  TAKEN
blue  -       0.0   none       none   0     0        0        -                 -                 1       75.0   50.0
red   a       12.0  none       40.0   2     6        9        1.5/2.0/2.1 s     -                 2       50.0   12.0
shares are of 150 CPUs; 4 asks were refused in favour of other teams
not reached: c; what they place and own is left out
`, out.String())
}

func TestTeamsFailsOnlyWithoutResponseOrForUnknownTeam(t *testing.T) {
	settings := settingsOfTeams("red", "blue")
	var out bytes.Buffer
	require.ErrorIs(t, Teams(&out, settings, []Controller{controllerDown("a")}, ""), ErrUnreachable)
	require.ErrorContains(t, Teams(&out, settings, nil, "green"), `there is no team "green"`)
	require.Empty(t, out.String())
	require.NoError(t, Teams(&out, settings, []Controller{teamsController("a", peer.TeamsResponse{Host: "a"})}, "red"))
	require.Contains(t, out.String(), "fair shares are off")
	require.NotContains(t, out.String(), "blue")
}

func TestSchedulerOfReturnsLeaderOfLatestTerm(t *testing.T) {
	leaderWithTerm := func(host string, term uint64) Controller {
		return teamsController(host, peer.TeamsResponse{Host: host, Teams: []peer.TeamStatus{{Team: "red", Term: term}}})
	}
	require.Equal(t, "b", SchedulerOf([]Controller{leaderWithTerm("a", 6), leaderWithTerm("b", 7), controllerDown("c")}, "red"))
	require.Empty(t, SchedulerOf([]Controller{leaderWithTerm("a", 6)}, "blue"))
	require.Empty(t, SchedulerOf([]Controller{controllerDown("c")}, "red"))
}
