package console

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// ErrNoLeader means that no controller that answered leads the fleet.
var ErrNoLeader = errors.New("no controller is known to decide on zones now; try again in a moment")

// Zones writes the state of the zones as the leader of the fleet knows it, or the first controller
// that answers where the leader doesn't.
func Zones(out io.Writer, controllers []Controller) error {
	responses, missing, err := callAll[peer.ZonesResponse](controllers, "Zones", peer.ZonesRequest{})
	if err != nil {
		return err
	}
	shown := responses[0]
	for _, r := range responses {
		if r.Fleet {
			shown = r
		}
	}
	writeZones(out, shown.Zones, waitingTasks(responses))
	switch {
	case !shown.On:
		fmt.Fprintln(out, "work does not return in stages: zone_return is off, or there is one zone only")
	case !shown.Fleet:
		fmt.Fprintf(out, "as %s sees it: the controller that decides was not reached\n", shown.Host)
	}
	writeMissing(out, missing, "")
	return nil
}

// writeZones writes the table of zones; waiting is the tasks that wait for a later stage, by zone.
func writeZones(out io.Writer, zones []peer.ZoneStatus, waiting map[string]int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tSTATE\tSTAGE\tMACHINES\tNOT HEARD\tNOT SETTLED\tWAITS FOR A LATER STAGE\tSINCE\tEVIDENCE")
	for _, z := range zones {
		stage := orDash(z.Stage)
		if z.Held {
			stage += " (held)"
		}
		since := "-"
		if z.AtMS > 0 {
			since = time.UnixMilli(z.AtMS).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			z.Zone, z.State, stage, z.Machines, z.Unheard, z.Unsettled, waiting[z.Zone], since, z.Why)
	}
	w.Flush()
}

// waitingTasks sums over all schedulers the tasks that wait for a later stage, by zone.
func waitingTasks(responses []peer.ZonesResponse) map[string]int {
	waiting := map[string]int{}
	for _, r := range responses {
		for _, z := range r.Zones {
			waiting[z.Zone] += z.Waiting
		}
	}
	return waiting
}

// HoldZone stops a zone's return at its stage, or resumes it. All controllers are asked, since which one
// leads the fleet may change meanwhile; only that one acts. Where none does it fails with ErrNoLeader, or with
// the leader's reason.
func HoldZone(out io.Writer, set *config.Settings, controllers []Controller, zone string, held bool) error {
	if !slices.Contains(set.Params.Zones, zone) {
		return UnknownError{"zone", zone}
	}
	responses, _, err := callAll[peer.ZoneHoldResponse](controllers, "HoldZone", peer.ZoneHoldRequest{Zone: zone, Held: held})
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(responses, func(r peer.ZoneHoldResponse) bool { return r.Done }) {
		return holdFailure(responses)
	}
	if held {
		fmt.Fprintf(out, "the return of %s stays at its stage until it is resumed\n", zone)
	} else {
		fmt.Fprintf(out, "the return of %s goes on\n", zone)
	}
	return nil
}

// holdFailure says why no controller has stopped or resumed the return.
func holdFailure(responses []peer.ZoneHoldResponse) error {
	for _, r := range responses {
		if r.Refusal != "" {
			return errors.New(r.Refusal)
		}
	}
	return ErrNoLeader
}
