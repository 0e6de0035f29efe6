package scheduler

import (
	"math"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// This file derives the urgency of a job from its deadline and the objectives in the settings. Every result depends only on
// the job, the settings and the time.

// lateness is how late a job is; jobs with a higher value are placed later.
type lateness int

const (
	onTime        lateness = iota
	pastDeadline           // misses its deadline, but can meet the longer bound of its class's objective (Parameters.MaxDeadlineMultiples)
	pastObjective          // misses that as well: its own lateness no longer matters, only how soon all work is done
)

// deadline returns the time at which the job should be done, or the maximum time if it has no deadline.
func (j *job) deadline() clock.Micros {
	if j.DeadlineS == nil {
		return math.MaxInt64
	}
	return j.acceptedAt + clock.FromSeconds(*j.DeadlineS)
}

// missesDeadline reports whether the job can't meet its deadline any more.
func (j *job) missesDeadline(now clock.Micros) bool {
	return j.DeadlineS != nil && j.earliestFinish(now) > j.deadline()
}

// minRuntimeFraction is the fraction of its estimated run time that a task is assumed to take at least: many end before the
// estimate.
const minRuntimeFraction = 0.7

// earliestFinish returns the earliest time at which the job's last task may end, if it starts now.
func (j *job) earliestFinish(now clock.Micros) clock.Micros {
	return now + clock.FromSeconds(j.RuntimeEstimateS*minRuntimeFraction)
}

// latestStart returns the time by which the job's tasks should start for the job to meet the finish objective of its class,
// or the maximum time if there is none. It orders jobs with the same deadline or none: those with long tasks can wait least.
func (t *Parameters) latestStart(j *job) clock.Micros {
	within, ok := t.FinishObjectives[j.Class]
	if !ok {
		return math.MaxInt64
	}
	return j.acceptedAt + within - clock.FromSeconds(j.RuntimeEstimateS)
}

func (t *Parameters) latenessOf(j *job, now clock.Micros) lateness {
	if !j.missesDeadline(now) {
		return onTime
	}
	if j.earliestFinish(now) <= j.acceptedAt+clock.FromSeconds(*j.DeadlineS*t.MaxDeadlineMultiples[j.Class]) {
		return pastDeadline
	}
	return pastObjective
}

// cannotAffordRetry reports whether the job's deadline or finish objective leaves too little time to detect the loss of a
// machine and run its tasks a second time.
func (t *Parameters) cannotAffordRetry(j *job) bool {
	timeWithRetry := clock.FromSeconds(2*j.RuntimeEstimateS) + t.WorkerLease
	within, ok := t.FinishObjectives[j.Class]
	return ok && within < timeWithRetry || j.DeadlineS != nil && clock.FromSeconds(*j.DeadlineS) < timeWithRetry
}

// mayPreempt reports whether a job has lacked capacity, or room below its team's limit, for long enough to preempt tasks.
func (t *Parameters) mayPreempt(j *job, now clock.Micros) bool {
	return j.stalledSince != 0 && now >= j.stalledSince+t.PreemptAfter
}

// guaranteeDue reports whether no task of a job has found capacity for three fifths of the time within which guaranteed work
// should start. Until then work of higher priority has precedence over the guarantee.
func (t *Parameters) guaranteeDue(j *job, now clock.Micros) bool {
	return t.GuaranteeObjective > 0 && j.noPlacementSince != 0 && now >= j.noPlacementSince+t.GuaranteeObjective*3/5
}
