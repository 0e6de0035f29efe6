// Package policy reads the operators' policy, which is a Starlark script.
//
// Load runs the embedded default.star and then the operators' script, checks the numbers and flags against their
// specifications (numberSpecs, flagSpecs) and the team weights against the settings, and returns Parameters. Functions
// of the script that are named veto_move and recovery_stage become hooks. A hook may use a limited number of execution
// steps. When it fails, the error is logged and a safe answer is used instead. Only Load does I/O: it reads the
// script's file.
package policy

import (
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"go.starlark.net/starlark"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
)

//go:embed default.star
var defaultScript string

// Parameters has the values that the policy script sets, and Economy. default.star explains each parameter and has the defaults;
// numberSpecs and flagSpecs map the names in the script to the fields here and have the allowed ranges.
type Parameters struct {
	LeadershipParameters
	SchedulingParameters
	ScalingParameters
	ShareParameters
	CostParameters
	MoveParameters
	ZoneParameters

	// History makes the controller keep events for the history command.
	History bool
	// Renamed lists the parameters that the script sets under a former name.
	Renamed []RenamedParameter
}

// LeadershipParameters has the times of controller leases in the key-value store and of leadership transfers.
type LeadershipParameters struct {
	LeaderLeaseTTL      clock.Micros // hold_ttl_s
	LeaderRenewInterval clock.Micros // hold_renew_s
	ResignAfter         clock.Micros // resign_after_s
	TakeoverGrace       clock.Micros // hold_grace_s
	TransferDelay       clock.Micros // hand_over_s
}

// SchedulingParameters has the sizes and times that schedulers and partition leaders use.
type SchedulingParameters struct {
	SampleSize              int          // sample: machines drawn as candidates for a task that is not small
	BaseAssignmentsPerCycle int          // batch: tasks that one scheduling cycle may place; a quarter of the waiting tasks is added
	ResourceLeaseTTL        clock.Micros // lease_ttl_s: time after which an unused resource lease expires
	ProgressInterval        clock.Micros // progress_every_s
	PreemptAfter            clock.Micros
	QuarantineFailedJobs    int // sick_errors: number of jobs that fail on a machine in a row before it is quarantined
}

// ScalingParameters controls scale-out and scale-in.
type ScalingParameters struct {
	Economy          bool         // rent no more machines than needed to finish waiting work in time; set by the function Economy
	IdleScaleInDelay clock.Micros // idle_return_s
	ScaleOutBackoff  clock.Micros // rental_backoff_s
	CatchupSpot      clock.Micros // catchup_s
	CatchupOnDemand  clock.Micros // catchup_ordinary_s
	SpareShare       float64
	BootPatience     float64 // multiple of a machine's boot time
}

// ShareParameters controls fair shares.
type ShareParameters struct {
	FairShares        bool         // partition leaders divide contended resources among teams
	ShareMaxDemandAge clock.Micros // share_fresh_s
	ShareWithholdFor  clock.Micros // share_withhold_s
	TeamWeights       map[string]float64
}

// CostParameters controls placement by costs.
type CostParameters struct {
	PlacementCosts bool // machines are compared for a task by estimated seconds
	DataWeight     float64
	EvenWeight     float64 // seconds
	PriceWeight    float64 // seconds
	ImageWait      clock.Micros
}

// MoveParameters controls moves of running tasks.
type MoveParameters struct {
	Moves        bool    // move running tasks off machines that are taken back or quarantined as slow
	MoveMargin   float64 // multiple of the cost that the gain must exceed
	MoveCoolDown clock.Micros
	TeamMoves    int // maximum per minute
	MachineMoves int // maximum per minute, from and to the machine together
	vetoHook     *starlark.Function
}

// ZoneParameters controls how zones are declared lost and how work returns to them.
type ZoneParameters struct {
	ZoneReturn       bool         // work returns to zones in stages
	ZoneSuspectAfter clock.Micros // zone_suspect_s
	ZoneLostAfter    clock.Micros // zone_lost_s
	ZoneReturnAfter  clock.Micros // zone_back_s
	stageHook        *starlark.Function
}

// RenamedParameter has a parameter's former name and its present name.
type RenamedParameter struct{ Old, New string }

// formerNames lists the former names of parameters that scripts may still use.
var formerNames = []RenamedParameter{{Old: "hire_backoff_s", New: "rental_backoff_s"}}

// minLongFinishLeases is the minimum length, in worker leases, of a finishing time that is treated like a deadline even
// for work without deadlines. Such a time is long enough to wait for resources, to detect that a machine is gone, and
// to start the work again.
const minLongFinishLeases = 8

// Economy reports whether scale-out may be economical, which means that work may take until its deadline. It returns
// false if the settings have no objectives, or an objective asks for work without deadlines to finish within
// a short fixed time. A long fixed time, such as that of guests, does not prevent economy for everybody else. In a
// class with deadlines, a fixed time is treated as one more deadline.
func Economy(s *config.Settings) bool {
	hasDeadline := map[string]bool{}
	for _, o := range s.Params.Objectives {
		hasDeadline[o.Class] = hasDeadline[o.Class] || o.Kind == "deadline"
	}
	for _, o := range s.Params.Objectives {
		if o.Kind == "finished" && !hasDeadline[o.Class] && o.WithinS < minLongFinishLeases*s.Params.Workers.LeaseS {
			return false
		}
	}
	return len(s.Params.Objectives) > 0
}

// Load runs the embedded default.star and then the script at path, unless path is empty.
func Load(path string, s *config.Settings) (*Parameters, error) {
	text := ""
	if path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("policy: %w", err)
		}
		text = string(b)
	}
	return Parse(text, s)
}

// Parse runs the embedded default.star and then the script text, unless it is empty.
func Parse(text string, s *config.Settings) (*Parameters, error) {
	p := &Parameters{ScalingParameters: ScalingParameters{Economy: Economy(s)}}
	predeclared := starlark.StringDict{"economy": starlark.Bool(p.Economy), "controllers": starlark.MakeInt(s.Params.Count)}
	values, err := runScript("default.star", defaultScript, predeclared)
	if err != nil {
		return nil, err
	}
	if text != "" {
		globals, err := runScript("policy", text, predeclared)
		if err != nil {
			return nil, err
		}
		p.acceptFormerNames(globals)
		if err := p.readHooks(globals); err != nil {
			return nil, err
		}
		if err := override(values, globals); err != nil {
			return nil, err
		}
	}
	if err := p.readNumbersAndFlags(values); err != nil {
		return nil, err
	}
	if p.TeamWeights, err = readTeamWeights(values["team_weights"], s); err != nil {
		return nil, err
	}
	return p, nil
}

// override replaces default values with those of the operators' script. Functions and names that begin with _ are
// for the script's own use. Any other name without a default is rejected, since it is probably misspelled.
func override(values, globals starlark.StringDict) error {
	for _, name := range slices.Sorted(maps.Keys(globals)) {
		if _, known := values[name]; known {
			values[name] = globals[name]
			continue
		}
		if _, isFunction := globals[name].(starlark.Callable); !isFunction && name[0] != '_' {
			return fmt.Errorf("policy: knob %s is not known", name)
		}
	}
	return nil
}

// Bounds of a team's weight. The default is 1.
const (
	minWeight = 0.01
	maxWeight = 1000
)

var errTeamWeightsType = errors.New("policy: knob team_weights must be a dict from teams to numbers")

// readTeamWeights returns the weights of teams by name. It rejects teams that the settings don't have, and weights that
// are no numbers or out of bounds.
func readTeamWeights(v starlark.Value, s *config.Settings) (map[string]float64, error) {
	dict, ok := v.(*starlark.Dict)
	if !ok {
		return nil, errTeamWeightsType
	}
	teams := map[string]bool{}
	for _, t := range s.Params.Teams {
		teams[t.Name] = true
	}
	out := map[string]float64{}
	for _, item := range dict.Items() {
		name, _ := starlark.AsString(item[0])
		if !teams[name] {
			return nil, fmt.Errorf("policy: knob team_weights: there is no team %s", item[0])
		}
		weight, ok := starlark.AsFloat(item[1])
		if !ok || !(weight >= minWeight && weight <= maxWeight) {
			return nil, fmt.Errorf("policy: knob team_weights: the weight of %s must be a number from %g to %g",
				name, minWeight, float64(maxWeight))
		}
		out[name] = weight
	}
	return out, nil
}

// acceptFormerNames renames the parameters that a script sets under a former name and records them in Renamed. If the
// script sets the present name as well, that value is used.
func (p *Parameters) acceptFormerNames(globals starlark.StringDict) {
	for _, r := range formerNames {
		v, ok := globals[r.Old]
		if !ok {
			continue
		}
		if _, setsBoth := globals[r.New]; !setsBoth {
			globals[r.New] = v
		}
		delete(globals, r.Old)
		p.Renamed = append(p.Renamed, r)
	}
}
