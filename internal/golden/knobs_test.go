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

// parameterBounds lists the numeric parameters of the policy script with their bounds.
var parameterBounds = []struct {
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

// booleanParameters lists the parameters of the policy script that are True or False.
var booleanParameters = []string{"fair_shares", "placement_costs", "moves", "zone_return", "history"}

func formatParameters(parameters *policy.Parameters) []byte {
	var out strings.Builder
	line := func(name string, value any) {
		if m, ok := value.(clock.Micros); ok {
			value = int64(m)
		}
		fmt.Fprintln(&out, name, value)
	}
	line("economy", parameters.Economy)
	line("hold_ttl_s", parameters.LeaderLeaseTTL)
	line("hold_renew_s", parameters.LeaderRenewInterval)
	line("resign_after_s", parameters.ResignAfter)
	line("hold_grace_s", parameters.TakeoverGrace)
	line("hand_over_s", parameters.TransferDelay)
	line("sample", parameters.SampleSize)
	line("batch", parameters.BaseAssignmentsPerCycle)
	line("lease_ttl_s", parameters.ResourceLeaseTTL)
	line("progress_every_s", parameters.ProgressInterval)
	line("preempt_after_s", parameters.PreemptAfter)
	line("idle_return_s", parameters.IdleScaleInDelay)
	line("catchup_s", parameters.CatchupSpot)
	line("catchup_ordinary_s", parameters.CatchupOnDemand)
	line("spare_share", parameters.SpareShare)
	line("boot_patience", parameters.BootPatience)
	line("rental_backoff_s", parameters.ScaleOutBackoff)
	line("sick_errors", parameters.QuarantineFailedJobs)
	line("fair_shares", parameters.FairShares)
	line("team_weights", parameters.TeamWeights) // fmt prints a map in the order of its keys
	line("share_fresh_s", parameters.ShareMaxDemandAge)
	line("share_withhold_s", parameters.ShareWithholdFor)
	line("placement_costs", parameters.PlacementCosts)
	line("data_weight", parameters.DataWeight)
	line("even_weight_s", parameters.EvenWeight)
	line("price_weight_s", parameters.PriceWeight)
	line("image_wait_s", parameters.ImageWait)
	line("moves", parameters.Moves)
	line("move_margin", parameters.MoveMargin)
	line("move_cool_down_s", parameters.MoveCoolDown)
	line("moves_per_team", parameters.TeamMoves)
	line("moves_per_machine", parameters.MachineMoves)
	line("zone_return", parameters.ZoneReturn)
	line("zone_suspect_s", parameters.ZoneSuspectAfter)
	line("zone_lost_s", parameters.ZoneLostAfter)
	line("zone_back_s", parameters.ZoneReturnAfter)
	line("history", parameters.History)
	for _, r := range parameters.Renamed {
		line("renamed "+r.Old, r.New)
	}
	return []byte(out.String())
}

// The policy script sets parameters by name. If a name is mapped to the wrong field, an operator changes a different
// parameter than the one that the script names. The test sets every parameter to a different value, so that a swap
// shows in the golden file.
func TestPolicyScriptSetsEveryParameter(t *testing.T) {
	var script strings.Builder
	for i, b := range parameterBounds {
		value := 2.0 + float64(i) // different for each parameter, and different from its default
		if b.name == "hold_ttl_s" {
			value = 100
		}
		if b.name == "spare_share" {
			value = 7.5
		}
		require.True(t, value >= b.least && value <= b.most, b.name)
		fmt.Fprintf(&script, "%s = %g\n", b.name, value)
	}
	for _, f := range booleanParameters {
		fmt.Fprintf(&script, "%s = True\n", f)
	}
	script.WriteString("team_weights = {\"red\": 2.5, \"blue\": 0.5}\n")
	parameters, err := policy.Parse(script.String(), fullSettings(t))
	require.NoError(t, err)
	goldenFile(t, "knobs/every.txt", formatParameters(parameters))
}

// The test of all parameters sets every boolean parameter to True, so it can't detect that two of them are swapped.
// Setting each one alone does.
func TestPolicyScriptSetsEachBooleanParameterAlone(t *testing.T) {
	var out strings.Builder
	for _, f := range booleanParameters {
		parameters, err := policy.Parse(f+" = True", fullSettings(t))
		require.NoError(t, err)
		fmt.Fprintln(&out, f, parameters.FairShares, parameters.PlacementCosts, parameters.Moves, parameters.ZoneReturn, parameters.History)
	}
	goldenFile(t, "knobs/flags.txt", []byte(out.String()))
}

// A deployment whose policy script sets nothing runs with the default values, which differ with and without economy. A
// changed default would change the behaviour of such a deployment.
func TestDefaultParametersKeepValues(t *testing.T) {
	parameters, err := policy.Parse("", fullSettings(t))
	require.NoError(t, err)
	goldenFile(t, "knobs/defaults_plain.txt", formatParameters(parameters))
	economySettings := fullSettings(t)
	economySettings.Params.Objectives = economySettings.Params.Objectives[1:]
	parameters, err = policy.Parse("", economySettings)
	require.NoError(t, err)
	goldenFile(t, "knobs/defaults_economy.txt", formatParameters(parameters))
}

// Operators' scripts may read the predeclared names `economy` and `controllers`. A script that does would be rejected
// if one were renamed.
func TestPolicyScriptReadsPredeclaredNames(t *testing.T) {
	parameters, err := policy.Parse("sample = 100 + controllers + (50 if economy else 0)", fullSettings(t))
	require.NoError(t, err)
	require.Equal(t, 104, parameters.SampleSize)
}

// Operators' scripts may set a parameter to either of its bounds. A narrower bound would reject such a script, and a
// wider one would accept a value that the code is not prepared for.
func TestParameterBoundsKeepValues(t *testing.T) {
	var out strings.Builder
	for _, b := range parameterBounds {
		for _, v := range []float64{b.least, b.most} {
			script := fmt.Sprintf("%s = %g", b.name, v)
			switch {
			case b.name == "hold_ttl_s" && v < 2:
				script += "\nhold_renew_s = 0.1" // must not exceed a third of hold_ttl_s
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

// Operators locate a mistake in their policy script by these error texts, which must name the parameter or the line.
func TestPolicyErrorsKeepTexts(t *testing.T) {
	var out strings.Builder
	scripts := []string{
		"unknown = 1", "hold_ttl_s = 3", "team_weights = 1", `team_weights = {"green": 1}`, `team_weights = {"red": 0}`,
		`team_weights = {"red": "x"}`,
		"veto_move = 1", "def veto_move(): return True", "recovery_stage = True", "def recovery_stage(a, b): return \"urgent\"",
		"sample = ", "sample = absent", "sample = 1 // 0", "def f(n):\n  for i in range(n): pass\nf(10000000)",
	}
	for _, f := range booleanParameters {
		scripts = append(scripts, f+" = 1")
	}
	for _, s := range scripts {
		_, err := policy.Parse(s, fullSettings(t))
		require.Error(t, err, s)
		fmt.Fprintf(&out, "%q: %v\n", s, err)
	}
	goldenFile(t, "knobs/refusals.txt", []byte(out.String()))
}

// A policy script written for an earlier release may set a parameter by its former name. It must still take effect,
// unless the script also sets the parameter by its present name, which takes precedence.
func TestFormerParameterNamesAreAccepted(t *testing.T) {
	parameters, err := policy.Parse("hire_backoff_s = 17", fullSettings(t))
	require.NoError(t, err)
	require.EqualValues(t, 17_000_000, parameters.ScaleOutBackoff)
	require.Equal(t, []policy.RenamedParameter{{Old: "hire_backoff_s", New: "rental_backoff_s"}}, parameters.Renamed)
	parameters, err = policy.Parse("hire_backoff_s = 17\nrental_backoff_s = 18", fullSettings(t))
	require.NoError(t, err)
	require.EqualValues(t, 18_000_000, parameters.ScaleOutBackoff)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// Operators' veto_move hooks read these attributes of a move. A hook that raises an error counts as a veto, so only a
// hook that returns False shows that all attributes exist and have the expected values.
func TestVetoMoveHookReceivesAttributes(t *testing.T) {
	move := rebalance.Record{Team: "red", From: "m-1", To: "m-2", Key: rebalance.Key{Job: "job-7", N: 3}, Reason: rebalance.Reason("slow"),
		Gain: 2_500_000, Cost: 1_250_000}
	const equal = `
def veto_move(m):
    if dir(m) != ["cost_s", "destination", "gain_s", "job", "reason", "source", "task", "team"]:
        return True
    return (m.team, m.job, m.task, m.source, m.destination, m.reason, m.gain_s, m.cost_s) != (
        "red", "job-7", 3, "m-1", "m-2", "slow", 2.5, 1.25)
`
	parameters, err := policy.Parse(equal, fullSettings(t))
	require.NoError(t, err)
	require.False(t, parameters.VetoHook(discardLogger())(move))
	for _, other := range []string{"veto_move = lambda m: True", "veto_move = lambda m: 1", "veto_move = lambda m: m.absent"} {
		parameters, err = policy.Parse(other, fullSettings(t))
		require.NoError(t, err)
		require.True(t, parameters.VetoHook(discardLogger())(move), other)
	}
	parameters, err = policy.Parse("", fullSettings(t))
	require.NoError(t, err)
	require.Nil(t, parameters.VetoHook(discardLogger()))
}

// Operators' recovery_stage hooks read these attributes of a job and return the name of a stage. For a name that is
// not known, the default stage of the job applies.
func TestRecoveryStageHookReceivesAttributes(t *testing.T) {
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
		parameters, err := policy.Parse(fmt.Sprintf(equal, name), fullSettings(t))
		require.NoError(t, err)
		require.Equal(t, name, parameters.StageHook(discardLogger())(job).String())
	}
	for _, answer := range []string{"urgent", "services", "cold", "soon"} { // by its priority, the job's default stage is "cold"
		job := jobs.New(jobs.Record{Job: wire.Job{ID: "job-8", Team: "red", Class: "train", Priority: "idle", Tasks: 1}}, 1)
		parameters, err := policy.Parse(fmt.Sprintf("recovery_stage = lambda j: %q", answer), fullSettings(t))
		require.NoError(t, err)
		want := answer
		if answer == "soon" {
			want = "cold" // the default stage for the job's priority
		}
		require.Equal(t, want, parameters.StageHook(discardLogger())(job).String())
	}
}

// Those who deploy the service use the files under deploy as they are. A renaming in the code must not change them, and
// the policy script must be accepted unchanged.
func TestDeploymentFilesMatchGoldenFiles(t *testing.T) {
	for _, name := range []string{"policy.star", "service.toml"} {
		b, err := os.ReadFile("../../deploy/" + name)
		require.NoError(t, err)
		goldenFile(t, "knobs/deploy."+name, b)
	}
	parameters, err := policy.Load("../../deploy/policy.star", fullSettings(t))
	require.NoError(t, err)
	goldenFile(t, "knobs/deploy.txt", formatParameters(parameters))
}

// Scale-out may be economical if there are objectives and none of them asks for work without a deadline to finish
// within less than eight worker leases, which are 128 seconds in these settings. A mistake in this rule would either
// rent more machines than necessary, or delay work that an objective wants soon.
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
