// Package policy reads the operators' own settings, a Starlark script.
//
// Load runs the embedded default.star and then the operators' script, checks every value against its
// specification (numberSpecs, flagSpecs) and returns Parameters. Functions of the script named veto_move
// and recovery_stage become hooks: they run within a bound of steps, and a hook that fails is logged and
// replaced by a safe answer. Nothing here does I/O but Load, which reads the file.
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

// Parameters is what the policy script sets. numberSpecs and flagSpecs hold the names in the script and
// the bounds; default.star holds the defaults.
type Parameters struct {
	LeadershipParameters
	SchedulingParameters
	ScalingParameters
	ShareParameters
	CostParameters
	MoveParameters
	ZoneParameters

	// History has events kept for the history command.
	History bool
	// Renamed are the parameters that the script set by a former name.
	Renamed []RenamedParameter
}

// LeadershipParameters are the times of controllers' leases in the key-value store, and of hand-over between controllers.
type LeadershipParameters struct {
	LeaderLeaseTTL      clock.Micros
	LeaderRenewInterval clock.Micros
	ResignAfter         clock.Micros
	TakeoverGrace       clock.Micros
	TransferDelay       clock.Micros
}

// SchedulingParameters are sizes and times of schedulers and partition leaders.
type SchedulingParameters struct {
	Sample           int // machines drawn for each placement
	Batch            int // tasks placed in one batch when little waits
	RoomLeaseTTL     clock.Micros
	ProgressEvery    clock.Micros
	PreemptAfter     clock.Micros
	QuarantineErrors int
}

// ScalingParameters are those of scaling out and in.
type ScalingParameters struct {
	Economy          bool // no more is scaled out than what waits has time for
	IdleScaleInDelay clock.Micros
	ScaleOutBackoff  clock.Micros
	Catchup          clock.Micros
	CatchupOrdinary  clock.Micros
	SpareShare       float64
	BootPatience     float64 // multiples of a machine's boot time
}

// ShareParameters are those of fair shares.
type ShareParameters struct {
	FairShares    bool // partition leaders divide contended resources among teams
	ShareFresh    clock.Micros
	ShareWithhold clock.Micros
	TeamWeights   map[string]float64
}

// CostParameters are those of placement by costs.
type CostParameters struct {
	PlacementCosts bool // machines are weighed for a task by estimated seconds
	DataWeight     float64
	EvenWeight     float64
	PriceWeight    float64
	ImageWait      clock.Micros
}

// MoveParameters are those of moves.
type MoveParameters struct {
	Moves        bool // running tasks are moved off machines that are to be drained
	MoveMargin   float64
	MoveCoolDown clock.Micros
	TeamMoves    int // in a minute
	MachineMoves int // in a minute, from it and to it
	vetoHook     *starlark.Function
}

// ZoneParameters are those of zones that are lost and return.
type ZoneParameters struct {
	ZoneReturn       bool // work returns to zones in stages
	ZoneSuspectAfter clock.Micros
	ZoneLostAfter    clock.Micros
	ZoneReturnAfter  clock.Micros
	stageHook        *starlark.Function
}

// RenamedParameter is a parameter's former name and its present one.
type RenamedParameter struct{ Old, New string }

// formerNames are the former names that scripts may still use.
var formerNames = []RenamedParameter{{Old: "hire_backoff_s", New: "rental_backoff_s"}}

// minLongFinishLeases is how many worker leases an objective's finishing time must be at least to count
// as one more deadline, also for work that has none: it leaves time to wait for resources, and to detect
// that a machine is gone and start again.
const minLongFinishLeases = 8

// Economy reports whether scaling out may be economical: work need not finish earlier than its deadline.
// It may not where an objective asks for work without deadlines to be finished within a short fixed
// time. A long fixed time, such as guests have, does not prevent economy for everybody, and for classes
// with deadlines it is one more of them.
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

// Load runs the embedded default and then the script at path, if any.
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

// Parse runs the embedded default and then the given script.
func Parse(text string, s *config.Settings) (*Parameters, error) {
	p := &Parameters{ScalingParameters: ScalingParameters{Economy: Economy(s)}}
	predeclared := starlark.StringDict{"economy": starlark.Bool(p.Economy), "controllers": starlark.MakeInt(s.Params.Count)}
	values, err := runScript("default.star", defaultScript, predeclared)
	if err != nil {
		return nil, err
	}
	if text != "" {
		own, err := runScript("policy", text, predeclared)
		if err != nil {
			return nil, err
		}
		p.acceptFormerNames(own)
		if err := p.readHooks(own); err != nil {
			return nil, err
		}
		if err := override(values, own); err != nil {
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

// override replaces the defaults by what the operators' script sets. Functions and names that begin with
// _ are the script's own; any other name that has no default is a mistake.
func override(values, own starlark.StringDict) error {
	for _, name := range slices.Sorted(maps.Keys(own)) {
		if _, known := values[name]; known {
			values[name] = own[name]
			continue
		}
		if _, isFunction := own[name].(starlark.Callable); !isFunction && name[0] != '_' {
			return fmt.Errorf("policy: knob %s is not known", name)
		}
	}
	return nil
}

// Bounds of a team's weight, in multiples of the default 1.
const (
	minWeight = 0.01
	maxWeight = 1000
)

var errTeamWeightsType = errors.New("policy: knob team_weights must be a dict from teams to numbers")

// readTeamWeights reads the teams' weights: only teams of the settings may have one.
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

// acceptFormerNames renames the parameters that a script sets by a former name, unless
// it sets the present one too, and records them in Renamed.
func (p *Parameters) acceptFormerNames(own starlark.StringDict) {
	for _, r := range formerNames {
		v, ok := own[r.Old]
		if !ok {
			continue
		}
		if _, setsBoth := own[r.New]; !setsBoth {
			own[r.New] = v
		}
		delete(own, r.Old)
		p.Renamed = append(p.Renamed, r)
	}
}
