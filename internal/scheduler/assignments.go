package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// assignment is an attempt of a task that is, or may be, on a machine.
//
// Invariant (argument 8, "Limits"): it counts against its team's limit and its job's zones from addAssignment until
// releaseAssignment, which is called only when the attempt is gone for certain or was rejected.
type assignment struct {
	id           peer.TaskID
	job          *job
	machine      string
	zone         string
	term         uint64 // of the machine's partition when it was assigned
	unanswered   bool   // no answer of the partition leader yet
	viewVersion  uint64 // of the machine's view when it was accepted
	instance     string // process that it was sent to, or that accepted it
	phase        string // as last shown, see wire.Task*
	reserved     bool   // a held lease: the task is to move here and runs elsewhere
	orphaned     bool   // runs although it is not wanted here: only counted, and stopped
	stopping     bool
	assignedAt   clock.Micros
	runningSince clock.Micros // when it was first seen running; 0: not yet
}

// newAssignment returns an assignment of a new attempt that has no answer yet.
func newAssignment(j *job, task int, m *machineState, now clock.Micros) *assignment {
	return &assignment{
		id:         j.team.nextAttempt(j.ID, task),
		job:        j,
		machine:    m.ID,
		zone:       m.Zone,
		term:       m.Term,
		unanswered: true,
		instance:   m.instance,
		assignedAt: now,
	}
}

// message returns what asks the partition leader for an assignment.
func (a *assignment) message() peer.Assignment {
	j := a.job
	return peer.Assignment{
		ID:      a.id,
		Made:    j.ModRevision,
		Team:    j.team.Name,
		Rank:    j.PriorityLevel,
		Need:    j.Need,
		Image:   j.Image,
		ImageGB: j.ImageGB,
		Machine: a.machine,
		Term:    a.term,
		Covered: j.withinGuarantee,
		Stage:   int(j.stage) + 1,
	}
}

// addAssignment counts a task as being, or possibly being, on a machine.
func (m *machineState) addAssignment(a *assignment) {
	m.assignments[a.id] = a
	a.job.team.used = a.job.team.used.Plus(a.job.Need)
	a.job.tasksByZone[a.zone]++
	if !a.orphaned && !a.reserved {
		a.job.assignments[a.id.N] = a
	}
}

// releaseAssignment drops an assignment whose attempt is gone from its machine for certain. Its task is queued
// again unless it is done or goes on elsewhere.
func (s *Scheduler) releaseAssignment(a *assignment) {
	if m := s.machines[a.machine]; m != nil {
		if m.assignments[a.id] != a {
			return
		}
		delete(m.assignments, a.id)
	}
	j := a.job
	j.team.used = j.team.used.Minus(j.Need)
	j.tasksByZone[a.zone]--
	current := j.assignments[a.id.N] == a
	if current {
		delete(j.assignments, a.id.N)
	}
	movedOn := s.handleMoveAssignmentGone(a, current)
	if current && !movedOn {
		j.requeue(a.id.N)
	}
}

// requestStop has a task stopped, with so many seconds to checkpoint.
func (s *Scheduler) requestStop(a *assignment, graceS float64) {
	if m := s.machines[a.machine]; m != nil {
		session := s.sessions[m.leader]
		session.pending.Stops = append(session.pending.Stops, peer.StopTask{ID: a.id, Machine: a.machine, GraceS: graceS})
	}
	a.stopping = true
}

// retractAssignment takes back an assignment that was not sent yet.
func (s *Scheduler) retractAssignment(a *assignment) (done bool) {
	m := s.machines[a.machine]
	if m == nil || !a.unanswered {
		return false
	}
	session := s.sessions[m.leader]
	before := len(session.pending.Asks)
	session.pending.Asks = slices.DeleteFunc(session.pending.Asks, func(message peer.Assignment) bool { return message.ID == a.id })
	if len(session.pending.Asks) == before {
		return false
	}
	s.releaseAssignment(a)
	s.recomputeAvailable(m)
	return true
}

// acknowledge lets a machine's partition leader know that the end of a task is recorded.
func (s *Scheduler) acknowledge(j *job, id peer.TaskID, machine string) {
	m := s.machines[machine]
	if m == nil {
		return
	}
	session := s.sessions[m.leader]
	session.pending.Settles = append(session.pending.Settles, peer.Acknowledgement{ID: id, Machine: machine})
	j.acknowledgedTerms[id] = m.Term
}
