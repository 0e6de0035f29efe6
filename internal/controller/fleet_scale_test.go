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

// Guards against tasks that are lost or started twice in a large fleet, where the answer to a poll has several pages. In a
// fleet of 4,000 machines all machines must be recorded, and when a controller crashes, other controllers acquire its
// partitions while running tasks continue.
func TestFleetOf4000MachinesSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines, jobs, tasksPerJob = 4000, 8, 400
		c := newClusterWithOptions(t, machines, clusterOptions{heartbeatS: 5})
		c.runFleetFor(8*time.Second, 0)
		require.Len(t, c.recordedMachines(), machines)
		require.Greater(t, machines/len(hosts), 4*peer.PageMachines, "an answer to a poll must need several pages")
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
		require.Equal(t, jobs*tasksPerJob, c.runningTasks(), "running tasks must continue")
		c.requireStartedOnce()
		c.runFleetFor(15*time.Second, time.Second)
		for i := range jobs {
			require.Equal(t, wire.Done, c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}

// Guards against a large fleet that loses or repeats work when its controllers restart. All controllers of a fleet of 1,800
// machines crash together and start again within half a second of each other, and then restart one after the other. Running
// tasks must continue, none may start twice, and every accepted job must stay known and complete.
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
		c.crashAll()
		c.runFleetFor(3*time.Second, 0)
		for i, h := range hosts {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			c.start(h)
		}
		c.runFleetFor(4*time.Second, 0)
		for _, h := range hosts {
			require.Equal(t, 200, c.get(h, wire.PathReady).Status, "not ready a few seconds after the start")
			c.crash(h)
			time.Sleep(200 * time.Millisecond)
			c.start(h)
			c.runFleetFor(5*time.Second, 0)
			for i := range jobs {
				require.NotEqual(t, "404", c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
			}
		}
		c.runFleetFor(10*time.Second, 0)
		require.Equal(t, tasks, c.runningTasks(), "running tasks must continue")
		c.requireStartedOnce()
		c.runFleetFor(20*time.Second, time.Second)
		for i := range jobs {
			require.Equal(t, wire.Done, c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}

// Guards against periodic work whose cost grows with the size of the fleet. While nothing happens, the controllers of a fleet
// must allocate at most 5% more than those of a fleet with an eighth of the machines.
func TestIdleAllocationsAreIndependentOfFleetSize(t *testing.T) {
	small, large := idleAllocations(t, 12), idleAllocations(t, 96)
	t.Log(small, large)
	require.NotZero(t, small)
	require.LessOrEqual(t, large, small+small/20)
}

// idleAllocations returns the number of memory allocations of three controllers in ten seconds in which nothing happens.
func idleAllocations(t *testing.T, machines int) (allocations uint64) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, machines)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		time.Sleep(10 * time.Second)
		runtime.ReadMemStats(&after)
		for _, h := range hosts {
			require.True(t, c.process(h).elector.LeaseValid(), "the controller does not run")
		}
		allocations = after.Mallocs - before.Mallocs
	})
	return allocations
}
