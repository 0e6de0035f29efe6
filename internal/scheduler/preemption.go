package scheduler

import (
	"cmp"
	"slices"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// preemptOwn stops tasks of lower rank of the job's own team, where the team's
// limit leaves no room for it. It is placed once they are gone for certain.
func (s *Scheduler) preemptOwn(j *job, now clock.Micros) {
	if j.stalledSince == 0 {
		j.stalledSince = now
	}
	if j.missesDeadline(now) || !s.mayPreempt(j, now) {
		return
	}
	used := j.team.used.Plus(j.team.unaccountedCapacity)
	var cand []*assignment
	for _, o := range j.team.jobs {
		for _, b := range o.assignments {
			switch {
			case b.stopping:
				used = used.Minus(o.Need)
			case o.PriorityLevel < j.PriorityLevel && !b.unanswered:
				cand = append(cand, b)
			}
		}
	}
	sort.Slice(cand, func(a, b int) bool {
		if cand[a].assignedAt != cand[b].assignedAt {
			return cand[a].assignedAt > cand[b].assignedAt
		}
		return cand[a].id.String() < cand[b].id.String()
	})
	wanted := j.Need.Times(int64(j.waiting()))
	for _, b := range cand {
		if withinQuota(used.Plus(wanted), j.team.Limit) {
			return
		}
		used = used.Minus(b.job.Need)
		s.counters.Preempted++
		s.requestStop(b, b.job.StopGraceS())
	}
}

// mayPreempt tells that a job has waited long enough to take room from others.
func (s *Scheduler) mayPreempt(j *job, now clock.Micros) bool {
	return j.stalledSince != 0 && now >= j.stalledSince+s.timing.PreemptAfter
}

// preemptionCostStep is how much lost work makes a difference: below it, small tasks
// gather where they do otherwise.
const preemptionCostStep = 5 * clock.Second

// preempt looks for room that tasks of lower rank hold or, for a job within
// its team's guarantee, tasks that other teams run beyond theirs; the least
// work is lost. Work that is late already takes no room from others: it would
// be as late, and what it stops would be late too. Like any search, it looks at
// some of the machines in question, not at the fleet.
func (s *Scheduler) preempt(j *job, in *capacityIndex, now clock.Micros) (best *machineState, victims []peer.TaskID, over bool) {
	if in == nil || j.missesDeadline(now) {
		return nil, nil, false
	}
	// Work of higher rank goes first, but a guarantee is not put off for long:
	// while nothing at all of it finds room.
	owed := s.timing.Guarantee > 0 && j.noRoomSince != 0 && now >= j.noRoomSince+s.timing.Guarantee*3/5
	most := j.PriorityLevel - 1 // the highest rank that may be stopped
	if j.withinGuarantee && owed {
		most = len(s.tasksByPriority) - 1
	} else if j.withinGuarantee {
		most = j.PriorityLevel
	}
	if !hasTaskUpTo(&s.tasksByPriority, most) || s.exhausted.hasNoVictims(j, owed) {
		return nil, nil, false
	}
	var bestCost clock.Micros
	looked := 0
	in.walk(0, s.rng.Uint64(), func(m *machineState) bool {
		s.counters.Looked++
		if !hasTaskUpTo(&m.tasksByPriority, most) || !s.mayOffer(j, m, now) {
			return false
		}
		looked++
		v, cost, o := s.victimsOn(j, m, owed, now)
		if len(v) > 0 && (best == nil || cost/preemptionCostStep < bestCost/preemptionCostStep ||
			cost/preemptionCostStep == bestCost/preemptionCostStep && s.prefers(j, m, best)) {
			best, victims, bestCost, over = m, v, cost, o
		}
		// What has hardly begun is as good a choice as any.
		return looked >= 8*s.timing.Sample || best != nil && bestCost < preemptionCostStep
	})
	if best == nil && in == &s.capacity {
		s.exhausted.markNoVictims(j, owed)
	}
	return best, victims, over
}

// hasTaskUpTo tells that there are tasks of a rank up to the given one.
func hasTaskUpTo(ranks *[4]int, most int) bool {
	for r := 0; r <= most; r++ {
		if ranks[r] > 0 {
			return true
		}
	}
	return false
}

// victimsOn picks the tasks to stop on a machine to make room for one of a job;
// none when that makes no room.
func (s *Scheduler) victimsOn(j *job, m *machineState, owed bool, now clock.Micros) (out []peer.TaskID, cost clock.Micros, over bool) {
	var cand []*observedTask
	for _, t := range m.tasks {
		if !t.counted || t.Stopping || now < t.preemptingUntil || t.Team == "" || t.Covered && t.Rank >= j.PriorityLevel {
			continue
		}
		if t.Rank < j.PriorityLevel || j.withinGuarantee && t.Team != j.team.Name && (t.Rank == j.PriorityLevel || owed) {
			cand = append(cand, t)
		}
	}
	slices.SortFunc(cand, func(a, b *observedTask) int {
		if a.Covered != b.Covered && a.Rank == b.Rank {
			if b.Covered {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
	})
	free := m.available
	for _, t := range cand {
		if j.Need.Fits(free) {
			break
		}
		free = free.Plus(t.Need)
		out = append(out, t.ID)
		cost += now - t.startedAt + clock.Second
		over = over || t.Rank >= j.PriorityLevel
		if t.Covered {
			cost += 100 * clock.Second // what is guaranteed goes last
		}
	}
	if over {
		cost += 1000 * clock.Second // lower ranks first
	}
	if !j.Need.Fits(free) {
		return nil, 0, false
	}
	return out, cost, over
}
