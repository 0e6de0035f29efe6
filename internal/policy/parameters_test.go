package policy

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/wire"
)

func settings(kinds ...string) *config.Settings {
	s := &config.Settings{}
	for _, k := range kinds {
		s.Params.Objectives = append(s.Params.Objectives, config.Objective{Kind: k})
	}
	return s
}

// Economy follows from the objectives: none asks for work without deadlines to be
// finished within a fixed time.
func TestEconomyFollowsFromTheObjectives(t *testing.T) {
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
	// Guests that have minutes must not put off economy for everybody.
	early.Params.Objectives[1].WithinS = 400
	require.True(t, Economy(early))
	early.Params.Objectives[1].WithinS = 70
	// For work that has deadlines it is one more deadline.
	early.Params.Objectives[1].Class = "nightly"
	require.True(t, Economy(early))
}

func TestOwnScripts(t *testing.T) {
	k, err := Parse("_x = 4\nsample = _x * 2\nif economy:\n    batch = 7\n", settings("deadline"))
	require.NoError(t, err)
	require.Equal(t, 8, k.Sample)
	require.Equal(t, 7, k.Batch)
	require.Equal(t, 24*clock.Second, k.LeaderLeaseTTL)
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

// A script of an earlier release goes on to work: a knob's former name is accepted and told of.
func TestFormerNamesOfKnobsAreAccepted(t *testing.T) {
	for script, want := range map[string]clock.Micros{
		"hire_backoff_s = 9":                         9 * clock.Second,
		"rental_backoff_s = 7":                       7 * clock.Second,
		"hire_backoff_s = 9\nrental_backoff_s = 7\n": 7 * clock.Second,
	} {
		k, err := Parse(script, settings())
		require.NoError(t, err, script)
		require.Equal(t, want, k.ScaleOutBackoff, script)
		require.Equal(t, script[0] == 'h', len(k.Renamed) == 1, script)
	}
}

var sampleMove = rebalance.Record{Team: "red", From: "m-1", To: "m-2", Key: rebalance.Key{Job: "job-1", N: 3}, Reason: rebalance.SlowMachine,
	Gain: 20 * clock.Second, Cost: 8 * clock.Second}

// A script may veto moves. A hook that fails, runs too long or gives no proper answer counts as a
// veto and is logged with its line.
func TestTheScriptMayVetoMoves(t *testing.T) {
	for name, x := range map[string]struct {
		script string
		veto   bool
		logged string
	}{
		"allowed":         {"def veto_move(move):\n    return False\n", false, ""},
		"by what it is":   {"def veto_move(move):\n    return move.team == 'red' and move.gain_s < 3 * move.cost_s and move.task == 3\n", true, ""},
		"it fails":        {"def veto_move(move):\n    x = 1\n    return x / 0 > move.gain_s\n", true, "policy:3:"},
		"it runs on":      {"def veto_move(move):\n    for i in range(1000000):\n        i += 1\n    return False\n", true, "too many steps"},
		"it says nothing": {"def veto_move(move):\n    pass\n", true, "policy:1:"},
		"no such field":   {"def veto_move(move):\n    return move.teem == 'red'\n", true, "policy:2:"},
	} {
		t.Run(name, func(t *testing.T) {
			k, err := Parse(x.script, settings())
			require.NoError(t, err)
			var out bytes.Buffer
			require.Equal(t, x.veto, k.Veto(slog.New(slog.NewTextHandler(&out, nil)))(sampleMove))
			if x.logged == "" {
				require.Empty(t, out.String())
			} else {
				require.Contains(t, out.String(), x.logged)
			}
		})
	}
	k, err := Parse("", settings())
	require.NoError(t, err)
	require.Nil(t, k.Veto(nil), "without a hook nobody is asked")
}

func TestMistakesInHooksAndWeights(t *testing.T) {
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
	k, err := Parse("team_weights = {'red': 2.5}\nfair_shares = True\nmoves = True\n", s)
	require.NoError(t, err)
	require.True(t, k.FairShares && k.Moves && !k.PlacementCosts)
	require.Equal(t, map[string]float64{"red": 2.5}, k.TeamWeights)
}

// A script may name the stage of a zone's return that admits a job; one that fails or names none is
// logged, and the job goes by its rank and deadline.
func TestTheScriptMayNameStages(t *testing.T) {
	urgent := jobs.New(jobs.Record{Job: wire.Job{ID: "job-1", Team: "red", Priority: "high"}}, 1)
	for script, want := range map[string]struct {
		stage  recovery.Stage
		logged string
	}{
		"def recovery_stage(job):\n    return 'cold' if job.team == 'red' and not job.deadline else 'urgent'\n": {recovery.Cold, ""},
		"def recovery_stage(job):\n    return 'soon'\n":                                                         {recovery.Urgent, "urgent, services or cold"},
		"def recovery_stage(job):\n    return 'reconcile'\n":                                                    {recovery.Urgent, "urgent, services or cold"},
		"def recovery_stage(job):\n    return job.nothing\n":                                                    {recovery.Urgent, "policy:2:"},
	} {
		k, err := Parse(script, settings())
		require.NoError(t, err)
		var out bytes.Buffer
		require.Equal(t, want.stage, k.Stages(slog.New(slog.NewTextHandler(&out, nil)))(urgent), script)
		require.Contains(t, out.String(), want.logged)
	}
	k, err := Parse("", settings())
	require.NoError(t, err)
	require.Nil(t, k.Stages(nil))
}
