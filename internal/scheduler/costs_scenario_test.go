package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/wire"
)

// simulationWithCosts returns a simulation of three machines that are chosen by cost. One of them has the image of job-1.
func simulationWithCosts(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulationWithLimit(t, 1, 3, 0)
	sim.scheduler.parameters.Costs = &Costs{Weights: placement.Weights{ImageFetch: 1}, ImageWait: 2 * sec}
	sim.scheduler.SetFetchRates(map[string]float64{"big": 1})
	sim.runSteps(8)
	sim.addJob("job-1", 1, withImage)
	sim.runSteps(4)
	return sim
}

// machineRunning returns the machine that runs a task.
func (s *simulation) machineRunning(task string) (machine string) {
	s.t.Helper()
	for _, id := range s.machineIDs {
		if s.workers[id].Running(task) {
			machine = id
		}
	}
	require.NotEmpty(s.t, machine, task)
	return machine
}

// withImage gives a job an image of 4 GB and an estimated run time of 30 s.
func withImage(j *wire.Job) { j.Image, j.ImageGB, j.RuntimeEstimateS = "img", 4, 30 }

// A machine with the image must be chosen, but only until its slowness costs more than fetching the image on another machine.
func TestCostSelectionWeighsImageAgainstSlowdown(t *testing.T) {
	sim := simulationWithCosts(t)
	imageMachine := sim.machineRunning("job-1/0")
	sim.addJob("job-2", 1, withImage)
	sim.runSteps(4)
	require.True(t, sim.workers[imageMachine].Running("job-2/0"), "the machine has the image")
	m := sim.scheduler.machines[imageMachine]
	m.slowdownSum, m.slowdownSamples = 1.5*minSlowdownSamples, minSlowdownSamples // costs 15 s; a fetch costs 4 s
	sim.addJob("job-3", 1, withImage)
	sim.runSteps(4)
	require.False(t, sim.workers[imageMachine].Running("job-3/0"), "the fetch costs less than the slow machine")
}

// While the machines with its image have no capacity, a job leaves free capacity elsewhere to others. It must not wait for longer
// than ImageWait.
func TestCostSelectionWaitsForImageForBoundedTime(t *testing.T) {
	sim := simulationWithCosts(t)
	imageMachine := sim.machineRunning("job-1/0")
	sim.addJob("job-2", 3, withImage) // takes the rest of the machine's capacity
	sim.runSteps(4)
	require.Equal(t, 4, sim.runningTasks())
	sim.addJob("job-3", 1, withImage)
	sim.runSteps(4)
	require.Equal(t, 4, sim.runningTasks(), "job-3 waits")
	sim.runSteps(12)
	require.Equal(t, 5, sim.runningTasks(), "job-3 waits for no longer than two seconds")
	chosen := sim.machineRunning("job-3/0")
	require.NotEqual(t, imageMachine, chosen)
}

// If the fetch rate or the size of an image is unknown, no cost can be estimated. Machines must then be chosen as without costs,
// instead of jobs waiting for ImageWait.
func TestCostSelectionFallsBackWhenDataIsMissing(t *testing.T) {
	chosenMachines := func(costs, rates bool, size float64) []string {
		sim := newSimulationWithLimit(t, 1, 4, 0)
		if costs {
			sim.scheduler.parameters.Costs = &Costs{Weights: placement.Weights{ImageFetch: 1}, ImageWait: 60 * sec}
		}
		if rates {
			sim.scheduler.SetFetchRates(map[string]float64{"big": 1})
		}
		sim.runSteps(8)
		var machines []string
		for _, id := range []string{"job-1", "job-2", "job-3"} {
			sim.addJob(id, 2, func(j *wire.Job) { j.Image, j.ImageGB, j.RuntimeEstimateS = id, size, 30 })
			sim.runSteps(4)
			machine := sim.machineRunning(id + "/1")
			machines = append(machines, machine)
		}
		return machines
	}
	require.Equal(t, chosenMachines(false, false, 4), chosenMachines(true, false, 4), "unknown fetch rate")
	require.Equal(t, chosenMachines(false, true, 0), chosenMachines(true, true, 0), "unknown image size")
}
