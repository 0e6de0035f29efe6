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
	Leader      string `json:"holder"` // controller that leads the duty; empty: the leadership is free
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
}

// Registration is the value of a controller's key. The key is attached to the controller lease: the store deletes it when the
// lease expires.
type Registration struct {
	Incarnation string `json:"incarnation"`
	// Unreachable means that this controller's workers do not reach it. It then campaigns last for the duties that need the
	// workers, and transfers those that it leads if another registered controller may lead them; its other leaderships stay.
	Unreachable bool `json:"deaf,omitempty"`
}

// Leadership is the record of a leadership and the mod revision of its key, as the replica last showed them.
type Leadership struct {
	Record
	ModRevision uint64
}

// Write is a transaction that acquires or frees the leadership of a duty, on the condition that the leadership has not changed.
type Write struct {
	Duty string
	Txn  wire.Txn
}

// observedRegistration is a registration and the mod revision of its key, as the replica last showed them.
type observedRegistration struct {
	Registration
	modRevision uint64
}

// registrationPeriod is a registration and the time since which it has stayed the same. A zero Registration stands for a
// controller that is not registered.
type registrationPeriod struct {
	Registration
	since clock.Micros
}

// Election holds which incarnations are registered and which leaderships each of them has, and decides which leaderships this
// controller acquires and transfers. It is not safe for concurrent use: Elector guards it by a lock.
//
// Invariant: Leading reports true only while the lease of the current incarnation is valid, for a leadership that the replica
// shows with this incarnation and that is not being transferred. Otherwise two controllers could act on one leadership. Once it
// has reported false for a leadership after true, it never reports true under that term again, since the work of a term starts
// only once.
type Election struct {
	controller      string   // this controller
	controllers     []string // all controllers, sorted
	duties          []string // all duties, in the same order at every controller
	workerDutyCount int      // number of duties, at the front of duties, whose leader needs the workers to reach it

	// The state that the replica has shown, by controller or by duty.
	registrations map[string]observedRegistration
	deregistered  map[string]bool // controllers that were seen registered and no longer are
	leaderships   map[string]Leadership

	// Times and decisions that follow from that state.
	registrationPeriods map[string]registrationPeriod // by controller, as of the last call of TransferLeadership
	freeSince           map[string]clock.Micros       // by duty without a leader, as of the last call of Campaign
	transferring        map[string]uint64             // by duty: mod revision of the leadership that this controller is transferring

	incarnation     string // current incarnation of this process; empty: none
	leaseID         uint64
	leaseValidUntil clock.Micros // the current incarnation acts only before this time, which moves only while it lies ahead
}

// NewElection makes the election state of one controller. controllers names all controllers, this one included; duties names
// all duties. The first workerDutyCount duties need the workers to reach their leader.
func NewElection(controller string, controllers, duties []string, workerDutyCount int) *Election {
	return &Election{
		controller:          controller,
		controllers:         slices.Sorted(slices.Values(controllers)),
		duties:              duties,
		workerDutyCount:     workerDutyCount,
		registrations:       map[string]observedRegistration{},
		deregistered:        map[string]bool{},
		leaderships:         map[string]Leadership{},
		registrationPeriods: map[string]registrationPeriod{},
		freeSince:           map[string]clock.Micros{},
		transferring:        map[string]uint64{},
	}
}

// PreferredLeader names the controller at place rank, counted from 0, in the order of preference for a duty. The orders of
// different duties start at different controllers, which spreads the duties evenly. dutyIndex is the duty's place in the list
// of all duties, and controllers are sorted.
func PreferredLeader(controllers []string, dutyIndex, rank int) string {
	return controllers[(dutyIndex+rank)%len(controllers)]
}

// PeerCount returns how many other controllers there are.
func (e *Election) PeerCount() int { return len(e.controllers) - 1 }

// Apply applies one event of the replica. It ignores keys that are neither registrations nor leaderships.
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
			e.deregistered[controller] = true
		}
		delete(e.registrations, controller)
		return
	}
	e.registrations[controller] = observedRegistration{r, ev.ModRevision}
	delete(e.deregistered, controller)
}

func (e *Election) applyLeadership(duty string, ev kvstore.Event) {
	l := Leadership{ModRevision: ev.ModRevision}
	if ev.Value != nil && json.Unmarshal(ev.Value, &l.Record) != nil {
		return // undecodable: the former mod revision stays, so that a write conditional on it fails
	}
	e.leaderships[duty] = l
}

// StartIncarnation starts a new incarnation. That ends every leadership of the former one, since a leadership names the
// incarnation that has it.
func (e *Election) StartIncarnation(incarnation string, leaseID uint64, validUntil clock.Micros) {
	e.incarnation, e.leaseID, e.leaseValidUntil = incarnation, leaseID, validUntil
}

// Resign ends the current incarnation, which is never used again, and returns its name.
func (e *Election) Resign() string {
	incarnation := e.incarnation
	e.incarnation, e.leaseID, e.leaseValidUntil = "", 0, 0
	return incarnation
}

// ExtendLease records at now that the controller lease of an incarnation is confirmed until validUntil, and reports whether it did.
// It changes nothing if that is not the current incarnation: a new one may have been registered while the renewal was under way.
// Nor does it change anything if the lease has expired: that is final. The parts of this process have then dropped what they knew
// under the incarnation's leaderships, or are about to, and would start anew under terms that they have acted under already.
func (e *Election) ExtendLease(incarnation string, validUntil, now clock.Micros) (extended bool) {
	if incarnation != e.incarnation || !e.LeaseValid(now) {
		return false
	}
	e.leaseValidUntil = max(e.leaseValidUntil, validUntil)
	return true
}

// Incarnation returns the current incarnation and the id of its controller lease, or zero values when there is none.
func (e *Election) Incarnation() (string, uint64) { return e.incarnation, e.leaseID }

// LeaseValid reports whether this process may act: it has an incarnation whose lease is valid.
func (e *Election) LeaseValid(now clock.Micros) bool {
	return e.incarnation != "" && now < e.leaseValidUntil
}

// isRegistered reports whether the replica shows the current incarnation as registered.
func (e *Election) isRegistered() bool {
	return e.incarnation != "" && e.registrations[e.controller].Incarnation == e.incarnation
}

// Leading returns a leadership, and whether the current incarnation has it and may act on it now.
func (e *Election) Leading(duty string, now clock.Micros) (Leadership, bool) {
	l, ok := e.leaderships[duty]
	return l, ok && e.LeaseValid(now) && e.isOwn(l) && e.transferring[duty] != l.ModRevision
}

// isOwn reports whether a leadership names this controller and its current incarnation.
func (e *Election) isOwn(l Leadership) bool {
	return l.Incarnation == e.incarnation && l.Leader == e.controller
}

// Leader names the controller that leads a duty. It reports false when the leadership is free or names an incarnation that is
// not registered.
func (e *Election) Leader(duty string) (string, bool) {
	l, ok := e.leaderships[duty]
	if !ok || l.Leader == "" || e.registrations[l.Leader].Incarnation != l.Incarnation {
		return "", false
	}
	return l.Leader, true
}

// CurrentLeadership returns a leadership as the replica last showed it; live reports whether the incarnation that it names
// is registered.
func (e *Election) CurrentLeadership(duty string) (l Leadership, live bool) {
	_, live = e.Leader(duty)
	return e.leaderships[duty], live
}

// RegisteredIncarnation returns the registered incarnation of a controller and the registration's mod revision.
func (e *Election) RegisteredIncarnation(controller string) (string, uint64) {
	r := e.registrations[controller]
	return r.Incarnation, r.modRevision
}

// ReachabilityUpdate returns the write that records in this controller's registration whether its workers reach it. ok is false
// when the registration says so already, or when the replica does not show the current incarnation as registered.
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

// isIneligible reports whether a duty needs the workers and a controller's workers do not reach it. dutyIndex is the duty's
// place in the list of all duties.
func (e *Election) isIneligible(dutyIndex int, controller string) bool {
	return dutyIndex < e.workerDutyCount && e.registrations[controller].Unreachable
}

// hasOtherEligible reports whether another registered controller may lead a duty.
func (e *Election) hasOtherEligible(dutyIndex int) bool {
	for name, r := range e.registrations {
		if name != e.controller && r.Incarnation != "" && !e.isIneligible(dutyIndex, name) {
			return true
		}
	}
	return false
}
