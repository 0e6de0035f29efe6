package scheduler

import (
	"math"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

func (j *job) deadline() clock.Micros {
	if j.DeadlineS == nil {
		return math.MaxInt64
	}
	return j.acceptedAt + clock.FromSeconds(*j.DeadlineS)
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
	sort.Slice(list, func(a, b int) bool { return list[a].ModRevision < list[b].ModRevision })
	var sum resources.Amounts
	for _, j := range list {
		sum = sum.Plus(j.Need.Times(int64(j.Tasks)))
		j.withinGuarantee = sum.CPU <= tm.Guarantee.CPU && sum.GPU <= tm.Guarantee.GPU
	}
}

// schedulingOrder sorts the jobs that have tasks to place: what can still meet its
// deadline first, by rank, guarantee, deadline and age; then what can still be
// in time by the longer measure that an objective sets, in the same schedulingOrder; then
// what is late, the longest tasks first.
func (s *Scheduler) schedulingOrder(now clock.Micros) []*job {
	var out []*job
	for _, tm := range s.teams {
		tm.markWithinGuarantee()
		for _, j := range tm.jobs {
			if !j.cancelling && !j.finalWriteInFlight && j.waiting() > 0 && now >= j.backoffUntil {
				out = append(out, j)
			}
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		lx, ly := s.lateness(x, now), s.lateness(y, now)
		if lx != ly {
			return lx < ly
		}
		if lx == pastObjective && x.RuntimeEstimateS != y.RuntimeEstimateS {
			return x.RuntimeEstimateS > y.RuntimeEstimateS
		}
		if x.PriorityLevel != y.PriorityLevel {
			return x.PriorityLevel > y.PriorityLevel
		}
		if x.withinGuarantee != y.withinGuarantee {
			return x.withinGuarantee
		}
		if !x.withinGuarantee && x.team.aboveShare != y.team.aboveShare {
			return y.team.aboveShare
		}
		// Of work with deadlines the smallest rests go first, so that most jobs are in
		// time: what waits longer than by plan waits for machines that can't be had.
		if u, v := x.waitingWork(), y.waitingWork(); x.DeadlineS != nil && y.DeadlineS != nil && u != v {
			return u < v
		}
		if x.deadline() != y.deadline() {
			return x.deadline() < y.deadline()
		}
		if fx, fy := s.latestStart(x), s.latestStart(y); fx != fy {
			return fx < fy
		}
		return x.ModRevision < y.ModRevision
	})
	return out
}

// latestStart is when a job's tasks should start so that it is finished within its
// class's time: of jobs without a deadline, those with long tasks can wait least.
func (s *Scheduler) latestStart(j *job) clock.Micros {
	within, ok := s.timing.Finishes[j.Class]
	if !ok {
		return math.MaxInt64
	}
	return j.acceptedAt + within - clock.FromSeconds(j.RuntimeEstimateS)
}

// waitingWork is the work of a job that waits, in CPU seconds.
func (j *job) waitingWork() float64 {
	return float64(j.waiting()) * j.Need.CPUs() * max(j.RuntimeEstimateS, 1)
}

// missesDeadline tells that a job can't meet its deadline any more.
func (j *job) missesDeadline(now clock.Micros) bool {
	return j.DeadlineS != nil && j.earliestFinish(now) > j.deadline()
}

// earliestFinish is when a job's last task may be over at best.
func (j *job) earliestFinish(now clock.Micros) clock.Micros {
	return now + clock.FromSeconds(j.RuntimeEstimateS*0.7)
}

// How late a job is.
const (
	onTime        = iota
	pastDeadline  // but not by the longer measure of its class's objectives
	pastObjective // nothing is left to be in time for but the end of all
)

func (s *Scheduler) lateness(j *job, now clock.Micros) int {
	if !j.missesDeadline(now) {
		return onTime
	}
	if j.earliestFinish(now) <= j.acceptedAt+clock.FromSeconds(*j.DeadlineS*s.timing.Times[j.Class]) {
		return pastDeadline
	}
	return pastObjective
}
