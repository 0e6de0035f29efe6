package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A job whose tasks fail on every machine must not keep taking the capacity that its failures free: the whole job backs off.
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
	require.Less(t, starts, 40, "starts in ten seconds of failures")
	require.NotZero(t, sim.scheduler.teams[red].jobs["job-1"].failures.backoffUntil)
}

// Concurrent image fetches share a machine's rate, so two images on one machine delay the tasks of both jobs. When two jobs
// with different images are placed on machines that have neither, each machine must fetch only one of the images, and the tasks
// of a job must stay on one machine.
func TestImagesAreFetchedOnSeparateMachines(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.scheduler.SetFetchRates(map[string]float64{"big": 0.25})
	sim.scheduler.parameters.StartObjectives = map[string]clock.Micros{"rescore": 4 * sec}
	for i := range 2 {
		sim.addJob(fmt.Sprintf("job-%d", i), 3, func(j *wire.Job) {
			j.Class, j.Image, j.ImageGB = "rescore", fmt.Sprintf("img-%d", i), 2
		})
	}
	sim.addJob("job-9", 1, func(j *wire.Job) { j.CPUs, j.Zone = 8, "nowhere" }) // waits for ever; compared to it the others are small
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

// With Economy, a job must not take the last capacity on machines without its image at once, nor wait for its image for ever: it
// waits for as long as a fetch would take and then uses that capacity.
func TestEconomyWaitsForImage(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 10, 0)
	sim.scheduler.parameters.Economy = true
	sim.scheduler.SetFetchRates(map[string]float64{"big": 0.5})
	sim.runSteps(8)
	image := func(j *wire.Job) { j.Image, j.ImageGB = "img-1", 2 }
	sim.addJob("job-1", 1, func(j *wire.Job) { image(j); j.CPUs = 8 }) // its machine has the image, but no capacity left
	sim.runSteps(4)
	sim.addJob("job-2", 35, nil) // leaves capacity for one task on the other machines
	sim.runSteps(4)
	require.Equal(t, 36, sim.runningTasks())
	sim.addJob("job-3", 1, image)
	submittedAt := sim.now
	for len(sim.scheduler.teams[red].jobs["job-3"].assignments) == 0 && sim.now < submittedAt+20*sec {
		sim.runSteps(1)
	}
	require.InDelta(t, 4, (sim.now - submittedAt).Seconds(), 0.6)
}

// A job that would miss its objective if the cloud reclaimed its machine must be placed on on-demand machines only, and other
// jobs on spot instances, with and without Economy.
func TestUrgentJobsArePlacedOnOnDemandMachinesOnly(t *testing.T) {
	for _, economy := range []bool{false, true} {
		sim := newSimulationWithLimit(t, 1, 4, 0)
		sim.scheduler.parameters.Economy, sim.scheduler.parameters.WorkerLease = economy, 20*sec
		sim.scheduler.parameters.FinishObjectives = map[string]clock.Micros{"refit": 30 * sec}
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

// Tasks of high priority take all capacity as soon as it becomes free. A large job of lower priority must not starve: its first
// task starts within a bounded time.
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
		for _, id := range sim.machineIDs { // tasks exit at random, about 1 in 80 per step
			for _, task := range sim.workers[id].SortedTasks() {
				if task.Phase != wire.TaskExited && sim.rng.IntN(80) == 0 {
					task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
				}
			}
		}
	}
	require.True(t, started())
	require.Less(t, sim.now-sim.scheduler.teams[red].jobs["job-2"].acceptedAt, 240*sec)
}
