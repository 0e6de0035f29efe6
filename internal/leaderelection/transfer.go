package leaderelection

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// TransferLeadership picks leaderships of this controller that others should have, and returns the writes that free them: one
// whose preferred leader has been registered for a time, after, or all that need the workers when they don't reach this
// controller and another could lead. From now on this controller does not act on them, whether the writes succeed or not: should
// an answer be lost, another may be leader already.
func (e *Election) TransferLeadership(now, after clock.Micros) (out []Write) {
	e.observePresences(now)
	if !e.isRegistered() || !e.LeaseValid(now) {
		return nil
	}
	returned := false // one at a time goes back to its preferred leader
	for i, duty := range e.duties {
		l := e.leaderships[duty]
		if !e.isOwn(l) {
			continue
		}
		underWay := e.transferring[duty] == l.ModRevision
		forced := e.ineligible(i, e.controller) && e.otherEligible(i)
		returning := !returned && e.preferredIsBack(i, now, after)
		if !underWay && !forced && !returning {
			continue
		}
		if !forced {
			returned = true
		}
		e.transferring[duty] = l.ModRevision
		key := kvstore.LeaderPrefix + duty
		out = append(out, Write{duty, wire.Txn{
			Conditions: []wire.Condition{{Key: key, ModRevision: l.ModRevision}},
			Operations: []wire.Operation{{Put: key, Value: Record{Term: l.Term}}},
		}})
	}
	return out
}

// observePresences takes the time at which a controller's registration is seen to have changed.
func (e *Election) observePresences(now clock.Micros) {
	for _, name := range e.controllers {
		if r := e.registrations[name].Registration; e.presences[name].Registration != r {
			e.presences[name] = presence{r, now}
		}
	}
}

// preferredIsBack reports whether the i-th duty's preferred leader is another controller that has been registered, as eligible,
// for a time.
func (e *Election) preferredIsBack(i int, now, after clock.Micros) bool {
	preferred := PreferredLeader(e.controllers, i, 0)
	p := e.presences[preferred]
	return preferred != e.controller && p.Registration != Registration{} && now >= p.since+after && !e.ineligible(i, preferred)
}
