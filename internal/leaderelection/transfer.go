package leaderelection

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// TransferLeadership decides which leaderships of this controller go to others, and returns the writes that free them. One
// leadership at a time goes back to its preferred leader, once that has been registered for the time delay. All that need the
// workers go when the workers do not reach this controller and another controller can lead them. From then on this controller
// does not act on these leaderships, whether the writes succeed or not: if a response is lost, another controller may be the
// leader already.
func (e *Election) TransferLeadership(now, delay clock.Micros) (writes []Write) {
	e.updateRegistrationPeriods(now)
	if !e.isRegistered() || !e.LeaseValid(now) {
		return nil
	}
	returned := false // only one at a time goes back to its preferred leader
	for i, duty := range e.duties {
		leadership := e.leaderships[duty]
		if !e.isOwn(leadership) {
			continue
		}
		underWay := e.transferring[duty] == leadership.ModRevision
		forced := e.isIneligible(i, e.controller) && e.hasOtherEligible(i)
		returning := !returned && e.preferredIsBack(i, now, delay)
		if !underWay && !forced && !returning {
			continue
		}
		if !forced {
			returned = true
		}
		e.transferring[duty] = leadership.ModRevision
		key := kvstore.LeaderPrefix + duty
		writes = append(writes, Write{duty, wire.Txn{
			Conditions: []wire.Condition{{Key: key, ModRevision: leadership.ModRevision}},
			Operations: []wire.Operation{{Put: key, Value: Record{Term: leadership.Term}}},
		}})
	}
	return writes
}

// updateRegistrationPeriods starts a new period, at now, for each controller whose registration has changed since the last
// call.
func (e *Election) updateRegistrationPeriods(now clock.Micros) {
	for _, name := range e.controllers {
		if r := e.registrations[name].Registration; e.registrationPeriods[name].Registration != r {
			e.registrationPeriods[name] = registrationPeriod{r, now}
		}
	}
}

// preferredIsBack reports whether a duty's preferred leader is another controller, may lead the duty, and has kept the same
// registration for the time delay.
func (e *Election) preferredIsBack(dutyIndex int, now, delay clock.Micros) bool {
	preferred := PreferredLeader(e.controllers, dutyIndex, 0)
	period := e.registrationPeriods[preferred]
	return preferred != e.controller && period.Registration != Registration{} && now >= period.since+delay &&
		!e.isIneligible(dutyIndex, preferred)
}
