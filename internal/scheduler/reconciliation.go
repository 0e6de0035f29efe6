package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// reconcileMachine compares the tasks on a machine, as a view shows them, with the assignments. The view must list all tasks
// that can be on the machine (Accounted); the machine then counts as accounted for under the terms that its leader has fenced.
func (s *Scheduler) reconcileMachine(
	session *leaderSession, m *machineState, view *peer.MachineView, removed []peer.TaskID, now clock.Micros,
) {
	for i := range view.Tasks {
		s.reconcileTask(session, m, &view.Tasks[i], now)
	}
	if view.Whole {
		for _, a := range m.assignmentsByAttempt() {
			s.releaseIfGone(a, m)
		}
	} else {
		for _, id := range removed {
			if a := m.assignments[id]; a != nil {
				s.releaseIfGone(a, m)
			}
		}
	}
	for _, tm := range s.teams {
		if session.hasFenced(tm) && !tm.accounted[m.ID] && !m.hasUnidentifiedTask() {
			tm.accounted[m.ID] = true
			delete(tm.unaccounted, m.ID)
		}
	}
}

// releaseIfGone releases an assignment if its task is not on the machine and can't start there any more: the machine's view is
// at least as new as the acceptance, or a later leader of the partition, which rejects the assignment, has made it. The view
// must be Accounted, since any other may lack a task that is on the machine or can still start there. If the assignment of such a
// task were released, the task could run twice and would not count against the team's limit (docs/design.md, "Why the rules
// hold", number 8).
func (s *Scheduler) releaseIfGone(a *assignment, m *machineState) {
	if m.tasks[a.id] != nil {
		return
	}
	if m.Term > a.term || !a.unanswered && (m.processID != a.processID || m.Version >= a.viewVersion) {
		if !a.held {
			s.counters.Lost++
			a.job.retries++
		}
		s.releaseAssignment(a)
	}
}

// reconcileTask applies the state of a task on a machine, as an Accounted view shows it.
func (s *Scheduler) reconcileTask(session *leaderSession, m *machineState, view *peer.TaskView, now clock.Micros) {
	a := m.assignments[view.ID]
	tm := s.teams[view.Team]
	if a != nil {
		tm = a.job.team // the partition leader may not know the team because the job is over
	}
	if tm == nil {
		return
	}
	j := tm.jobs[view.ID.Job]
	if j != nil && view.ID.N >= j.Tasks {
		j = nil
	}
	if a == nil {
		if !session.hasFenced(tm) {
			return
		}
		if view.Phase != wire.TaskExited {
			a = s.adoptTask(tm, j, m, view, now)
		}
	}
	if view.Phase == wire.TaskExited {
		s.handleExit(j, a, m, view, now)
		return
	}
	if a != nil {
		s.updatePhase(a, view, now)
	}
}

// adoptTask adds an assignment for a task on a machine that has none: a former leader of the team assigned it. j is nil if
// the job is not active. A task that is not wanted is stopped, and counts against the limit until it is gone, so that the team
// can't exceed its limit in the meantime (docs/design.md, "Why the rules hold", number 8).
func (s *Scheduler) adoptTask(tm *team, j *job, m *machineState, view *peer.TaskView, now clock.Micros) *assignment {
	a := &assignment{
		id:          view.ID,
		job:         j,
		machine:     m.ID,
		zone:        m.Zone,
		term:        m.Term,
		viewVersion: m.Version,
		processID:   m.processID,
		assignedAt:  now - view.Since,
	}
	if j == nil {
		// The partition leader stops tasks of jobs that are not active, but this may take until it reaches the machine.
		a.job = &job{Job: &jobs.Job{Need: view.Need}, team: tm, tasksByZone: map[string]int{}}
		a.orphaned = true
	} else {
		// A held lease is the destination of a move by a former leader, which nobody continues.
		a.orphaned = j.isDone(view.ID.N) || j.assignments[view.ID.N] != nil || j.cancelling || view.Held
	}
	m.addAssignment(a)
	if a.orphaned {
		s.requestStop(a, 0)
	}
	return a
}

// updatePhase records the phase of an assigned task as a view shows it.
func (s *Scheduler) updatePhase(a *assignment, view *peer.TaskView, now clock.Micros) {
	if view.Phase == wire.TaskRunning && a.phase != wire.TaskRunning {
		if a.runningSince == 0 {
			s.distributions.recordWait(a.job, now)
		}
		a.job.lastStartAt, a.runningSince = now, now
		// This includes jobs that are over already: they were cancelled while the start command was in flight.
		s.counters.FetchCPUs += (now - a.assignedAt) * clock.Micros(a.job.Need.CPU/1e6)
	}
	a.phase, a.stopping = view.Phase, view.Stopping
}

// handleExit applies the exit of a task. j is nil if its job is not active, a is nil if the task has no assignment.
func (s *Scheduler) handleExit(j *job, a *assignment, m *machineState, view *peer.TaskView, now clock.Micros) {
	switch {
	case j == nil:
	case view.Cause == wire.CauseDone:
		s.handleCompletion(j, a, m, view.ID, now)
	default:
		s.handleFailure(j, a, m, view, now)
	}
	if a != nil {
		s.releaseAssignment(a)
	}
}

// handleCompletion marks a task as done. Its exit is acknowledged once that is durable, see job.unacknowledged. If another
// attempt of the task is assigned elsewhere, that one is stopped.
func (s *Scheduler) handleCompletion(j *job, a *assignment, m *machineState, id peer.TaskID, now clock.Micros) {
	if !j.isDone(id.N) {
		s.counters.Done++
		if a != nil && a.runningSince != 0 {
			j.recordRun(m.ID, a.runTime(now))
		}
		j.failures.recordSuccess(now)
	}
	if j.markDone(id.N); j.doneCount == j.Tasks && a != nil {
		s.distributions.recordLateness(j, now)
	}
	if j.acknowledgedTerms[id] != m.Term {
		j.unacknowledged[id] = m.ID
	}
	if other := j.assignments[id.N]; other != nil && other != a {
		other.orphaned = true
		delete(j.assignments, id.N)
		s.requestStop(other, 0)
	}
}

// handleFailure applies the exit of a task that is not done: it was stopped or has failed.
func (s *Scheduler) handleFailure(j *job, a *assignment, m *machineState, view *peer.TaskView, now clock.Micros) {
	switch {
	case a == nil:
	case view.Cause == wire.CauseStopped:
		j.retries++
		s.counters.Stopped++
	default:
		j.retries++
		s.counters.Failed++
		j.failures.record(m.ID, a.runTime(now), len(j.assignments), now)
		s.quarantineIfFaulty(j, m, now)
	}
	if j.acknowledgedTerms[view.ID] != m.Term {
		s.acknowledge(j, view.ID, m.ID)
	}
}
