// Package policy reads the operators' own settings, a Starlark script.
package policy

import (
	_ "embed"
	"errors"
	"fmt"
	"os"
	"sort"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
)

//go:embed default.star
var defaultScript string

// Parameters is what the script sets.
type Parameters struct {
	LeaderLeaseTTL, LeaderRenewInterval, ResignAfter, TakeoverGrace clock.Micros
	TransferDelay                                                   clock.Micros
	Sample, Batch                                                   int
	RoomLeaseTTL, ProgressEvery, PreemptAfter                       clock.Micros
	IdleScaleInDelay, ScaleOutBackoff, Catchup                      clock.Micros
	CatchupOrdinary                                                 clock.Micros
	SpareShare, BootPatience                                        float64
	QuarantineErrors                                                int
	Economy                                                         bool
	// FairShares has owners divide contended room among teams.
	FairShares                bool
	ShareFresh, ShareWithhold clock.Micros
	TeamWeights               map[string]float64
	// PlacementCosts has machines weighed for a task by estimated seconds.
	PlacementCosts                      bool
	DataWeight, EvenWeight, PriceWeight float64
	ImageWait                           clock.Micros
	// Moves has running tasks moved off machines that are to be drained.
	Moves                   bool
	MoveMargin              float64
	MoveCoolDown            clock.Micros
	TeamMoves, MachineMoves int
	vetoHook                *starlark.Function
	// ZoneReturn has work return to zones in stages; History has what happens noted.
	ZoneReturn, History                              bool
	ZoneSuspectAfter, ZoneLostAfter, ZoneReturnAfter clock.Micros
	stageHook                                        *starlark.Function
	// Renamed are the knobs that the script set by a former name.
	Renamed []RenamedParameter
}

// RenamedParameter is a knob's former name and the one that it has now.
type RenamedParameter struct{ Old, New string }

// formerNames are the former names that are accepted still.
var formerNames = []RenamedParameter{{Old: "hire_backoff_s", New: "rental_backoff_s"}}

// minLongFinishLeases is from how many of the workers' leases on a time to be finished
// within is one more deadline, also for work that has none: it leaves time to wait
// for room, and to notice that a machine is gone and begin anew.
const minLongFinishLeases = 8

// Economy tells whether economy is in order: work need be no earlier than its
// deadline. It is not where an objective asks for work without deadlines to be
// finished within a short fixed time; a long one, such as guests have, must not
// put off economy for everybody, and for work with deadlines it is one more of them.
func Economy(s *config.Settings) bool {
	due := map[string]bool{}
	for _, o := range s.Params.Objectives {
		due[o.Class] = due[o.Class] || o.Kind == "deadline"
	}
	for _, o := range s.Params.Objectives {
		if o.Kind == "finished" && !due[o.Class] && o.WithinS < minLongFinishLeases*s.Params.Workers.LeaseS {
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
	p := &Parameters{Economy: Economy(s)}
	given := starlark.StringDict{"economy": starlark.Bool(p.Economy), "controllers": starlark.MakeInt(s.Params.Count)}
	vals, err := runScript("default.star", defaultScript, given)
	if err != nil {
		return nil, err
	}
	if text != "" {
		own, err := runScript("policy", text, given)
		if err != nil {
			return nil, err
		}
		p.acceptFormerNames(own)
		if p.vetoHook, err = findHook(own, vetoHookName, 1); err != nil {
			return nil, err
		}
		if p.stageHook, err = findHook(own, stageHookName, 1); err != nil {
			return nil, err
		}
		names := make([]string, 0, len(own))
		for n := range own {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			if _, ok := vals[n]; !ok {
				if _, fn := own[n].(starlark.Callable); fn || n[0] == '_' {
					continue
				}
				return nil, fmt.Errorf("policy: knob %s is not known", n)
			}
			vals[n] = own[n]
		}
	}
	if err := p.read(vals); err != nil {
		return nil, err
	}
	if p.TeamWeights, err = readTeamWeights(vals["team_weights"], s); err != nil {
		return nil, err
	}
	return p, nil
}

// Bounds of a team's weight.
const (
	minWeight = 0.01
	maxWeight = 1000
)

// readTeamWeights reads the teams' weights.
func readTeamWeights(v starlark.Value, s *config.Settings) (map[string]float64, error) {
	dict, ok := v.(*starlark.Dict)
	if !ok {
		return nil, errors.New("policy: knob team_weights must be a dict from teams to numbers")
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
			return nil, fmt.Errorf("policy: knob team_weights: the weight of %s must be a number from %g to %g", name, minWeight, float64(maxWeight))
		}
		out[name] = weight
	}
	return out, nil
}

// acceptFormerNames gives the knobs that a script set by a former name their present one, unless
// the script sets that too.
func (p *Parameters) acceptFormerNames(own starlark.StringDict) {
	for _, r := range formerNames {
		v, ok := own[r.Old]
		if !ok {
			continue
		}
		if _, both := own[r.New]; !both {
			own[r.New] = v
		}
		delete(own, r.Old)
		p.Renamed = append(p.Renamed, r)
	}
}

// maxSteps bounds what a script or a hook may compute, so that it can't hang the service.
const maxSteps = 1_000_000

func runScript(name, text string, given starlark.StringDict) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: name}
	thread.SetMaxExecutionSteps(maxSteps)
	vals, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}, thread, name, text, given)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", located(err))
	}
	return vals, nil
}

// located names the line at which a script failed.
func located(err error) error {
	var failed *starlark.EvalError
	if !errors.As(err, &failed) {
		return err // errors of syntax name it themselves
	}
	for i := range len(failed.CallStack) {
		if at := failed.CallStack.At(i).Pos; at.Line > 0 {
			return fmt.Errorf("%s: %w", at, err)
		}
	}
	return err
}

func (p *Parameters) read(vals starlark.StringDict) error {
	num := func(name string, lo, hi float64) (float64, error) {
		v, ok := starlark.AsFloat(vals[name])
		if !ok || !(v >= lo && v <= hi) {
			return 0, fmt.Errorf("policy: knob %s must be a number from %g to %g", name, lo, hi)
		}
		return v, nil
	}
	for _, f := range []struct {
		name   string
		lo, hi float64
		set    func(v float64)
	}{
		{"hold_ttl_s", 1, 600, func(v float64) { p.LeaderLeaseTTL = clock.FromSeconds(v) }},
		{"hold_renew_s", 0.1, 60, func(v float64) { p.LeaderRenewInterval = clock.FromSeconds(v) }},
		{"resign_after_s", 0.5, 600, func(v float64) { p.ResignAfter = clock.FromSeconds(v) }},
		{"hold_grace_s", 0, 60, func(v float64) { p.TakeoverGrace = clock.FromSeconds(v) }},
		{"hand_over_s", 0, 86400, func(v float64) { p.TransferDelay = clock.FromSeconds(v) }},
		{"sample", 1, 1000, func(v float64) { p.Sample = int(v) }},
		{"batch", 1, 10000, func(v float64) { p.Batch = int(v) }},
		{"lease_ttl_s", 1, 600, func(v float64) { p.RoomLeaseTTL = clock.FromSeconds(v) }},
		{"progress_every_s", 0.1, 60, func(v float64) { p.ProgressEvery = clock.FromSeconds(v) }},
		{"preempt_after_s", 0, 3600, func(v float64) { p.PreemptAfter = clock.FromSeconds(v) }},
		{"idle_return_s", 0, 86400, func(v float64) { p.IdleScaleInDelay = clock.FromSeconds(v) }},
		{"spare_share", 0, 10, func(v float64) { p.SpareShare = v }},
		{"boot_patience", 1, 100, func(v float64) { p.BootPatience = v }},
		{"catchup_s", 1, 3600, func(v float64) { p.Catchup = clock.FromSeconds(v) }},
		{"catchup_ordinary_s", 1, 3600, func(v float64) { p.CatchupOrdinary = clock.FromSeconds(v) }},
		{"rental_backoff_s", 0, 3600, func(v float64) { p.ScaleOutBackoff = clock.FromSeconds(v) }},
		{"share_fresh_s", 1.5, 60, func(v float64) { p.ShareFresh = clock.FromSeconds(v) }},
		{"share_withhold_s", 0, 30, func(v float64) { p.ShareWithhold = clock.FromSeconds(v) }},
		{"data_weight", 0, 100, func(v float64) { p.DataWeight = v }},
		{"even_weight_s", 0, 3600, func(v float64) { p.EvenWeight = v }},
		{"price_weight_s", 0, 3600, func(v float64) { p.PriceWeight = v }},
		{"image_wait_s", 0, 60, func(v float64) { p.ImageWait = clock.FromSeconds(v) }},
		{"move_margin", 1, 100, func(v float64) { p.MoveMargin = v }},
		{"move_cool_down_s", 0, 86400, func(v float64) { p.MoveCoolDown = clock.FromSeconds(v) }},
		{"moves_per_team", 0, 10000, func(v float64) { p.TeamMoves = int(v) }},
		{"moves_per_machine", 0, 10000, func(v float64) { p.MachineMoves = int(v) }},
		{"zone_suspect_s", 1, 600, func(v float64) { p.ZoneSuspectAfter = clock.FromSeconds(v) }},
		{"zone_lost_s", 1, 600, func(v float64) { p.ZoneLostAfter = clock.FromSeconds(v) }},
		{"zone_back_s", 0, 600, func(v float64) { p.ZoneReturnAfter = clock.FromSeconds(v) }},
		{"sick_errors", 1, 1000, func(v float64) { p.QuarantineErrors = int(v) }},
	} {
		v, err := num(f.name, f.lo, f.hi)
		if err != nil {
			return err
		}
		f.set(v)
	}
	for name, flag := range map[string]*bool{"fair_shares": &p.FairShares, "placement_costs": &p.PlacementCosts, "moves": &p.Moves,
		"zone_return": &p.ZoneReturn, "history": &p.History} {
		v, ok := vals[name].(starlark.Bool)
		if !ok {
			return fmt.Errorf("policy: knob %s must be True or False", name)
		}
		*flag = bool(v)
	}
	if p.LeaderRenewInterval*3 > p.LeaderLeaseTTL {
		return fmt.Errorf("policy: knob hold_renew_s must be at most a third of hold_ttl_s")
	}
	return nil
}
