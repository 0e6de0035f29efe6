package golden_test

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/wire"
)

// knobBounds are the knobs that take a number, with their bounds.
var knobBounds = []struct {
	name        string
	least, most float64
}{
	{"hold_ttl_s", 1, 600}, {"hold_renew_s", 0.1, 60}, {"resign_after_s", 0.5, 600}, {"hold_grace_s", 0, 60}, {"hand_over_s", 0, 86400},
	{"sample", 1, 1000}, {"batch", 1, 10000}, {"lease_ttl_s", 1, 600}, {"progress_every_s", 0.1, 60}, {"preempt_after_s", 0, 3600},
	{"idle_return_s", 0, 86400}, {"spare_share", 0, 10}, {"boot_patience", 1, 100}, {"catchup_s", 1, 3600}, {"catchup_ordinary_s", 1, 3600},
	{"rental_backoff_s", 0, 3600}, {"share_fresh_s", 1.5, 60}, {"share_withhold_s", 0, 30}, {"data_weight", 0, 100},
	{"even_weight_s", 0, 3600},
	{"price_weight_s", 0, 3600}, {"image_wait_s", 0, 60}, {"move_margin", 1, 100}, {"move_cool_down_s", 0, 86400},
	{"moves_per_team", 0, 10000},
	{"moves_per_machine", 0, 10000}, {"zone_suspect_s", 1, 600}, {"zone_lost_s", 1, 600}, {"zone_back_s", 0, 600}, {"sick_errors", 1, 1000},
}

// knobFlags are the knobs that are True or False.
var knobFlags = []string{"fair_shares", "placement_costs", "moves", "zone_return", "history"}

func knobsDump(k *policy.Parameters) []byte {
	var out strings.Builder
	line := func(name string, value any) {
		if m, ok := value.(clock.Micros); ok {
			value = int64(m)
		}
		fmt.Fprintln(&out, name, value)
	}
	line("economy", k.Economy)
	line("hold_ttl_s", k.LeaderLeaseTTL)
	line("hold_renew_s", k.LeaderRenewInterval)
	line("resign_after_s", k.ResignAfter)
	line("hold_grace_s", k.TakeoverGrace)
	line("hand_over_s", k.TransferDelay)
	line("sample", k.Sample)
	line("batch", k.Batch)
	line("lease_ttl_s", k.RoomLeaseTTL)
	line("progress_every_s", k.ProgressEvery)
	line("preempt_after_s", k.PreemptAfter)
	line("idle_return_s", k.IdleScaleInDelay)
	line("catchup_s", k.Catchup)
	line("catchup_ordinary_s", k.CatchupOrdinary)
	line("spare_share", k.SpareShare)
	line("boot_patience", k.BootPatience)
	line("rental_backoff_s", k.ScaleOutBackoff)
	line("sick_errors", k.QuarantineErrors)
	line("fair_shares", k.FairShares)
	line("team_weights", k.TeamWeights) // printed in the order of the names
	line("share_fresh_s", k.ShareFresh)
	line("share_withhold_s", k.ShareWithhold)
	line("placement_costs", k.PlacementCosts)
	line("data_weight", k.DataWeight)
	line("even_weight_s", k.EvenWeight)
	line("price_weight_s", k.PriceWeight)
	line("image_wait_s", k.ImageWait)
	line("moves", k.Moves)
	line("move_margin", k.MoveMargin)
	line("move_cool_down_s", k.MoveCoolDown)
	line("moves_per_team", k.TeamMoves)
	line("moves_per_machine", k.MachineMoves)
	line("zone_return", k.ZoneReturn)
	line("zone_suspect_s", k.ZoneSuspectAfter)
	line("zone_lost_s", k.ZoneLostAfter)
	line("zone_back_s", k.ZoneReturnAfter)
	line("history", k.History)
	for _, r := range k.Renamed {
		line("renamed "+r.Old, r.New)
	}
	return []byte(out.String())
}

// The operators' script sets knobs by name; each must reach its own value and no other. The
// script sets all of them, each to a value of its own.
func TestPolicyScriptSetsEveryKnob(t *testing.T) {
	var script strings.Builder
	for i, b := range knobBounds {
		value := 2.0 + float64(i) // differs from the default, and from all others
		if b.name == "hold_ttl_s" {
			value = 100
		}
		if b.name == "spare_share" {
			value = 7.5
		}
		require.True(t, value >= b.least && value <= b.most, b.name)
		fmt.Fprintf(&script, "%s = %g\n", b.name, value)
	}
	for _, f := range knobFlags {
		fmt.Fprintf(&script, "%s = True\n", f)
	}
	script.WriteString("team_weights = {\"red\": 2.5, \"blue\": 0.5}\n")
	k, err := policy.Parse(script.String(), fullSettings(t))
	require.NoError(t, err)
	goldenFile(t, "knobs/every.txt", knobsDump(k))
}

// The five flags are read from a map: setting one alone shows that each reaches its own value.
func TestPolicyScriptSetsEachFlagAlone(t *testing.T) {
	var out strings.Builder
	for _, f := range knobFlags {
		k, err := policy.Parse(f+" = True", fullSettings(t))
		require.NoError(t, err)
		fmt.Fprintln(&out, f, k.FairShares, k.PlacementCosts, k.Moves, k.ZoneReturn, k.History)
	}
	goldenFile(t, "knobs/flags.txt", []byte(out.String()))
}

// A deployment that sets nothing has these values, with and without economy.
func TestDefaultKnobsKeepValues(t *testing.T) {
	k, err := policy.Parse("", fullSettings(t))
	require.NoError(t, err)
	goldenFile(t, "knobs/defaults_plain.txt", knobsDump(k))
	thrift := fullSettings(t)
	thrift.Params.Objectives = thrift.Params.Objectives[1:]
	k, err = policy.Parse("", thrift)
	require.NoError(t, err)
	goldenFile(t, "knobs/defaults_economy.txt", knobsDump(k))
}

// A script may use what it is given: `economy` and `controllers`.
func TestPolicyScriptIsGivenNames(t *testing.T) {
	k, err := policy.Parse("sample = 100 + controllers + (50 if economy else 0)", fullSettings(t))
	require.NoError(t, err)
	require.Equal(t, 104, k.Sample)
}

// Bounds are part of what operators rely on: a knob takes both, and nothing beyond them.
func TestKnobBoundsKeepValues(t *testing.T) {
	var out strings.Builder
	for _, b := range knobBounds {
		for _, v := range []float64{b.least, b.most} {
			script := fmt.Sprintf("%s = %g", b.name, v)
			switch {
			case b.name == "hold_ttl_s" && v < 2:
				script += "\nhold_renew_s = 0.1" // at most a third of it
			case b.name == "hold_renew_s":
				script += "\nhold_ttl_s = 600"
			}
			_, err := policy.Parse(script, fullSettings(t))
			require.NoError(t, err, script)
		}
		for _, v := range []string{fmt.Sprint(b.least - 0.01), fmt.Sprint(b.most + 1), `"x"`} {
			_, err := policy.Parse(b.name+" = "+v, fullSettings(t))
			require.Error(t, err, b.name)
			fmt.Fprintf(&out, "%s = %s: %v\n", b.name, v, err)
		}
	}
	goldenFile(t, "knobs/bounds.txt", []byte(out.String()))
}

// Operators find a mistake in their script by these texts.
func TestPolicyRefusalsKeepTexts(t *testing.T) {
	var out strings.Builder
	scripts := []string{
		"unknown = 1", "hold_ttl_s = 3", "team_weights = 1", `team_weights = {"green": 1}`, `team_weights = {"red": 0}`,
		`team_weights = {"red": "x"}`,
		"veto_move = 1", "def veto_move(): return True", "recovery_stage = True", "def recovery_stage(a, b): return \"urgent\"",
		"sample = ", "sample = absent", "sample = 1 // 0", "def f(n):\n  for i in range(n): pass\nf(10000000)",
	}
	for _, f := range knobFlags {
		scripts = append(scripts, f+" = 1")
	}
	for _, s := range scripts {
		_, err := policy.Parse(s, fullSettings(t))
		require.Error(t, err, s)
		fmt.Fprintf(&out, "%q: %v\n", s, err)
	}
	goldenFile(t, "knobs/refusals.txt", []byte(out.String()))
}

// Scripts that set a knob by its former name are accepted; the present name goes first.
func TestFormerKnobNamesAreAccepted(t *testing.T) {
	k, err := policy.Parse("hire_backoff_s = 17", fullSettings(t))
	require.NoError(t, err)
	require.EqualValues(t, 17_000_000, k.ScaleOutBackoff)
	require.Equal(t, []policy.RenamedParameter{{Old: "hire_backoff_s", New: "rental_backoff_s"}}, k.Renamed)
	k, err = policy.Parse("hire_backoff_s = 17\nrental_backoff_s = 18", fullSettings(t))
	require.NoError(t, err)
	require.EqualValues(t, 18_000_000, k.ScaleOutBackoff)
}

func knobsLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// The hook on moves sees these attributes, with these values. A hook that fails vetoes, so the
// answer False shows that every attribute was as compared.
func TestVetoHookIsGivenAttributes(t *testing.T) {
	move := rebalance.Record{Team: "red", From: "m-1", To: "m-2", Key: rebalance.Key{Job: "job-7", N: 3}, Reason: rebalance.Reason("slow"),
		Gain: 2_500_000, Cost: 1_250_000}
	const equal = `
def veto_move(m):
    if dir(m) != ["cost_s", "destination", "gain_s", "job", "reason", "source", "task", "team"]:
        return True
    return (m.team, m.job, m.task, m.source, m.destination, m.reason, m.gain_s, m.cost_s) != (
        "red", "job-7", 3, "m-1", "m-2", "slow", 2.5, 1.25)
`
	k, err := policy.Parse(equal, fullSettings(t))
	require.NoError(t, err)
	require.False(t, k.Veto(knobsLog())(move))
	for _, other := range []string{"veto_move = lambda m: True", "veto_move = lambda m: 1", "veto_move = lambda m: m.absent"} {
		k, err = policy.Parse(other, fullSettings(t))
		require.NoError(t, err)
		require.True(t, k.Veto(knobsLog())(move), other)
	}
	k, err = policy.Parse("", fullSettings(t))
	require.NoError(t, err)
	require.Nil(t, k.Veto(knobsLog()))
}

// The hook on stages sees these attributes, and names a stage.
func TestStageHookIsGivenAttributes(t *testing.T) {
	due := 900.0
	job := jobs.New(jobs.Record{Job: wire.Job{ID: "job-7", Team: "red", Class: "train", Priority: "high", Tasks: 16, DeadlineS: &due}}, 1)
	const equal = `
def recovery_stage(j):
    if dir(j) != ["deadline", "jobclass", "rank", "tasks", "team"]:
        fail("attributes differ")
    if (j.team, j.jobclass, j.rank, j.deadline, j.tasks) != ("red", "train", "high", True, 16):
        fail("values differ")
    return "%s"
`
	for _, name := range []string{"urgent", "services", "cold"} {
		k, err := policy.Parse(fmt.Sprintf(equal, name), fullSettings(t))
		require.NoError(t, err)
		require.Equal(t, name, k.Stages(knobsLog())(job).String())
	}
	for _, answer := range []string{"urgent", "services", "cold", "soon"} { // of another rank, so that the default differs from some
		job := jobs.New(jobs.Record{Job: wire.Job{ID: "job-8", Team: "red", Class: "train", Priority: "idle", Tasks: 1}}, 1)
		k, err := policy.Parse(fmt.Sprintf("recovery_stage = lambda j: %q", answer), fullSettings(t))
		require.NoError(t, err)
		want := answer
		if answer == "soon" {
			want = "cold" // by its rank
		}
		require.Equal(t, want, k.Stages(knobsLog())(job).String())
	}
}

// The deployment's files are used by those who deploy the service: a renaming in the code must
// not touch them, and the script must be accepted as it is.
func TestDeploymentFilesStay(t *testing.T) {
	for _, name := range []string{"policy.star", "service.toml"} {
		b, err := os.ReadFile("../../deploy/" + name)
		require.NoError(t, err)
		goldenFile(t, "knobs/deploy."+name, b)
	}
	k, err := policy.Load("../../deploy/policy.star", fullSettings(t))
	require.NoError(t, err)
	goldenFile(t, "knobs/deploy.txt", knobsDump(k))
}

// Economy is in order where no objective asks for work without deadlines to be finished soon.
func TestEconomyFollowsObjectives(t *testing.T) {
	for _, c := range []struct {
		name       string
		objectives []config.Objective
		want       bool
	}{
		{"none", nil, false},
		{"deadline", []config.Objective{{Kind: "deadline", Class: "a"}}, true},
		{"finished soon", []config.Objective{{Kind: "finished", Class: "a", WithinS: 127}}, false},
		{"finished late", []config.Objective{{Kind: "finished", Class: "a", WithinS: 128}}, true},
		{"finished soon with deadline", []config.Objective{{Kind: "finished", Class: "a", WithinS: 1},
			{Kind: "deadline", Class: "a"}}, true},
	} {
		s := fullSettings(t)
		s.Params.Objectives = c.objectives
		require.Equal(t, c.want, policy.Economy(s), c.name)
	}
}
