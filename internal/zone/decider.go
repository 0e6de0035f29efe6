package zone

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// maxDoublings bounds how often ReturnAfter is doubled, so that it can't overflow.
const maxDoublings = 10

// Decider follows the evidence. It is made anew by each leader of the fleet, from the records. It
// does no locking: its user does.
type Decider struct {
	settings Settings
	zones    map[string]*zoneStatus
}

// zoneStatus is what a decider knows of one zone.
type zoneStatus struct {
	Record
	since          clock.Micros // of the state and stage, by the decider's clock
	missingSince   clock.Micros // since when most machines are missing; 0: they are not
	reachableSince clock.Micros // since when at least half are reachable; 0: they are not
}

// observation is what one step decides by.
type observation struct {
	evidence map[string]Evidence
	waiting  map[recovery.Stage]int // tasks, by the stage that admits them
	now      clock.Micros
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

// Several reports whether there is more than one zone: the only one is never lost by itself.
func (d *Decider) Several() bool { return len(d.zones) > 1 }

// Step takes the evidence of all zones and the tasks that wait, and gives the records that changed.
func (d *Decider) Step(evidence map[string]Evidence, waiting map[recovery.Stage]int, now clock.Micros, wallMS int64) map[string]Record {
	changed := map[string]Record{}
	if !d.Several() {
		return changed
	}
	o := observation{evidence: evidence, waiting: waiting, now: now}
	for name, z := range d.zones {
		before := z.Record
		d.transition(name, z, o)
		if z.Record != before {
			z.since, z.AtMS, z.Why = now, wallMS, evidence[name].String()
			changed[name] = z.Record
		}
	}
	return changed
}

// transition takes a zone to the state that follows from an observation: the same, or a neighbour in
// the package comment's drawing.
func (d *Decider) transition(name string, z *zoneStatus, o observation) {
	e := o.evidence[name]
	z.observe(e, o.now)
	missing := z.missingSince != 0 && d.otherZoneReachable(name, o.evidence)
	switch z.State {
	case Healthy:
		if missing && o.now >= z.missingSince+d.settings.SuspectAfter {
			z.State = Suspect
		}
	case Suspect:
		switch {
		case z.reachableSince != 0:
			z.State = Healthy
		case missing && o.now >= z.missingSince+d.settings.LostAfter:
			z.State = Lost
		}
	case Lost:
		if z.reachableSince != 0 && o.now >= z.reachableSince+d.returnDelay(z.Flaps) {
			z.State, z.Stage = Returning, recovery.Reconcile
		}
	case Returning:
		if missing {
			z.loseAgain()
		} else {
			z.advanceReturn(e, o)
		}
	}
}

// observe keeps since when a zone's machines are missing, and since when they are reachable.
func (z *zoneStatus) observe(e Evidence, now clock.Micros) {
	z.missingSince = sinceWhen(z.missingSince, e.mostMissing(), now)
	z.reachableSince = sinceWhen(z.reachableSince, e.halfReachable(), now)
}

// sinceWhen is since when a condition holds, given since when it held before; 0: it does not.
func sinceWhen(before clock.Micros, holds bool, now clock.Micros) clock.Micros {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

// loseAgain gives a return up. While a zone comes and goes, each return begins later than the one before.
func (z *zoneStatus) loseAgain() {
	z.State, z.Stage = Lost, recovery.Reconcile
	z.Flaps++
}

// advanceReturn goes on with a return, unless operators hold it.
func (z *zoneStatus) advanceReturn(e Evidence, o observation) {
	if z.Held {
		return
	}
	z.Stage = recovery.Advance(z.Stage, o.now-z.since, recovery.Facts{Unsettled: e.Unaccounted, Waiting: o.waiting})
	if z.Stage == recovery.Open {
		z.State, z.Stage, z.Flaps = Healthy, recovery.Reconcile, 0
	}
}

// returnDelay is how long a zone that was lost again so often must be reachable before it returns.
func (d *Decider) returnDelay(flaps int) clock.Micros {
	return min(d.settings.ReturnAfter<<min(flaps, maxDoublings), d.settings.ReturnMost)
}

// otherZoneReachable reports whether the machines of some other zone are reachable: where nobody is, it is
// the controller that decides which is cut off.
func (d *Decider) otherZoneReachable(name string, evidence map[string]Evidence) bool {
	for other := range d.zones {
		if other != name && evidence[other].halfReachable() {
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

// Records returns the states of all zones.
func (d *Decider) Records() map[string]Record {
	out := make(map[string]Record, len(d.zones))
	for name, z := range d.zones {
		out[name] = z.Record
	}
	return out
}
