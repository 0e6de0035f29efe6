package scheduler

import (
	"encoding/base64"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A new placer takes over while a machine can't be reached: old jobs wait for
// it, new ones start, and the limit counts all that it could hold.
func TestTakeOverOfATeamWaitsForUnaccountedMachines(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.runSteps(8)
	w.addJob("job-1", 2, nil)
	w.runSteps(2)
	require.Equal(t, 2, w.runningTasks())
	w.boot(w.controllers[0])
	w.newScheduler()
	w.acquirePartition(0, 0) // and the machines of partition 0 are silent for now
	w.addJob("job-2", 2, nil)
	for range 5 {
		w.now += 100 * clock.Millisecond
		for _, h := range w.controllers {
			w.poll(h, false)
		}
		w.schedule()
		for _, h := range w.controllers {
			w.sendBatch(h, true, true)
		}
		for _, id := range []string{"m-1", "m-3"} {
			w.heartbeat(id, true)
			w.deliverCommands(id, false, true)
		}
		w.checkInvariants("unaccounted")
	}
	n, held := w.scheduler.sumUnaccountedCapacity(w.scheduler.teams[red], w.scheduler.largestMachine)
	require.Equal(t, 2, n)
	require.GreaterOrEqual(t, held.CPUs(), 16.0)
	require.Equal(t, 2, w.runningTasks(), "two machines of 8 CPUs may hold more than the limit of 12 leaves")
	w.runSteps(8)
	require.Equal(t, 4, w.runningTasks())
}

// restartWithPartition0Silent has a new placer take over while the first controller
// begins anew and its machines are silent. All tasks on the others, m-1 and m-3,
// are done, so that there is room, and a second goes by.
func (w *simulation) restartWithPartition0Silent() {
	w.boot(w.controllers[0])
	w.newScheduler()
	w.acquirePartition(0, 0)
	others := []string{"m-1", "m-3"}
	for _, id := range others {
		for _, r := range w.workers[id].InOrder() {
			r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
		}
	}
	for range 12 {
		w.now += 100 * clock.Millisecond
		for _, id := range others {
			w.heartbeat(id, true)
			w.deliverCommands(id, false, true)
		}
		for _, h := range w.controllers {
			w.poll(h, false)
		}
		w.schedule()
		for _, h := range w.controllers {
			w.sendBatch(h, true, true)
		}
		w.checkInvariants("unaccounted")
	}
}

// A new placer takes over while a machine can't be reached. What was never
// asked for starts at once; what may have been waits.
func TestTakeOverStartsWhatWasNeverAskedFor(t *testing.T) {
	w := newSimulationWithLimit(t, 1, 4, 0)
	w.runSteps(8)
	w.addJob("job-1", 40, nil) // more than there is room for
	w.runSteps(4)
	require.Equal(t, 16, w.runningTasks())
	w.addJob("job-2", 3, nil)
	w.restartWithPartition0Silent()
	started := map[string]int{}
	for _, id := range []string{"m-1", "m-3"} {
		for _, r := range w.workers[id].Tasks {
			if r.Phase != wire.TaskExited {
				job, _, _ := wire.SplitTask(r.Task)
				started[job]++
			}
		}
	}
	require.Equal(t, map[string]int{"job-2": 3}, started)
	w.now += 2 * lease
	w.runSteps(30)
	require.Greater(t, w.runningTasks(), 8, "the rest of the first job goes on once the machines are accounted for")
}

// The release before left no watermarks. What its placer may have asked for waits until
// all machines are accounted for, and is marked before it is asked for again.
func TestTakeOverFromAnEarlierRelease(t *testing.T) {
	w := newSimulationWithLimit(t, 1, 4, 0)
	w.runSteps(8)
	w.addJob("job-1", 16, nil)
	w.runSteps(4)
	require.Equal(t, 16, w.runningTasks())
	clear(w.watermarks)
	w.legacyRecords = true
	w.restartWithPartition0Silent()
	require.Equal(t, 8, w.runningTasks(), "those of the machines that are silent, and no more")
	w.now += 2 * lease
	w.runSteps(30)
	require.Equal(t, 8, w.runningTasks(), "those that were lost")
	require.Equal(t, 16, w.scheduler.watermarkOf(red, w.active["job-1"]))
}

// A partition moves; the former owner's last answer comes late and shows a
// machine that the new owner has never heard of, for it is gone. It does not stay.
func TestALateWordOfAFormerOwnerBringsNoMachineBack(t *testing.T) {
	w := newSimulationWithLimit(t, 1, 4, 0)
	w.runSteps(8)
	w.addJob("job-1", 16, nil)
	w.runSteps(4)
	in := peer.PollRequest{Gen: w.scheduler.sessions["h0"].generation, Terms: w.scheduler.TeamTerms()}
	late := w.controllers[0].partitionState.HandlePoll(in, w.controllers[0].instance, w.now)
	delete(w.machineRecords, "m-0")
	w.acquirePartition(0, 1)
	w.handleMachineRecord("m-0", false)
	w.poll(w.controllers[1], false)
	require.NotContains(t, w.scheduler.machines, "m-0")
	w.scheduler.HandlePollResponse("h0", in, &late, w.now)
	for range 4 {
		w.now += sec
		w.poll(w.controllers[0], false)
		w.poll(w.controllers[1], false)
	}
	require.NotContains(t, w.scheduler.machines, "m-0")
	require.Len(t, w.scheduler.teams[red].jobs["job-1"].assignments, 12)
}

// Attempt numbers of two placers never meet.
func TestAttemptsAreUniqueAcrossTakeOvers(t *testing.T) {
	w := newSimulation(t, 1, 2)
	seen := map[uint64]bool{}
	for range 3 {
		w.runSteps(8)
		w.addJob(fmt.Sprintf("job-%d", w.term), 2, nil)
		w.schedule()
		for _, h := range w.controllers {
			for _, a := range w.scheduler.sessions[h.name].pending.Asks {
				require.False(t, seen[a.ID.Attempt])
				seen[a.ID.Attempt] = true
			}
		}
		w.newScheduler()
	}
	require.Len(t, seen, 6)
}

// Records of progress cover as many tasks as fit; each is read by the size it names.
func TestRecordsOfProgressNameTheirSize(t *testing.T) {
	require.Equal(t, ChunkTasks, chunkTasks(7372))
	require.Zero(t, chunkTasks(100)%64)
	require.LessOrEqual(t, base64.StdEncoding.EncodedLen(chunkTasks(700)/8)+2, 700)
	for _, c := range []chunkID{{0, ChunkTasks}, {3, ChunkTasks}, {7, 4096}} {
		got, ok := parseChunk(c.String())
		require.True(t, ok)
		require.Equal(t, c, got)
	}
	require.Equal(t, "3", chunkID{3, ChunkTasks}.String(), "as ever")
	for _, odd := range []string{"", "x", "1.", "1.7", "-1", "1.-8"} {
		_, ok := parseChunk(odd)
		require.False(t, ok, odd)
	}
	w := newSimulationWithLimit(t, 1, 4, 0)
	w.scheduler.HandleProgressRecord("job-1", chunkID{1, 8}, []byte{0b101}, 1)
	w.addJob("job-1", 20, nil)
	j := w.scheduler.teams[red].jobs["job-1"]
	require.Equal(t, 2, j.doneCount)
	require.True(t, j.isDone(8) && j.isDone(10))
}
