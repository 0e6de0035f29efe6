// Package zone decides in which state zones are: healthy, suspect, lost or returning. It is
// plain code that takes the time; the holder of the fleet decides by it, from what all
// controllers' machines show, and writes what it decided under its claim. Others follow the records.
//
// A zone that is lost may only be cut off: inside it controllers and workers go on. So a state
// never says that a task is gone; it only decides where machines are rented and what is
// admitted when a zone is back.
package zone

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// State of a zone.
type State string

// States.
const (
	Healthy   State = "healthy"
	Suspect   State = "suspect"   // most of its machines are not heard; they may be back at once
	Lost      State = "lost"      // for longer: no machines are rented there
	Returning State = "returning" // it is heard again; work is admitted in stages
)

// Record is the state of a zone as it is written to the state service.
type Record struct {
	State State          `json:"state"`
	Stage recovery.Stage `json:"stage,omitempty"` // of a return
	Held  bool           `json:"held,omitempty"`  // operators stopped the return at its stage
	Flaps int            `json:"flaps,omitempty"` // how often it was lost again while it returned
	AtMS  int64          `json:"at_ms"`           // time of day of the change
	Why   string         `json:"why"`             // the evidence
}

// Evidence is what is known of a zone's machines.
type Evidence struct {
	Machines  int // that are known
	Unheard   int // whose reports are overdue, or whose owner can't be reached
	Unsettled int // heard, and not accounted for by their owner yet
}

// String is the evidence for records and logs.
func (e Evidence) String() string {
	return fmt.Sprintf("%d of %d machines not heard", e.Unheard, e.Machines)
}

// Settings of a decider.
type Settings struct {
	SuspectAfter clock.Micros // most machines are not heard for so long
	LostAfter    clock.Micros
	ReturnAfter  clock.Micros // machines are heard again for so long; doubled with every flap
	ReturnMost   clock.Micros // the longest that it becomes
}

// minMachines is how many machines a zone must have to be judged: one or two may fail by themselves.
const minMachines = 3

// mostMissing tells that so many machines are not heard that it is the zone and not they.
func (e Evidence) mostMissing() bool { return e.Machines >= minMachines && 3*e.Unheard >= 2*e.Machines }

// halfReachable tells that at least half of the machines are heard.
func (e Evidence) halfReachable() bool { return e.Machines >= 1 && 2*e.Unheard <= e.Machines }

// zoneStatus is what a decider knows of one zoneStatus.
type zoneStatus struct {
	Record
	since          clock.Micros // of the state and stage, by the decider's clock
	missingSince   clock.Micros // since when most machines are not heard; 0: they are
	reachableSince clock.Micros // since when at least half are
}

// Decider follows the evidence. It is made anew with each holder of the fleet, from the records.
type Decider struct {
	settings Settings
	zones    map[string]*zoneStatus
}

// NewDecider makes a decider that goes on where the records stand. What lasted before is not
// known to it: times begin anew.
func NewDecider(s Settings, names []string, records map[string]Record, now clock.Micros) *Decider {
	d := &Decider{settings: s, zones: map[string]*zoneStatus{}}
	for _, name := range names {
		r, ok := records[name]
		if !ok || r.State == "" {
			r = Record{State: Healthy}
		}
		d.zones[name] = &zoneStatus{Record: r, since: now}
	}
	return d
}

// Several tells whether there is more than one zone: the only one is never lost by itself.
func (d *Decider) Several() bool { return len(d.zones) > 1 }

// Step takes the evidence of all zones and what waits, and gives the records that changed.
func (d *Decider) Step(evidence map[string]Evidence, waiting map[recovery.Stage]int, now clock.Micros, wallMS int64) map[string]Record {
	changed := map[string]Record{}
	if !d.Several() {
		return changed
	}
	for name, z := range d.zones {
		before := z.Record
		e := evidence[name]
		d.transition(name, z, e, evidence, waiting, now)
		if z.Record != before {
			z.since, z.AtMS, z.Why = now, wallMS, e.String()
			changed[name] = z.Record
		}
	}
	return changed
}

func (d *Decider) transition(name string, z *zoneStatus, e Evidence, all map[string]Evidence, waiting map[recovery.Stage]int, now clock.Micros) {
	z.observe(e, now)
	gone := z.missingSince != 0 && d.otherZoneReachable(name, all)
	switch z.State {
	case Healthy:
		if gone && now >= z.missingSince+d.settings.SuspectAfter {
			z.State = Suspect
		}
	case Suspect:
		switch {
		case z.reachableSince != 0:
			z.State = Healthy
		case gone && now >= z.missingSince+d.settings.LostAfter:
			z.State = Lost
		}
	case Lost:
		if z.reachableSince != 0 && now >= z.reachableSince+d.returnDelay(z.Flaps) {
			z.State, z.Stage = Returning, recovery.Reconcile
		}
	case Returning:
		d.advanceReturn(z, e, gone, waiting, now)
	}
}

// observe keeps since when a zone's machines are heard, or are not.
func (z *zoneStatus) observe(e Evidence, now clock.Micros) {
	switch {
	case !e.mostMissing():
		z.missingSince = 0
	case z.missingSince == 0:
		z.missingSince = now
	}
	switch {
	case !e.halfReachable():
		z.reachableSince = 0
	case z.reachableSince == 0:
		z.reachableSince = now
	}
}

// advanceReturn goes on with a return, or gives it up. While a zone comes and goes, each return
// begins later than the one before.
func (d *Decider) advanceReturn(z *zoneStatus, e Evidence, gone bool, waiting map[recovery.Stage]int, now clock.Micros) {
	if gone {
		z.State, z.Stage = Lost, recovery.Reconcile
		z.Flaps++
		return
	}
	if z.Held {
		return
	}
	z.Stage = recovery.Advance(z.Stage, now-z.since, recovery.Facts{Unsettled: e.Unsettled, Waiting: waiting})
	if z.Stage == recovery.Open {
		z.State, z.Stage, z.Flaps = Healthy, recovery.Reconcile, 0
	}
}

// returnDelay is how long a zone that was lost again so often must be heard before it returns.
func (d *Decider) returnDelay(flaps int) clock.Micros {
	return min(d.settings.ReturnAfter<<min(flaps, 10), d.settings.ReturnMost)
}

// otherZoneReachable tells that the machines of some other zone are heard: where nobody is, it is
// whoever decides that is cut off.
func (d *Decider) otherZoneReachable(name string, all map[string]Evidence) bool {
	for other := range d.zones {
		if other != name && all[other].halfReachable() {
			return true
		}
	}
	return false
}

// Hold stops a return at its stage, or lets it go on; known is false for a zone that there is not.
func (d *Decider) Hold(name string, held bool, wallMS int64) (r Record, known bool) {
	z := d.zones[name]
	if z == nil {
		return Record{}, false
	}
	z.Held, z.AtMS = held, wallMS
	return z.Record, true
}

// Records gives the states of all zones.
func (d *Decider) Records() map[string]Record {
	out := make(map[string]Record, len(d.zones))
	for name, z := range d.zones {
		out[name] = z.Record
	}
	return out
}
