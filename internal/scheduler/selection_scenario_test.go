package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A job that fails everywhere backs off as a whole.
func TestFailingJobBacksOff(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 4, nil)
	starts := 0
	for range 40 {
		sim.runSteps(1)
		starts += sim.exitAll(wire.CauseError)
	}
	require.Positive(t, starts)
	require.Less(t, starts, 40, "ten seconds of failures")
	require.NotZero(t, sim.scheduler.teams[red].jobs["job-1"].backoffUntil)
}

// Two jobs with an image each are placed on machines that have neither: each machine
// fetches one image, and the tasks of a job stay together.
func TestImagesAreFetchedOnSeparateMachines(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.scheduler.SetFetchRates(map[string]float64{"big": 0.25})
	sim.scheduler.timing.Waits = map[string]clock.Micros{"rescore": 4 * sec}
	for i := range 2 {
		sim.addJob(fmt.Sprintf("job-%d", i), 3, func(j *wire.Job) {
			j.Class, j.Image, j.ImageGB = "rescore", fmt.Sprintf("img-%d", i), 2
		})
	}
	sim.addJob("job-9", 1, func(j *wire.Job) { j.CPUs, j.Zone = 8, "nowhere" }) // a large task waits, so that those are small
	sim.schedule()
	images := map[string]map[string]bool{}
	for id, m := range sim.scheduler.machines {
		for _, a := range m.assignments {
			if images[id] == nil {
				images[id] = map[string]bool{}
			}
			images[id][a.job.Image] = true
		}
	}
	require.Len(t, images, 2)
	for _, ofMachine := range images {
		require.Len(t, ofMachine, 1)
	}
}

// With economy a job leaves the last capacity on machines without its
// image to others for as long as a fetch would take; then it uses it.
func TestEconomyWaitsForImage(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 10, 0)
	sim.scheduler.timing.Economy = true
	sim.scheduler.SetFetchRates(map[string]float64{"big": 0.5})
	sim.runSteps(8)
	image := func(j *wire.Job) { j.Image, j.ImageGB = "img-1", 2 }
	sim.addJob("job-1", 1, func(j *wire.Job) { image(j); j.CPUs = 8 }) // one machine has the image, and no capacity left
	sim.runSteps(4)
	sim.addJob("job-2", 35, nil) // the others have capacity for one task
	sim.runSteps(4)
	require.Equal(t, 36, sim.runningTasks())
	sim.addJob("job-3", 1, image)
	began := sim.now
	for len(sim.scheduler.teams[red].jobs["job-3"].assignments) == 0 && sim.now < began+20*sec {
		sim.runSteps(1)
	}
	require.InDelta(t, 4, (sim.now - began).Seconds(), 0.6)
}

// Jobs that could not be in time if a machine were taken from them keep to those
// that are not taken; the others leave those to them.
func TestUrgentJobsKeepToOnDemandMachines(t *testing.T) {
	for _, economy := range []bool{false, true} {
		sim := newSimulationWithLimit(t, 1, 4, 0)
		sim.scheduler.timing.Economy, sim.scheduler.timing.Lease = economy, 20*sec
		sim.scheduler.timing.Finishes = map[string]clock.Micros{"refit": 30 * sec}
		sim.workers["m-0"].Spot, sim.workers["m-3"].Spot = true, true
		sim.runSteps(8)
		due := 500.0
		sim.addJob("job-1", 1, func(j *wire.Job) { j.CPUs, j.RuntimeEstimateS, j.DeadlineS = 8, 10, &due })
		sim.addJob("job-2", 4, func(j *wire.Job) { j.Class, j.RuntimeEstimateS, j.CPUs = "refit", 10, 1 })
		sim.runSteps(4)
		for _, id := range sim.machineIDs {
			for _, task := range sim.workers[id].Tasks {
				job, _, _ := wire.SplitTask(task.Task)
				require.Equal(t, job == "job-1", sim.workers[id].Spot, "%s on %s", task.Task, id)
			}
		}
		require.Equal(t, 5, sim.runningTasks())
	}
}

// Work of high priority takes all capacity there is, for as long as it runs; a large job of
// low priority starts all the same.
func TestLowPriorityJobStartsWithinBoundedTime(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 2, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 500, func(j *wire.Job) { j.Priority = "high" })
	sim.runSteps(4)
	sim.addJob("job-2", 100, nil)
	started := func() bool { return sim.scheduler.teams[red].jobs["job-2"].hasStarted() }
	for range 4 * 160 {
		if started() {
			break
		}
		sim.runSteps(1)
		for _, id := range sim.machineIDs { // a task ends now and then
			for _, task := range sim.workers[id].InOrder() {
				if task.Phase != wire.TaskExited && sim.rng.IntN(80) == 0 {
					task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
				}
			}
		}
	}
	require.True(t, started())
	require.Less(t, sim.now-sim.scheduler.teams[red].jobs["job-2"].acceptedAt, 240*sec)
}
