package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
)

// settings returns settings with one objective of each given kind.
func settings(kinds ...string) *config.Settings {
	s := &config.Settings{}
	for _, kind := range kinds {
		s.Params.Objectives = append(s.Params.Objectives, config.Objective{Kind: kind})
	}
	return s
}

// With a wrong value of economy either work finishes too late or too many machines are rented. With
// objectives, it must be False if one asks for work without deadlines to finish within a short fixed time, and True otherwise.
func TestEconomyFollowsFromObjectives(t *testing.T) {
	economical, err := Parse("", settings("deadline", "guarantee"))
	require.NoError(t, err)
	require.True(t, economical.Economy)
	early := settings("deadline", "finished")
	early.Params.Objectives[0].Class = "nightly"
	early.Params.Objectives[1].Class = "urgent"
	early.Params.Objectives[1].WithinS = 70
	early.Params.Workers.LeaseS = 16
	quick, err := Parse("", early)
	require.NoError(t, err)
	require.False(t, quick.Economy)
	require.Less(t, economical.IdleScaleInDelay, quick.IdleScaleInDelay)
	// A long fixed time, such as that of guests, must not disable economy for everybody else.
	early.Params.Objectives[1].WithinS = 400
	require.True(t, Economy(early))
	early.Params.Objectives[1].WithinS = 70
	// In a class with deadlines, a fixed time is one more deadline.
	early.Params.Objectives[1].Class = "nightly"
	require.True(t, Economy(early))
}

// A script's values replace the defaults. A misspelled name, an invalid value, a syntax error or an endless computation
// must be rejected, or the service would start with other values than the operators meant, or hang.
func TestScriptOverridesDefaultsAndMistakesAreRejected(t *testing.T) {
	p, err := Parse("_x = 4\nsample = _x * 2\nif economy:\n    batch = 7\n", settings("deadline"))
	require.NoError(t, err)
	require.Equal(t, 8, p.SampleSize)
	require.Equal(t, 7, p.BaseAssignmentsPerCycle)
	require.Equal(t, 24*clock.Second, p.LeaderLeaseTTL)
	for script, want := range map[string]string{
		"sampel = 3":                          "sampel",
		"sample = 'many'":                     "sample",
		"sample = 0":                          "sample",
		"hold_ttl_s = 3":                      "hold_renew_s",
		"def f(:":                             "policy",
		"while True:\n    pass":               "policy",
		"x = [i for i in range(100000000)]\n": "steps",
	} {
		_, err := Parse(script, settings())
		require.ErrorContains(t, err, want, script)
	}
}

// A script of an earlier release must keep working after an upgrade: a parameter's former name is accepted, and recorded
// so that a warning can be logged.
func TestFormerParameterNameIsAcceptedAndRecorded(t *testing.T) {
	for script, want := range map[string]clock.Micros{
		"hire_backoff_s = 9":                         9 * clock.Second,
		"rental_backoff_s = 7":                       7 * clock.Second,
		"hire_backoff_s = 9\nrental_backoff_s = 7\n": 7 * clock.Second,
	} {
		p, err := Parse(script, settings())
		require.NoError(t, err, script)
		require.Equal(t, want, p.ScaleOutBackoff, script)
		require.Equal(t, script[0] == 'h', len(p.Renamed) == 1, script)
	}
}

// Mistakes in hooks, flags and team weights must be rejected at the start with an error that names the parameter or the
// line. Otherwise they would show only when the hook is called or the weight is used.
func TestMistakesInHooksFlagsAndWeightsAreRejected(t *testing.T) {
	for script, want := range map[string]string{
		"veto_move = 1":                       "veto_move must be a function",
		"def veto_move():\n    return True\n": "must take 1 argument",
		"x = 1\ny = x / 0\n":                  "policy:2:7",
		"fair_shares = 1":                     "fair_shares must be True or False",
		"moves = 'yes'":                       "moves must be True or False",
		"team_weights = 2":                    "must be a dict",
		"team_weights = {'green': 2}":         `there is no team "green"`,
		"team_weights = {'red': 0}":           "the weight of red must be a number",
		"team_weights = {'red': 'much'}":      "the weight of red must be a number",
		"share_fresh_s = 1":                   "share_fresh_s must be a number from 1.5",
	} {
		s := settings()
		s.Params.Teams = []config.Team{{Name: "red"}}
		_, err := Parse(script, s)
		require.ErrorContains(t, err, want, script)
	}
	s := settings()
	s.Params.Teams = []config.Team{{Name: "red"}}
	p, err := Parse("team_weights = {'red': 2.5}\nfair_shares = True\nmoves = True\n", s)
	require.NoError(t, err)
	require.True(t, p.FairShares && p.Moves && !p.PlacementCosts)
	require.Equal(t, map[string]float64{"red": 2.5}, p.TeamWeights)
}
