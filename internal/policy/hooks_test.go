package policy

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/wire"
)

var sampleMove = rebalance.Record{
	Team: "red", From: "m-1", To: "m-2", Key: rebalance.Key{Job: "job-1", N: 3}, Reason: rebalance.SlowMachine,
	Gain: 20 * clock.Second, Cost: 8 * clock.Second,
}

// The veto hook decides whether a move is made. A hook that fails, takes too many steps or returns no bool must not
// stop the service: the move is vetoed and the error is logged with the script's line.
func TestVetoHookDecidesMovesAndItsFailureIsAVeto(t *testing.T) {
	for name, test := range map[string]struct {
		script string
		veto   bool
		logged string
	}{
		"allowed": {"def veto_move(move):\n    return False\n", false, ""},
		"by the move's fields": {
			"def veto_move(move):\n    return move.team == 'red' and move.gain_s < 3 * move.cost_s and move.task == 3\n", true, "",
		},
		"failure": {"def veto_move(move):\n    x = 1\n    return x / 0 > move.gain_s\n", true, "policy:3:"},
		"too long": {
			"def veto_move(move):\n    for i in range(1000000):\n        i += 1\n    return False\n", true, "too many steps",
		},
		"no answer":     {"def veto_move(move):\n    pass\n", true, "policy:1:"},
		"no such field": {"def veto_move(move):\n    return move.teem == 'red'\n", true, "policy:2:"},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Parse(test.script, settings())
			require.NoError(t, err)
			var out bytes.Buffer
			require.Equal(t, test.veto, p.VetoHook(slog.New(slog.NewTextHandler(&out, nil)))(sampleMove))
			if test.logged == "" {
				require.Empty(t, out.String())
			} else {
				require.Contains(t, out.String(), test.logged)
			}
		})
	}
	p, err := Parse("", settings())
	require.NoError(t, err)
	require.Nil(t, p.VetoHook(nil), "without a hook there is no function to call")
}

// The stage hook chooses the stage of a zone's return that admits a job. A hook that fails or returns no valid stage must
// not keep the job out of the zone: the error is logged, and the stage follows from priority and deadline.
func TestStageHookChoosesStageAndFailureUsesDefault(t *testing.T) {
	urgent := jobs.New(jobs.Record{Job: wire.Job{ID: "job-1", Team: "red", Priority: "high"}}, 1)
	for _, test := range []struct {
		script string
		stage  recovery.Stage
		logged string
	}{
		{"def recovery_stage(job):\n    return 'cold' if job.team == 'red' and not job.deadline else 'urgent'\n", recovery.Cold, ""},
		{"def recovery_stage(job):\n    return 'soon'\n", recovery.Urgent, "urgent, services or cold"},
		{"def recovery_stage(job):\n    return 'reconcile'\n", recovery.Urgent, "urgent, services or cold"},
		{"def recovery_stage(job):\n    return job.nothing\n", recovery.Urgent, "policy:2:"},
	} {
		p, err := Parse(test.script, settings())
		require.NoError(t, err)
		var out bytes.Buffer
		require.Equal(t, test.stage, p.StageHook(slog.New(slog.NewTextHandler(&out, nil)))(urgent), test.script)
		require.Contains(t, out.String(), test.logged)
	}
	p, err := Parse("", settings())
	require.NoError(t, err)
	require.Nil(t, p.StageHook(nil))
}
