package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A new team leader takes over while a machine can't be reached: old jobs wait for
// it, new ones start, and the limit counts all that it could hold.
func TestTakeoverWaitsForUnaccountedMachines(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 2, nil)
	sim.runSteps(2)
	require.Equal(t, 2, sim.runningTasks())
	sim.boot(sim.controllers[0])
	sim.newScheduler()
	sim.acquirePartition(0, 0) // and the machines of partition 0 are silent for now
	sim.addJob("job-2", 2, nil)
	for range 5 {
		sim.now += 100 * clock.Millisecond
		for _, c := range sim.controllers {
			sim.poll(c, false)
		}
		sim.schedule()
		for _, c := range sim.controllers {
			sim.sendBatch(c, true, true)
		}
		for _, id := range []string{"m-1", "m-3"} {
			sim.heartbeat(id, true)
			sim.deliverCommands(id, false, true)
		}
		sim.checkInvariants("unaccounted")
	}
	machines, capacity := sim.scheduler.sumUnaccountedCapacity(sim.scheduler.teams[red], sim.scheduler.largestMachine)
	require.Equal(t, 2, machines)
	require.GreaterOrEqual(t, capacity.CPUs(), 16.0)
	require.Equal(t, 2, sim.runningTasks(), "two machines of 8 CPUs may hold more than the limit of 12 leaves")
	sim.runSteps(8)
	require.Equal(t, 4, sim.runningTasks())
}

// restartWithPartition0Silent has a new team leader take over while the first controller
// restarts and its machines are silent. All tasks on the others, m-1 and m-3,
// are done, so that there is capacity, and a second goes by.
func (s *simulation) restartWithPartition0Silent() {
	s.t.Helper()
	s.boot(s.controllers[0])
	s.newScheduler()
	s.acquirePartition(0, 0)
	others := []string{"m-1", "m-3"}
	for _, id := range others {
		for _, task := range s.workers[id].InOrder() {
			task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
		}
	}
	for range 12 {
		s.now += 100 * clock.Millisecond
		for _, id := range others {
			s.heartbeat(id, true)
			s.deliverCommands(id, false, true)
		}
		for _, c := range s.controllers {
			s.poll(c, false)
		}
		s.schedule()
		for _, c := range s.controllers {
			s.sendBatch(c, true, true)
		}
		s.checkInvariants("unaccounted")
	}
}

// A new team leader takes over while a machine can't be reached. Tasks that were never
// assigned start immediately; those that may have been wait.
func TestTakeoverStartsNeverAssignedTasks(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 40, nil) // more than there is capacity for
	sim.runSteps(4)
	require.Equal(t, 16, sim.runningTasks())
	sim.addJob("job-2", 3, nil)
	sim.restartWithPartition0Silent()
	started := map[string]int{}
	for _, id := range []string{"m-1", "m-3"} {
		for _, task := range sim.workers[id].Tasks {
			if task.Phase != wire.TaskExited {
				job, _, _ := wire.SplitTask(task.Task)
				started[job]++
			}
		}
	}
	require.Equal(t, map[string]int{"job-2": 3}, started)
	sim.now += 2 * lease
	sim.runSteps(30)
	require.Greater(t, sim.runningTasks(), 8, "the rest of the first job goes on once the machines are accounted for")
}

// The release before left no watermarks. What its scheduler may have assigned waits until
// all machines are accounted for, and is below a watermark before it is assigned again.
func TestTakeoverFromEarlierReleaseWaitsForAccounting(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 16, nil)
	sim.runSteps(4)
	require.Equal(t, 16, sim.runningTasks())
	clear(sim.watermarks)
	sim.legacyRecords = true
	sim.restartWithPartition0Silent()
	require.Equal(t, 8, sim.runningTasks(), "those of the machines that are silent, and no more")
	sim.now += 2 * lease
	sim.runSteps(30)
	require.Equal(t, 8, sim.runningTasks(), "those that were lost")
	require.Equal(t, 16, sim.scheduler.watermarkOf(red, sim.active["job-1"]))
}

// A partition changes leaders; the former one's last answer comes late and shows a
// machine that the new one has no record of, for it is gone. It does not stay.
func TestLatePollOfFormerLeaderRestoresNoMachine(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 16, nil)
	sim.runSteps(4)
	in := peer.PollRequest{Gen: sim.scheduler.sessions["h0"].generation, Terms: sim.scheduler.TeamTerms()}
	late := sim.controllers[0].partitionState.HandlePoll(in, sim.controllers[0].instance, sim.now)
	delete(sim.machineRecords, "m-0")
	sim.acquirePartition(0, 1)
	sim.handleMachineRecord("m-0", false)
	sim.poll(sim.controllers[1], false)
	require.NotContains(t, sim.scheduler.machines, "m-0")
	sim.scheduler.HandlePollResponse("h0", in, &late, sim.now)
	for range 4 {
		sim.now += sec
		sim.poll(sim.controllers[0], false)
		sim.poll(sim.controllers[1], false)
	}
	require.NotContains(t, sim.scheduler.machines, "m-0")
	require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 12)
}

// Attempt numbers of two leaders of a team are never the same.
func TestAttemptsAreUniqueAcrossTakeovers(t *testing.T) {
	sim := newSimulation(t, 2)
	seen := map[uint64]bool{}
	for range 3 {
		sim.runSteps(8)
		sim.addJob(fmt.Sprintf("job-%d", sim.term), 2, nil)
		sim.schedule()
		for _, c := range sim.controllers {
			for _, a := range sim.scheduler.sessions[c.name].pending.Asks {
				require.False(t, seen[a.ID.Attempt])
				seen[a.ID.Attempt] = true
			}
		}
		sim.newScheduler()
	}
	require.Len(t, seen, 6)
}
