package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// busyMachines returns the machines that have a task which has not exited.
func (s *simulation) busyMachines() (out []string) {
	for _, id := range s.machineIDs {
		for _, task := range s.workers[id].SortedTasks() {
			if task.Phase != wire.TaskExited {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// cancelJob cancels a job, has all partition leaders acknowledge it, and writes the job's final state.
func (s *simulation) cancelJob(id string) {
	s.t.Helper()
	s.scheduler.CancelJob(red, id)
	j := s.scheduler.teams[red].jobs[id]
	for range 4 {
		for _, c := range s.controllers {
			s.sendBatch(c, true, true)
			s.poll(c, false)
		}
	}
	require.True(s.t, s.scheduler.CancellationConfirmed(j, s.partitionLeaderships()), "all partition leaders have acknowledged")
	s.endJob(id, wire.Cancelled)
}

// Guards against a team that exceeds its limit with tasks of a job that is over. The team is at its limit with one job, whose
// machines hang, get no responses, or have a new process of their partition leader. The job is cancelled, and another process
// takes over the team. No controller knows the job any more, but its tasks may still run on those machines and must count
// against the limit.
func TestLimitCountsAttemptsOfCancelledJobs(t *testing.T) {
	for _, tc := range []struct {
		name       string
		heartbeats bool // heartbeats of the job's machines arrive, but the responses are lost
		restarted  bool // the partition leaders' processes restart after the cancellation
	}{
		{"machines hang", false, false},
		{"heartbeats arrive, answers don't", true, false},
		{"and the partition leader has restarted", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 6)
			sim.runSteps(8)
			sim.addJob("job-1", 6, nil)
			sim.runSteps(4)
			require.Equal(t, 6, sim.runningTasks())
			busy := sim.busyMachines()
			sim.cancelJob("job-1")
			if tc.restarted {
				for p, c := range sim.controllers {
					sim.boot(c)
					sim.acquirePartition(p, p)
				}
				for _, id := range sim.machineIDs {
					sim.deliverCommands(id, false, true) // the first delivery carries only the new fencing token
				}
			}
			sim.newScheduler()
			sim.addJob("job-2", 6, nil)
			hung := map[string]bool{}
			for _, id := range busy {
				hung[id] = true
			}
			for range 30 {
				sim.now += 200 * clock.Millisecond
				for _, id := range sim.machineIDs {
					if !hung[id] {
						sim.heartbeat(id, true)
						sim.deliverCommands(id, false, true)
					} else if tc.heartbeats {
						sim.heartbeat(id, false)
					}
				}
				sim.advance()
				for _, c := range sim.controllers {
					sim.poll(c, false)
					sim.sendBatch(c, true, true)
				}
				sim.schedule()
				sim.checkInvariants("the cancelled job's machines are unreachable")
			}
			require.Len(t, sim.busyMachines(), len(busy), "no task of the cancelled job has been stopped, and no other task has started")
			require.Empty(t, sim.scheduler.teams[red].jobs["job-2"].assignments, "the limit leaves no room for the second job")
			sim.now += 2 * lease
			sim.runSteps(30)
			require.Equal(t, 6, sim.runningTasks(), "the second job runs once the workers' leases have expired")
		})
	}
}

// Guards against a task that starts after its job has been reported as cancelled. The job is cancelled while a run command is on
// its way to the worker, while its image is being fetched, or while a machine to which a former team leader may have assigned it
// is not accounted for. Every partition leader has acknowledged the cancellation, but it must not count as confirmed before no task
// can start any more.
func TestCancellationIsConfirmedOnceNothingCanStart(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(sim *simulation, machine string) // causes that, as far as the scheduler knows, the task may still start
		resolve func(sim *simulation, machine string) // makes certain whether the task starts
	}{
		{"a start is on its way", delayStart, func(sim *simulation, machine string) {
			sim.now += 3 * sec
			sim.workers[machine].HandleCommands(sim.lateCommands[0].commands, sim.now)
			sim.runSteps(4)
		}},
		{"a start by a former partition leader is on its way", func(sim *simulation, machine string) {
			delayStart(sim, machine)
			sim.restart(sim.leaderOfMachine(machine))
		}, startBetweenHeartbeatAndAnswer},
		{"the image is being fetched", startFetching, func(sim *simulation, _ string) { sim.runSteps(4) }},
		{"a former scheduler's machine hangs", failOver, func(sim *simulation, _ string) { sim.runSteps(8) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 2)
			sim.runSteps(8)
			sim.addJob("job-1", 1, nil)
			sim.schedule()
			for _, c := range sim.controllers {
				sim.sendBatch(c, true, true)
			}
			machine := ""
			for id, m := range sim.scheduler.machines {
				if len(m.assignments) > 0 {
					machine = id
				}
			}
			tc.prepare(sim, machine)
			sim.scheduler.CancelJob(red, "job-1")
			j := sim.scheduler.teams[red].jobs["job-1"]
			for range 4 {
				sim.runWithSilentMachine(machine)
				require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()), "the task may still start")
			}
			for _, c := range sim.controllers {
				require.True(t, j.cancelAcknowledged[c.processID], "each partition leader has acknowledged the cancellation")
			}
			tc.resolve(sim, machine)
			require.True(t, sim.ended["job-1"])
			require.Zero(t, sim.runningTasks())
		})
	}
}

func delayStart(sim *simulation, machine string) { sim.deliverCommands(machine, true, false) }

// startBetweenHeartbeatAndAnswer lets a delayed start reach the worker while a heartbeat that doesn't list the task is on its way to the
// next partition leader.
func startBetweenHeartbeatAndAnswer(sim *simulation, machine string) {
	sim.now += 3 * sec
	worker := sim.workers[machine]
	heartbeat := worker.Heartbeat(sim.now)
	worker.HandleCommands(sim.lateCommands[0].commands, sim.now)
	require.Equal(sim.t, 1, sim.runningTasks(), "the delayed start is carried out")
	response, ok := sim.stateOf(machine).HandleHeartbeat(&heartbeat, sim.partitionOf(machine), sim.now)
	require.True(sim.t, ok)
	worker.HandleHeartbeatResponse(response, sim.now)
	require.False(sim.t, sim.ended["job-1"])
	sim.runSteps(8)
}

func startFetching(sim *simulation, machine string) {
	sim.deliverCommands(machine, false, true)
	for _, task := range sim.workers[machine].SortedTasks() {
		task.Phase = wire.TaskFetching
	}
	sim.heartbeat(machine, true)
}

// failOver starts a task, and then replaces the scheduler and the process of the machine's partition leader.
func failOver(sim *simulation, machine string) {
	sim.deliverCommands(machine, false, true)
	sim.heartbeat(machine, true)
	sim.newScheduler()
	sim.restart(sim.leaderOfMachine(machine))
}

// runWithSilentMachine runs the cluster for 200 ms while one machine sends no heartbeats.
func (s *simulation) runWithSilentMachine(silent string) {
	s.now += 200 * clock.Millisecond
	for _, c := range s.controllers {
		s.poll(c, false)
		s.sendBatch(c, true, true)
	}
	for _, id := range s.machineIDs {
		if id != silent {
			s.heartbeat(id, true)
		}
	}
}

// Guards against a cancellation that counts as confirmed before the scheduler has the acknowledgement of every partition leader. A
// batch that reaches the partition leader, but whose response is lost, is no acknowledgement.
func TestCancellationIsConfirmedOnlyWhenLeadersAcknowledge(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runSteps(8)
	sim.addJob("job-1", 2, nil)
	sim.runSteps(2)
	require.Equal(t, 2, sim.runningTasks())
	require.True(t, sim.scheduler.CancelJob(red, "job-1"))
	j := sim.scheduler.teams[red].jobs["job-1"]
	require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.sendBatch(sim.controllers[0], true, true)
	sim.sendBatch(sim.controllers[1], true, false) // acknowledged, but the response is lost
	require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.sendBatch(sim.controllers[1], true, true)
	require.True(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.runSteps(4)
	require.Zero(t, sim.runningTasks())
}
