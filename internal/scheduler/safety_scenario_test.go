package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Guards against any order of lost, late and repeated messages and writes, crashes and changes of leaders in which a task runs on
// two machines, a team exceeds its limit, or a job never ends. Each seed gives one random order.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 20
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := newSimulationWithLimit(t, seed, 4, []float64{0, limitCPU}[seed%2])
		faults := randomFaults{simulation: sim, rng: sim.rng}
		sim.runSteps(8)
		for step := range 500 {
			faults.step()
			sim.checkInvariants(fmt.Sprintf("seed %d step %d", seed, step))
		}
		for range 60 {
			sim.runSteps(4)
			sim.exitAll(wire.CauseDone)
		}
		require.Empty(t, sim.active, "seed %d: not all jobs have ended", seed)
	}
}

// randomFaults applies random events and faults to a simulation.
type randomFaults struct {
	*simulation
	rng          *rand.Rand
	jobsAccepted int
}

// oneIn returns true with a probability of 1/n.
func (f *randomFaults) oneIn(n int) bool { return f.rng.IntN(n) == 0 }

// step applies one random event or fault.
func (f *randomFaults) step() {
	f.now += clock.Micros(f.rng.IntN(200)) * clock.Millisecond
	c := f.controllers[f.rng.IntN(2)]
	id := f.machineIDs[f.rng.IntN(len(f.machineIDs))]
	switch f.rng.IntN(18) {
	case 0, 1:
		f.poll(c, f.oneIn(4))
	case 2, 3:
		f.scheduleWithLostWrites()
	case 4, 5:
		f.sendBatch(c, !f.oneIn(5), !f.oneIn(4))
	case 6, 7:
		f.heartbeat(id, !f.oneIn(4))
	case 8, 9:
		f.deliverCommands(id, f.oneIn(3), !f.oneIn(3))
	case 10:
		f.lateCommandsArrive()
	case 11:
		f.lateBatchArrives()
	case 12:
		f.someTasksExit(id)
	case 13:
		if f.jobsAccepted < 6 {
			f.jobsAccepted++
			f.addJob(fmt.Sprintf("job-%d", f.jobsAccepted), 3+f.rng.IntN(8), nil)
		}
	case 14:
		f.leadersChange(c)
	case 15:
		f.advance()
	case 16:
		f.heartbeatCopyArrives()
	case 17:
		f.pauseOrCancel()
	}
}

func (f *randomFaults) scheduleWithLostWrites() {
	f.writeWatermarks(!f.oneIn(4), !f.oneIn(4))
	f.scheduler.Schedule(f.now)
	for key, m := range f.watermarks { // the replica shows every write eventually
		f.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
	}
}

func (f *randomFaults) lateCommandsArrive() {
	if len(f.lateCommands) > 0 {
		late := f.lateCommands[f.rng.IntN(len(f.lateCommands))]
		f.workers[late.machine].HandleCommands(late.commands, f.now)
	}
}

// lateBatchArrives delivers a late batch to the process to which it was sent, unless that has been replaced.
func (f *randomFaults) lateBatchArrives() {
	if len(f.lateBatches) > 0 {
		if late := f.lateBatches[f.rng.IntN(len(f.lateBatches))]; late.controller.partitionState == late.sentTo {
			late.sentTo.HandleBatch(late.batch, late.controller.processID, f.now)
		}
	}
}

func (f *randomFaults) someTasksExit(id string) {
	for _, task := range f.workers[id].SortedTasks() {
		if task.Phase != wire.TaskExited && f.oneIn(2) {
			task.Phase, task.Cause = wire.TaskExited, []string{wire.CauseDone, wire.CauseDone, wire.CauseError}[f.rng.IntN(3)]
		}
	}
}

func (f *randomFaults) leadersChange(c *controller) {
	switch f.rng.IntN(12) {
	case 0: // a controller's process crashes, and acquires its partitions anew
		f.restart(c)
	case 1: // a controller, possibly the same one, acquires a partition under a new term
		f.acquirePartition(f.rng.IntN(2), f.rng.IntN(2))
	case 2:
		f.newScheduler()
	}
}

// heartbeatCopyArrives delivers a late copy of a heartbeat, possibly one of an earlier incarnation of the worker.
func (f *randomFaults) heartbeatCopyArrives() {
	if len(f.heartbeatCopies) > 0 {
		heartbeat := f.heartbeatCopies[f.rng.IntN(len(f.heartbeatCopies))]
		f.stateOf(heartbeat.Machine).HandleHeartbeat(&heartbeat, f.partitionOf(heartbeat.Machine), f.now)
	}
}

func (f *randomFaults) pauseOrCancel() {
	switch f.rng.IntN(20) {
	case 0: // all controllers are suspended for 3 to 42 s, and continue as if no time had passed
		f.now += clock.Micros(3+f.rng.IntN(40)) * sec
	case 1:
		if id := fmt.Sprintf("job-%d", 1+f.rng.IntN(6)); f.active[id] != nil {
			f.scheduler.CancelJob(red, id)
		}
	}
}
