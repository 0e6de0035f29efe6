package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// busyMachines lists the machines that run something.
func (s *simulation) busyMachines() (out []string) {
	for _, id := range s.machineIDs {
		for _, task := range s.workers[id].InOrder() {
			if task.Phase != wire.TaskExited {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// cancelJob has a job cancelled and its final state written.
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
	require.True(s.t, s.scheduler.CancellationConfirmed(j, s.partitionLeaderships()), "the partition leaders have acknowledged it")
	s.endJob(id, wire.Cancelled)
}

// A team is at its limit with a job whose machines hang, get no answers, or have a new
// partition leader. The job is cancelled, and the team's leader changes. What may
// run there still counts against the limit, though its job is known to nobody any more.
func TestLimitCountsAttemptsOfCancelledJobs(t *testing.T) {
	for _, x := range []struct {
		name       string
		heartbeats bool // of the machines arrive, but no answers
		restarted  bool // the process of their partition leader
	}{
		{"machines hang", false, false},
		{"heartbeats arrive, answers don't", true, false},
		{"and the partition leader has restarted", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			sim := newSimulation(t, 6)
			sim.runSteps(8)
			sim.addJob("job-1", 6, nil)
			sim.runSteps(4)
			require.Equal(t, 6, sim.runningTasks())
			busy := sim.busyMachines()
			sim.cancelJob("job-1")
			if x.restarted {
				for p, c := range sim.controllers {
					sim.boot(c)
					sim.acquirePartition(p, p)
				}
				for _, id := range sim.machineIDs {
					sim.heartbeat(id, true) // its answer brings the new token, and nothing else
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
					} else if x.heartbeats {
						sim.heartbeat(id, false)
					}
				}
				sim.advance()
				for _, c := range sim.controllers {
					sim.poll(c, false)
					sim.sendBatch(c, true, true)
				}
				sim.schedule()
				sim.checkInvariants("the cancelled job's machines are out of reach")
			}
			require.Len(t, sim.busyMachines(), len(busy), "nothing of the cancelled job has been stopped, and nothing fits beside it")
			require.Empty(t, sim.scheduler.teams[red].jobs["job-2"].assignments, "the limit leaves nothing for the other job")
			sim.now += 2 * lease
			sim.runSteps(30)
			require.Equal(t, 6, sim.runningTasks(), "the other job runs once their leases are over")
		})
	}
}

// A job is cancelled while a start of it is on its way, its image is being fetched, or
// nothing is known yet of a machine on which a former scheduler may have put it. Every partition leader
// has acknowledged the cancellation; its final state waits until nothing of it can start.
func TestCancellationIsConfirmedOnceNothingCanStart(t *testing.T) {
	for _, x := range []struct {
		name    string
		prepare func(sim *simulation, machine string) // brings about what may start on a machine
		resolve func(sim *simulation, machine string) // and lets it be known
	}{
		{"a start is on its way", delayStart, func(sim *simulation, machine string) {
			sim.now += 3 * sec
			sim.workers[machine].HandleCommands(sim.lateCommands[0].commands, sim.now)
			sim.runSteps(4)
		}},
		{"the image is being fetched", startFetching, func(sim *simulation, _ string) { sim.runSteps(4) }},
		{"a former scheduler's machine hangs", failOver, func(sim *simulation, _ string) { sim.runSteps(8) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			sim := newSimulation(t, 2)
			sim.runSteps(8)
			sim.addJob("job-1", 1, nil)
			sim.schedule()
			for _, c := range sim.controllers {
				sim.sendBatch(c, true, true)
			}
			at := ""
			for id, m := range sim.scheduler.machines {
				if len(m.assignments) > 0 {
					at = id
				}
			}
			x.prepare(sim, at)
			sim.scheduler.CancelJob(red, "job-1")
			j := sim.scheduler.teams[red].jobs["job-1"]
			for range 4 {
				sim.runWithSilentMachine(at)
				require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()), "it may start yet")
			}
			for _, c := range sim.controllers {
				require.True(t, j.cancelAcknowledged[c.instance], "its partition leaders know")
			}
			x.resolve(sim, at)
			require.True(t, sim.ended["job-1"])
			require.Zero(t, sim.runningTasks())
		})
	}
}

func delayStart(sim *simulation, machine string) { sim.deliverCommands(machine, true, false) }

func startFetching(sim *simulation, machine string) {
	sim.deliverCommands(machine, false, true)
	for _, task := range sim.workers[machine].InOrder() {
		task.Phase = wire.TaskFetching
	}
	sim.heartbeat(machine, true)
}

// failOver starts a task, and replaces the scheduler and the process of the machine's partition leader.
func failOver(sim *simulation, machine string) {
	sim.deliverCommands(machine, false, true)
	sim.heartbeat(machine, true)
	sim.newScheduler()
	sim.restart(sim.controllers[sim.leaderOf[sim.partitionOf(machine)]])
}

// runWithSilentMachine lets all go on for a moment but one machine, which sends no heartbeats.
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

// A cancellation counts as acknowledged only by the partition leaders whose answer has come.
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
	sim.sendBatch(sim.controllers[1], true, false) // acknowledged, but the answer is lost
	require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.sendBatch(sim.controllers[1], true, true)
	require.True(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.runSteps(4)
	require.Zero(t, sim.runningTasks())
}
