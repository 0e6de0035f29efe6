package scheduler

import (
	"math"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// What a job's deadline and the objectives of the settings say of its urgency. All of it is a function of the
// job, the settings and the time.

// lateness is how late a job is.
type lateness int

const (
	onTime        lateness = iota
	pastDeadline           // but not by the longer measure of its class's objective
	pastObjective          // by that as well: only the end of all work matters
)

// deadline is when a job should be done; the end of time without a deadline.
func (j *job) deadline() clock.Micros {
	if j.DeadlineS == nil {
		return math.MaxInt64
	}
	return j.acceptedAt + clock.FromSeconds(*j.DeadlineS)
}

// missesDeadline reports whether a job can't meet its deadline any more.
func (j *job) missesDeadline(now clock.Micros) bool {
	return j.DeadlineS != nil && j.earliestFinish(now) > j.deadline()
}

// earliestFinishPart is the part of its estimate that a task takes at best: many end before it.
const earliestFinishPart = 0.7

// earliestFinish is when a job's last task may be over at best.
func (j *job) earliestFinish(now clock.Micros) clock.Micros {
	return now + clock.FromSeconds(j.RuntimeEstimateS*earliestFinishPart)
}

// latestStart is when a job's tasks should start so that it is finished within its
// class's time: of jobs without a deadline, those with long tasks can wait least.
func (t *Timing) latestStart(j *job) clock.Micros {
	within, ok := t.Finishes[j.Class]
	if !ok {
		return math.MaxInt64
	}
	return j.acceptedAt + within - clock.FromSeconds(j.RuntimeEstimateS)
}

// latenessOf returns how late a job is.
func (t *Timing) latenessOf(j *job, now clock.Micros) lateness {
	if !j.missesDeadline(now) {
		return onTime
	}
	if j.earliestFinish(now) <= j.acceptedAt+clock.FromSeconds(*j.DeadlineS*t.Times[j.Class]) {
		return pastDeadline
	}
	return pastObjective
}

// cannotAffordRetry reports whether the time for a job is too short to notice that a machine
// was taken and run its tasks once more.
func (t *Timing) cannotAffordRetry(j *job) bool {
	twice := clock.FromSeconds(2*j.RuntimeEstimateS) + t.Lease
	within, ok := t.Finishes[j.Class]
	return ok && within < twice || j.DeadlineS != nil && clock.FromSeconds(*j.DeadlineS) < twice
}

// mayPreempt reports whether a job has waited long enough to take capacity from others.
func (t *Timing) mayPreempt(j *job, now clock.Micros) bool {
	return j.stalledSince != 0 && now >= j.stalledSince+t.PreemptAfter
}

// guaranteeDue reports whether nothing at all of a job has found capacity for most of the time within which guaranteed
// work should start. Work of higher priority goes first, but a guarantee is not put off for long.
func (t *Timing) guaranteeDue(j *job, now clock.Micros) bool {
	return t.Guarantee > 0 && j.noRoomSince != 0 && now >= j.noRoomSince+t.Guarantee*3/5
}
