package zone

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// maxDoublings bounds how often ReturnDelay is doubled, so that the result cannot overflow.
const maxDoublings = 10

// Decider decides the states of all zones from the evidence. Each new leader of the fleet makes one from the records.
// It is not safe for concurrent use.
type Decider struct {
	settings Settings
	zones    map[string]*zoneStatus
}

// zoneStatus is the state of one zone, with the times on which the next change depends.
type zoneStatus struct {
	Record
	since          clock.Micros // when the state and stage began, or the decider was made if that is later
	missingSince   clock.Micros // since when most machines have been missing; 0: they are not
	reachableSince clock.Micros // since when at least half the machines have been reachable; 0: they are not
}

// observation is the input of one step.
type observation struct {
	evidence map[string]Evidence
	waiting  map[recovery.Stage]int // number of waiting tasks, by the stage that admits them
	now      clock.Micros
}

// NewDecider returns a decider that continues from the records; a zone without a record is healthy. All durations start
// again at now, since the records don't say how long machines have been missing or reachable.
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

// HasSeveralZones reports whether there is more than one zone. A zone that is the only one never changes its state.
func (d *Decider) HasSeveralZones() bool { return len(d.zones) > 1 }

// Step decides the states of all zones from the evidence and the waiting tasks, and returns the records that changed.
// The monotonic time now decides; wallClockMS, in Unix milliseconds, is only written to the records.
func (d *Decider) Step(
	evidence map[string]Evidence, waiting map[recovery.Stage]int, now clock.Micros, wallClockMS int64) map[string]Record {
	changed := map[string]Record{}
	if !d.HasSeveralZones() {
		return changed
	}
	o := observation{evidence: evidence, waiting: waiting, now: now}
	for name, z := range d.zones {
		before := z.Record
		d.transition(name, z, o)
		if z.Record != before {
			z.since, z.AtMS, z.Why = now, wallClockMS, evidence[name].String()
			changed[name] = z.Record
		}
	}
	return changed
}

// transition applies at most one of the transitions in the package comment's state diagram to a zone.
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
			z.abortReturn()
		} else {
			z.advanceReturn(e, o)
		}
	}
}

// observe updates since when most of a zone's machines are missing, and since when at least half are reachable.
func (z *zoneStatus) observe(e Evidence, now clock.Micros) {
	z.missingSince = updateSince(z.missingSince, e.mostMissing(), now)
	z.reachableSince = updateSince(z.reachableSince, e.atLeastHalfReachable(), now)
}

// updateSince returns since when a condition has held without interruption, or 0 if it does not hold. before is the
// result of the preceding call.
func updateSince(before clock.Micros, holds bool, now clock.Micros) clock.Micros {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

// abortReturn sets a returning zone to lost and counts a flap. With each flap the next return takes longer to begin, so
// that a zone whose machines are missing again and again gets work less often.
func (z *zoneStatus) abortReturn() {
	z.State, z.Stage = Lost, recovery.Reconcile
	z.Flaps++
}

// advanceReturn moves a return to its next stage when the present one is over, and makes the zone healthy after the last
// one. It does nothing while operators hold the return.
func (z *zoneStatus) advanceReturn(e Evidence, o observation) {
	if z.Held {
		return
	}
	z.Stage = recovery.Advance(z.Stage, o.now-z.since, recovery.Progress{Unaccounted: e.Unaccounted, Waiting: o.waiting})
	if z.Stage == recovery.Open {
		z.State, z.Stage, z.Flaps = Healthy, recovery.Reconcile, 0
	}
}

// returnDelay returns how long a lost zone must be reachable before it returns, after the given number of flaps.
func (d *Decider) returnDelay(flaps int) clock.Micros {
	return min(d.settings.ReturnDelay<<min(flaps, maxDoublings), d.settings.MaxReturnDelay)
}

// otherZoneReachable reports whether at least half the machines of some other zone are reachable. If those of no zone
// are, it is this controller that is cut off, and missing machines say nothing about their zone.
func (d *Decider) otherZoneReachable(name string, evidence map[string]Evidence) bool {
	for other := range d.zones {
		if other != name && evidence[other].atLeastHalfReachable() {
			return true
		}
	}
	return false
}

// Hold holds a zone's return at its present stage, or lets it continue, and returns the changed record. known is false
// if there is no such zone.
func (d *Decider) Hold(name string, held bool, wallClockMS int64) (r Record, known bool) {
	z := d.zones[name]
	if z == nil {
		return Record{}, false
	}
	z.Held, z.AtMS = held, wallClockMS
	return z.Record, true
}

// Records returns the records of all zones, by name.
func (d *Decider) Records() map[string]Record {
	out := make(map[string]Record, len(d.zones))
	for name, z := range d.zones {
		out[name] = z.Record
	}
	return out
}
