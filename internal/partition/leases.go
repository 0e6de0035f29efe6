package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// maxHeldLeaseDuration is the longest time that a held lease lasts. A held lease is a resource lease that is granted for a
// task that is to move to the machine; the task starts only by a StartTask.
const maxHeldLeaseDuration = 60 * clock.Second

// decision is the outcome of an assignment.
type decision int

const (
	rejected decision = iota
	yielded           // rejected because another team, below its fair share, waits for the resources
	accepted
)

// acceptAssignment leases resources of a machine to one task, or rejects the assignment. It rejects a second start of
// a task that is already on the machine.
func (s *State) acceptAssignment(a *peer.Assignment, term uint64, now clock.Micros) decision {
	m := s.machines[a.Machine]
	if !s.mayAccept(m, a, term, now) {
		return rejected
	}
	if a.Hold > 0 && m.hasHeldLease() || !s.zoneAdmits(m, a, now) {
		return rejected
	}
	_, leased := m.resourcesInUse()
	free := m.capacity.Minus(leased)
	if !m.hasListRoom(a, free) {
		return rejected
	}
	if a.Need.Fits(free) && s.yieldsToOtherTeam(m, a, free, now) {
		return yielded
	}
	victims, free := m.chooseVictims(a, free)
	if !a.Need.Fits(free) {
		return rejected
	}
	for _, v := range victims {
		s.counters.stops[stopRequested].Inc()
		s.stopTask(m, v, s.stopGraceOf(v))
	}
	s.addLease(m, a, now)
	return accepted
}

// mayAccept reports whether a machine may lease resources to a task at all. The task's scheduler must lead the team,
// the job must not have ended, this process must lead the machine's partition under the term that the scheduler knows,
// the machine must be usable, and no attempt of the task that has not exited may be on it.
func (s *State) mayAccept(m *machine, a *peer.Assignment, term uint64, now clock.Micros) bool {
	switch {
	case !s.teamTerms.isCurrent(a.Team, term), a.ID.Attempt>>attemptTermShift != term:
		return false
	case m == nil, s.terms[m.partition] != a.Term, !m.usable(now):
		return false
	case s.jobs.Ended(a.ID.Job, a.Made):
		return false // sent by a former team leader, or in a late copy of an old batch
	case !s.cancellations.admits(a.ID.Job, term):
		return false
	}
	return !m.hasAttempt(a.ID.Job, a.ID.N)
}

// attemptTermShift is the number of bits below the team's term in an attempt number. Because each team leader puts its
// own term into the number, leaders of different terms never use the same one (docs/design.md,
// "Why the rules hold", number 3).
const attemptTermShift = 32

// chooseVictims selects, among the preemption victims that an assignment names, as many tasks as must stop for the
// assignment to fit, in the order named. Unless the assignment is Over, only tasks of a lower priority count. It
// returns them with the resources that are free once they have stopped.
func (m *machine) chooseVictims(a *peer.Assignment, free resources.Amounts) (victims []*task, freeAfter resources.Amounts) {
	for _, id := range a.Victims {
		t := m.tasks[id]
		if t == nil || t.exited() || t.stopping || (t.priority >= a.Rank && !a.Over) {
			continue
		}
		if a.Need.Fits(free) {
			break
		}
		victims = append(victims, t)
		free = free.Plus(t.need)
	}
	return victims, free
}

// addLease adds the resource lease of an accepted assignment to its machine.
func (s *State) addLease(m *machine, a *peer.Assignment, now clock.Micros) {
	t := &task{
		id:              a.ID,
		jobRevision:     a.Made,
		team:            a.Team,
		priority:        a.Rank,
		need:            a.Need,
		withinGuarantee: a.Covered,
		addedAt:         now,
		held:            a.Hold > 0,
		heldFor:         min(a.Hold, maxHeldLeaseDuration),
	}
	m.tasks[a.ID] = t
	s.recordImage(m, a.Image, a.ImageGB)
	m.idleSince = now
	s.markTaskChanged(m, t)
	if s.arbiter != nil {
		s.arbiter.RecordAccepted(fairShareAssignment(a), m.id)
	}
	if gate := s.zoneGates[m.Zone]; gate != nil {
		gate.startsInFlight++
	}
}

// leaseExpiry returns when a lease expires for which no run command has been sent.
func (s *State) leaseExpiry(t *task) clock.Micros {
	if t.held {
		return t.addedAt + t.heldFor
	}
	return t.addedAt + s.timing.ResourceLeaseTTL
}

// hasHeldLease reports whether the machine has a held lease. A machine has at most one, so that moves that several
// schedulers decide on at the same time do not meet on it.
func (m *machine) hasHeldLease() bool {
	for _, t := range m.tasks {
		if t.held && !t.exited() {
			return true
		}
	}
	return false
}

// startHeldLease turns a held lease into an ordinary one, so that the task's run command is sent. The current leader of
// the task's team requests this once the task is gone from its previous machine; without the request the held lease
// expires. The held lease is removed instead if the task is being stopped, its job has ended or the machine has become
// unusable.
func (s *State) startHeldLease(start *peer.StartTask, term uint64, now clock.Micros) {
	m := s.machines[start.Machine]
	if m == nil {
		return
	}
	t := m.tasks[start.ID]
	if t == nil || !t.held || t.team != start.Team {
		return
	}
	if !s.teamTerms.isCurrent(start.Team, term) || start.ID.Attempt>>attemptTermShift != term {
		return // sent by a former team leader: the present one may have started the task elsewhere
	}
	if t.stopping || s.jobEnded(t) || !m.usable(now) {
		s.removeTask(m, t)
		return
	}
	t.held, t.addedAt = false, now
	s.markTaskChanged(m, t)
}

// stopTask decides to stop a task, with graceS seconds to checkpoint. A lease for which no run command was sent is
// removed at once. A task that is already stopping is stopped again only with a shorter grace.
func (s *State) stopTask(m *machine, t *task, graceS float64) {
	switch {
	case t.state == taskLeased:
		s.removeTask(m, t)
	case t.exited():
	default:
		s.markStopping(m, t, graceS)
	}
}

// markStopping marks a task as stopping with graceS seconds to checkpoint, and reports whether that is new: the task was
// not stopping, or had more time.
func (s *State) markStopping(m *machine, t *task, graceS float64) bool {
	if t.stopping && graceS >= t.stopGraceS {
		return false
	}
	t.stopping, t.stopGraceS, t.deliveredAt = true, graceS, 0
	s.markTaskChanged(m, t)
	return true
}

// stopGraceOf returns the time in seconds that a preempted task has to checkpoint.
func (s *State) stopGraceOf(t *task) float64 {
	if j, ok := s.jobs.Active(t.id.Job); ok {
		return j.StopGraceS()
	}
	return 0
}
