package console

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// ErrNoLeader means that no controller that was reached holds the fleet.
var ErrNoLeader = errors.New("no controller is known to decide on zones now; try again in a moment")

// Zones writes how the zones stand, as the fleet's holder sees them, or the first controller
// that answers where the holder doesn't.
func Zones(out io.Writer, controllers []Controller) error {
	answers, missing, err := callAll[peer.ZonesResponse](controllers, "Zones", peer.ZonesRequest{})
	if err != nil {
		return err
	}
	best := answers[0]
	for _, a := range answers {
		if a.Fleet {
			best = a
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tSTATE\tSTAGE\tMACHINES\tNOT HEARD\tNOT SETTLED\tWAITS FOR A LATER STAGE\tSINCE\tEVIDENCE")
	for _, z := range best.Zones {
		stage := z.Stage
		if stage == "" {
			stage = "-"
		}
		if z.Held {
			stage += " (held)"
		}
		since := "-"
		if z.AtMS > 0 {
			since = time.UnixMilli(z.AtMS).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", z.Zone, z.State, stage, z.Machines, z.Unheard, z.Unsettled, waitingTasks(answers, z.Zone), since, z.Why)
	}
	w.Flush()
	switch {
	case !best.On:
		fmt.Fprintln(out, "work does not return in stages: zone_return is off, or there is one zone only")
	case !best.Fleet:
		fmt.Fprintf(out, "as %s sees it: the controller that decides was not reached\n", best.Host)
	}
	if len(missing) > 0 {
		fmt.Fprintf(out, "not reached: %s\n", strings.Join(missing, ", "))
	}
	return nil
}

// waitingTasks sums what waits for a later stage over the placers.
func waitingTasks(answers []peer.ZonesResponse, zone string) (n int) {
	for _, a := range answers {
		for _, z := range a.Zones {
			if z.Zone == zone {
				n += z.Waiting
			}
		}
	}
	return n
}

// HoldZone stops a zone's return at its stage, or lets it go on.
func HoldZone(out io.Writer, set *config.Settings, controllers []Controller, zone string, held bool) error {
	if !slices.Contains(set.Params.Zones, zone) {
		return UnknownError{"zone", zone}
	}
	answers, _, err := callAll[peer.ZoneHoldResponse](controllers, "HoldZone", peer.ZoneHoldRequest{Zone: zone, Held: held})
	if err != nil {
		return err
	}
	for _, a := range answers {
		switch {
		case a.Done && held:
			fmt.Fprintf(out, "the return of %s stays at its stage until it is resumed\n", zone)
			return nil
		case a.Done:
			fmt.Fprintf(out, "the return of %s goes on\n", zone)
			return nil
		}
	}
	for _, a := range answers {
		if a.Refusal != "" {
			return errors.New(a.Refusal)
		}
	}
	return ErrNoLeader
}
