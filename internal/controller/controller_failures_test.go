package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Guards against tasks that are lost, or started twice, when all controllers crash together and restart within the worker
// lease. Running tasks must continue, and the accepted job must complete.
func TestRunningTasksContinueAfterAllControllersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.runFor(5*time.Second, 0)
		c.post("a", wire.PathJobs, submission("job-1", 10))
		c.runFor(3*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.crashAll()
		c.runFor(5*time.Second, 0)
		require.Equal(t, 6, c.runningTasks(), "tasks have ended before the worker leases expire")
		c.startAll()
		c.runFor(8*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.requireStartedOnce()
		c.runFor(30*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.jobPhase("c", "job-1"))
	})
}

// Guards against an outage of the key-value store that stops the work. While the store is down for 20 s, running tasks
// continue and waiting tasks start, submissions are rejected immediately with Retry-After, and a job whose tasks have ended is
// not reported as done until its final state can be written.
func TestTasksRunDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.runFor(5*time.Second, 0)
		c.post("a", wire.PathJobs, submission("job-1", 12))
		c.runFor(2*time.Second, 0)
		c.store.SetDown(true)
		r := c.post("b", wire.PathJobs, submission("job-2", 1))
		require.Equal(t, 503, r.Status)
		require.Positive(t, r.RetryAfter)
		c.runFor(20*time.Second, 4*time.Second)
		require.NotEqual(t, wire.Done, c.jobPhase("a", "job-1"), "reported as done before that is durable")
		c.store.SetDown(false)
		c.runFor(4*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.jobPhase("a", "job-1"))
		require.Equal(t, 201, c.post("b", wire.PathJobs, submission("job-2", 1)).Status)
	})
}

// Guards against leaderships that stay with a controller that can't use them. The key-value store refuses only one controller.
// It resigns its leaderships when a peer's heartbeat says that the peer reaches the store, and the others acquire them.
func TestLeadershipsMoveFromControllerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(5*time.Second, 0)
		c.post("a", wire.PathJobs, submission("job-1", 12))
		c.runFor(2*time.Second, 0)
		leader, _ := c.process("a").elector.Leader("team-red")
		c.setStoreDisconnected(leader, true)
		c.runFor(16*time.Second, 0)
		next, ok := c.process(nextHost(leader)).elector.Leader("team-red")
		require.True(t, ok)
		require.NotEqual(t, leader, next)
		require.Equal(t, 503, c.get(leader, wire.PathReady).Status)
		c.runFor(40*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.jobPhase(next, "job-1"))
	})
}

// Guards against jobs that are lost, or run twice, when a controller loses the key-value store and its peers but not its
// workers. The workers' tasks continue until the controller's lease has expired; then other controllers lead its partitions.
// Meanwhile the controller reports that it is not ready, so that the load balancer sends users elsewhere.
func TestControllerWithoutStoreAndPeersIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(5*time.Second, 0)
		c.post("b", wire.PathJobs, submission("job-1", 10))
		c.runFor(4*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.setStoreDisconnected("a", true)
		c.setDisconnected("a", true)
		c.runFor(8*time.Second, 0)
		require.Equal(t, 503, c.get("a", wire.PathReady).Status)
		require.Equal(t, 503, c.post("a", wire.PathJobs, submission("job-2", 1)).Status)
		c.runFor(60*time.Second, 6*time.Second)
		require.Equal(t, wire.Done, c.jobPhase("b", "job-1"), "others have not completed the job")
		c.setStoreDisconnected("a", false)
		c.setDisconnected("a", false)
		c.runFor(10*time.Second, 0)
		require.Equal(t, wire.Done, c.jobPhase("a", "job-1"))
		require.Equal(t, 200, c.get("a", wire.PathReady).Status)
	})
}

// Guards against tasks that are lost with their worker leases when a controller loses its workers and nothing else. Its peers'
// heartbeats say that the workers report to the peers, and its partitions must be transferred before the worker leases expire.
func TestControllerWithoutWorkersTransfersPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		c.runFor(5*time.Second, 0)
		c.post("b", wire.PathJobs, submission("job-1", 6))
		c.runFor(4*time.Second, 0)
		before := c.runningTasks()
		require.Equal(t, 6, before)
		c.unreachableHosts["a"] = true
		c.runFor(30*time.Second, 0)
		require.Equal(t, before, c.runningTasks())
		for _, w := range c.workers {
			require.EqualValues(t, 1, w.Incarnation, "the worker's lease has expired")
		}
		c.requireStartedOnce()
		require.Equal(t, 200, c.get("a", wire.PathReady).Status, "users are not served any more")
	})
}

// Guards against jobs that are forgotten, or tasks that run twice, when controllers restart repeatedly within a fraction of a
// second, also while others are acquiring leaderships. Every accepted job must be known at all times and complete.
func TestTasksRunOnceWhenControllersRestartRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		rng := fakes.Rand(3)
		c.runFor(5*time.Second, 0)
		for i := range 4 {
			require.Equal(t, 201, c.post("a", wire.PathJobs, submission(fmt.Sprintf("job-%d", i), 5)).Status)
		}
		for range 24 {
			h := hosts[rng.IntN(3)]
			c.crash(h)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			c.start(h)
			c.runFor(time.Duration(500+rng.IntN(2500))*time.Millisecond, 6*time.Second)
			for _, other := range hosts {
				for i := range 4 {
					require.NotEqual(t, "404", c.jobPhase(other, fmt.Sprintf("job-%d", i)))
				}
			}
		}
		c.runFor(75*time.Second, 4*time.Second)
		for i := range 4 {
			require.Equal(t, wire.Done, c.jobPhase("b", fmt.Sprintf("job-%d", i)))
		}
	})
}
