package controller

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A fleet of 4,000 machines: all are on record, answers to polls are read in several
// pages, the partitions of a controller that crashes are taken over, and every task runs once.
func TestFleetOf4000MachinesSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines, jobs, tasksPerJob = 4000, 8, 400
		c := newClusterWithOptions(t, machines, clusterOptions{heartbeatS: 5})
		c.runFleetFor(8*time.Second, 0)
		require.Len(t, c.recordedMachines(), machines)
		require.Greater(t, machines/len(hosts), 4*peer.PageMachines, "an answer takes several pages")
		for i := range jobs {
			body := unlimitedSubmission(fmt.Sprintf("job-%d", i), tasksPerJob)
			require.Equal(t, 201, c.post(hosts[i%3], wire.PathJobs, body).Status)
		}
		c.runFleetFor(8*time.Second, 0)
		require.Equal(t, jobs*tasksPerJob, c.runningTasks())
		c.crash("b")
		c.runFleetFor(2*time.Second, 0)
		c.start("b")
		c.runFleetFor(25*time.Second, 0)
		require.Equal(t, jobs*tasksPerJob, c.runningTasks(), "what ran before runs still")
		c.requireStartedOnce()
		c.runFleetFor(15*time.Second, time.Second)
		for i := range jobs {
			require.Equal(t, wire.Done, c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}

// All controllers of a fleet of 1,800 machines crash together, come back within
// moments of each other, and are restarted one after the other right after
// that. What runs goes on, nothing runs twice, and every accepted job is
// answered for all along and done in the end.
func TestFleetKeepsRunningWhenAllControllersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithOptions(t, 1800, clusterOptions{heartbeatS: 5})
		c.runFleetFor(8*time.Second, 0)
		const jobs = 24
		for i := range jobs {
			body := unlimitedSubmission(fmt.Sprintf("job-%d", i), 100+i)
			require.Equal(t, 201, c.post(hosts[i%3], wire.PathJobs, body).Status)
		}
		c.runFleetFor(8*time.Second, 0)
		tasks := jobs*100 + jobs*(jobs-1)/2
		require.Equal(t, tasks, c.runningTasks())
		for _, h := range hosts {
			c.crash(h)
		}
		c.runFleetFor(3*time.Second, 0)
		for i, h := range hosts {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			c.start(h)
		}
		c.runFleetFor(4*time.Second, 0)
		for _, h := range hosts {
			require.Equal(t, 200, c.get(h, wire.PathReady).Status, "ready soon")
			c.crash(h)
			time.Sleep(200 * time.Millisecond)
			c.start(h)
			c.runFleetFor(5*time.Second, 0)
			for i := range jobs {
				require.NotEqual(t, "404", c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
			}
		}
		c.runFleetFor(10*time.Second, 0)
		require.Equal(t, tasks, c.runningTasks(), "what ran before runs still")
		c.requireStartedOnce()
		c.runFleetFor(20*time.Second, time.Second)
		for i := range jobs {
			require.Equal(t, wire.Done, c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}

// Seconds in which nothing happens cost the same on a small fleet and on one eight times as large.
func TestIdleAllocationsAreIndependentOfFleetSize(t *testing.T) {
	small, large := idleAllocations(t, 12), idleAllocations(t, 96)
	t.Log(small, large)
	require.NotZero(t, small)
	require.LessOrEqual(t, large, small+small/20)
}

// idleAllocations is what three controllers allocate in ten seconds in which nothing happens.
func idleAllocations(t *testing.T, machines int) (allocations uint64) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, machines)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		time.Sleep(10 * time.Second)
		runtime.ReadMemStats(&after)
		for _, h := range hosts {
			require.True(t, c.process(h).elector.LeaseValid(), "the controllers are at work")
		}
		allocations = after.Mallocs - before.Mallocs
	})
	return allocations
}
