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

// ErrNoLeader means that none of the controllers that answered leads the fleet.
var ErrNoLeader = errors.New("no controller is known to decide on zones now; try again in a moment")

// Zones prints the state of the zones as the fleet's leader reports it. If the leader does not answer, Zones prints
// the report of the first controller that answers and, when zone return is on, names that controller.
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

// writeZones prints the table of zones. waiting holds, by zone, the number of tasks that wait for a later stage of the
// return.
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

// waitingTasks counts, by zone, the tasks of all schedulers that wait for a later stage of the return.
func waitingTasks(responses []peer.ZonesResponse) map[string]int {
	waiting := map[string]int{}
	for _, r := range responses {
		for _, z := range r.Zones {
			waiting[z.Zone] += z.Waiting
		}
	}
	return waiting
}

// HoldZone holds the return of work to a zone at its present stage, or resumes it. It calls all controllers, since
// the fleet's leadership may change meanwhile; only the fleet's leader acts. If no controller acted, HoldZone fails
// with the first reason that a controller gave, or with ErrNoLeader if none gave one.
func HoldZone(out io.Writer, settings *config.Settings, controllers []Controller, zone string, held bool) error {
	if !slices.Contains(settings.Params.Zones, zone) {
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

// holdFailure returns the reason why no controller held or resumed the return.
func holdFailure(responses []peer.ZoneHoldResponse) error {
	for _, r := range responses {
		if r.Refusal != "" {
			return errors.New(r.Refusal)
		}
	}
	return ErrNoLeader
}
