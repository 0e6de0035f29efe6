package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// busyMachines lists the machines that run something.
func (w *simulation) busyMachines() (out []string) {
	for _, id := range w.machineIDs {
		for _, k := range w.workers[id].InOrder() {
			if k.Phase != wire.TaskExited {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// cancelJob has a job withdrawn and its end written.
func (w *simulation) cancelJob(id string) {
	w.scheduler.CancelJob(red, id)
	j := w.scheduler.teams[red].jobs[id]
	for range 4 {
		for _, h := range w.controllers {
			w.sendBatch(h, true, true)
			w.poll(h, false)
		}
	}
	require.True(w.t, w.scheduler.CancellationConfirmed(j, w.partitionLeaderships()), "the owners have taken it")
	w.endJob(id, wire.Cancelled)
}

// A team is at its limit with a job whose machines hang, hear no answers, or are
// somebody else's now. The job is withdrawn, and the team's placer changes. What may
// run there still counts against the limit, though its job is known to nobody any more.
func TestLimitsCountWhatIsLeftOfWithdrawnJobs(t *testing.T) {
	for _, x := range []struct {
		name          string
		reports, anew bool // the machines' reports arrive, but no answer; their owner has begun anew
	}{
		{"machines hang", false, false},
		{"reports arrive, answers don't", true, false},
		{"and the machines' owner has begun anew", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newSimulation(t, 1, 6)
			w.runSteps(8)
			w.addJob("job-1", 6, nil)
			w.runSteps(4)
			require.Equal(t, 6, w.runningTasks())
			busy := w.busyMachines()
			w.cancelJob("job-1")
			if x.anew {
				for p, h := range w.controllers {
					w.boot(h)
					w.acquirePartition(p, p)
				}
				for _, id := range w.machineIDs {
					w.heartbeat(id, true) // its answer brings the new token, and nothing else
				}
			}
			w.newScheduler()
			w.addJob("job-2", 6, nil)
			hung := map[string]bool{}
			for _, id := range busy {
				hung[id] = true
			}
			for range 30 {
				w.now += 200 * clock.Millisecond
				for _, id := range w.machineIDs {
					if !hung[id] {
						w.heartbeat(id, true)
						w.deliverCommands(id, false, true)
					} else if x.reports {
						w.heartbeat(id, false)
					}
				}
				w.advance()
				for _, h := range w.controllers {
					w.poll(h, false)
					w.sendBatch(h, true, true)
				}
				w.schedule()
				w.checkInvariants("the withdrawn job's machines are out of reach")
			}
			require.Len(t, w.busyMachines(), len(busy), "nothing of the withdrawn job has been stopped, and nothing fits beside it")
			require.Empty(t, w.scheduler.teams[red].jobs["job-2"].assignments, "the limit leaves nothing for the other job")
			w.now += 2 * lease
			w.runSteps(30)
			require.Equal(t, 6, w.runningTasks(), "the other job runs once their leases are over")
		})
	}
}

// A job is withdrawn while a start of it is on its way, its image is being fetched, or
// nothing is known yet of a machine on which a former placer may have put it. Every owner
// has taken the withdrawal; its end waits until nothing of it can start.
func TestAWithdrawalIsToldOnceNothingCanStart(t *testing.T) {
	for _, x := range []struct {
		name  string
		until func(w *simulation, id string) // brings about what may start on a machine
		free  func(w *simulation, id string) // and lets it be known
	}{
		{"a start is on its way", func(w *simulation, id string) {
			w.deliverCommands(id, true, false)
		}, func(w *simulation, id string) {
			w.now += 3 * sec
			w.workers[id].Orders(w.lateCommands[0].commands, w.now)
			w.runSteps(4)
		}},
		{"the image is being fetched", func(w *simulation, id string) {
			w.deliverCommands(id, false, true)
			for _, k := range w.workers[id].InOrder() {
				k.Phase = wire.TaskFetching
			}
			w.heartbeat(id, true)
		}, func(w *simulation, id string) { w.runSteps(4) }},
		{"a former placer's machine hangs", func(w *simulation, id string) {
			w.deliverCommands(id, false, true)
			w.heartbeat(id, true)
			w.newScheduler()
			h := w.leaderOf[w.partitionOf(id)]
			w.boot(w.controllers[h])
			for p, at := range w.leaderOf {
				if at == h {
					w.acquirePartition(p, at)
				}
			}
		}, func(w *simulation, id string) { w.runSteps(8) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newSimulation(t, 1, 2)
			w.runSteps(8)
			w.addJob("job-1", 1, nil)
			w.schedule()
			for _, h := range w.controllers {
				w.sendBatch(h, true, true)
			}
			at := ""
			for id, m := range w.scheduler.machines {
				if len(m.assignments) > 0 {
					at = id
				}
			}
			x.until(w, at)
			w.scheduler.CancelJob(red, "job-1")
			j := w.scheduler.teams[red].jobs["job-1"]
			for range 4 {
				w.now += 200 * clock.Millisecond
				for _, h := range w.controllers {
					w.poll(h, false)
					w.sendBatch(h, true, true)
				}
				for _, id := range w.machineIDs {
					if id != at {
						w.heartbeat(id, true)
					}
				}
				require.False(t, w.scheduler.CancellationConfirmed(j, w.partitionLeaderships()), "it may start yet")
			}
			for _, h := range w.controllers {
				require.True(t, j.cancelAcknowledged[h.instance], "its owners know")
			}
			x.free(w, at)
			require.True(t, w.ended["job-1"])
			require.Zero(t, w.runningTasks())
		})
	}
}
