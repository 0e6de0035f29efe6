package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/wire"
)

// simulationWithCosts is a simulation of three machines of which one has the image of job-1.
func simulationWithCosts(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulationWithLimit(t, 1, 3, 0)
	sim.scheduler.timing.Costs = &Costs{Weights: placement.Weights{Data: 1}, ImageWait: 2 * sec}
	sim.scheduler.SetFetchRates(map[string]float64{"big": 1})
	sim.runSteps(8)
	sim.addJob("job-1", 1, withImage)
	sim.runSteps(4)
	return sim
}

// machineRunning is the machine that runs a task.
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

// withImage gives a job an image of 4 GB and an estimate.
func withImage(j *wire.Job) { j.Image, j.ImageGB, j.RuntimeEstimateS = "img", 4, 30 }

// The image decides while a fetch costs more than the speed, and the speed once it doesn't.
func TestCostSelectionWeighsImageAgainstPace(t *testing.T) {
	sim := simulationWithCosts(t)
	home := sim.machineRunning("job-1/0")
	sim.addJob("job-2", 1, withImage)
	sim.runSteps(4)
	require.True(t, sim.workers[home].Running("job-2/0"), "the image is there")
	m := sim.scheduler.machines[home]
	m.paceSum, m.paceSamples = 1.5*minPaceSamples, minPaceSamples // 15 s more, a fetch is 4 s
	sim.addJob("job-3", 1, withImage)
	sim.runSteps(4)
	require.False(t, sim.workers[home].Running("job-3/0"), "the fetch costs less than the slow machine")
}

// While the machines with the image are in use, free capacity elsewhere is left for a moment, and
// used then.
func TestCostSelectionWaitsForImageForBoundedTime(t *testing.T) {
	sim := simulationWithCosts(t)
	home := sim.machineRunning("job-1/0")
	sim.addJob("job-2", 3, withImage) // fills the machine
	sim.runSteps(4)
	require.Equal(t, 4, sim.runningTasks())
	sim.addJob("job-3", 1, withImage)
	sim.runSteps(4)
	require.Equal(t, 4, sim.runningTasks(), "it waits")
	sim.runSteps(12)
	require.Equal(t, 5, sim.runningTasks(), "and no longer than two seconds")
	at := sim.machineRunning("job-3/0")
	require.NotEqual(t, home, at)
}

// Without the rate at which images are fetched, or with a job whose image has no size,
// machines are chosen as without costs.
func TestCostSelectionFallsBackWhenDataIsMissing(t *testing.T) {
	place := func(costs, rates bool, size float64) []string {
		sim := newSimulationWithLimit(t, 1, 4, 0)
		if costs {
			sim.scheduler.timing.Costs = &Costs{Weights: placement.Weights{Data: 1}, ImageWait: 60 * sec}
		}
		if rates {
			sim.scheduler.SetFetchRates(map[string]float64{"big": 1})
		}
		sim.runSteps(8)
		var at []string
		for _, id := range []string{"job-1", "job-2", "job-3"} {
			sim.addJob(id, 2, func(j *wire.Job) { j.Image, j.ImageGB, j.RuntimeEstimateS = id, size, 30 })
			sim.runSteps(4)
			home := sim.machineRunning(id + "/1")
			at = append(at, home)
		}
		return at
	}
	require.Equal(t, place(false, false, 4), place(true, false, 4), "no rate is known")
	require.Equal(t, place(false, true, 0), place(true, true, 0), "the image has no size")
}
