package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxCommands bounds the commands in one message, so that its line stays below the protocol's limit of 64 KiB.
const maxCommands = 400

// jobEnded reports whether a task's job has ended, so that none of its tasks may run any more. For a found task it is
// enough that the replica does not show the job as active: the job's record was stored before the task started, and the
// replica is as new as this leadership. For a task that this leader assigned, the replica must also be as new as the
// job's record; otherwise it may not have seen the job yet (docs/design.md, "Why the rules hold", number 11).
func (s *State) jobEnded(t *task) bool {
	return s.cancellations.has(t.id.Job) || s.jobs.Ended(t.id.Job, t.jobRevision)
}

// dueCommands returns the commands that the worker should execute now, maxCommands at most, and records that they are
// sent. Stop commands are always among them, since a stop can do no harm; run and forget commands only if current is
// set: the machine is accounted for, and no newer status of its worker is known than the one that is answered.
// complete is false if a response to a heartbeat can't hold the stop commands for all tasks of ended jobs; no command
// counts as sent then.
func (s *State) dueCommands(m *machine, current bool, via route, now clock.Micros) (out []wire.Order, complete bool) {
	tasks := m.tasksByAge(0)
	if ended := s.stopTasksOfEndedJobs(m, tasks); ended > maxCommands && via == viaHeartbeat {
		return nil, false
	}
	out = stopCommands(tasks, via, now)
	if current && !m.worker.lost() && m.record == recordPresent {
		out = appendRunCommands(m, tasks, out, via, now)
	}
	if current && via == viaHeartbeat {
		out = s.prependForgetCommands(m, tasks, out)
	}
	s.counters.countCommands(via, out)
	return out, true
}

// stopTasksOfEndedJobs decides to stop the tasks of ended jobs, and returns how many of them have not exited. Their exits
// count as acknowledged, so that the worker can forget them without a scheduler's acknowledgement.
func (s *State) stopTasksOfEndedJobs(m *machine, tasks []*task) (running int) {
	found := 0
	for _, t := range tasks {
		t.jobEnded = s.jobEnded(t)
		if !t.jobEnded {
			continue
		}
		t.acknowledged = true
		if t.exited() {
			continue
		}
		running++
		if s.markStopping(m, t, 0) {
			s.counters.stops[stopEnded].Inc()
			found++
		}
	}
	if found > 0 {
		s.addNotice("tasks of ended jobs found", "machine", m.id, "tasks", found, "token", m.delivery.token, "accounted", m.accounted)
	}
	return running
}

// stopCommands returns the stop commands that are due, first those for tasks of ended jobs.
func stopCommands(tasks []*task, via route, now clock.Micros) []wire.Order {
	out := []wire.Order{}
	for _, jobEnded := range []bool{true, false} {
		out = appendStopCommands(out, tasks, jobEnded, via, now)
	}
	return out
}

// appendStopCommands appends the stop commands that are due for tasks of ended jobs, or of others.
func appendStopCommands(out []wire.Order, tasks []*task, jobEnded bool, via route, now clock.Micros) []wire.Order {
	for _, t := range tasks {
		if len(out) >= maxCommands {
			return out
		}
		if t.jobEnded != jobEnded || !t.stopping || t.exited() {
			continue
		}
		grace := t.stopGraceS
		if t.phase == wire.TaskCheckpointing && grace > 0 {
			continue // the stop has arrived, and the task is taking its checkpoint
		}
		if via == viaDelivery {
			if !t.mayRedeliver(now) {
				continue
			}
			t.deliveredAt = now
		}
		c := command(wire.VerbStop, t)
		c.GraceS = &grace
		out = append(out, c)
	}
	return out
}

// appendRunCommands appends the run commands that are due: for tasks that the worker has not listed yet. The first run
// command of a task waits until the resources of the tasks that may be running on the machine leave enough for it, and
// is not sent while the machine drains.
func appendRunCommands(m *machine, tasks []*task, out []wire.Order, via route, now clock.Micros) []wire.Order {
	started, _ := m.resourcesInUse()
	for _, t := range tasks {
		if len(out) >= maxCommands {
			return out
		}
		if t.state >= taskReported || t.stopping || t.held {
			continue
		}
		if t.state == taskLeased {
			if m.draining || !t.need.Fits(m.capacity.Minus(started)) {
				continue
			}
			started = started.Plus(t.need)
			t.state = taskSent
		}
		if via == viaHeartbeat {
			t.runTick = m.worker.tick
		} else {
			if !t.mayRedeliver(now) {
				continue
			}
			t.deliveredAt = now
		}
		out = append(out, command(wire.VerbRun, t))
	}
	return out
}

// prependForgetCommands puts the forget commands that are due in front of other commands. A run command that arrives
// after the forget would start the attempt a second time. So forget commands go only into responses to heartbeats,
// which the worker processes in order; only when no unanswered delivery can still bring the run command; and only under
// a token above those of all deliveries that have brought it, so that the worker rejects late copies of them
// (docs/design.md, "Why the rules hold", number 2).
func (s *State) prependForgetCommands(m *machine, tasks []*task, others []wire.Order) []wire.Order {
	var out []wire.Order
	for _, t := range tasks {
		if len(out)+len(others) >= maxCommands {
			break
		}
		if !t.exited() || !t.acknowledged || m.delivery.runMayArrive(t) {
			continue
		}
		if m.delivery.raiseTokenAbove(t.deliveredToken) {
			s.counters.tokenRaises[raiseForget].Inc()
		}
		out = append(out, command(wire.VerbForget, t))
	}
	if len(out) == 0 {
		return others
	}
	return append(out, others...)
}

func command(verb string, t *task) wire.Order {
	return wire.Order{Verb: verb, Task: wire.TaskName(t.id.Job, t.id.N), Attempt: t.id.Attempt}
}
