package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// assignment is an attempt of a task that is, or may be, on a machine.
//
// Invariant: it counts against its team's limit and in its job's tasksByZone from addAssignment until releaseAssignment,
// which is called only when the attempt is known to be gone, was rejected or was never sent. A release before that would allow
// more work than the limit (docs/design.md, "Why the rules hold", number 8, "Limits").
type assignment struct {
	id           peer.TaskID
	job          *job
	machine      string
	zone         string
	term         uint64 // of the machine's partition at the time of the assignment
	unanswered   bool   // the partition leader has not answered yet
	viewVersion  uint64 // version of the machine's view from which on it shows the accepted assignment
	processID    string // process of the partition leader at the time of the assignment; later the one that accepted it
	phase        string // as last reported, see wire.Task*
	held         bool   // it is a held lease: the task runs elsewhere and is to move here
	orphaned     bool   // it is no longer wanted: it is stopped, and only counted until it is gone
	stopping     bool
	assignedAt   clock.Micros
	runningSince clock.Micros // when it was first seen to run; 0: not yet
}

// newAssignment returns an assignment of a new attempt that the partition leader has not answered yet.
func newAssignment(j *job, task int, m *machineState, now clock.Micros) *assignment {
	return &assignment{
		id:         j.team.nextAttempt(j.ID, task),
		job:        j,
		machine:    m.ID,
		zone:       m.Zone,
		term:       m.Term,
		unanswered: true,
		processID:  m.processID,
		assignedAt: now,
	}
}

// runTime returns for how long the attempt has been seen running.
func (a *assignment) runTime(now clock.Micros) clock.Micros {
	if a.runningSince == 0 {
		return 0
	}
	return now - a.runningSince
}

// message returns the request for the assignment to the partition leader.
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

// addAssignment adds an assignment to the machine, its team's use and its job's zones. Unless it is orphaned or a held lease,
// it becomes the current assignment of its task.
func (m *machineState) addAssignment(a *assignment) {
	m.assignments[a.id] = a
	a.job.team.used = a.job.team.used.Plus(a.job.Need)
	a.job.tasksByZone[a.zone]++
	if !a.orphaned && !a.held {
		a.job.assignments[a.id.N] = a
	}
}

// releaseAssignment removes an assignment whose attempt is known to be gone from its machine. If it was the current one of
// its task, the task is queued again, unless it is done or continues at the destination of a move.
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
	startedAtDestination := s.handleMoveAssignmentGone(a, current)
	if current && !startedAtDestination {
		j.requeue(a.id.N)
	}
}

// requestStop queues a command that stops a task and gives it graceS seconds to save a checkpoint.
func (s *Scheduler) requestStop(a *assignment, graceS float64) {
	if m := s.machines[a.machine]; m != nil {
		session := s.sessions[m.leader]
		session.pending.Stops = append(session.pending.Stops, peer.StopTask{ID: a.id, Machine: a.machine, GraceS: graceS})
	}
	a.stopping = true
}

// retractAssignment withdraws an assignment that has not been sent yet; done is false if it may have been.
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

// acknowledge queues the message that tells a machine's partition leader that the end of a task is recorded, so that its
// worker may forget the task.
func (s *Scheduler) acknowledge(j *job, id peer.TaskID, machine string) {
	m := s.machines[machine]
	if m == nil {
		return
	}
	session := s.sessions[m.leader]
	session.pending.Settles = append(session.pending.Settles, peer.Acknowledgement{ID: id, Machine: machine})
	j.acknowledgedTerms[id] = m.Term
}
