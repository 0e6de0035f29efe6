package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The answer to a batch comes late, after a poll that shows the machine without
// the task again. The task must not stay assigned for ever.
func TestLateAcceptanceOfGoneTaskIsReleased(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	c := sim.controllers[0]
	batch := sim.scheduler.NextBatch(c.name)
	ans := c.partitionState.HandleBatch(*batch, c.instance, sim.now)
	sim.now += 5 * sec
	c.partitionState.Tick(sim.now) // the resource lease expires unused
	sim.poll(c, false)
	sim.scheduler.HandleBatchResponse(c.name, batch, &ans, sim.now)
	require.Empty(t, sim.scheduler.teams[red].jobs["job-1"].assignments)
	sim.runSteps(8)
	require.Equal(t, 1, sim.runningTasks())
}

// An assignment has no answer, and its machine is silent for a worker lease. The machine
// may come back, and the repeated batch be accepted then.
func TestUnansweredAssignmentOnSilentMachineIsNotReleased(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	sim.sendBatch(sim.controllers[0], false, false)
	sim.now += 2 * lease
	sim.advance()
	sim.poll(sim.controllers[0], false)
	require.Empty(t, sim.machineRecords)
	require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 1)
	sim.runSteps(12)
	require.Equal(t, 1, sim.runningTasks())
}

// A task is on a machine whose controller crashes with its start under way:
// its place is not given to another machine until that one is accounted for.
func TestUnansweredAssignmentIsNotPlacedElsewhere(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	var at *controller
	for _, c := range sim.controllers {
		if batch := sim.scheduler.NextBatch(c.name); batch != nil {
			at = c
			c.partitionState.HandleBatch(*batch, c.instance, sim.now)
		}
	}
	p := 0
	for partition, leader := range sim.leaderOf {
		if sim.controllers[leader] == at {
			p = partition
		}
	}
	for _, id := range sim.machineIDs {
		if sim.partitionOf(id) == p {
			sim.deliverCommands(id, true, false)
		}
	}
	sim.boot(at) // the answer is lost, the process too
	sim.acquirePartition(p, sim.leaderOf[p])
	for range 4 {
		for _, c := range sim.controllers {
			sim.poll(c, false)
		}
		sim.schedule()
		for _, c := range sim.controllers {
			sim.sendBatch(c, true, true)
		}
		for _, id := range sim.machineIDs {
			if sim.partitionOf(id) != p {
				sim.heartbeat(id, true)
				sim.deliverCommands(id, false, true)
			}
		}
		sim.checkInvariants("waiting")
	}
	require.Zero(t, sim.runningTasks(), "it may still arrive at the first machine")
	sim.runSteps(20)
	require.Equal(t, 1, sim.runningTasks())
}

// Another process than the one that may have accepted answers a batch: its
// rejection proves nothing.
func TestRejectionByAnotherProcessReleasesNothing(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	for _, c := range sim.controllers {
		batch := sim.scheduler.NextBatch(c.name)
		if batch == nil {
			continue
		}
		ans := peer.BatchResponse{Incarnation: "someone else", Refused: []bool{true}}
		sim.scheduler.HandleBatchResponse(c.name, batch, &ans, sim.now)
	}
	require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 1)
	require.NotZero(t, sim.scheduler.teams[red].used.CPU, "it counts against the limit")
}

// Spread and one_zone count every task that may be somewhere.
func TestZoneConstraintsCountUnansweredAssignments(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 4, func(j *wire.Job) { j.Spread = true })
	sim.addJob("job-2", 2, func(j *wire.Job) { j.OneZone = true })
	sim.schedule() // nothing is sent yet: all are unanswered
	zones := map[string]int{}
	for task, a := range sim.scheduler.teams[red].jobs["job-1"].assignments {
		require.NotNil(t, a, task)
		zones[a.zone]++
	}
	require.LessOrEqual(t, zones["a"], 2)
	require.LessOrEqual(t, zones["b"], 2)
	zones = map[string]int{}
	for _, a := range sim.scheduler.teams[red].jobs["job-2"].assignments {
		zones[a.zone]++
	}
	require.Len(t, zones, 1)
}
