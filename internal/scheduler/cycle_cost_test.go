package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// What a cycle of decisions and a poll cost does not grow with machines that are
// not touched: neither those with capacity nor those without.
func TestCycleCostDoesNotGrowWithFleet(t *testing.T) {
	work := func(machines int) (examined, polled int) {
		sim := newSimulationWithLimit(t, 9, machines, 0)
		sim.runSteps(8)
		sim.addJob("job-1", 6, nil)
		before := sim.scheduler.examined
		sim.schedule()
		examined = sim.scheduler.examined - before
		require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 6)
		for _, c := range sim.controllers {
			sim.sendBatch(c, true, true)
			in := sim.scheduler.NextPoll(c.name)
			ans := c.partitionState.HandlePoll(in, c.instance, sim.now)
			polled += len(ans.Machines)
			sim.scheduler.HandlePollResponse(c.name, in, &ans, sim.now)
		}
		// A job for which no machine is large enough searches none of them.
		sim.addJob("job-2", 1, func(j *wire.Job) { j.CPUs = 64 })
		before = sim.scheduler.examined
		sim.schedule()
		require.Equal(t, before, sim.scheduler.examined)
		return examined, polled
	}
	smallExamined, smallPolled := work(60)
	largeExamined, largePolled := work(1800)
	require.LessOrEqual(t, largeExamined, smallExamined+12, "machines examined")
	require.LessOrEqual(t, largePolled, 6, "machines in answers")
	require.LessOrEqual(t, smallPolled, 6)
}

// The largest machine is looked for once a cycle, however many machines were not seen yet:
// on a small share of a core a cycle took most of a second otherwise, and the next one
// waited for three times as long.
func TestCycleAfterRestartExaminesEachMachineFewTimes(t *testing.T) {
	s := schedulerAfterRestart(smallFleetSize)
	before := s.examined
	s.Schedule(2 * sec)
	require.Equal(t, smallFleetSize/2, s.teams[red].unaccountedCount)
	require.Equal(t, s.largestMachine().Times(smallFleetSize/2), s.teams[red].unaccountedCapacity)
	require.Less(t, s.examined-before, 4*smallFleetSize)
}
