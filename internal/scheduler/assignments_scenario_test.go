package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The response to a batch arrives late: a poll has already shown the machine as it was after the assignment was accepted and its
// task gone again. No later view mentions the task. Unless the response releases it, the task stays assigned for ever.
func TestLateAcceptanceOfGoneTaskIsReleased(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	c := sim.controllers[0]
	batch := sim.scheduler.NextBatch(c.name)
	response := c.partitionState.HandleBatch(*batch, c.processID, sim.now)
	sim.now += 5 * sec
	c.partitionState.Tick(sim.now) // the resource lease expires unused
	sim.poll(c, false)
	sim.scheduler.HandleBatchResponse(c.name, batch, &response, sim.now)
	require.Empty(t, sim.scheduler.teams[red].jobs["job-1"].assignments)
	sim.runSteps(8)
	require.Equal(t, 1, sim.runningTasks())
}

// The machine of an unanswered assignment is silent for a worker lease. The assignment must not be released: the machine may
// return, and the partition leader accept the batch when it is sent again.
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

// A partition leader accepts an assignment and crashes while the start command is in flight, before it responds to the batch. The
// task must not be placed elsewhere until the machine is accounted for: it could run twice.
func TestUnansweredAssignmentIsNotPlacedElsewhere(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	var crashed *controller
	for _, c := range sim.controllers {
		if batch := sim.scheduler.NextBatch(c.name); batch != nil {
			crashed = c
			c.partitionState.HandleBatch(*batch, c.processID, sim.now)
		}
	}
	p := 0
	for partition, leader := range sim.leaderOf {
		if sim.controllers[leader] == crashed {
			p = partition
		}
	}
	for _, id := range sim.machineIDs {
		if sim.partitionOf(id) == p {
			sim.deliverCommands(id, true, false)
		}
	}
	sim.boot(crashed) // the response is lost with the process
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
	require.Zero(t, sim.runningTasks(), "the start command may still arrive at the first machine")
	sim.runSteps(20)
	require.Equal(t, 1, sim.runningTasks())
}

// A process that is not the one that the batch was sent to rejects its assignments. Its rejection must not release them: a task
// that was accepted would be started twice.
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
		response := peer.BatchResponse{Incarnation: "someone else", Refused: []bool{true}}
		sim.scheduler.HandleBatchResponse(c.name, batch, &response, sim.now)
	}
	require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 1)
	require.NotZero(t, sim.scheduler.teams[red].used.CPU, "the assignment counts against the limit")
}

// The constraints spread and one_zone must count every task that may be on a machine. If unanswered assignments did not count,
// tasks placed in one cycle could violate the constraints together.
func TestZoneConstraintsCountUnansweredAssignments(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 4, func(j *wire.Job) { j.Spread = true })
	sim.addJob("job-2", 2, func(j *wire.Job) { j.OneZone = true })
	sim.schedule() // no batch is sent: all assignments are unanswered
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
