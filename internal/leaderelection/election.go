// Package claim is the one mechanism behind every duty of a controller: a key
// that names its holder's incarnation and a term, taken by conditional write.
//
// Book is the decision: plain code on what the replica told. Keeper does the
// I/O: it keeps the incarnation registered under a hold and takes free claims.
package leaderelection

import (
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Record is the value of a claim's key.
type Record struct {
	Leader      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
}

// Registration is the value of a controller's key, attached to its hold.
type Registration struct {
	Incarnation string `json:"incarnation"`
	// Unreachable tells that this controller is cut off from the workers: it should hold
	// no duty that needs them, and its other duties go on.
	Unreachable bool `json:"deaf,omitempty"`
}

// Leadership is a claim as the replica last showed it.
type Leadership struct {
	Record
	ModRevision uint64
}

type observedRegistration struct {
	Registration
	modRevision uint64
}

// Election knows who is registered and who holds what.
type Election struct {
	host          string
	controllers   []string // all controllers, sorted
	duties        []string // all claims, in a fixed order
	workerDuties  int      // the first so many of them need the workers
	registrations map[string]observedRegistration
	leaderships   map[string]Leadership
	freeSince     map[string]clock.Micros
	presence      map[string]string // incarnations as last looked at, and since when
	presentSince  map[string]clock.Micros
	transferring  map[string]uint64 // duties being handed over: the stamp of their claim
	departed      map[string]bool   // hosts that were registered and are not any more

	incarnation     string
	leaseID         uint64
	leaseValidUntil clock.Micros // this incarnation may act until then
}

// NewElection makes a book for host; hosts names all controllers, duties all claims,
// of which the first so many need the workers.
func NewElection(host string, hosts, duties []string, bound int) *Election {
	hosts = slices.Sorted(slices.Values(hosts))
	return &Election{host: host, controllers: hosts, duties: duties, workerDuties: bound, registrations: map[string]observedRegistration{},
		leaderships: map[string]Leadership{}, freeSince: map[string]clock.Micros{}, presence: map[string]string{},
		presentSince: map[string]clock.Micros{}, transferring: map[string]uint64{}, departed: map[string]bool{}}
}

// PreferredLeader names the controller that the i-th duty is meant for, of all
// controllers in order; k others are asked before the one that it gives.
func PreferredLeader(sorted []string, i, k int) string { return sorted[(i+k)%len(sorted)] }

// PeerCount is how many other controllers there are.
func (e *Election) PeerCount() int { return len(e.controllers) - 1 }

// Apply takes one event of the replica.
func (e *Election) Apply(ev kvstore.Event) {
	if name, ok := strings.CutPrefix(ev.Key, kvstore.ControllerPrefix); ok {
		var r Registration
		if ev.Value == nil || json.Unmarshal(ev.Value, &r) != nil {
			if _, there := e.registrations[name]; there {
				e.departed[name] = true
			}
			delete(e.registrations, name)
			return
		}
		e.registrations[name] = observedRegistration{r, ev.ModRevision}
		delete(e.departed, name)
		return
	}
	name, ok := strings.CutPrefix(ev.Key, kvstore.LeaderPrefix)
	if !ok {
		return
	}
	h := Leadership{ModRevision: ev.ModRevision}
	if ev.Value != nil && json.Unmarshal(ev.Value, &h.Record) != nil {
		return // not understood: nothing is claimed on it
	}
	e.leaderships[name] = h
}

// StartIncarnation starts a new incarnation: every duty of the former one is given up.
func (e *Election) StartIncarnation(incarnation string, hold uint64, until clock.Micros) {
	e.incarnation, e.leaseID, e.leaseValidUntil = incarnation, hold, until
}

// Resign ends the present incarnation for good and gives its name.
func (e *Election) Resign() string {
	inc := e.incarnation
	e.incarnation, e.leaseID, e.leaseValidUntil = "", 0, 0
	return inc
}

// ExtendLease notes that the hold of an incarnation is confirmed until a time.
func (e *Election) ExtendLease(incarnation string, until clock.Micros) {
	if incarnation == e.incarnation && incarnation != "" {
		e.leaseValidUntil = max(e.leaseValidUntil, until)
	}
}

// Incarnation is the present incarnation and its hold; empty when there is none.
func (e *Election) Incarnation() (string, uint64) { return e.incarnation, e.leaseID }

// LeaseValid tells whether this process may act.
func (e *Election) LeaseValid(now clock.Micros) bool {
	return e.incarnation != "" && now < e.leaseValidUntil
}

// isRegistered tells whether the replica shows this incarnation as registered.
func (e *Election) isRegistered() bool {
	return e.incarnation != "" && e.registrations[e.host].Incarnation == e.incarnation
}

// Leading gives the term and stamp of a claim that this incarnation holds and may act on.
func (e *Election) Leading(duty string, now clock.Micros) (Leadership, bool) {
	h, ok := e.leaderships[duty]
	ok = ok && e.LeaseValid(now) && h.Incarnation == e.incarnation && h.Leader == e.host && e.transferring[duty] != h.ModRevision
	return h, ok
}

// ineligible tells that the i-th duty needs the workers and that a controller is cut
// off from them.
func (e *Election) ineligible(i int, host string) bool {
	return i < e.workerDuties && e.registrations[host].Unreachable
}

// otherEligible tells that some other controller could hold the i-th duty.
func (e *Election) otherEligible(i int) bool {
	for h, r := range e.registrations {
		if h != e.host && r.Incarnation != "" && !e.ineligible(i, h) {
			return true
		}
	}
	return false
}

// TransferLeadership picks duties held here that others should have, and gives the writes
// that free them: one whose preferred controller has been back for a while, or
// all that need the workers when this controller is cut off from them. From now
// on this controller does not act on them, whether the writes succeed or not:
// should an answer be lost, another may hold the duty already.
func (e *Election) TransferLeadership(now, after clock.Micros) (out []Write) {
	for _, h := range e.controllers {
		r := e.registrations[h]
		as := r.Incarnation
		if r.Unreachable {
			as += " unreachable"
		}
		if e.presence[h] != as {
			e.presence[h], e.presentSince[h] = as, now
		}
	}
	if !e.isRegistered() || !e.LeaseValid(now) {
		return nil
	}
	calm := true // one at a time
	for i, d := range e.duties {
		h := e.leaderships[d]
		if h.Leader != e.host || h.Incarnation != e.incarnation {
			continue
		}
		to := PreferredLeader(e.controllers, i, 0)
		back := to != e.host && e.presence[to] != "" && now >= e.presentSince[to]+after && !e.ineligible(i, to)
		urgent := e.ineligible(i, e.host) && e.otherEligible(i)
		if e.transferring[d] != h.ModRevision && !urgent && !(back && calm) {
			continue
		}
		calm = calm && urgent
		e.transferring[d] = h.ModRevision
		out = append(out, Write{d, wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + d, ModRevision: h.ModRevision}},
			Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + d, Value: Record{Term: h.Term}}}}})
	}
	return out
}

// ReachabilityUpdate gives the write that tells in this controller's registration whether it is
// cut off from the workers; ok is false when it says so already.
func (e *Election) ReachabilityUpdate(unreachable bool) (m wire.Txn, ok bool) {
	r := e.registrations[e.host]
	if !e.isRegistered() || r.Unreachable == unreachable {
		return m, false
	}
	return wire.Txn{Conditions: []wire.Condition{{Key: kvstore.ControllerPrefix + e.host, ModRevision: r.modRevision}},
		Operations: []wire.Operation{{Put: kvstore.ControllerPrefix + e.host, Value: Registration{e.incarnation, unreachable}, LeaseID: e.leaseID}}}, true
}

// Holder names the controller whose registered incarnation holds a duty.
func (e *Election) Leader(duty string) (string, bool) {
	h, ok := e.leaderships[duty]
	if !ok || h.Leader == "" || e.registrations[h.Leader].Incarnation != h.Incarnation {
		return "", false
	}
	return h.Leader, true
}

// Claim gives a claim as it stands, and whether the incarnation that it names is registered.
func (e *Election) Current(duty string) (h Leadership, live bool) {
	_, live = e.Leader(duty)
	return e.leaderships[duty], live
}

// Registered gives the registered incarnation of a controller and its stamp.
func (e *Election) Registered(host string) (string, uint64) {
	r := e.registrations[host]
	return r.Incarnation, r.modRevision
}

// Write is what is to be written of a claim now.
type Write struct {
	Duty string
	Txn  wire.Txn
}

// Campaign decides which free claims to take: its own preferred ones at once, also
// those of a controller whose hold has just ended, those of one that was never
// seen after the grace, any claim after twice that.
func (e *Election) Campaign(now, grace clock.Micros) []Write {
	if !e.isRegistered() || !e.LeaseValid(now) {
		return nil
	}
	// Terms grow over all claims, also those of duties that are no longer in use:
	// when the number of controllers, and so of partitions, has changed, the new
	// partitions' tokens are still above what any worker has seen.
	term := uint64(0)
	for _, h := range e.leaderships {
		term = max(term, h.Term)
	}
	var out []Write
	for i, d := range e.duties {
		if _, held := e.Leader(d); held {
			delete(e.freeSince, d)
			continue
		}
		since, ok := e.freeSince[d]
		if !ok {
			since = now
			e.freeSince[d] = now
		}
		if !e.mayCampaign(i, now-since, grace) {
			continue
		}
		h := e.leaderships[d]
		when := []wire.Condition{{Key: kvstore.LeaderPrefix + d, ModRevision: h.ModRevision}, {Key: kvstore.ControllerPrefix + e.host, ModRevision: e.registrations[e.host].modRevision}}
		if h.ModRevision == 0 {
			when[0].ModRevision = 0
		}
		if h.Leader != "" && h.Leader != e.host {
			when = append(when, wire.Condition{Key: kvstore.ControllerPrefix + h.Leader, ModRevision: e.registrations[h.Leader].modRevision})
		}
		out = append(out, Write{d, wire.Txn{Conditions: when, Operations: []wire.Operation{
			{Put: kvstore.LeaderPrefix + d, Value: Record{e.host, e.incarnation, term + 1}}}}})
	}
	return out
}

// mayCampaign tells whether it is this controller's mayCampaign for the i-th duty.
func (e *Election) mayCampaign(i int, free, grace clock.Micros) bool {
	for k := range e.controllers {
		h := PreferredLeader(e.controllers, i, k)
		if e.ineligible(i, h) && free < 4*grace {
			continue // also this one itself; but a duty is never without any taker
		}
		if h == e.host {
			return true
		}
		_, there := e.registrations[h]
		if there && free < 2*grace || !there && !e.departed[h] && free < grace {
			// One that was never seen may be about to start. One whose hold has
			// ended was away for all its time: its workers' leases are about to
			// end as well, and those who wait are not served.
			return false
		}
	}
	return false
}
