package scheduler

import (
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Schedule runs one scheduling cycle: it decides on assignments and queues them for the next batches to the partition
// leaders, which accept or reject them. The stages of a cycle are
//
//   - queue: schedulingOrder lists the jobs with tasks to place, in order (queue_order.go);
//   - filter: findCapacity collects machines with capacity for a task, and room on the list of its worker (filter.go,
//     capacity_index.go);
//   - score: selectMachine picks one of them, by image, fragmentation and the team's order (selection.go, scoring.go),
//     or by estimated cost (costs.go), or preempts tasks to make capacity (preemption.go);
//   - reserve: reserve counts the assignment, subtracts its capacity from the cached machine and queues the message.
//
// The maximum number of assignments in a cycle grows with the number of waiting tasks.
func (s *Scheduler) Schedule(now clock.Micros) (placed int) {
	s.updateAboveShare(now)
	s.moveTasks(now)
	queue := s.schedulingOrder(now)
	s.updateUnaccountedCapacity()
	limit := s.parameters.BaseAssignmentsPerCycle + waitingTasks(queue)/4
	s.startCycle(queue)
	for _, j := range queue {
		if j.firstTaskOverdue(now) {
			placed += s.scheduleJob(j, 1, now)
		}
	}
	for _, j := range queue {
		if placed >= limit {
			break
		}
		placed += s.scheduleJob(j, limit-placed, now)
	}
	return placed
}

// firstTaskDeadline is how long a job may wait for its first task. That task is then placed before all other work, so
// that no job starves, however much work has precedence over it.
const firstTaskDeadline = 150 * clock.Second

// firstTaskOverdue reports whether the job has waited longer than firstTaskDeadline for its first task.
func (j *job) firstTaskOverdue(now clock.Micros) bool {
	return !j.hasStarted() && now >= j.acceptedAt+firstTaskDeadline
}

// waitingTasks returns how many tasks of the queued jobs are neither done nor assigned.
func waitingTasks(queue []*job) (n int) {
	for _, j := range queue {
		n += j.waiting()
	}
	return n
}

// updateUnaccountedCapacity updates, for each team, the number and capacity of the machines that are not accounted for.
// After a restart many machines have not been seen yet, and each of them counts as the largest machine seen. That one
// is searched for at most once per cycle: a search per machine would be quadratic in the size of the fleet.
func (s *Scheduler) updateUnaccountedCapacity() {
	largest := sync.OnceValue(s.largestMachine)
	for _, tm := range s.teams {
		tm.unaccountedCount, tm.unaccountedCapacity = s.sumUnaccountedCapacity(tm, largest)
	}
}

// sumUnaccountedCapacity returns the number and total capacity of a team's machines that are not accounted for.
// Machines whose capacity is not known yet count as the largest machine seen.
func (s *Scheduler) sumUnaccountedCapacity(tm *team, largest func() resources.Amounts) (machines int, capacity resources.Amounts) {
	for id := range tm.unaccounted {
		machines++
		if m := s.machines[id]; m != nil && m.Cap.CPU > 0 {
			capacity = capacity.Plus(m.Cap)
		} else {
			capacity = capacity.Plus(largest())
		}
	}
	return machines, capacity
}

// scheduleJob places at most limit tasks of a job. Where the team's limit leaves no room it may stop tasks of the team instead.
func (s *Scheduler) scheduleJob(j *job, limit int, now clock.Micros) (placed int) {
	if j.awaitsAccounting && j.team.unaccountedCount == 0 && j.watermark >= j.assignedByFormer {
		j.queueAssignedByFormer()
	}
	for placed < limit {
		if !j.team.withinLimit(j.Need) {
			s.preemptOwn(j, now)
			return placed
		}
		task := j.nextWaiting()
		if task < 0 {
			if j.waiting() == 0 {
				j.stalledSince = 0
			}
			return placed
		}
		choice := s.selectMachine(j, now)
		if choice.machine == nil {
			j.requeueUnplaced(task, now)
			return placed
		}
		s.reserve(j, task, choice, now)
		placed++
	}
	return placed
}

// reserve assigns a task to the selected machine: it counts the assignment, subtracts its capacity from the cached
// machine and queues the message to the machine's partition leader.
func (s *Scheduler) reserve(j *job, task int, choice selection, now clock.Micros) {
	// stalledSince is not reset here: on a large fleet some task of others ends in almost every cycle, and a job that
	// is placed task by task into that capacity has to keep its right to preempt until all of it is placed.
	j.noPlacementSince = 0
	j.assignedHere = true
	s.counters.Placed++
	s.counters.Preempted += len(choice.victims)
	m := choice.machine
	a := newAssignment(j, task, m, now)
	m.addAssignment(a)
	m.available = m.available.Minus(j.Need)
	m.extendList(a)
	if fetch, ok := s.fetchRates.fetchTime(j, m); ok && !m.hasImage(j) {
		m.assignedFetchUntil, m.assignedFetchImage = now+fetch, j.Image
	}
	for _, id := range choice.victims {
		// The victims' capacity goes to this task, whose request has been subtracted above: only the rest is available.
		if t := m.tasks[id]; t != nil {
			t.preemptingUntil = now + victimCooldown
			m.available = m.available.Plus(t.Need)
		}
	}
	s.reindex(m)
	message := a.message()
	message.Victims, message.Over = choice.victims, choice.overridesPriority
	session := s.sessions[m.leader]
	session.pending.Asks = append(session.pending.Asks, message)
}
