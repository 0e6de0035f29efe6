package policy

import (
	"fmt"
	"strings"
)

// String returns the parameters in the form that the check command prints. The names belong to the output of that
// command and do not change, even where the fields of Parameters have other names.
func (p *Parameters) String() string {
	fields := []struct {
		name  string
		value any
	}{
		{"HoldTTL", p.LeaderLeaseTTL},
		{"HoldRenew", p.LeaderRenewInterval},
		{"ResignAfter", p.ResignAfter},
		{"HoldGrace", p.TakeoverGrace},
		{"HandOver", p.TransferDelay},
		{"Sample", p.SampleSize},
		{"Batch", p.BaseAssignmentsPerCycle},
		{"LeaseTTL", p.ResourceLeaseTTL},
		{"ProgressEvery", p.ProgressInterval},
		{"PreemptAfter", p.PreemptAfter},
		{"IdleReturn", p.IdleScaleInDelay},
		{"RentalBackoff", p.ScaleOutBackoff},
		{"Catchup", p.CatchupSpot},
		{"CatchupOrdinary", p.CatchupOnDemand},
		{"SpareShare", p.SpareShare},
		{"BootPatience", p.BootPatience},
		{"SickErrors", p.QuarantineFailedJobs},
		{"Economy", p.Economy},
		{"FairShares", p.FairShares},
		{"ShareFresh", p.ShareMaxDemandAge},
		{"ShareWithhold", p.ShareWithholdFor},
		{"TeamWeights", p.TeamWeights},
		{"PlacementCosts", p.PlacementCosts},
		{"DataWeight", p.DataWeight},
		{"EvenWeight", p.EvenWeight},
		{"PriceWeight", p.PriceWeight},
		{"ImageWait", p.ImageWait},
		{"Moves", p.Moves},
		{"MoveMargin", p.MoveMargin},
		{"MoveCoolDown", p.MoveCoolDown},
		{"TeamMoves", p.TeamMoves},
		{"MachineMoves", p.MachineMoves},
		{"veto", hookAddress(p.vetoHook)},
		{"ZoneReturn", p.ZoneReturn},
		{"History", p.History},
		{"ZoneSuspect", p.ZoneSuspectAfter},
		{"ZoneLost", p.ZoneLostAfter},
		{"ZoneBack", p.ZoneReturnAfter},
		{"stage", hookAddress(p.stageHook)},
		{"Renamed", p.Renamed},
	}
	var out strings.Builder
	for i, field := range fields {
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s:%+v", field.name, field.value)
	}
	return "{" + out.String() + "}"
}

// hookAddress returns the address of a hook's function, or "<nil>" if there is no hook.
func hookAddress[T any](hook *T) string {
	if hook == nil {
		return "<nil>"
	}
	return fmt.Sprintf("%p", hook)
}
