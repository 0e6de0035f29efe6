package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Guards against a team that exceeds its limit after a takeover. A new team leader takes over while two machines of 8 CPUs can't
// be reached: all that they could hold must count against the limit until they are accounted for, so the new job waits.
func TestTakeoverWaitsForUnaccountedMachines(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 2, nil)
	sim.runSteps(2)
	require.Equal(t, 2, sim.runningTasks())
	sim.boot(sim.controllers[0])
	sim.newScheduler()
	sim.acquirePartition(0, 0) // the machines of partition 0 send no heartbeats for now
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
		sim.checkInvariants("while partition 0 is unaccounted")
	}
	machines, capacity := sim.scheduler.sumUnaccountedCapacity(sim.scheduler.teams[red], sim.scheduler.largestMachine)
	require.Equal(t, 2, machines)
	require.GreaterOrEqual(t, capacity.CPUs(), 16.0)
	require.Equal(t, 2, sim.runningTasks(), "two machines of 8 CPUs may hold more than the limit of 12 leaves")
	sim.runSteps(8)
	require.Equal(t, 4, sim.runningTasks())
}

// restartWithPartition0Silent has a new team leader take over while the first controller restarts and its machines send no
// heartbeats. All tasks on the other machines, m-1 and m-3, are done, so that there is capacity. The cluster then runs for 1.2 s.
func (s *simulation) restartWithPartition0Silent() {
	s.t.Helper()
	s.boot(s.controllers[0])
	s.newScheduler()
	s.acquirePartition(0, 0)
	reachable := []string{"m-1", "m-3"}
	for _, id := range reachable {
		for _, task := range s.workers[id].SortedTasks() {
			task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
		}
	}
	for range 12 {
		s.now += 100 * clock.Millisecond
		for _, id := range reachable {
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
		s.checkInvariants("while partition 0 is unaccounted")
	}
}

// Guards against tasks that a new team leader starts twice, or delays without need, while machines can't be reached. Tasks that
// were never assigned must start immediately; those that the former leader may have assigned must wait until all machines are
// accounted for.
func TestTakeoverStartsNeverAssignedTasks(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 40, nil) // 16 of them fit on the machines
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
	require.Greater(t, sim.runningTasks(), 8, "the other tasks of the first job start once the machines are accounted for")
}

// Guards against tasks that are started twice after an upgrade from the release that wrote no watermarks. While machines that it
// recorded exist, any task may have been assigned by it: all tasks must wait until all machines are accounted for, and must be
// covered by a watermark before they are assigned again.
func TestTakeoverFromEarlierReleaseWaitsForAccounting(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 16, nil)
	sim.runSteps(4)
	require.Equal(t, 16, sim.runningTasks())
	clear(sim.watermarks)
	sim.legacyRecords = true
	sim.restartWithPartition0Silent()
	require.Equal(t, 8, sim.runningTasks(), "only the tasks on the silent machines")
	sim.now += 2 * lease
	sim.runSteps(30)
	require.Equal(t, 8, sim.runningTasks(), "only the lost tasks, assigned again")
	require.Equal(t, 16, sim.scheduler.watermarkOf(red, sim.active["job-1"]))
}

// Guards against a machine that stays in the scheduler's cache, with its assignments, after it is gone. A partition changes
// leaders, and the former leader's last response to a poll arrives late: it shows a machine whose record was deleted before the new
// leader acquired the partition.
func TestLatePollOfFormerLeaderRestoresNoMachine(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 16, nil)
	sim.runSteps(4)
	request := peer.PollRequest{Gen: sim.scheduler.sessions["h0"].generation, Terms: sim.scheduler.TeamTerms()}
	late := sim.controllers[0].partitionState.HandlePoll(request, sim.controllers[0].processID, sim.now)
	delete(sim.machineRecords, "m-0")
	sim.acquirePartition(0, 1)
	sim.handleMachineRecord("m-0", false)
	sim.poll(sim.controllers[1], false)
	require.NotContains(t, sim.scheduler.machines, "m-0")
	sim.scheduler.HandlePollResponse("h0", request, &late, sim.now)
	for range 4 {
		sim.now += sec
		sim.poll(sim.controllers[0], false)
		sim.poll(sim.controllers[1], false)
	}
	require.NotContains(t, sim.scheduler.machines, "m-0")
	require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 12)
}

// Guards against two leaders of a team that give the same number to different attempts, so that a message about one would apply
// to the other.
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
