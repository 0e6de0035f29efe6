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

// All controllers crash together and come back: what runs goes on, what was
// accepted is done, nothing runs twice.
func TestRunningTasksContinueAfterAllControllersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.runFor(5*time.Second, 0)
		c.post("a", wire.PathJobs, submission("job-1", 10))
		c.runFor(3*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		for _, h := range hosts {
			c.crash(h)
		}
		c.runFor(5*time.Second, 0)
		require.Equal(t, 6, c.runningTasks(), "leases last")
		for _, h := range hosts {
			c.start(h)
		}
		c.runFor(8*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.requireStartedOnce()
		c.runFor(30*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.jobPhase("c", "job-1"))
	})
}

// The key-value store is down for 20 s: what runs goes on and more is started;
// submissions are rejected immediately; what ended is reported as done afterwards.
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
		require.NotEqual(t, wire.Done, c.jobPhase("a", "job-1"), "not durable yet")
		c.store.SetDown(false)
		c.runFor(4*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.jobPhase("a", "job-1"))
		require.Equal(t, 201, c.post("b", wire.PathJobs, submission("job-2", 1)).Status)
	})
}

// The key-value store refuses one controller alone: it resigns its leaderships
// when a peer's heartbeat says that the peer is served, and the others acquire them.
func TestLeadershipsMoveFromControllerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(5*time.Second, 0)
		c.post("a", wire.PathJobs, submission("job-1", 12))
		c.runFor(2*time.Second, 0)
		leader, _ := c.process("a").elector.Leader("team-red")
		c.setStoreCut(leader, true)
		c.runFor(16*time.Second, 0)
		next, ok := c.process(nextHost(leader)).elector.Leader("team-red")
		require.True(t, ok)
		require.NotEqual(t, leader, next)
		require.Equal(t, 503, c.get(leader, wire.PathReady).Status)
		c.runFor(40*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.jobPhase(next, "job-1"))
	})
}

// A controller loses the key-value store and its peers, not its workers: they go
// on until its lease expires, and are other controllers' after it; no job is lost,
// none runs twice, and its users are sent elsewhere.
func TestControllerWithoutStoreAndPeersIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(5*time.Second, 0)
		c.post("b", wire.PathJobs, submission("job-1", 10))
		c.runFor(4*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.setStoreCut("a", true)
		c.setDisconnected("a", true)
		c.runFor(8*time.Second, 0)
		require.Equal(t, 503, c.get("a", wire.PathReady).Status)
		require.Equal(t, 503, c.post("a", wire.PathJobs, submission("job-2", 1)).Status)
		c.runFor(60*time.Second, 6*time.Second)
		require.Equal(t, wire.Done, c.jobPhase("b", "job-1"), "others lead what it led")
		c.setStoreCut("a", false)
		c.setDisconnected("a", false)
		c.runFor(10*time.Second, 0)
		require.Equal(t, wire.Done, c.jobPhase("a", "job-1"))
		require.Equal(t, 200, c.get("a", wire.PathReady).Status)
	})
}

// A controller loses its workers and nothing else: its peers' heartbeats say that
// they report to the peers, and it transfers its partitions before the workers' leases expire.
func TestControllerWithoutWorkersTransfersPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		c.runFor(5*time.Second, 0)
		c.post("b", wire.PathJobs, submission("job-1", 6))
		c.runFor(4*time.Second, 0)
		before := c.runningTasks()
		require.Equal(t, 6, before)
		c.unreachable["a"] = true
		c.runFor(30*time.Second, 0)
		require.Equal(t, before, c.runningTasks())
		for _, w := range c.workers {
			require.EqualValues(t, 1, w.Incarnation, "its lease has expired")
		}
		c.requireStartedOnce()
		require.Equal(t, 200, c.get("a", wire.PathReady).Status, "users are served")
	})
}

// Controllers are back within a fraction of a second, again and again, also
// while others are taking leaderships. Every accepted job is known all the time and
// done in the end; nothing runs twice.
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
