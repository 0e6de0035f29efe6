package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// victimCooldown is how long a task that was named as a victim is not named again, unless a new view lists it, so that its
// partition leader has time to stop it.
const victimCooldown = 2 * clock.Second

// preemptOwn stops tasks of lower priority of the job's own team when the team's limit has left no room for the job for
// PreemptAfter, unless the job can't meet its deadline any more. The job's tasks are placed once the stopped ones are known to be
// gone and no longer count against the limit.
func (s *Scheduler) preemptOwn(j *job, now clock.Micros) {
	if j.stalledSince == 0 {
		j.stalledSince = now
	}
	if j.missesDeadline(now) || !s.parameters.mayPreempt(j, now) {
		return
	}
	used := j.team.used.Plus(j.team.unaccountedCapacity)
	var candidates []*assignment
	for _, other := range j.team.jobs {
		for _, a := range other.assignments {
			switch {
			case a.stopping:
				used = used.Minus(other.Need)
			case other.PriorityLevel < j.PriorityLevel && !a.unanswered:
				candidates = append(candidates, a)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *assignment) int { // the latest assigned first: they lose the least work
		if a.assignedAt != b.assignedAt {
			return cmp.Compare(b.assignedAt, a.assignedAt)
		}
		return cmp.Compare(a.id.String(), b.id.String())
	})
	wanted := j.Need.Times(int64(j.waiting()))
	for _, a := range candidates {
		if fitsLimit(used.Plus(wanted), j.team.Limit) {
			return
		}
		used = used.Minus(a.job.Need)
		s.counters.Preempted++
		s.requestStop(a, a.job.StopGraceS())
	}
}

// preemptionCostStep is the step in which the costs of victims are compared. Within a step prefers decides, so that small
// tasks stay packed on the same machines.
const preemptionCostStep = 5 * clock.Second

// preemptAnywhere selects victims among all machines, once the job has found no capacity for PreemptAfter.
func (s *selector) preemptAnywhere(j *job, now clock.Micros) selection {
	if !s.parameters.mayPreempt(j, now) {
		return selection{}
	}
	return s.preempt(j, &s.capacity.all, now)
}

// preempt selects a machine and the victims on it whose cost is the lowest (victimsOn). Victims are tasks of lower priority and,
// for a job within its team's guarantee, tasks of the same priority that other teams run beyond theirs, or of any priority once
// guaranteeDue holds. A job that can't meet its deadline any more preempts nothing: it would be late all the same, and could make
// the victims late too. To keep the cost of a cycle independent of the fleet's size, the search considers only some of the
// machines.
func (s *selector) preempt(j *job, machines *machinesByLevel, now clock.Micros) (best selection) {
	if machines == nil || j.missesDeadline(now) {
		return selection{}
	}
	guaranteeDue := s.parameters.guaranteeDue(j, now)
	maxPriority := j.maxVictimPriority(guaranteeDue)
	if !hasTaskAtOrBelow(&s.observedTasks.byPriority, maxPriority) || s.exhausted.hasNoVictims(j, guaranteeDue) {
		return selection{}
	}
	var bestCost clock.Micros
	considered := 0
	machines.walk(0, s.rng.Uint64(), func(m *machineState) bool {
		s.examined++
		if !hasTaskAtOrBelow(&m.tasksByPriority, maxPriority) || !s.mayAssign(j, m, now) || !s.checkListRoom(j, m) {
			return false
		}
		considered++
		found := victimsOn(j, m, guaranteeDue, now)
		if len(found.tasks) > 0 && (best.machine == nil || s.prefersPreemption(j, m, found.cost, best.machine, bestCost)) {
			best, bestCost = selection{m, found.tasks, found.overridesPriority}, found.cost
		}
		// Victims that have hardly begun lose so little work that a further search is not worth its cost.
		return considered >= 8*s.parameters.SampleSize || best.machine != nil && bestCost < preemptionCostStep
	})
	if best.machine == nil && machines == &s.capacity.all && !s.limitedByList {
		s.exhausted.markNoVictims(j, guaranteeDue)
	}
	return best
}

// prefersPreemption reports whether preempting on m is better than on other, given the cost of the victims on each.
func (s *selector) prefersPreemption(j *job, m *machineState, cost clock.Micros, other *machineState, otherCost clock.Micros) bool {
	if a, b := cost/preemptionCostStep, otherCost/preemptionCostStep; a != b {
		return a < b
	}
	return s.prefers(j, m, other)
}

// maxVictimPriority returns the highest priority of tasks that may be stopped for the job.
func (j *job) maxVictimPriority(guaranteeDue bool) int {
	switch {
	case j.withinGuarantee && guaranteeDue:
		return priorityLevels - 1
	case j.withinGuarantee:
		return j.PriorityLevel
	default:
		return j.PriorityLevel - 1
	}
}

// victimSet is the tasks to stop on a machine to make capacity for one task, and the cost of that.
type victimSet struct {
	tasks             []peer.TaskID // empty if stopping tasks would not make enough capacity
	cost              clock.Micros  // lost work plus the surcharges below
	overridesPriority bool          // some have the same or a higher priority than the job
}

// Surcharges on the cost of victims, which otherwise is the time for which they have run. Those for guarantees and priorities
// outweigh so much lost work.
const (
	victimWithinGuaranteeCost = 100 * clock.Second  // per victim within a guarantee: others are preferred
	higherPriorityCost        = 1000 * clock.Second // once if any victim has the same or a higher priority: lower ones are preferred
	victimCost                = clock.Second        // per victim: few victims are better than many
)

// victimsOn selects the tasks to stop on a machine to make capacity for one task of a job.
func victimsOn(j *job, m *machineState, guaranteeDue bool, now clock.Micros) (out victimSet) {
	var candidates []*observedTask
	for _, t := range m.tasks {
		if j.mayStop(t, guaranteeDue, now) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, compareVictims)
	free := m.available
	for _, t := range candidates {
		if j.Need.Fits(free) {
			break
		}
		free = free.Plus(t.Need)
		out.tasks = append(out.tasks, t.ID)
		out.cost += now - t.startedAt + victimCost
		out.overridesPriority = out.overridesPriority || t.Rank >= j.PriorityLevel
		if t.Covered {
			out.cost += victimWithinGuaranteeCost
		}
	}
	if out.overridesPriority {
		out.cost += higherPriorityCost
	}
	if !j.Need.Fits(free) {
		return victimSet{}
	}
	return out
}

// mayStop reports whether an observed task may be stopped for a task of the job.
func (j *job) mayStop(t *observedTask, guaranteeDue bool, now clock.Micros) bool {
	if !t.counted || t.Stopping || now < t.preemptingUntil || t.Team == "" || t.Covered && t.Rank >= j.PriorityLevel {
		return false
	}
	return t.Rank < j.PriorityLevel || j.withinGuarantee && t.Team != j.team.Name && (t.Rank == j.PriorityLevel || guaranteeDue)
}

// compareVictims orders tasks by which is stopped first: the lowest priority, within a priority tasks beyond their team's
// guarantee, then the latest start.
func compareVictims(a, b *observedTask) int {
	if a.Covered != b.Covered && a.Rank == b.Rank {
		if b.Covered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
}
