package controller

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// longWorkerLease is a worker lease that is longer than cancellationMargin: a worker whose lease is extended shortly before it expires
// keeps its tasks for longer than cancellationLimit.
const longWorkerLease = 27 * clock.Second

// setMachinesCut cuts all machines off from the controllers, or reconnects them.
func (c *cluster) setMachinesCut(cut bool) {
	for _, w := range c.workers {
		c.hungWorkers[w.ID] = cut
	}
}

// cutMachinesAfterOneAnswer lets each machine get one answer that extends its worker lease, cuts it off again, and returns once all
// are cut off.
func (c *cluster) cutMachinesAfterOneAnswer() {
	renewedAt := map[*fakes.Worker]clock.Micros{}
	for _, w := range c.workers {
		renewedAt[w] = w.RenewedAt()
	}
	c.setMachinesCut(false)
	connected := len(c.workers)
	for step := 0; connected > 0 && step < 10; step++ {
		c.runForEach(stepInterval, 0, func() {
			for w, before := range renewedAt {
				if w.RenewedAt() > before {
					c.hungWorkers[w.ID] = true
					delete(renewedAt, w)
					connected--
				}
			}
		})
	}
	require.Zero(c.t, connected, "a machine got no answer")
}

// restartAll ends all controllers at the same time and starts them again.
func (c *cluster) restartAll() {
	c.crashAll()
	c.startAll()
}

// Guards against ran_cancelled: a machine hears nothing but the first answer of a new leader between two cuts.
func TestCancelledTasksEndInTimeWhenMachineGetsOneAnswerOfNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyClusterWithOptions(t, clusterOptions{workerLease: longWorkerLease})
		c.setMachinesCut(true)
		require.Equal(t, wire.Cancelled, c.cancelJob("a", "job-1"))
		c.restartAll()
		c.runFor(21500*time.Millisecond, 0)
		require.Equal(t, 6, c.runningTasks())
		c.cutMachinesAfterOneAnswer()
		c.runFor(40*time.Second, 0)
		require.Zero(t, c.runningTasks())
	})
}

// sleepWithMachinesCut lets time pass while no machine reaches a controller.
func (c *cluster) sleepWithMachinesCut(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(stepInterval)
		for _, w := range c.workers {
			w.ExpireLease(c.clock.Now())
		}
	}
}

// answerEachMachineOnce has each worker send heartbeats, one in each step, until one of them is answered.
func (c *cluster) answerEachMachineOnce() {
	unanswered := c.workers
	for step := 0; len(unanswered) > 0 && step < 10; step++ {
		var remaining []*fakes.Worker
		for _, w := range unanswered {
			if !c.sendHeartbeat(w) {
				remaining = append(remaining, w)
			}
		}
		unanswered = remaining
		time.Sleep(stepInterval)
	}
	require.Empty(c.t, unanswered)
}

// Guards against ran_cancelled in a large fleet, whose machines all hear one answer of new leaders between two cuts.
func TestCancelledTasksEndInTimeInFleetOf4000Machines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines, jobs, tasksPerJob = 4000, 8, 400
		c := newClusterWithOptions(t, machines, clusterOptions{heartbeatS: 5, workerLease: longWorkerLease})
		c.runFleetFor(8*time.Second, 0)
		for i := range jobs {
			require.Equal(t, 201, c.submitJob(hosts[i%3], unlimitedSubmission(jobName(i), tasksPerJob), jobName(i)))
		}
		c.runFleetFor(8*time.Second, 0)
		require.Equal(t, jobs*tasksPerJob, c.runningTasks())
		for i := range jobs {
			require.Equal(t, wire.Cancelled, c.cancelJob(hosts[i%3], jobName(i)))
		}
		c.restartAll()
		c.sleepWithMachinesCut(21500 * time.Millisecond)
		require.Equal(t, jobs*tasksPerJob, c.runningTasks())
		c.answerEachMachineOnce()
		c.sleepWithMachinesCut(26 * time.Second)
		c.requireCancelledStopped()
		require.Zero(t, c.runningTasks())
	})
}

var machineCutSeeds = newSeedRange("machine-cut", 16)

// Guards against ran_cancelled under cuts of machines and changes of leaders at random moments.
func TestCancelledTasksEndInTimeUnderRandomMachineCuts(t *testing.T) {
	machineCutSeeds.run(t, runRandomMachineCuts)
}

// runRandomMachineCuts plays two rounds. In each, jobs are submitted and cancelled while every machine alternates between long cuts and
// short connections, and controllers restart.
func runRandomMachineCuts(t *testing.T, seed uint64) {
	c := newSettledClusterWithOptions(t, 12, clusterOptions{workerLease: longWorkerLease})
	rng := rand.New(rand.NewPCG(seed, 46))
	for round := range 2 {
		var submitted []string
		for i := range 6 {
			id := jobName(10*round + i)
			require.Equal(t, 201, c.submitJob(hosts[i%3], wholeMachineSubmission(id, 2), id))
			submitted = append(submitted, id)
		}
		c.runFor(4*time.Second, 0)
		cuts := newMachineCuts(c, rng)
		for end := time.Now().Add(55 * time.Second); time.Now().Before(end); {
			c.cancelOneOf(submitted, rng)
			if rng.IntN(10) == 0 {
				host := hosts[rng.IntN(len(hosts))]
				c.crash(host)
				c.start(host)
			}
			c.runForEach(stepInterval, 0, cuts.step)
		}
		c.setMachinesCut(false)
		for range 20 {
			for _, id := range submitted {
				c.cancelJob("a", id)
			}
			c.runFor(stepInterval, 0)
		}
		c.runFor(2*c.cancellationLimit(), 0)
		require.Zero(t, c.runningTasks())
	}
}

// cancelOneOf has users cancel a random job now and then.
func (c *cluster) cancelOneOf(ids []string, rng *rand.Rand) {
	if rng.IntN(3) == 0 {
		c.cancelJob(hosts[rng.IntN(len(hosts))], ids[rng.IntN(len(ids))])
	}
}

// machineCuts cuts each machine off and reconnects it at random moments.
type machineCuts struct {
	cluster *cluster
	rng     *rand.Rand
	until   map[string]time.Time // by machine; when its cut or its connection ends
}

func newMachineCuts(c *cluster, rng *rand.Rand) *machineCuts {
	m := &machineCuts{c, rng, map[string]time.Time{}}
	for _, w := range c.workers {
		c.hungWorkers[w.ID] = false
		m.until[w.ID] = time.Now().Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
	}
	return m
}

// step cuts off or reconnects the machines whose time has come. Cuts last for most of a worker lease, connections for a few steps.
func (m *machineCuts) step() {
	for _, w := range m.cluster.workers {
		if time.Now().Before(m.until[w.ID]) {
			continue
		}
		cut := !m.cluster.hungWorkers[w.ID]
		m.cluster.hungWorkers[w.ID] = cut
		d := time.Duration(300+m.rng.IntN(900)) * time.Millisecond
		if cut {
			d = time.Duration(18000+m.rng.IntN(8000)) * time.Millisecond
		}
		m.until[w.ID] = time.Now().Add(d)
	}
}
