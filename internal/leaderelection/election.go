package leaderelection

import (
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Record is the value of a leadership's key.
type Record struct {
	Leader      string `json:"holder"` // a controller; empty: free
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
}

// Registration is the value of a controller's key, attached to its controller lease.
type Registration struct {
	Incarnation string `json:"incarnation"`
	// Unreachable says that this controller's workers don't reach it: it should lead nothing that needs them, and its other
	// leaderships go on.
	Unreachable bool `json:"deaf,omitempty"`
}

// Leadership is a leadership as the replica last showed it.
type Leadership struct {
	Record
	ModRevision uint64
}

// Write is a conditional write of a leadership's key.
type Write struct {
	Duty string
	Txn  wire.Txn
}

// observedRegistration is a registration as the replica last showed it.
type observedRegistration struct {
	Registration
	modRevision uint64
}

// presence is since when a controller has been registered, or not, as it is.
type presence struct {
	Registration
	since clock.Micros
}

// Election knows which incarnations are registered and what each leads, and decides what to acquire and what to transfer. It is
// not safe for concurrent use: Elector's lock guards it.
//
// It keeps the invariants of the package comment: Leading is true only under a valid lease, for a leadership that the replica
// shows with this incarnation and that is not being transferred.
type Election struct {
	controller   string   // this one
	controllers  []string // all of them, sorted
	duties       []string // all duties, in the same order at every controller
	workerDuties int      // the first so many of them need the workers

	// What the replica has shown, by controller and by duty.
	registrations map[string]observedRegistration
	departed      map[string]bool // controllers that were registered and no longer are
	leaderships   map[string]Leadership

	// What follows from it over time.
	presences    map[string]presence     // by controller, as of the last look of TransferLeadership
	freeSince    map[string]clock.Micros // by duty without a leader, as of the last look of Campaign
	transferring map[string]uint64       // by duty: mod revision of the leadership that this controller gives up

	incarnation     string // of this process; empty: none
	leaseID         uint64
	leaseValidUntil clock.Micros // this incarnation may act until then
}

// NewElection makes the election of one controller; controllers names all of them, duties all duties, of which the first so many,
// workerDuties, need the workers.
func NewElection(controller string, controllers, duties []string, workerDuties int) *Election {
	return &Election{
		controller:    controller,
		controllers:   slices.Sorted(slices.Values(controllers)),
		duties:        duties,
		workerDuties:  workerDuties,
		registrations: map[string]observedRegistration{},
		departed:      map[string]bool{},
		leaderships:   map[string]Leadership{},
		presences:     map[string]presence{},
		freeSince:     map[string]clock.Micros{},
		transferring:  map[string]uint64{},
	}
}

// PreferredLeader names the controller that the i-th duty is meant for, of all controllers in order; k others come before the one
// that it returns.
func PreferredLeader(sorted []string, i, k int) string { return sorted[(i+k)%len(sorted)] }

// PeerCount returns how many other controllers there are.
func (e *Election) PeerCount() int { return len(e.controllers) - 1 }

// Apply takes one event of the replica; keys that are neither registrations nor leaderships are passed over.
func (e *Election) Apply(ev kvstore.Event) {
	if name, ok := strings.CutPrefix(ev.Key, kvstore.ControllerPrefix); ok {
		e.applyRegistration(name, ev)
	} else if duty, ok := strings.CutPrefix(ev.Key, kvstore.LeaderPrefix); ok {
		e.applyLeadership(duty, ev)
	}
}

func (e *Election) applyRegistration(controller string, ev kvstore.Event) {
	var r Registration
	if ev.Value == nil || json.Unmarshal(ev.Value, &r) != nil {
		if _, known := e.registrations[controller]; known {
			e.departed[controller] = true
		}
		delete(e.registrations, controller)
		return
	}
	e.registrations[controller] = observedRegistration{r, ev.ModRevision}
	delete(e.departed, controller)
}

func (e *Election) applyLeadership(duty string, ev kvstore.Event) {
	l := Leadership{ModRevision: ev.ModRevision}
	if ev.Value != nil && json.Unmarshal(ev.Value, &l.Record) != nil {
		return // not understood: nothing is acquired on it
	}
	e.leaderships[duty] = l
}

// StartIncarnation starts a new incarnation: every leadership of the former one is given up.
func (e *Election) StartIncarnation(incarnation string, leaseID uint64, validUntil clock.Micros) {
	e.incarnation, e.leaseID, e.leaseValidUntil = incarnation, leaseID, validUntil
}

// Resign ends the present incarnation for good and returns its name.
func (e *Election) Resign() string {
	incarnation := e.incarnation
	e.incarnation, e.leaseID, e.leaseValidUntil = "", 0, 0
	return incarnation
}

// ExtendLease takes that the controller lease of an incarnation is confirmed until a time. It says nothing of another incarnation.
func (e *Election) ExtendLease(incarnation string, validUntil clock.Micros) {
	if incarnation == e.incarnation && incarnation != "" {
		e.leaseValidUntil = max(e.leaseValidUntil, validUntil)
	}
}

// Incarnation returns the present incarnation and its controller lease; empty when there is none.
func (e *Election) Incarnation() (string, uint64) { return e.incarnation, e.leaseID }

// LeaseValid reports whether this process may act.
func (e *Election) LeaseValid(now clock.Micros) bool {
	return e.incarnation != "" && now < e.leaseValidUntil
}

// isRegistered reports whether the replica shows the present incarnation as registered.
func (e *Election) isRegistered() bool {
	return e.incarnation != "" && e.registrations[e.controller].Incarnation == e.incarnation
}

// Leading returns a leadership, and whether this incarnation has it and may act on it now.
func (e *Election) Leading(duty string, now clock.Micros) (Leadership, bool) {
	l, ok := e.leaderships[duty]
	return l, ok && e.LeaseValid(now) && e.isOwn(l) && e.transferring[duty] != l.ModRevision
}

// isOwn reports whether a leadership names the present incarnation.
func (e *Election) isOwn(l Leadership) bool {
	return l.Incarnation == e.incarnation && l.Leader == e.controller
}

// Leader names the controller whose registered incarnation has a leadership.
func (e *Election) Leader(duty string) (string, bool) {
	l, ok := e.leaderships[duty]
	if !ok || l.Leader == "" || e.registrations[l.Leader].Incarnation != l.Incarnation {
		return "", false
	}
	return l.Leader, true
}

// Current returns a leadership as it stands; live reports whether the incarnation that it names is registered.
func (e *Election) Current(duty string) (l Leadership, live bool) {
	_, live = e.Leader(duty)
	return e.leaderships[duty], live
}

// Registered returns the registered incarnation of a controller and the registration's mod revision.
func (e *Election) Registered(controller string) (string, uint64) {
	r := e.registrations[controller]
	return r.Incarnation, r.modRevision
}

// ReachabilityUpdate returns the write that says in this controller's registration whether its workers reach it; ok is false when
// it says so already.
func (e *Election) ReachabilityUpdate(unreachable bool) (txn wire.Txn, ok bool) {
	r := e.registrations[e.controller]
	if !e.isRegistered() || r.Unreachable == unreachable {
		return txn, false
	}
	key := kvstore.ControllerPrefix + e.controller
	return wire.Txn{
		Conditions: []wire.Condition{{Key: key, ModRevision: r.modRevision}},
		Operations: []wire.Operation{{Put: key, Value: Registration{e.incarnation, unreachable}, LeaseID: e.leaseID}},
	}, true
}

// ineligible reports whether the i-th duty needs the workers and a controller's workers don't reach it.
func (e *Election) ineligible(i int, controller string) bool {
	return i < e.workerDuties && e.registrations[controller].Unreachable
}

// otherEligible reports whether some other controller could lead the i-th duty.
func (e *Election) otherEligible(i int) bool {
	for name, r := range e.registrations {
		if name != e.controller && r.Incarnation != "" && !e.ineligible(i, name) {
			return true
		}
	}
	return false
}
