package leaderelection

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// How many grace periods a leadership has to be free before this controller passes over those that it prefers to itself.
const (
	// gracesUnseen is for a controller that was never seen: it may be about to start.
	gracesUnseen = 1
	// gracesRegistered is for a registered one: it should have acquired the leadership long since.
	gracesRegistered = 2
	// gracesIneligible is until one that its workers don't reach is asked as well: a duty is never without any candidate.
	gracesIneligible = 4
)

// Campaign decides which free leaderships to acquire, and returns the writes: those that this controller is preferred for
// immediately, also those of a controller whose lease has just expired; those of one that was never seen after the grace period,
// any after twice that.
func (e *Election) Campaign(now, grace clock.Micros) []Write {
	if !e.isRegistered() || !e.LeaseValid(now) {
		return nil
	}
	term := e.highestTerm() + 1
	var out []Write
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
			out = append(out, e.acquisition(duty, term))
		}
	}
	return out
}

// highestTerm returns the highest term so far. Terms grow over all leaderships, also those of duties that are no longer in use:
// when the number of controllers, and so of partitions, has changed, the new partitions' fencing tokens are still above what any
// worker has seen.
func (e *Election) highestTerm() (term uint64) {
	for _, l := range e.leaderships {
		term = max(term, l.Term)
	}
	return term
}

// acquisition returns the write that acquires a free leadership: on the condition that it has not changed, that this incarnation
// is registered, and that the registration of the leader that it names, if any, has not changed either.
func (e *Election) acquisition(duty string, term uint64) Write {
	l := e.leaderships[duty]
	conditions := []wire.Condition{
		{Key: kvstore.LeaderPrefix + duty, ModRevision: l.ModRevision},
		{Key: kvstore.ControllerPrefix + e.controller, ModRevision: e.registrations[e.controller].modRevision},
	}
	if l.Leader != "" && l.Leader != e.controller {
		former := wire.Condition{Key: kvstore.ControllerPrefix + l.Leader, ModRevision: e.registrations[l.Leader].modRevision}
		conditions = append(conditions, former)
	}
	return Write{duty, wire.Txn{Conditions: conditions, Operations: []wire.Operation{
		{Put: kvstore.LeaderPrefix + duty, Value: Record{e.controller, e.incarnation, term}},
	}}}
}

// mayCampaign reports whether it is this controller's turn for the i-th duty, which has been free for a time: whether there is none
// before it, in the duty's order of preference, that is still waited for.
func (e *Election) mayCampaign(i int, free, grace clock.Micros) bool {
	for k := range e.controllers {
		name := PreferredLeader(e.controllers, i, k)
		if e.ineligible(i, name) && free < gracesIneligible*grace {
			continue // also this controller itself
		}
		if name == e.controller {
			return true
		}
		if e.awaited(name, free, grace) {
			return false
		}
	}
	return false
}

// awaited reports whether a duty that has been free for a time is left to another controller. One whose registration has ended
// was away for all of its lease: the leases of its workers are about to end as well, so it is not waited for.
func (e *Election) awaited(controller string, free, grace clock.Micros) bool {
	if _, registered := e.registrations[controller]; registered {
		return free < gracesRegistered*grace
	}
	return !e.departed[controller] && free < gracesUnseen*grace
}
