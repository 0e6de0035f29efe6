package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A job of high priority must preempt tasks of lower priority, and no more of them than it needs. A job that can't meet its
// deadline any more must not preempt: it would make other work late and be late all the same.
func TestPreemptionStopsLowerPriorityTasks(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runSteps(8)
	sim.addJob("job-1", 4, nil)
	sim.runSteps(4)
	require.Equal(t, 4, sim.runningTasks())
	due := 0.5
	sim.addJob("job-2", 1, func(j *wire.Job) { j.Priority, j.DeadlineS, j.RuntimeEstimateS = "high", &due, 60 })
	sim.runSteps(12)
	require.False(t, sim.workers["m-0"].Running("job-2/0"), "the job can't meet its deadline any more")
	sim.addJob("job-3", 1, func(j *wire.Job) { j.Priority = "high" })
	sim.runSteps(12)
	require.True(t, sim.workers["m-0"].Running("job-3/0"))
	require.Equal(t, 4, sim.runningTasks())
}

// A guaranteed job of low priority must not preempt tasks of higher priority while some of its tasks find capacity. It does once
// none of them has found any for most of the time within which guaranteed work should start.
func TestGuaranteedJobPreemptsHigherPriorityOnlyWhenNothingFits(t *testing.T) {
	for _, trickle := range []bool{true, false} {
		sim := newSimulationWithLimit(t, 1, 2, 0)
		sim.scheduler.parameters.GuaranteeObjective = 5 * sec
		j := guaranteedJob(sim.now)
		sim.runSteps(8)
		sim.addJob("job-1", 8, func(j *wire.Job) { j.Priority = "high" })
		sim.runSteps(4)
		require.Equal(t, 8, sim.runningTasks())
		preempted := false
		for step := range 40 {
			sim.now += 250 * clock.Millisecond
			sim.scheduler.exhausted = exhaustedDemand{}
			if trickle && step%4 == 0 {
				m := sim.scheduler.machines["m-0"]
				m.available = j.Need // as if another job's task had exited
				sim.scheduler.reindex(m)
			}
			sim.scheduler.scheduleJob(j, 1, sim.now)
			for _, session := range sim.scheduler.sessions {
				for _, a := range session.pending.Asks {
					preempted = preempted || a.Over
				}
				session.pending = peer.Batch{}
			}
		}
		require.Equal(t, !trickle, preempted)
	}
}

// guaranteedJob returns a job of 50 tasks that is within the guarantee of a team of its own.
func guaranteedJob(acceptedAt clock.Micros) *job {
	spec := wire.Job{ID: "job-9", Team: "blue", Priority: "normal", Tasks: 50, CPUs: 2, MemGB: 1, Spot: true}
	return &job{
		Job: jobs.New(jobs.Record{Job: spec}, 1),
		team: &team{
			Team:        Team{Name: "blue", Guarantee: resources.Capacity(100, 0, 0)},
			term:        1,
			jobs:        map[string]*job{},
			accounted:   map[string]bool{},
			unaccounted: map[string]bool{},
		},
		withinGuarantee: true,
		watermark:       50,
		acceptedAt:      acceptedAt,
		assignments:     map[int]*assignment{},
		tasksByZone:     map[string]int{},
		done:            make([]uint64, 1),
	}
}

// Capacity for a large job of high priority becomes free one task at a time. Placing single tasks there must not reset the time
// after which the job may preempt tasks of lower priority.
func TestPreemptionIsNotDelayedByCapacityFreedGradually(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 16, nil)
	sim.runSteps(4)
	require.Equal(t, 16, sim.runningTasks())
	sim.addJob("job-2", 12, func(j *wire.Job) { j.Priority = "high" })
	for step := range 8 {
		for _, task := range sim.workers[sim.machineIDs[step%4]].SortedTasks() { // one task exits in every cycle
			if task.Phase != wire.TaskExited {
				task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
				break
			}
		}
		sim.runSteps(1)
	}
	high := 0
	for _, worker := range sim.workers {
		for _, task := range worker.Tasks {
			if job, _, _ := wire.SplitTask(task.Task); job == "job-2" {
				high++
			}
		}
	}
	require.Equal(t, 12, high)
}
