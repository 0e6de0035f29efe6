package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// maxReservation bounds for how long resources are held for a task that is to move here.
const maxReservation = 60 * clock.Second

// decision is what becomes of an assignment.
type decision int

const (
	rejected decision = iota
	yielded           // rejected in favour of other teams, with a better right to the resources
	accepted
)

// acceptAssignment leases resources for one task, or rejects it. A second start of a task that is on the machine
// already is rejected.
func (s *State) acceptAssignment(a *peer.Assignment, term uint64, now clock.Micros) decision {
	m := s.machines[a.Machine]
	if !s.mayAccept(m, a, term, now) {
		return rejected
	}
	if a.Hold > 0 && m.hasReservation() || !s.zoneAdmits(m, a, now) {
		return rejected
	}
	_, leased := m.resourcesInUse()
	free := m.capacity.Minus(leased)
	if a.Need.Fits(free) && s.yieldsToOtherTeam(m, a, free, now) {
		return yielded
	}
	victims, free := m.chooseVictims(a, free)
	if !a.Need.Fits(free) {
		return rejected
	}
	for _, v := range victims {
		s.stopTask(m, v, s.stopGraceOf(v))
	}
	s.addLease(m, a, now)
	return accepted
}

// mayAccept reports whether a task may get resources of a machine at all: its scheduler leads the team, its job is
// not over, the machine is led here under the term that the scheduler knows and may be used, and no attempt of the
// task is on it.
func (s *State) mayAccept(m *machine, a *peer.Assignment, term uint64, now clock.Micros) bool {
	switch {
	case !s.teamTerms.isCurrent(a.Team, term), a.ID.Attempt>>attemptTermShift != term:
		return false
	case m == nil, s.terms[m.partition] != a.Term, !m.usable(now):
		return false
	case s.jobs.Ended(a.ID.Job, a.Made):
		return false // by a former team leader, or by a copy of an old batch
	case !s.cancellations.admits(a.ID.Job, term):
		return false
	}
	return !m.hasAttempt(a.ID.Job, a.ID.N)
}

// attemptTermShift is where the team's term begins in the number of an attempt (docs/design.md, argument 3).
const attemptTermShift = 32

// chooseVictims picks the tasks to be stopped for an assignment, of those that it names, until its resources are
// free. It gives them with what is free once they are stopped.
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

// addLease leases the resources of an accepted assignment.
func (s *State) addLease(m *machine, a *peer.Assignment, now clock.Micros) {
	t := &task{
		id:              a.ID,
		jobRevision:     a.Made,
		team:            a.Team,
		priority:        a.Rank,
		need:            a.Need,
		withinGuarantee: a.Covered,
		addedAt:         now,
		reserved:        a.Hold > 0,
		reservedFor:     min(a.Hold, maxReservation),
	}
	m.tasks[a.ID] = t
	s.recordImage(m, a.Image, a.ImageGB)
	m.idleSince = now
	s.markTaskChanged(m, t)
	if s.arbiter != nil {
		s.arbiter.RecordAccepted(fairShareAsk(a), m.id)
	}
	if g := s.zoneGates[m.Zone]; g != nil {
		g.startsUnderWay++
	}
}

// leaseExpiry is when a lease of which nothing was sent expires.
func (s *State) leaseExpiry(t *task) clock.Micros {
	if t.reserved {
		return t.addedAt + t.reservedFor
	}
	return t.addedAt + s.timing.RoomLeaseTTL
}

// hasReservation reports whether the machine has a held lease, for a task that is to move there. It has one
// at most: moves that several schedulers decide on at the same time must not meet on one machine.
func (m *machine) hasReservation() bool {
	for _, t := range m.tasks {
		if t.reserved && !t.exited() {
			return true
		}
	}
	return false
}

// startReserved has a task start on its held lease: its team's present leader says that it is gone from where it
// ran. Without that the lease expires. A machine that may get no tasks any more gets none by this way either.
func (s *State) startReserved(start *peer.StartTask, term uint64, now clock.Micros) {
	m := s.machines[start.Machine]
	if m == nil {
		return
	}
	t := m.tasks[start.ID]
	if t == nil || !t.reserved || t.team != start.Team {
		return
	}
	if !s.teamTerms.isCurrent(start.Team, term) || start.ID.Attempt>>attemptTermShift != term {
		return // by a former team leader: the task may run elsewhere by now
	}
	if t.stopping || s.jobEnded(t) || !m.usable(now) {
		s.removeTask(m, t)
		return
	}
	t.reserved, t.addedAt = false, now
	s.markTaskChanged(m, t)
}

// stopTask stops a task; a lease of which nothing was sent just ends. A stop is repeated only with a shorter grace.
func (s *State) stopTask(m *machine, t *task, graceS float64) {
	switch {
	case t.state == taskLeased:
		s.removeTask(m, t)
	case t.exited():
	case !t.stopping || graceS < t.stopGraceS:
		t.stopping, t.stopGraceS, t.deliveredAt = true, graceS, 0
		s.markTaskChanged(m, t)
	}
}

// stopGraceOf is the time in seconds that a task has to checkpoint when it is stopped.
func (s *State) stopGraceOf(t *task) float64 {
	if j, ok := s.jobs.Active(t.id.Job); ok {
		return j.StopGraceS()
	}
	return 0
}
