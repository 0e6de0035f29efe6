package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// The cost of a scheduling cycle and of a poll must not grow with the number of machines that take no part, with or without
// capacity: a cycle that examines them all, or a poll that transfers them all, would be too slow on a large fleet.
func TestCycleCostDoesNotGrowWithFleet(t *testing.T) {
	measure := func(machines int) (examined, polled int) {
		sim := newSimulationWithLimit(t, 9, machines, 0)
		sim.runSteps(8)
		sim.addJob("job-1", 6, nil)
		before := sim.scheduler.examined
		sim.schedule()
		examined = sim.scheduler.examined - before
		require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 6)
		for _, c := range sim.controllers {
			sim.sendBatch(c, true, true)
			request := sim.scheduler.NextPoll(c.name)
			response := c.partitionState.HandlePoll(request, c.processID, sim.now)
			polled += len(response.Machines)
			sim.scheduler.HandlePollResponse(c.name, request, &response, sim.now)
		}
		// No machine is large enough for this job, so that the search must examine none.
		sim.addJob("job-2", 1, func(j *wire.Job) { j.CPUs = 64 })
		before = sim.scheduler.examined
		sim.schedule()
		require.Equal(t, before, sim.scheduler.examined)
		return examined, polled
	}
	smallExamined, smallPolled := measure(60)
	largeExamined, largePolled := measure(1800)
	require.LessOrEqual(t, largeExamined, smallExamined+12, "machines examined")
	require.LessOrEqual(t, largePolled, 6, "machines in responses")
	require.LessOrEqual(t, smallPolled, 6)
}

// After a restart many machines on record have not been seen, and each counts as the largest machine seen. Searching for that
// machine once per unseen machine made a cycle take most of a second on a small share of a core, and delayed the next cycle by
// three times as long. The search must run at most once per cycle.
func TestCycleAfterRestartExaminesEachMachineFewTimes(t *testing.T) {
	s := schedulerAfterRestart(smallFleetSize)
	before := s.examined
	s.Schedule(2 * sec)
	require.Equal(t, smallFleetSize/2, s.teams[red].unaccountedCount)
	require.Equal(t, s.largestMachine().Times(smallFleetSize/2), s.teams[red].unaccountedCapacity)
	require.Less(t, s.examined-before, 4*smallFleetSize)
}
