package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// schedulingOrder returns the queue: the jobs that have tasks to place, in the order in which these are placed. Jobs that
// can still meet their deadline, or have none, come first, ordered by priority, guarantee, fair share, waiting work (if both
// have deadlines), deadline, latest start and age. Next come jobs that can only meet the longer bound of an objective
// (Parameters.MaxDeadlineMultiples), in the same order. Last come jobs that miss both, those with the longest tasks first.
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
	slices.SortFunc(out, func(a, b *job) int { return s.parameters.compareJobs(a, b, now) })
	return out
}

// isPlaceable reports whether the job has waiting tasks, and is neither about to end nor backing off after failures.
func (j *job) isPlaceable(now clock.Micros) bool {
	return !j.cancelling && !j.finalWriteInFlight && j.waiting() > 0 && now >= j.failures.backoffUntil
}

// compareJobs compares two jobs by their order in the queue, see schedulingOrder.
func (t *Parameters) compareJobs(a, b *job, now clock.Micros) int {
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
	// The least waiting work goes first, so that as many jobs as possible meet their deadlines: when jobs wait longer than
	// planned, no more machines can be rented, and some jobs will be late in any order.
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

// firstIf returns a comparison result that puts the first job in front if the condition holds, else the second.
func firstIf(holdsForFirst bool) int {
	if holdsForFirst {
		return -1
	}
	return 1
}

// markWithinGuarantee marks the jobs within the team's guarantee: those whose tasks fit it together with the tasks of all
// unfinished jobs of the team that were accepted earlier.
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

// waitingWork returns the work of the job's waiting tasks in CPU seconds.
func (j *job) waitingWork() float64 {
	return float64(j.waiting()) * j.Need.CPUs() * max(j.RuntimeEstimateS, 1)
}
