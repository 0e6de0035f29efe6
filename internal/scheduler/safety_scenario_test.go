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
func TestRulesHoldWhateverFails(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 20
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		w := newSimulationWithLimit(t, seed, 4, []float64{0, limitCPU}[seed%2])
		rng := w.rng
		w.runSteps(8)
		jobsMade := 0
		for step := range 500 {
			w.now += clock.Micros(rng.IntN(200)) * clock.Millisecond
			h := w.controllers[rng.IntN(2)]
			id := w.machineIDs[rng.IntN(len(w.machineIDs))]
			switch rng.IntN(18) {
			case 0, 1:
				w.poll(h, rng.IntN(4) == 0)
			case 2, 3:
				w.writeWatermarks(rng.IntN(4) > 0, rng.IntN(4) > 0)
				w.scheduler.Schedule(w.now)
				for key, m := range w.watermarks { // the replica tells in the end
					w.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
				}
			case 4, 5:
				w.sendBatch(h, rng.IntN(5) > 0, rng.IntN(4) > 0)
			case 6, 7:
				w.heartbeat(id, rng.IntN(4) > 0)
			case 8, 9:
				w.deliverCommands(id, rng.IntN(3) == 0, rng.IntN(3) > 0)
			case 10:
				if len(w.lateCommands) > 0 {
					o := w.lateCommands[rng.IntN(len(w.lateCommands))]
					w.workers[o.machine].Orders(o.commands, w.now)
				}
			case 11:
				if len(w.lateBatches) > 0 { // a late round reaches the process it was sent to, if that lives
					if r := w.lateBatches[rng.IntN(len(w.lateBatches))]; r.controller.partitionState == r.sentTo {
						r.sentTo.HandleBatch(r.batch, r.controller.instance, w.now)
					}
				}
			case 12:
				for _, k := range w.workers[id].InOrder() {
					if k.Phase != wire.TaskExited && rng.IntN(2) == 0 {
						k.Phase, k.Cause = wire.TaskExited, []string{wire.CauseDone, wire.CauseDone, wire.CauseError}[rng.IntN(3)]
					}
				}
			case 13:
				if jobsMade < 6 {
					jobsMade++
					w.addJob(fmt.Sprintf("job-%d", jobsMade), 3+rng.IntN(8), nil)
				}
			case 14:
				switch rng.IntN(12) {
				case 0: // a controller's owner part crashes and takes its partitions anew
					w.restart(h)
				case 1: // a partition moves
					w.acquirePartition(rng.IntN(2), rng.IntN(2))
				case 2:
					w.newScheduler()
				}
			case 15:
				w.advance()
			case 16: // a copy of a report comes late, also of an earlier session
				if len(w.heartbeatCopies) > 0 {
					r := w.heartbeatCopies[rng.IntN(len(w.heartbeatCopies))]
					p := w.partitionOf(r.Machine)
					w.controllers[w.leaderOf[p]].partitionState.HandleHeartbeat(&r, p, w.now)
				}
			case 17:
				switch rng.IntN(20) {
				case 0: // all controllers stand still, and go on as though no time had passed
					w.now += clock.Micros(3+rng.IntN(40)) * sec
				case 1:
					if id := fmt.Sprintf("job-%d", 1+rng.IntN(6)); w.active[id] != nil {
						w.scheduler.CancelJob(red, id)
					}
				}
			}
			w.checkInvariants(fmt.Sprintf("seed %d step %d", seed, step))
		}
		for range 60 {
			w.runSteps(4)
			w.exitAll(wire.CauseDone)
		}
		require.Empty(t, w.active, "seed %d: some job never ended", seed)
	}
}

// The answer to a round comes late, after a poll that shows the machine without
// the task again. The task must not stay bound for ever.
func TestAGrantThatIsOverAlreadyIsReleased(t *testing.T) {
	w := newSimulation(t, 1, 1)
	w.runSteps(8)
	w.addJob("job-1", 1, nil)
	w.schedule()
	h := w.controllers[0]
	r := w.scheduler.NextBatch(h.name)
	ans := h.partitionState.HandleBatch(*r, h.instance, w.now)
	w.now += 5 * sec
	h.partitionState.Tick(w.now) // the lease lapses unused
	w.poll(h, false)
	w.scheduler.HandleBatchResponse(h.name, r, &ans, w.now)
	require.Empty(t, w.scheduler.teams[red].jobs["job-1"].assignments)
	w.runSteps(8)
	require.Equal(t, 1, w.runningTasks())
}

// An ask has no answer, and its machine falls silent for a lease. The machine
// may come back, and the repeated round be granted then.
func TestSilenceDoesNotReleaseAnUnansweredAsk(t *testing.T) {
	w := newSimulation(t, 1, 1)
	w.runSteps(8)
	w.addJob("job-1", 1, nil)
	w.schedule()
	w.sendBatch(w.controllers[0], false, false)
	w.now += 2 * lease
	w.advance()
	w.poll(w.controllers[0], false)
	require.Empty(t, w.machineRecords)
	require.Len(t, w.scheduler.teams[red].jobs["job-1"].assignments, 1)
	w.runSteps(12)
	require.Equal(t, 1, w.runningTasks())
}

// A task is on a machine whose controller crashes with its start under way:
// its place is not given to another machine until that one is accounted for.
func TestAnAskWithoutAnswerIsNotMadeElsewhere(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.runSteps(8)
	w.addJob("job-1", 1, nil)
	w.schedule()
	var at *controller
	for _, h := range w.controllers {
		if r := w.scheduler.NextBatch(h.name); r != nil {
			at = h
			h.partitionState.HandleBatch(*r, h.instance, w.now)
		}
	}
	p := 0
	for i, x := range w.leaderOf {
		if w.controllers[x] == at {
			p = i
		}
	}
	for _, id := range w.machineIDs {
		if w.partitionOf(id) == p {
			w.deliverCommands(id, true, false)
		}
	}
	w.boot(at) // the answer is lost, the process too
	w.acquirePartition(p, w.leaderOf[p])
	for range 4 {
		for _, h := range w.controllers {
			w.poll(h, false)
		}
		w.schedule()
		for _, h := range w.controllers {
			w.sendBatch(h, true, true)
		}
		for _, id := range w.machineIDs {
			if w.partitionOf(id) != p {
				w.heartbeat(id, true)
				w.deliverCommands(id, false, true)
			}
		}
		w.checkInvariants("waiting")
	}
	require.Zero(t, w.runningTasks(), "it may still arrive at the first machine")
	w.runSteps(20)
	require.Equal(t, 1, w.runningTasks())
}

// Another process than the one that may have granted answers a round: its
// refusal proves nothing.
func TestARefusalByAnotherProcessReleasesNothing(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.runSteps(8)
	w.addJob("job-1", 1, nil)
	w.schedule()
	for _, h := range w.controllers {
		r := w.scheduler.NextBatch(h.name)
		if r == nil {
			continue
		}
		ans := peer.BatchResponse{Incarnation: "someone else", Refused: []bool{true}}
		w.scheduler.HandleBatchResponse(h.name, r, &ans, w.now)
	}
	require.Len(t, w.scheduler.teams[red].jobs["job-1"].assignments, 1)
	require.NotZero(t, w.scheduler.teams[red].used.CPU, "it counts against the limit")
}

// Spread and one_zone count every task that may be somewhere.
func TestZonesCountWhatMayRun(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.runSteps(8)
	w.addJob("job-1", 4, func(j *wire.Job) { j.Spread = true })
	w.addJob("job-2", 2, func(j *wire.Job) { j.OneZone = true })
	w.schedule() // nothing is sent yet: all are only asked for
	zones := map[string]int{}
	for n, b := range w.scheduler.teams[red].jobs["job-1"].assignments {
		require.NotNil(t, b, n)
		zones[b.zone]++
	}
	require.LessOrEqual(t, zones["a"], 2)
	require.LessOrEqual(t, zones["b"], 2)
	zones = map[string]int{}
	for _, b := range w.scheduler.teams[red].jobs["job-2"].assignments {
		zones[b.zone]++
	}
	require.Len(t, zones, 1)
}

// A withdrawal counts as taken only by owners that have it.
func TestCancelIsToldOnlyWhenOwnersHaveIt(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.runSteps(8)
	w.addJob("job-1", 2, nil)
	w.runSteps(2)
	require.Equal(t, 2, w.runningTasks())
	require.True(t, w.scheduler.CancelJob(red, "job-1"))
	j := w.scheduler.teams[red].jobs["job-1"]
	require.False(t, w.scheduler.CancellationConfirmed(j, w.partitionLeaderships()))
	w.sendBatch(w.controllers[0], true, true)
	w.sendBatch(w.controllers[1], true, false) // taken, but the answer is lost
	require.False(t, w.scheduler.CancellationConfirmed(j, w.partitionLeaderships()))
	w.sendBatch(w.controllers[1], true, true)
	require.True(t, w.scheduler.CancellationConfirmed(j, w.partitionLeaderships()))
	w.runSteps(4)
	require.Zero(t, w.runningTasks())
}
