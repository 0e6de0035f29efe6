package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// busy lists the machines that run something.
func (w *world) busy() (out []string) {
	for _, id := range w.names {
		for _, k := range w.workers[id].InOrder() {
			if k.Phase != wire.TaskExited {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// withdraw has a job withdrawn and its end written.
func (w *world) withdraw(id string) {
	w.scheduler.CancelJob(red, id)
	j := w.scheduler.teams[red].jobs[id]
	for range 4 {
		for _, h := range w.hosts {
			w.send(h, true, true)
			w.poll(h, false)
		}
	}
	require.True(w.t, w.scheduler.CancellationConfirmed(j, w.parts()), "the owners have taken it")
	w.end(id, wire.Cancelled)
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
			w := newWorld(t, 1, 6)
			w.settle(8)
			w.addJob("job-1", 6, nil)
			w.settle(4)
			require.Equal(t, 6, w.running())
			busy := w.busy()
			w.withdraw("job-1")
			if x.anew {
				for p, h := range w.hosts {
					w.boot(h)
					w.gain(p, p)
				}
				for _, id := range w.names {
					w.report(id, true) // its answer brings the new token, and nothing else
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
				for _, id := range w.names {
					if !hung[id] {
						w.report(id, true)
						w.deliver(id, false, true)
					} else if x.reports {
						w.report(id, false)
					}
				}
				w.tick()
				for _, h := range w.hosts {
					w.poll(h, false)
					w.send(h, true, true)
				}
				w.place()
				w.check("the withdrawn job's machines are out of reach")
			}
			require.Len(t, w.busy(), len(busy), "nothing of the withdrawn job has been stopped, and nothing fits beside it")
			require.Empty(t, w.scheduler.teams[red].jobs["job-2"].assignments, "the limit leaves nothing for the other job")
			w.now += 2 * lease
			w.settle(30)
			require.Equal(t, 6, w.running(), "the other job runs once their leases are over")
		})
	}
}

// A job is withdrawn while a start of it is on its way, its image is being fetched, or
// nothing is known yet of a machine on which a former placer may have put it. Every owner
// has taken the withdrawal; its end waits until nothing of it can start.
func TestAWithdrawalIsToldOnceNothingCanStart(t *testing.T) {
	for _, x := range []struct {
		name  string
		until func(w *world, id string) // brings about what may start on a machine
		free  func(w *world, id string) // and lets it be known
	}{
		{"a start is on its way", func(w *world, id string) {
			w.deliver(id, true, false)
		}, func(w *world, id string) {
			w.now += 3 * sec
			w.workers[id].Orders(w.orders[0].orders, w.now)
			w.settle(4)
		}},
		{"the image is being fetched", func(w *world, id string) {
			w.deliver(id, false, true)
			for _, k := range w.workers[id].InOrder() {
				k.Phase = wire.TaskFetching
			}
			w.report(id, true)
		}, func(w *world, id string) { w.settle(4) }},
		{"a former placer's machine hangs", func(w *world, id string) {
			w.deliver(id, false, true)
			w.report(id, true)
			w.newScheduler()
			h := w.partHost[w.part(id)]
			w.boot(w.hosts[h])
			for p, at := range w.partHost {
				if at == h {
					w.gain(p, at)
				}
			}
		}, func(w *world, id string) { w.settle(8) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newWorld(t, 1, 2)
			w.settle(8)
			w.addJob("job-1", 1, nil)
			w.place()
			for _, h := range w.hosts {
				w.send(h, true, true)
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
				for _, h := range w.hosts {
					w.poll(h, false)
					w.send(h, true, true)
				}
				for _, id := range w.names {
					if id != at {
						w.report(id, true)
					}
				}
				require.False(t, w.scheduler.CancellationConfirmed(j, w.parts()), "it may start yet")
			}
			for _, h := range w.hosts {
				require.True(t, j.cancelAcknowledged[h.instance], "its owners know")
			}
			x.free(w, at)
			require.True(t, w.ended["job-1"])
			require.Zero(t, w.running())
		})
	}
}
