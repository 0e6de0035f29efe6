package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// victimCooldown is how long a task that was named as a victim is not named again: its partition leader stops it meanwhile.
const victimCooldown = 2 * clock.Second

// preemptOwn stops tasks of lower priority of the job's own team, where the team's
// limit leaves no room for it. It is placed once they are gone for certain.
func (s *Scheduler) preemptOwn(j *job, now clock.Micros) {
	if j.stalledSince == 0 {
		j.stalledSince = now
	}
	if j.missesDeadline(now) || !s.timing.mayPreempt(j, now) {
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
	slices.SortFunc(candidates, func(a, b *assignment) int { // the latest first: least work is lost
		if a.assignedAt != b.assignedAt {
			return cmp.Compare(b.assignedAt, a.assignedAt)
		}
		return cmp.Compare(a.id.String(), b.id.String())
	})
	wanted := j.Need.Times(int64(j.waiting()))
	for _, a := range candidates {
		if withinQuota(used.Plus(wanted), j.team.Limit) {
			return
		}
		used = used.Minus(a.job.Need)
		s.counters.Preempted++
		s.requestStop(a, a.job.StopGraceS())
	}
}

// preemptionCostStep is how much lost work makes a difference: below it, small tasks
// gather where they do otherwise.
const preemptionCostStep = 5 * clock.Second

// preemptAnywhere looks for victims on all machines, once a job has waited for long enough.
func (s *selector) preemptAnywhere(j *job, now clock.Micros) selection {
	if !s.timing.mayPreempt(j, now) {
		return selection{}
	}
	return s.preempt(j, &s.capacity.all, now)
}

// preempt looks for capacity that tasks of lower priority hold or, for a job within
// its team's guarantee, tasks that other teams run beyond theirs; the least
// work is lost. Work that is late already takes no capacity from others: it would
// be as late, and what it stops would be late too. Like any search, it looks at
// some of the machines in question, not at the fleet.
func (s *selector) preempt(j *job, in *machinesByLevel, now clock.Micros) (best selection) {
	if in == nil || j.missesDeadline(now) {
		return selection{}
	}
	guaranteeDue := s.timing.guaranteeDue(j, now)
	maxPriority := j.maxVictimPriority(guaranteeDue)
	if !hasTaskUpTo(&s.observedTasks.byPriority, maxPriority) || s.exhausted.hasNoVictims(j, guaranteeDue) {
		return selection{}
	}
	var bestCost clock.Micros
	looked := 0
	in.walk(0, s.rng.Uint64(), func(m *machineState) bool {
		s.examined++
		if !hasTaskUpTo(&m.tasksByPriority, maxPriority) || !s.mayOffer(j, m, now) {
			return false
		}
		looked++
		found := victimsOn(j, m, guaranteeDue, now)
		if len(found.tasks) > 0 && (best.machine == nil || s.prefersPreemption(j, m, found.cost, best.machine, bestCost)) {
			best, bestCost = selection{m, found.tasks, found.overGuarantee}, found.cost
		}
		// What has hardly begun is as good a choice as any.
		return looked >= 8*s.timing.Sample || best.machine != nil && bestCost < preemptionCostStep
	})
	if best.machine == nil && in == &s.capacity.all {
		s.exhausted.markNoVictims(j, guaranteeDue)
	}
	return best
}

// prefersPreemption reports whether to preempt on a machine at a cost is better than on another.
func (s *selector) prefersPreemption(j *job, m *machineState, cost clock.Micros, other *machineState, otherCost clock.Micros) bool {
	if a, b := cost/preemptionCostStep, otherCost/preemptionCostStep; a != b {
		return a < b
	}
	return s.prefers(j, m, other)
}

// maxVictimPriority is the highest priority of tasks that may be stopped for a job.
func (j *job) maxVictimPriority(guaranteeDue bool) int {
	switch {
	case j.withinGuarantee && guaranteeDue:
		return priorities - 1
	case j.withinGuarantee:
		return j.PriorityLevel
	default:
		return j.PriorityLevel - 1
	}
}

// victimSet is the tasks to stop on a machine for one task, and what that costs.
type victimSet struct {
	tasks         []peer.TaskID // none: they would not make enough capacity
	cost          clock.Micros  // lost work, and surcharges that order the choices
	overGuarantee bool          // some have the same or a higher priority
}

// Surcharges on the cost of victims, beyond any lost work that matters.
const (
	guaranteedVictimCost = 100 * clock.Second  // what is within a guarantee is stopped last
	higherPriorityCost   = 1000 * clock.Second // lower priorities first
	victimCost           = clock.Second        // for each: few victims rather than many
)

// victimsOn picks the tasks to stop on a machine to make capacity for one of a job.
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
		out.overGuarantee = out.overGuarantee || t.Rank >= j.PriorityLevel
		if t.Covered {
			out.cost += guaranteedVictimCost
		}
	}
	if out.overGuarantee {
		out.cost += higherPriorityCost
	}
	if !j.Need.Fits(free) {
		return victimSet{}
	}
	return out
}

// mayStop reports whether an observed task may be stopped for one of a job.
func (j *job) mayStop(t *observedTask, guaranteeDue bool, now clock.Micros) bool {
	if !t.counted || t.Stopping || now < t.preemptingUntil || t.Team == "" || t.Covered && t.Rank >= j.PriorityLevel {
		return false
	}
	return t.Rank < j.PriorityLevel || j.withinGuarantee && t.Team != j.team.Name && (t.Rank == j.PriorityLevel || guaranteeDue)
}

// compareVictims orders tasks by which is to be stopped first: lower priority, beyond a guarantee, the latest start.
func compareVictims(a, b *observedTask) int {
	if a.Covered != b.Covered && a.Rank == b.Rank {
		if b.Covered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
}
