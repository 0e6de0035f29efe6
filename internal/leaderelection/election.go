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

type registered struct {
	Registration
	stamp uint64
}

// Election knows who is registered and who holds what.
type Election struct {
	host   string
	hosts  []string // all controllers, sorted
	duties []string // all claims, in a fixed order
	bound  int      // the first so many of them need the workers
	nodes  map[string]registered
	claims map[string]Leadership
	freeAt map[string]clock.Micros
	seen   map[string]string // incarnations as last looked at, and since when
	since  map[string]clock.Micros
	giving map[string]uint64 // duties being handed over: the stamp of their claim
	left   map[string]bool   // hosts that were registered and are not any more

	incarnation string
	hold        uint64
	until       clock.Micros // this incarnation may act until then
}

// NewElection makes a book for host; hosts names all controllers, duties all claims,
// of which the first so many need the workers.
func NewElection(host string, hosts, duties []string, bound int) *Election {
	hosts = slices.Sorted(slices.Values(hosts))
	return &Election{host: host, hosts: hosts, duties: duties, bound: bound, nodes: map[string]registered{},
		claims: map[string]Leadership{}, freeAt: map[string]clock.Micros{}, seen: map[string]string{},
		since: map[string]clock.Micros{}, giving: map[string]uint64{}, left: map[string]bool{}}
}

// PreferredLeader names the controller that the i-th duty is meant for, of all
// controllers in order; k others are asked before the one that it gives.
func PreferredLeader(sorted []string, i, k int) string { return sorted[(i+k)%len(sorted)] }

// PeerCount is how many other controllers there are.
func (b *Election) PeerCount() int { return len(b.hosts) - 1 }

// Apply takes one event of the replica.
func (b *Election) Apply(e kvstore.Event) {
	if name, ok := strings.CutPrefix(e.Key, kvstore.ControllerPrefix); ok {
		var r Registration
		if e.Value == nil || json.Unmarshal(e.Value, &r) != nil {
			if _, there := b.nodes[name]; there {
				b.left[name] = true
			}
			delete(b.nodes, name)
			return
		}
		b.nodes[name] = registered{r, e.ModRevision}
		delete(b.left, name)
		return
	}
	name, ok := strings.CutPrefix(e.Key, kvstore.LeaderPrefix)
	if !ok {
		return
	}
	h := Leadership{ModRevision: e.ModRevision}
	if e.Value != nil && json.Unmarshal(e.Value, &h.Record) != nil {
		return // not understood: nothing is claimed on it
	}
	b.claims[name] = h
}

// StartIncarnation starts a new incarnation: every duty of the former one is given up.
func (b *Election) StartIncarnation(incarnation string, hold uint64, until clock.Micros) {
	b.incarnation, b.hold, b.until = incarnation, hold, until
}

// Resign ends the present incarnation for good and gives its name.
func (b *Election) Resign() string {
	inc := b.incarnation
	b.incarnation, b.hold, b.until = "", 0, 0
	return inc
}

// ExtendLease notes that the hold of an incarnation is confirmed until a time.
func (b *Election) ExtendLease(incarnation string, until clock.Micros) {
	if incarnation == b.incarnation && incarnation != "" {
		b.until = max(b.until, until)
	}
}

// Incarnation is the present incarnation and its hold; empty when there is none.
func (b *Election) Incarnation() (string, uint64) { return b.incarnation, b.hold }

// LeaseValid tells whether this process may act.
func (b *Election) LeaseValid(now clock.Micros) bool { return b.incarnation != "" && now < b.until }

// registeredMe tells whether the replica shows this incarnation as registered.
func (b *Election) registeredMe() bool {
	return b.incarnation != "" && b.nodes[b.host].Incarnation == b.incarnation
}

// Leading gives the term and stamp of a claim that this incarnation holds and may act on.
func (b *Election) Leading(duty string, now clock.Micros) (Leadership, bool) {
	h, ok := b.claims[duty]
	ok = ok && b.LeaseValid(now) && h.Incarnation == b.incarnation && h.Leader == b.host && b.giving[duty] != h.ModRevision
	return h, ok
}

// barred tells that the i-th duty needs the workers and that a controller is cut
// off from them.
func (b *Election) barred(i int, host string) bool { return i < b.bound && b.nodes[host].Unreachable }

// elsewhere tells that some other controller could hold the i-th duty.
func (b *Election) elsewhere(i int) bool {
	for h, r := range b.nodes {
		if h != b.host && r.Incarnation != "" && !b.barred(i, h) {
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
func (b *Election) TransferLeadership(now, after clock.Micros) (out []Write) {
	for _, h := range b.hosts {
		r := b.nodes[h]
		as := r.Incarnation
		if r.Unreachable {
			as += " unreachable"
		}
		if b.seen[h] != as {
			b.seen[h], b.since[h] = as, now
		}
	}
	if !b.registeredMe() || !b.LeaseValid(now) {
		return nil
	}
	calm := true // one at a time
	for i, d := range b.duties {
		h := b.claims[d]
		if h.Leader != b.host || h.Incarnation != b.incarnation {
			continue
		}
		to := PreferredLeader(b.hosts, i, 0)
		back := to != b.host && b.seen[to] != "" && now >= b.since[to]+after && !b.barred(i, to)
		urgent := b.barred(i, b.host) && b.elsewhere(i)
		if b.giving[d] != h.ModRevision && !urgent && !(back && calm) {
			continue
		}
		calm = calm && urgent
		b.giving[d] = h.ModRevision
		out = append(out, Write{d, wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + d, ModRevision: h.ModRevision}},
			Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + d, Value: Record{Term: h.Term}}}}})
	}
	return out
}

// ReachabilityUpdate gives the write that tells in this controller's registration whether it is
// cut off from the workers; ok is false when it says so already.
func (b *Election) ReachabilityUpdate(unreachable bool) (m wire.Txn, ok bool) {
	r := b.nodes[b.host]
	if !b.registeredMe() || r.Unreachable == unreachable {
		return m, false
	}
	return wire.Txn{Conditions: []wire.Condition{{Key: kvstore.ControllerPrefix + b.host, ModRevision: r.stamp}},
		Operations: []wire.Operation{{Put: kvstore.ControllerPrefix + b.host, Value: Registration{b.incarnation, unreachable}, LeaseID: b.hold}}}, true
}

// Holder names the controller whose registered incarnation holds a duty.
func (b *Election) Leader(duty string) (string, bool) {
	h, ok := b.claims[duty]
	if !ok || h.Leader == "" || b.nodes[h.Leader].Incarnation != h.Incarnation {
		return "", false
	}
	return h.Leader, true
}

// Claim gives a claim as it stands, and whether the incarnation that it names is registered.
func (b *Election) Current(duty string) (h Leadership, live bool) {
	_, live = b.Leader(duty)
	return b.claims[duty], live
}

// Registered gives the registered incarnation of a controller and its stamp.
func (b *Election) Registered(host string) (string, uint64) {
	r := b.nodes[host]
	return r.Incarnation, r.stamp
}

// Write is what is to be written of a claim now.
type Write struct {
	Duty string
	Txn  wire.Txn
}

// Campaign decides which free claims to take: its own preferred ones at once, also
// those of a controller whose hold has just ended, those of one that was never
// seen after the grace, any claim after twice that.
func (b *Election) Campaign(now, grace clock.Micros) []Write {
	if !b.registeredMe() || !b.LeaseValid(now) {
		return nil
	}
	// Terms grow over all claims, also those of duties that are no longer in use:
	// when the number of controllers, and so of partitions, has changed, the new
	// partitions' tokens are still above what any worker has seen.
	term := uint64(0)
	for _, h := range b.claims {
		term = max(term, h.Term)
	}
	var out []Write
	for i, d := range b.duties {
		if _, held := b.Leader(d); held {
			delete(b.freeAt, d)
			continue
		}
		since, ok := b.freeAt[d]
		if !ok {
			since = now
			b.freeAt[d] = now
		}
		if !b.turn(i, now-since, grace) {
			continue
		}
		h := b.claims[d]
		when := []wire.Condition{{Key: kvstore.LeaderPrefix + d, ModRevision: h.ModRevision}, {Key: kvstore.ControllerPrefix + b.host, ModRevision: b.nodes[b.host].stamp}}
		if h.ModRevision == 0 {
			when[0].ModRevision = 0
		}
		if h.Leader != "" && h.Leader != b.host {
			when = append(when, wire.Condition{Key: kvstore.ControllerPrefix + h.Leader, ModRevision: b.nodes[h.Leader].stamp})
		}
		out = append(out, Write{d, wire.Txn{Conditions: when, Operations: []wire.Operation{
			{Put: kvstore.LeaderPrefix + d, Value: Record{b.host, b.incarnation, term + 1}}}}})
	}
	return out
}

// turn tells whether it is this controller's turn for the i-th duty.
func (b *Election) turn(i int, free, grace clock.Micros) bool {
	for k := range b.hosts {
		h := PreferredLeader(b.hosts, i, k)
		if b.barred(i, h) && free < 4*grace {
			continue // also this one itself; but a duty is never without any taker
		}
		if h == b.host {
			return true
		}
		_, there := b.nodes[h]
		if there && free < 2*grace || !there && !b.left[h] && free < grace {
			// One that was never seen may be about to start. One whose hold has
			// ended was away for all its time: its workers' leases are about to
			// end as well, and those who wait are not served.
			return false
		}
	}
	return false
}
