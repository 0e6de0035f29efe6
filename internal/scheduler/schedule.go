package scheduler

import (
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Schedule runs one scheduling cycle: it decides on assignments, which then wait in the partition leaders' next
// batches. Its stages are
//
//   - queue: schedulingOrder lists the jobs with tasks to place, in order (queue_order.go);
//   - filter: findCapacity collects machines with capacity for a task (filter.go, capacity_index.go);
//   - score: selectMachine picks one of them, by image, fragmentation and the team's order (selection.go, scoring.go),
//     or by estimated costs (costs.go), or makes capacity (preemption.go);
//   - reserve: reserve counts the assignment, takes its capacity off the cached machine and queues the message.
//
// The partition leader accepts or rejects. The number of assignments in a cycle widens with the waiting tasks.
func (s *Scheduler) Schedule(now clock.Micros) (placed int) {
	s.updateAboveShare(now)
	s.moveTasks(now)
	queue := s.schedulingOrder(now)
	s.updateUnaccountedCapacity()
	limit := s.timing.Batch + waitingTasks(queue)/4
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

// firstTaskDeadline is how long a job may wait for its first task before that one goes
// before all else: however much has precedence, no job waits for ever to begin.
const firstTaskDeadline = 150 * clock.Second

// firstTaskOverdue reports whether a job has waited for its first task for too long.
func (j *job) firstTaskOverdue(now clock.Micros) bool {
	return !j.hasStarted() && now >= j.acceptedAt+firstTaskDeadline
}

// waitingTasks is how many tasks of the queue are neither done nor assigned.
func waitingTasks(queue []*job) (n int) {
	for _, j := range queue {
		n += j.waiting()
	}
	return n
}

// updateUnaccountedCapacity recounts what machines that are not accounted for could hold of each team. After a restart
// no machine was seen yet: the largest is looked for at most once, and not for each machine anew.
func (s *Scheduler) updateUnaccountedCapacity() {
	largest := sync.OnceValue(s.largestMachine)
	for _, tm := range s.teams {
		tm.unaccountedCount, tm.unaccountedCapacity = s.sumUnaccountedCapacity(tm, largest)
	}
}

// sumUnaccountedCapacity counts a team's machines that are not accounted for, and what they could hold. Those that
// were not seen yet count as the largest machine seen.
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

// scheduleJob places up to so many tasks of a job.
func (s *Scheduler) scheduleJob(j *job, limit int, now clock.Micros) (placed int) {
	if j.awaitsAccounting && j.team.unaccountedCount == 0 && j.watermark >= j.offeredByFormer {
		j.releaseFormerlyOffered()
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
			j.markUnplaced(task, now)
			return placed
		}
		s.reserve(j, task, choice, now)
		placed++
	}
	return placed
}

// reserve assigns a task to the selected machine: it counts the assignment, takes its capacity off the cached machine and
// queues the message to the machine's partition leader.
func (s *Scheduler) reserve(j *job, task int, choice selection, now clock.Micros) {
	// A job that is placed bit by bit as others' tasks end stays stalled until all of it
	// is placed: on a large fleet there is always a bit.
	j.noRoomSince = 0
	j.offeredHere = true
	s.counters.Placed++
	s.counters.Preempted += len(choice.victims)
	m := choice.machine
	a := newAssignment(j, task, m, now)
	m.addAssignment(a)
	m.available = m.available.Minus(j.Need)
	if fetch, ok := s.fetchRates.fetchTime(j, m); ok && !m.hasImage(j) {
		m.imageFetchUntil, m.imageFetched = now+fetch, j.Image
	}
	for _, id := range choice.victims {
		// The capacity that victims free is for this task: the cached machine shows it as taken.
		if t := m.tasks[id]; t != nil {
			t.preemptingUntil = now + victimCooldown
			m.available = m.available.Plus(t.Need)
		}
	}
	s.reindex(m)
	message := a.message()
	message.Victims, message.Over = choice.victims, choice.overGuarantee
	session := s.sessions[m.leader]
	session.pending.Asks = append(session.pending.Asks, message)
}
