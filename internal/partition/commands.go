package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxCommands keeps the line of an answer below the protocol's 64 KiB.
const maxCommands = 400

// jobEnded reports whether nothing of a task's job may run any more. For a task that was found, its job not
// being active is proof: the record was there before the task's start, and the replica is as new as this leadership.
// For one that was assigned here, the replica must be as new as its job's record (docs/design.md, argument 11).
func (s *State) jobEnded(t *task) bool {
	return s.cancellations.has(t.id.Job) || s.jobs.Ended(t.id.Job, t.jobRevision)
}

// dueCommands collects what the worker should do now, maxCommands at most.
func (s *State) dueCommands(m *machine, by route, now clock.Micros) []wire.Order {
	tasks := m.tasksByAge(0)
	s.stopTasksOfEndedJobs(m, tasks)
	out := stopCommands(tasks, by, now)
	if !m.worker.lost() && m.record == recordPresent {
		out = appendRunCommands(m, tasks, out, by, now)
	}
	if by == viaHeartbeat {
		out = prependForgetCommands(m, tasks, out)
	}
	return out
}

// stopTasksOfEndedJobs decides to stop what runs of ended jobs; their exits need no scheduler's acknowledgement to
// be forgotten.
func (s *State) stopTasksOfEndedJobs(m *machine, tasks []*task) {
	for _, t := range tasks {
		if !s.jobEnded(t) {
			continue
		}
		t.acknowledged = true
		if !t.exited() && !t.stopping {
			t.stopping, t.stopGraceS = true, 0
			s.markTaskChanged(m, t)
		}
	}
}

// stopCommands collects the stops that are due.
func stopCommands(tasks []*task, by route, now clock.Micros) []wire.Order {
	out := []wire.Order{}
	for _, t := range tasks {
		if len(out) >= maxCommands {
			return out
		}
		if !t.stopping || t.exited() {
			continue
		}
		grace := t.stopGraceS
		if t.phase == wire.TaskCheckpointing && grace > 0 {
			continue // it is being stopped, and checkpoints before
		}
		if by == viaDelivery {
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

// appendRunCommands appends the runs that are due: of tasks that the worker has not listed yet, as far as its own
// free resources suffice.
func appendRunCommands(m *machine, tasks []*task, out []wire.Order, by route, now clock.Micros) []wire.Order {
	started, _ := m.resourcesInUse()
	for _, t := range tasks {
		if len(out) >= maxCommands {
			return out
		}
		if t.state >= taskReported || t.stopping || t.reserved {
			continue
		}
		if t.state == taskLeased {
			if m.draining || !t.need.Fits(m.capacity.Minus(started)) {
				continue
			}
			started = started.Plus(t.need)
			t.state = taskSent
		}
		if by == viaHeartbeat {
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

// prependForgetCommands puts the forgets that are due in front of other commands. They go only into answers to
// heartbeats, and only when no copy of the run can arrive: the worker takes those answers in sequence, so no run that
// was sent in an earlier one can arrive after the forget and start the attempt once more (docs/design.md, argument 2).
func prependForgetCommands(m *machine, tasks []*task, others []wire.Order) []wire.Order {
	var out []wire.Order
	for _, t := range tasks {
		if len(out)+len(others) >= maxCommands {
			break
		}
		if t.exited() && t.acknowledged && !m.delivery.runMayArrive(t) {
			out = append(out, command(wire.VerbForget, t))
		}
	}
	if len(out) == 0 {
		return others
	}
	return append(out, others...)
}

func command(verb string, t *task) wire.Order {
	return wire.Order{Verb: verb, Task: wire.TaskName(t.id.Job, t.id.N), Attempt: t.id.Attempt}
}
