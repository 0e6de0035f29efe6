package scheduler

import (
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// forgetSilent drops a machine that fell silent and has no record any more.
// An ask that has no answer yet stays bound: the machine may come back with a
// new session, and the ask be granted then.
func (s *Scheduler) forgetSilent(m *machineState) {
	if m.Silent && !s.recordedMachines[m.ID] && len(m.assignments) == 0 {
		s.removeMachine(m)
	}
}

// forgetMachine drops a machine that is gone for certain, with all asks for it.
func (s *Scheduler) forgetMachine(m *machineState) {
	for _, b := range m.assignmentsByAttempt() {
		s.releaseAssignment(b)
	}
	s.removeMachine(m)
}

// removeMachine takes a machine out of the mirror.
func (s *Scheduler) removeMachine(m *machineState) {
	for id := range m.tasks {
		s.removeObservedTask(m, id)
	}
	delete(s.machines, m.ID)
	s.reindex(m)
}

// assignmentsByAttempt lists a machine's bindings in a fixed order.
func (m *machineState) assignmentsByAttempt() []*assignment {
	out := make([]*assignment, 0, len(m.assignments))
	for _, b := range m.assignments {
		out = append(out, b)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id.Attempt < out[b].id.Attempt })
	return out
}

func (s *Scheduler) recomputeAvailable(m *machineState) {
	m.available = m.Free
	for _, b := range m.assignments {
		if b.unanswered || b.instance == m.instance && b.term == m.Term && b.viewVersion > m.Version {
			m.available = m.available.Minus(b.job.Need) // the view does not show it yet
		}
	}
	s.reindex(m)
}

// addAssignment counts a task as being, or possibly being, on a machine.
func (s *Scheduler) addAssignment(b *assignment, m *machineState) {
	m.assignments[b.id] = b
	b.job.team.used = b.job.team.used.Plus(b.job.Need)
	b.job.tasksByZone[b.zone]++
	if !b.orphaned && !b.reserved {
		b.job.assignments[b.id.N] = b
	}
}

// releaseAssignment takes note that a task is gone from its machine for certain.
func (s *Scheduler) releaseAssignment(b *assignment) {
	if m := s.machines[b.machine]; m != nil {
		if m.assignments[b.id] != b {
			return
		}
		delete(m.assignments, b.id)
	}
	j := b.job
	j.team.used = j.team.used.Minus(j.Need)
	j.tasksByZone[b.zone]--
	current := j.assignments[b.id.N] == b
	if current {
		delete(j.assignments, b.id.N)
	}
	if started := s.handleMoveAssignmentGone(b, current); current && !started {
		if !j.isDone(b.id.N) && !(j.awaitsAccounting && b.id.N < j.offeredByFormer) {
			j.queue = append(j.queue, b.id.N)
		}
	}
}

// reconcileTask takes a task that an accounted machine shows.
func (s *Scheduler) reconcileTask(o *leaderSession, m *machineState, tv *peer.TaskView, now clock.Micros) {
	b := m.assignments[tv.ID]
	tm := s.teams[tv.Team]
	if b != nil {
		tm = b.job.team // its owner may not know: the job is over
	}
	if tm == nil {
		return
	}
	j := tm.jobs[tv.ID.Job]
	if j != nil && tv.ID.N >= j.Tasks {
		j = nil
	}
	if b == nil {
		if o.fencedTerms[tm.Name] != tm.term {
			return
		}
		if tv.Phase != wire.TaskExited {
			b = &assignment{id: tv.ID, job: j, machine: m.ID, zone: m.Zone, term: m.Term, viewVersion: m.Version,
				instance: m.instance, assignedAt: now - tv.Since}
			if j == nil {
				// Its owner ends what belongs to no active job, but may not reach it: until
				// it is gone it counts against the limit.
				b.job, b.orphaned = &job{Job: &jobs.Job{Need: tv.Need}, team: tm, tasksByZone: map[string]int{}}, true
			} else {
				b.orphaned = j.isDone(tv.ID.N) || j.assignments[tv.ID.N] != nil || j.cancelling || tv.Held // a former placer's move
			}
			s.addAssignment(b, m)
			if b.orphaned {
				s.requestStop(b, 0)
			}
		}
	}
	if tv.Phase == wire.TaskExited {
		s.handleExit(j, b, m, tv, now)
		return
	}
	if b != nil {
		if tv.Phase == wire.TaskRunning && b.phase != wire.TaskRunning {
			if b.runningSince == 0 {
				s.recordWait(b.job, now)
			}
			b.job.lastStartAt, b.runningSince = now, now
			// Its job may be over already: cancelled while the start was on its way.
			s.counters.FetchCPUs += (now - b.assignedAt) * clock.Micros(b.job.Need.CPU/1e6)
		}
		b.phase, b.stopping = tv.Phase, tv.Stopping
	}
}

// handleExit takes the end of a task.
func (s *Scheduler) handleExit(j *job, b *assignment, m *machineState, tv *peer.TaskView, now clock.Micros) {
	if j == nil {
		if b != nil {
			s.releaseAssignment(b)
		}
		return
	}
	n := tv.ID.N
	if tv.Cause == wire.CauseDone {
		if !j.isDone(n) {
			s.counters.Done++
			if b != nil && b.runningSince != 0 && len(j.runs) < 500 {
				j.runs = append(j.runs, runTime{m.ID, now - b.runningSince})
			}
		}
		if j.markDone(n); j.doneCount == j.Tasks && b != nil {
			s.recordLateness(j, now)
		}
		j.consecutiveErrors = 0
		if j.acknowledgedTerms[tv.ID] != m.Term {
			j.unacknowledged[tv.ID] = m.ID
		}
		if other := j.assignments[n]; other != nil && other != b {
			other.orphaned = true
			delete(j.assignments, n)
			s.requestStop(other, 0)
		}
	} else {
		if b != nil {
			j.retries++
		}
		switch {
		case b == nil:
		case tv.Cause == wire.CauseStopped:
			s.counters.Stopped++
		default:
			s.counters.Failed++
			j.recordFailure(m.ID, now)
		}
		if j.acknowledgedTerms[tv.ID] != m.Term {
			s.acknowledge(j, tv.ID, m.ID)
		}
	}
	if b != nil {
		s.releaseAssignment(b)
	}
}

// recordFailure lets a job that fails keep off the machine, and back off by itself when
// it fails on many: it must not keep drawing the room that it frees.
func (j *job) recordFailure(machine string, now clock.Micros) {
	j.consecutiveErrors++
	j.avoidUntil[machine] = now + 20*clock.Second
	if len(j.avoidUntil) >= 3 || j.consecutiveErrors > 3*max(1, len(j.assignments)) {
		j.backoffUntil = now + min(clock.Second<<min(j.consecutiveErrors/2, 6), 30*clock.Second)
	}
}

// acknowledge tells a machine's owner that the end of a task is taken note of.
func (s *Scheduler) acknowledge(j *job, id peer.TaskID, machine string) {
	m := s.machines[machine]
	if m == nil {
		return
	}
	o := s.sessions[m.leader]
	o.pending.Settles = append(o.pending.Settles, peer.Acknowledgement{ID: id, Machine: machine})
	j.acknowledgedTerms[id] = m.Term
}

func (s *Scheduler) requestStop(b *assignment, grace float64) {
	if m := s.machines[b.machine]; m != nil {
		o := s.sessions[m.leader]
		o.pending.Stops = append(o.pending.Stops, peer.StopTask{ID: b.id, Machine: b.machine, GraceS: grace})
	}
	b.stopping = true
}
