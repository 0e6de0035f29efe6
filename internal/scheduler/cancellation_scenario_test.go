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
		for _, k := range s.workers[id].InOrder() {
			if k.Phase != wire.TaskExited {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// cancelJob has a job withdrawn and its end written.
func (s *simulation) cancelJob(id string) {
	s.scheduler.CancelJob(red, id)
	j := s.scheduler.teams[red].jobs[id]
	for range 4 {
		for _, h := range s.controllers {
			s.sendBatch(h, true, true)
			s.poll(h, false)
		}
	}
	require.True(s.t, s.scheduler.CancellationConfirmed(j, s.partitionLeaderships()), "the owners have taken it")
	s.endJob(id, wire.Cancelled)
}

// A team is at its limit with a job whose machines hang, hear no answers, or are
// somebody else's now. The job is withdrawn, and the team's placer changes. What may
// run there still counts against the limit, though its job is known to nobody any more.
func TestLimitCountsAttemptsOfCancelledJobs(t *testing.T) {
	for _, x := range []struct {
		name          string
		reports, anew bool // the machines' reports arrive, but no answer; their owner has begun anew
	}{
		{"machines hang", false, false},
		{"reports arrive, answers don't", true, false},
		{"and the machines' owner has begun anew", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			sim := newSimulation(t, 6)
			sim.runSteps(8)
			sim.addJob("job-1", 6, nil)
			sim.runSteps(4)
			require.Equal(t, 6, sim.runningTasks())
			busy := sim.busyMachines()
			sim.cancelJob("job-1")
			if x.anew {
				for p, h := range sim.controllers {
					sim.boot(h)
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
					} else if x.reports {
						sim.heartbeat(id, false)
					}
				}
				sim.advance()
				for _, h := range sim.controllers {
					sim.poll(h, false)
					sim.sendBatch(h, true, true)
				}
				sim.schedule()
				sim.checkInvariants("the withdrawn job's machines are out of reach")
			}
			require.Len(t, sim.busyMachines(), len(busy), "nothing of the withdrawn job has been stopped, and nothing fits beside it")
			require.Empty(t, sim.scheduler.teams[red].jobs["job-2"].assignments, "the limit leaves nothing for the other job")
			sim.now += 2 * lease
			sim.runSteps(30)
			require.Equal(t, 6, sim.runningTasks(), "the other job runs once their leases are over")
		})
	}
}

// A job is withdrawn while a start of it is on its way, its image is being fetched, or
// nothing is known yet of a machine on which a former placer may have put it. Every owner
// has taken the withdrawal; its end waits until nothing of it can start.
func TestCancellationIsConfirmedOnceNothingCanStart(t *testing.T) {
	for _, x := range []struct {
		name  string
		until func(sim *simulation, id string) // brings about what may start on a machine
		free  func(sim *simulation, id string) // and lets it be known
	}{
		{"a start is on its way", func(sim *simulation, id string) {
			sim.deliverCommands(id, true, false)
		}, func(sim *simulation, id string) {
			sim.now += 3 * sec
			sim.workers[id].Orders(sim.lateCommands[0].commands, sim.now)
			sim.runSteps(4)
		}},
		{"the image is being fetched", func(sim *simulation, id string) {
			sim.deliverCommands(id, false, true)
			for _, k := range sim.workers[id].InOrder() {
				k.Phase = wire.TaskFetching
			}
			sim.heartbeat(id, true)
		}, func(sim *simulation, id string) { sim.runSteps(4) }},
		{"a former placer's machine hangs", func(sim *simulation, id string) {
			sim.deliverCommands(id, false, true)
			sim.heartbeat(id, true)
			sim.newScheduler()
			h := sim.leaderOf[sim.partitionOf(id)]
			sim.boot(sim.controllers[h])
			for p, at := range sim.leaderOf {
				if at == h {
					sim.acquirePartition(p, at)
				}
			}
		}, func(sim *simulation, id string) { sim.runSteps(8) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			sim := newSimulation(t, 2)
			sim.runSteps(8)
			sim.addJob("job-1", 1, nil)
			sim.schedule()
			for _, h := range sim.controllers {
				sim.sendBatch(h, true, true)
			}
			at := ""
			for id, m := range sim.scheduler.machines {
				if len(m.assignments) > 0 {
					at = id
				}
			}
			x.until(sim, at)
			sim.scheduler.CancelJob(red, "job-1")
			j := sim.scheduler.teams[red].jobs["job-1"]
			for range 4 {
				sim.now += 200 * clock.Millisecond
				for _, h := range sim.controllers {
					sim.poll(h, false)
					sim.sendBatch(h, true, true)
				}
				for _, id := range sim.machineIDs {
					if id != at {
						sim.heartbeat(id, true)
					}
				}
				require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()), "it may start yet")
			}
			for _, h := range sim.controllers {
				require.True(t, j.cancelAcknowledged[h.instance], "its owners know")
			}
			x.free(sim, at)
			require.True(t, sim.ended["job-1"])
			require.Zero(t, sim.runningTasks())
		})
	}
}

// A withdrawal counts as taken only by owners that have it.
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
	sim.sendBatch(sim.controllers[1], true, false) // taken, but the answer is lost
	require.False(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.sendBatch(sim.controllers[1], true, true)
	require.True(t, sim.scheduler.CancellationConfirmed(j, sim.partitionLeaderships()))
	sim.runSteps(4)
	require.Zero(t, sim.runningTasks())
}
