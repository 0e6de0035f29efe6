package policy

import (
	"fmt"
	"strings"
)

// String lists the parameters as the check command prints them. The names are part of that
// command's output and stay as they are, whatever the fields are called here.
func (k *Parameters) String() string {
	fields := []struct {
		name  string
		value any
	}{
		{"HoldTTL", k.LeaderLeaseTTL}, {"HoldRenew", k.LeaderRenewInterval}, {"ResignAfter", k.ResignAfter}, {"HoldGrace", k.TakeoverGrace},
		{"HandOver", k.TransferDelay}, {"Sample", k.Sample}, {"Batch", k.Batch}, {"LeaseTTL", k.RoomLeaseTTL},
		{"ProgressEvery", k.ProgressEvery}, {"PreemptAfter", k.PreemptAfter}, {"IdleReturn", k.IdleScaleInDelay},
		{"RentalBackoff", k.ScaleOutBackoff}, {"Catchup", k.Catchup}, {"CatchupOrdinary", k.CatchupOrdinary},
		{"SpareShare", k.SpareShare}, {"BootPatience", k.BootPatience}, {"SickErrors", k.QuarantineErrors},
		{"Economy", k.Economy}, {"FairShares", k.FairShares}, {"ShareFresh", k.ShareFresh},
		{"ShareWithhold", k.ShareWithhold}, {"TeamWeights", k.TeamWeights}, {"PlacementCosts", k.PlacementCosts},
		{"DataWeight", k.DataWeight}, {"EvenWeight", k.EvenWeight}, {"PriceWeight", k.PriceWeight},
		{"ImageWait", k.ImageWait}, {"Moves", k.Moves}, {"MoveMargin", k.MoveMargin}, {"MoveCoolDown", k.MoveCoolDown},
		{"TeamMoves", k.TeamMoves}, {"MachineMoves", k.MachineMoves}, {"veto", address(k.veto)},
		{"ZoneReturn", k.ZoneReturn}, {"History", k.History}, {"ZoneSuspect", k.ZoneSuspectAfter},
		{"ZoneLost", k.ZoneLostAfter}, {"ZoneBack", k.ZoneReturnAfter}, {"stage", address(k.stage)}, {"Renamed", k.Renamed},
	}
	var out strings.Builder
	for i, f := range fields {
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s:%+v", f.name, f.value)
	}
	return "{" + out.String() + "}"
}

// address gives the address of a hook's function, "<nil>" where there is none.
func address[T any](hook *T) string {
	if hook == nil {
		return "<nil>"
	}
	return fmt.Sprintf("%p", hook)
}
