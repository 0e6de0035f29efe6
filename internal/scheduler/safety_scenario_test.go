package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
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
