package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// reconcileMachine compares what a view shows of an accounted machine's tasks with the assignments.
func (s *Scheduler) reconcileMachine(
	session *leaderSession, m *machineState, view *peer.MachineView, left []peer.TaskID, now clock.Micros,
) {
	for i := range view.Tasks {
		s.reconcileTask(session, m, &view.Tasks[i], now)
	}
	if view.Whole {
		for _, a := range m.assignmentsByAttempt() {
			s.releaseIfGone(a, m)
		}
	} else {
		for _, id := range left {
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

// releaseIfGone releases an assignment whose task is not on its accounted machine, if that
// is certain (argument 8): the view is newer than the acceptance, or comes from a later
// leader, by whom the assignment can't be accepted any more.
func (s *Scheduler) releaseIfGone(a *assignment, m *machineState) {
	if m.tasks[a.id] != nil {
		return
	}
	if m.Term > a.term || !a.unanswered && (m.instance != a.instance || m.Version >= a.viewVersion) {
		if !a.reserved {
			s.counters.Lost++
			a.job.retries++
		}
		s.releaseAssignment(a)
	}
}

// reconcileTask applies what an accounted machine shows of a task.
func (s *Scheduler) reconcileTask(session *leaderSession, m *machineState, view *peer.TaskView, now clock.Micros) {
	a := m.assignments[view.ID]
	tm := s.teams[view.Team]
	if a != nil {
		tm = a.job.team // the partition leader may not know it: the job is over
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

// adoptTask adds an assignment for a task that is on a machine without one: a former leader assigned it. j is nil where its
// job is not active. What is not wanted there is stopped, and counts against the limit until it is gone (argument 8).
func (s *Scheduler) adoptTask(tm *team, j *job, m *machineState, view *peer.TaskView, now clock.Micros) *assignment {
	a := &assignment{
		id:          view.ID,
		job:         j,
		machine:     m.ID,
		zone:        m.Zone,
		term:        m.Term,
		viewVersion: m.Version,
		instance:    m.instance,
		assignedAt:  now - view.Since,
	}
	if j == nil {
		// The partition leader ends what belongs to no active job, but may not reach it.
		a.job = &job{Job: &jobs.Job{Need: view.Need}, team: tm, tasksByZone: map[string]int{}}
		a.orphaned = true
	} else {
		// Held: the destination of a former leader's move.
		a.orphaned = j.isDone(view.ID.N) || j.assignments[view.ID.N] != nil || j.cancelling || view.Held
	}
	m.addAssignment(a)
	if a.orphaned {
		s.requestStop(a, 0)
	}
	return a
}

// updatePhase records the phase that a task is shown in.
func (s *Scheduler) updatePhase(a *assignment, view *peer.TaskView, now clock.Micros) {
	if view.Phase == wire.TaskRunning && a.phase != wire.TaskRunning {
		if a.runningSince == 0 {
			s.distributions.recordWait(a.job, now)
		}
		a.job.lastStartAt, a.runningSince = now, now
		// Its job may be over already: cancelled while the start was on its way.
		s.counters.FetchCPUs += (now - a.assignedAt) * clock.Micros(a.job.Need.CPU/1e6)
	}
	a.phase, a.stopping = view.Phase, view.Stopping
}

// handleExit applies the end of a task. j is nil where its job is not active, a where the task has no assignment.
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

// handleCompletion applies that a task is done. Its end is acknowledged once it is durable (see unacknowledged).
func (s *Scheduler) handleCompletion(j *job, a *assignment, m *machineState, id peer.TaskID, now clock.Micros) {
	if !j.isDone(id.N) {
		s.counters.Done++
		if a != nil && a.runningSince != 0 {
			j.recordRun(m.ID, now-a.runningSince)
		}
	}
	if j.markDone(id.N); j.doneCount == j.Tasks && a != nil {
		s.distributions.recordLateness(j, now)
	}
	j.consecutiveErrors = 0
	if j.acknowledgedTerms[id] != m.Term {
		j.unacknowledged[id] = m.ID
	}
	if other := j.assignments[id.N]; other != nil && other != a {
		other.orphaned = true
		delete(j.assignments, id.N)
		s.requestStop(other, 0)
	}
}

// handleFailure applies that a task has ended without being done: it was stopped, or failed.
func (s *Scheduler) handleFailure(j *job, a *assignment, m *machineState, view *peer.TaskView, now clock.Micros) {
	switch {
	case a == nil:
	case view.Cause == wire.CauseStopped:
		j.retries++
		s.counters.Stopped++
	default:
		j.retries++
		s.counters.Failed++
		j.recordFailure(m.ID, now)
	}
	if j.acknowledgedTerms[view.ID] != m.Term {
		s.acknowledge(j, view.ID, m.ID)
	}
}
