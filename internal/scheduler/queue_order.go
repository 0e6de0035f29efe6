package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// schedulingOrder is the queue: the jobs that have tasks to place, in order. What can still meet its
// deadline goes first, by priority, guarantee, deadline and age; then what can still be
// in time by the longer measure that an objective sets, in the same order; then
// what is late, the longest tasks first.
func (s *Scheduler) schedulingOrder(now clock.Micros) []*job {
	var out []*job
	for _, tm := range s.teams {
		tm.markWithinGuarantee()
		for _, j := range tm.jobs {
			if j.isPlaceable(now) {
				out = append(out, j)
			}
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return s.timing.compareJobs(a, b, now) })
	return out
}

// isPlaceable reports whether a job has tasks that may be placed now.
func (j *job) isPlaceable(now clock.Micros) bool {
	return !j.cancelling && !j.finalWriteInFlight && j.waiting() > 0 && now >= j.backoffUntil
}

// compareJobs orders two jobs of the queue, see schedulingOrder.
func (t *Timing) compareJobs(a, b *job, now clock.Micros) int {
	lateA, lateB := t.latenessOf(a, now), t.latenessOf(b, now)
	if lateA != lateB {
		return cmp.Compare(lateA, lateB)
	}
	if lateA == pastObjective && a.RuntimeEstimateS != b.RuntimeEstimateS {
		return cmp.Compare(b.RuntimeEstimateS, a.RuntimeEstimateS)
	}
	if a.PriorityLevel != b.PriorityLevel {
		return cmp.Compare(b.PriorityLevel, a.PriorityLevel)
	}
	if a.withinGuarantee != b.withinGuarantee {
		return firstIf(a.withinGuarantee)
	}
	if !a.withinGuarantee && a.team.aboveShare != b.team.aboveShare {
		return firstIf(b.team.aboveShare)
	}
	// Of work with deadlines the smallest rests go first, so that most jobs are in
	// time: what waits longer than by plan waits for machines that can't be had.
	if workA, workB := a.waitingWork(), b.waitingWork(); a.DeadlineS != nil && b.DeadlineS != nil && workA != workB {
		return cmp.Compare(workA, workB)
	}
	if a.deadline() != b.deadline() {
		return cmp.Compare(a.deadline(), b.deadline())
	}
	if startA, startB := t.latestStart(a), t.latestStart(b); startA != startB {
		return cmp.Compare(startA, startB)
	}
	return cmp.Compare(a.ModRevision, b.ModRevision)
}

// firstIf is the result of a comparison by a condition that holds for one side only.
func firstIf(holdsForFirst bool) int {
	if holdsForFirst {
		return -1
	}
	return 1
}

// markWithinGuarantee marks the jobs that are within the team's guarantee: each fits there
// together with the team's earlier unfinished jobs.
func (tm *team) markWithinGuarantee() {
	if tm.Guarantee.CPU == 0 && tm.Guarantee.GPU == 0 {
		return
	}
	list := make([]*job, 0, len(tm.jobs))
	for _, j := range tm.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	var sum resources.Amounts
	for _, j := range list {
		sum = sum.Plus(j.Need.Times(int64(j.Tasks)))
		j.withinGuarantee = sum.CPU <= tm.Guarantee.CPU && sum.GPU <= tm.Guarantee.GPU
	}
}

// waitingWork is the work of a job that waits, in CPU seconds.
func (j *job) waitingWork() float64 {
	return float64(j.waiting()) * j.Need.CPUs() * max(j.RuntimeEstimateS, 1)
}
