package leaderelection

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Numbers of grace periods for which a leadership has to be free before a controller may campaign for it although another one
// is preferred or its own workers do not reach it.
const (
	// unseenGracePeriods applies while a preferred controller has never been seen registered: it may be about to start.
	unseenGracePeriods = 1
	// registeredGracePeriods applies while a preferred controller is registered. It should have acquired the leadership long
	// before.
	registeredGracePeriods = 2
	// ineligibleGracePeriods applies to a controller that its workers do not reach, for the duties that need the workers. It
	// campaigns for them too after that time, so that a duty always has a candidate.
	ineligibleGracePeriods = 4
)

// Campaign decides which free leaderships to acquire and returns the writes. For each free duty it goes through the controllers
// in order of preference, and campaigns if it no longer waits for any before itself: it does not wait for one whose
// registration has ended, waits one grace period for one never seen registered, and two for a registered one. If the duty needs
// the workers, controllers that their workers do not reach, this one included, are passed over for four.
func (e *Election) Campaign(now, grace clock.Micros) []Write {
	if !e.isRegistered() || !e.LeaseValid(now) {
		return nil
	}
	term := e.highestTerm() + 1
	var writes []Write
	for i, duty := range e.duties {
		if _, led := e.Leader(duty); led {
			delete(e.freeSince, duty)
			continue
		}
		since, ok := e.freeSince[duty]
		if !ok {
			since = now
			e.freeSince[duty] = now
		}
		if e.mayCampaign(i, now-since, grace) {
			writes = append(writes, e.acquisition(duty, term))
		}
	}
	return writes
}

// highestTerm returns the highest term of all leaderships, including those of duties that no longer exist. When the number of
// controllers changes, so do the partitions; the fencing tokens of the new partitions still exceed every token that a worker
// has seen.
func (e *Election) highestTerm() (term uint64) {
	for _, l := range e.leaderships {
		term = max(term, l.Term)
	}
	return term
}

// acquisition returns the write that acquires a free leadership. It is conditional on the leadership and this controller's
// registration being unchanged, and, if the leadership names another controller, on the registration of that controller being
// unchanged.
func (e *Election) acquisition(duty string, term uint64) Write {
	leadership := e.leaderships[duty]
	conditions := []wire.Condition{
		{Key: kvstore.LeaderPrefix + duty, ModRevision: leadership.ModRevision},
		{Key: kvstore.ControllerPrefix + e.controller, ModRevision: e.registrations[e.controller].modRevision},
	}
	if leadership.Leader != "" && leadership.Leader != e.controller {
		formerLeader := wire.Condition{
			Key:         kvstore.ControllerPrefix + leadership.Leader,
			ModRevision: e.registrations[leadership.Leader].modRevision,
		}
		conditions = append(conditions, formerLeader)
	}
	return Write{duty, wire.Txn{Conditions: conditions, Operations: []wire.Operation{
		{Put: kvstore.LeaderPrefix + duty, Value: Record{e.controller, e.incarnation, term}},
	}}}
}

// mayCampaign reports whether this controller may campaign for a duty that has been free for the time freeFor: it no longer
// waits for any controller that comes before it in the duty's order of preference, and is not passed over itself.
func (e *Election) mayCampaign(dutyIndex int, freeFor, grace clock.Micros) bool {
	for k := range e.controllers {
		name := PreferredLeader(e.controllers, dutyIndex, k)
		if e.isIneligible(dutyIndex, name) && freeFor < ineligibleGracePeriods*grace {
			continue // applies to this controller as well
		}
		if name == e.controller {
			return true
		}
		if e.waitsFor(name, freeFor, grace) {
			return false
		}
	}
	return false
}

// waitsFor reports whether this controller leaves a duty that has been free for the time freeFor to another controller. It does
// not wait for one whose registration has ended and has not been replaced: that controller's lease has expired or its
// incarnation has resigned, so that the leases of its workers run out as well.
func (e *Election) waitsFor(controller string, freeFor, grace clock.Micros) bool {
	if _, registered := e.registrations[controller]; registered {
		return freeFor < registeredGracePeriods*grace
	}
	return !e.deregistered[controller] && freeFor < unseenGracePeriods*grace
}
