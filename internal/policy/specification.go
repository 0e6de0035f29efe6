package policy

import (
	"errors"
	"fmt"

	"go.starlark.net/starlark"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// numberSpec specifies a parameter that is a number.
type numberSpec struct {
	name     string  // name in the script
	min, max float64 // allowed range, including both bounds
	set      func(p *Parameters, v float64)
}

// numberSpecs lists all numeric parameters that a script may set. Names that end in _s are in seconds. To add a
// parameter, add its field to Parameters, its default to default.star, its line here and its name to Parameters.String.
var numberSpecs = []numberSpec{
	// Leadership.
	{"hold_ttl_s", 1, 600, func(p *Parameters, v float64) { p.LeaderLeaseTTL = clock.FromSeconds(v) }},
	{"hold_renew_s", 0.1, 60, func(p *Parameters, v float64) { p.LeaderRenewInterval = clock.FromSeconds(v) }},
	{"resign_after_s", 0.5, 600, func(p *Parameters, v float64) { p.ResignAfter = clock.FromSeconds(v) }},
	{"hold_grace_s", 0, 60, func(p *Parameters, v float64) { p.TakeoverGrace = clock.FromSeconds(v) }},
	{"hand_over_s", 0, 86400, func(p *Parameters, v float64) { p.TransferDelay = clock.FromSeconds(v) }},
	// Scheduling.
	{"sample", 1, 1000, func(p *Parameters, v float64) { p.SampleSize = int(v) }},
	{"batch", 1, 10000, func(p *Parameters, v float64) { p.BaseAssignmentsPerCycle = int(v) }},
	{"lease_ttl_s", 1, 600, func(p *Parameters, v float64) { p.ResourceLeaseTTL = clock.FromSeconds(v) }},
	{"progress_every_s", 0.1, 60, func(p *Parameters, v float64) { p.ProgressInterval = clock.FromSeconds(v) }},
	{"preempt_after_s", 0, 3600, func(p *Parameters, v float64) { p.PreemptAfter = clock.FromSeconds(v) }},
	// Autoscaling.
	{"idle_return_s", 0, 86400, func(p *Parameters, v float64) { p.IdleScaleInDelay = clock.FromSeconds(v) }},
	{"spare_share", 0, 10, func(p *Parameters, v float64) { p.SpareShare = v }},
	{"boot_patience", 1, 100, func(p *Parameters, v float64) { p.BootPatience = v }},
	{"catchup_s", 1, 3600, func(p *Parameters, v float64) { p.CatchupSpot = clock.FromSeconds(v) }},
	{"catchup_ordinary_s", 1, 3600, func(p *Parameters, v float64) { p.CatchupOnDemand = clock.FromSeconds(v) }},
	{"rental_backoff_s", 0, 3600, func(p *Parameters, v float64) { p.ScaleOutBackoff = clock.FromSeconds(v) }},
	// Fair shares.
	{"share_fresh_s", 1.5, 60, func(p *Parameters, v float64) { p.ShareMaxDemandAge = clock.FromSeconds(v) }},
	{"share_withhold_s", 0, 30, func(p *Parameters, v float64) { p.ShareWithholdFor = clock.FromSeconds(v) }},
	// Placement costs.
	{"data_weight", 0, 100, func(p *Parameters, v float64) { p.DataWeight = v }},
	{"even_weight_s", 0, 3600, func(p *Parameters, v float64) { p.EvenWeight = v }},
	{"price_weight_s", 0, 3600, func(p *Parameters, v float64) { p.PriceWeight = v }},
	{"image_wait_s", 0, 60, func(p *Parameters, v float64) { p.ImageWait = clock.FromSeconds(v) }},
	// Moves.
	{"move_margin", 1, 100, func(p *Parameters, v float64) { p.MoveMargin = v }},
	{"move_cool_down_s", 0, 86400, func(p *Parameters, v float64) { p.MoveCoolDown = clock.FromSeconds(v) }},
	{"moves_per_team", 0, 10000, func(p *Parameters, v float64) { p.TeamMoves = int(v) }},
	{"moves_per_machine", 0, 10000, func(p *Parameters, v float64) { p.MachineMoves = int(v) }},
	// Zone return and quarantine.
	{"zone_suspect_s", 1, 600, func(p *Parameters, v float64) { p.ZoneSuspectAfter = clock.FromSeconds(v) }},
	{"zone_lost_s", 1, 600, func(p *Parameters, v float64) { p.ZoneLostAfter = clock.FromSeconds(v) }},
	{"zone_back_s", 0, 600, func(p *Parameters, v float64) { p.ZoneReturnAfter = clock.FromSeconds(v) }},
	{"sick_errors", 1, 1000, func(p *Parameters, v float64) { p.QuarantineFailedJobs = int(v) }},
}

// flagSpec specifies a parameter that is True or False.
type flagSpec struct {
	name string
	flag func(p *Parameters) *bool
}

// flagSpecs lists all parameters with the values True and False that a script may set.
var flagSpecs = []flagSpec{
	{"fair_shares", func(p *Parameters) *bool { return &p.FairShares }},
	{"placement_costs", func(p *Parameters) *bool { return &p.PlacementCosts }},
	{"moves", func(p *Parameters) *bool { return &p.Moves }},
	{"zone_return", func(p *Parameters) *bool { return &p.ZoneReturn }},
	{"history", func(p *Parameters) *bool { return &p.History }},
}

var errRenewInterval = errors.New("policy: knob hold_renew_s must be at most a third of hold_ttl_s")

// readNumbersAndFlags sets the parameters from a script's values. It rejects a value that does not meet its
// specification.
func (p *Parameters) readNumbersAndFlags(values starlark.StringDict) error {
	for _, spec := range numberSpecs {
		v, ok := starlark.AsFloat(values[spec.name])
		if !ok || !(v >= spec.min && v <= spec.max) { // this form rejects NaN, too
			return fmt.Errorf("policy: knob %s must be a number from %g to %g", spec.name, spec.min, spec.max)
		}
		spec.set(p, v)
	}
	for _, spec := range flagSpecs {
		v, ok := values[spec.name].(starlark.Bool)
		if !ok {
			return fmt.Errorf("policy: knob %s must be True or False", spec.name)
		}
		*spec.flag(p) = bool(v)
	}
	if p.LeaderRenewInterval*minRenewalsPerLease > p.LeaderLeaseTTL {
		return errRenewInterval
	}
	return nil
}

// minRenewalsPerLease is the minimum number of renewals within the lifetime of a controller lease, so that the lease
// survives a failed renewal.
const minRenewalsPerLease = 3
