package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Whatever is lost, late or repeated, and whoever crashes: no task on two
// machines, no team over its limit, and in the end every job is done.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 20
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := newSimulationWithLimit(t, seed, 4, []float64{0, limitCPU}[seed%2])
		rng := sim.rng
		sim.runSteps(8)
		jobsMade := 0
		for step := range 500 {
			sim.now += clock.Micros(rng.IntN(200)) * clock.Millisecond
			h := sim.controllers[rng.IntN(2)]
			id := sim.machineIDs[rng.IntN(len(sim.machineIDs))]
			switch rng.IntN(18) {
			case 0, 1:
				sim.poll(h, rng.IntN(4) == 0)
			case 2, 3:
				sim.writeWatermarks(rng.IntN(4) > 0, rng.IntN(4) > 0)
				sim.scheduler.Schedule(sim.now)
				for key, m := range sim.watermarks { // the replica tells in the end
					sim.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
				}
			case 4, 5:
				sim.sendBatch(h, rng.IntN(5) > 0, rng.IntN(4) > 0)
			case 6, 7:
				sim.heartbeat(id, rng.IntN(4) > 0)
			case 8, 9:
				sim.deliverCommands(id, rng.IntN(3) == 0, rng.IntN(3) > 0)
			case 10:
				if len(sim.lateCommands) > 0 {
					o := sim.lateCommands[rng.IntN(len(sim.lateCommands))]
					sim.workers[o.machine].Orders(o.commands, sim.now)
				}
			case 11:
				if len(sim.lateBatches) > 0 { // a late round reaches the process it was sent to, if that lives
					if r := sim.lateBatches[rng.IntN(len(sim.lateBatches))]; r.controller.partitionState == r.sentTo {
						r.sentTo.HandleBatch(r.batch, r.controller.instance, sim.now)
					}
				}
			case 12:
				for _, k := range sim.workers[id].InOrder() {
					if k.Phase != wire.TaskExited && rng.IntN(2) == 0 {
						k.Phase, k.Cause = wire.TaskExited, []string{wire.CauseDone, wire.CauseDone, wire.CauseError}[rng.IntN(3)]
					}
				}
			case 13:
				if jobsMade < 6 {
					jobsMade++
					sim.addJob(fmt.Sprintf("job-%d", jobsMade), 3+rng.IntN(8), nil)
				}
			case 14:
				switch rng.IntN(12) {
				case 0: // a controller's owner part crashes and takes its partitions anew
					sim.restart(h)
				case 1: // a partition moves
					sim.acquirePartition(rng.IntN(2), rng.IntN(2))
				case 2:
					sim.newScheduler()
				}
			case 15:
				sim.advance()
			case 16: // a copy of a report comes late, also of an earlier session
				if len(sim.heartbeatCopies) > 0 {
					r := sim.heartbeatCopies[rng.IntN(len(sim.heartbeatCopies))]
					p := sim.partitionOf(r.Machine)
					sim.controllers[sim.leaderOf[p]].partitionState.HandleHeartbeat(&r, p, sim.now)
				}
			case 17:
				switch rng.IntN(20) {
				case 0: // all controllers stand still, and go on as though no time had passed
					sim.now += clock.Micros(3+rng.IntN(40)) * sec
				case 1:
					if id := fmt.Sprintf("job-%d", 1+rng.IntN(6)); sim.active[id] != nil {
						sim.scheduler.CancelJob(red, id)
					}
				}
			}
			sim.checkInvariants(fmt.Sprintf("seed %d step %d", seed, step))
		}
		for range 60 {
			sim.runSteps(4)
			sim.exitAll(wire.CauseDone)
		}
		require.Empty(t, sim.active, "seed %d: some job never ended", seed)
	}
}

// The answer to a round comes late, after a poll that shows the machine without
// the task again. The task must not stay bound for ever.
func TestLateAcceptanceOfGoneTaskIsReleased(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	h := sim.controllers[0]
	r := sim.scheduler.NextBatch(h.name)
	ans := h.partitionState.HandleBatch(*r, h.instance, sim.now)
	sim.now += 5 * sec
	h.partitionState.Tick(sim.now) // the lease lapses unused
	sim.poll(h, false)
	sim.scheduler.HandleBatchResponse(h.name, r, &ans, sim.now)
	require.Empty(t, sim.scheduler.teams[red].jobs["job-1"].assignments)
	sim.runSteps(8)
	require.Equal(t, 1, sim.runningTasks())
}

// An ask has no answer, and its machine falls silent for a lease. The machine
// may come back, and the repeated round be granted then.
func TestUnansweredAssignmentOnSilentMachineIsNotReleased(t *testing.T) {
	sim := newSimulation(t, 1, 1)
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
	sim := newSimulation(t, 1, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	var at *controller
	for _, h := range sim.controllers {
		if r := sim.scheduler.NextBatch(h.name); r != nil {
			at = h
			h.partitionState.HandleBatch(*r, h.instance, sim.now)
		}
	}
	p := 0
	for i, x := range sim.leaderOf {
		if sim.controllers[x] == at {
			p = i
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
		for _, h := range sim.controllers {
			sim.poll(h, false)
		}
		sim.schedule()
		for _, h := range sim.controllers {
			sim.sendBatch(h, true, true)
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

// Another process than the one that may have granted answers a round: its
// refusal proves nothing.
func TestRejectionByAnotherProcessReleasesNothing(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 1, nil)
	sim.schedule()
	for _, h := range sim.controllers {
		r := sim.scheduler.NextBatch(h.name)
		if r == nil {
			continue
		}
		ans := peer.BatchResponse{Incarnation: "someone else", Refused: []bool{true}}
		sim.scheduler.HandleBatchResponse(h.name, r, &ans, sim.now)
	}
	require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 1)
	require.NotZero(t, sim.scheduler.teams[red].used.CPU, "it counts against the limit")
}

// Spread and one_zone count every task that may be somewhere.
func TestZoneConstraintsCountUnansweredAssignments(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 4, func(j *wire.Job) { j.Spread = true })
	sim.addJob("job-2", 2, func(j *wire.Job) { j.OneZone = true })
	sim.schedule() // nothing is sent yet: all are only asked for
	zones := map[string]int{}
	for n, b := range sim.scheduler.teams[red].jobs["job-1"].assignments {
		require.NotNil(t, b, n)
		zones[b.zone]++
	}
	require.LessOrEqual(t, zones["a"], 2)
	require.LessOrEqual(t, zones["b"], 2)
	zones = map[string]int{}
	for _, b := range sim.scheduler.teams[red].jobs["job-2"].assignments {
		zones[b.zone]++
	}
	require.Len(t, zones, 1)
}

// A withdrawal counts as taken only by owners that have it.
func TestCancellationIsConfirmedOnlyWhenLeadersAcknowledge(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 2, nil)
	sim.runSteps(2)
	require.Equal(t, 2, sim.runningTasks())
	require.True(t, sim.scheduler.CancelJob(red, "job-1"))
	j := sim.scheduler.teams[red].jobs["job-1"]
	require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.sendBatch(sim.controllers[0], true, true)
	sim.sendBatch(sim.controllers[1], true, false) // taken, but the answer is lost
	require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.sendBatch(sim.controllers[1], true, true)
	require.True(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.runSteps(4)
	require.Zero(t, sim.runningTasks())
}
