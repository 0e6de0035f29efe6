package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Every controller ends at once and comes back: what runs goes on, what was
// accepted is done, nothing runs twice.
func TestJobsGoOnAfterAllControllersWereDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.run(5*time.Second, 0)
		c.do("a", "POST", wire.PathJobs, submission("job-1", 10))
		c.run(3*time.Second, 0)
		require.Equal(t, 6, c.running())
		for _, h := range hosts {
			c.crash(h)
		}
		c.run(5*time.Second, 0)
		require.Equal(t, 6, c.running(), "leases last")
		for _, h := range hosts {
			c.start(h)
		}
		c.run(8*time.Second, 0)
		require.Equal(t, 6, c.running())
		c.startedOnce()
		c.run(30*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.phase("c", "job-1"))
	})
}

// The state service is out for 20 s: what runs goes on and more is started;
// submissions are refused at once; what ended is told as done afterwards.
func TestTasksRunThroughAnOutageOfTheStateService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.run(5*time.Second, 0)
		c.do("a", "POST", wire.PathJobs, submission("job-1", 12))
		c.run(2*time.Second, 0)
		c.st.SetDown(true)
		r := c.do("b", "POST", wire.PathJobs, submission("job-2", 1))
		require.Equal(t, 503, r.Status)
		require.Positive(t, r.RetryAfter)
		c.run(20*time.Second, 4*time.Second)
		require.NotEqual(t, wire.Done, c.phase("a", "job-1"), "not durable yet")
		c.st.SetDown(false)
		c.run(4*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.phase("a", "job-1"))
		require.Equal(t, 201, c.do("b", "POST", wire.PathJobs, submission("job-2", 1)).Status)
	})
}

// One controller alone is refused by the state service: it gives its duties up
// when a peer tells that it is not, and the others go on with them.
func TestDutiesOfACutOffControllerMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.run(5*time.Second, 0)
		c.do("a", "POST", wire.PathJobs, submission("job-1", 12))
		c.run(2*time.Second, 0)
		holder, _ := c.up["a"].keeper.Leader("team-red")
		c.up[holder].view.SetCut(true)
		c.run(16*time.Second, 0)
		next, ok := c.up[map[string]string{"a": "b", "b": "c", "c": "a"}[holder]].keeper.Leader("team-red")
		require.True(t, ok)
		require.NotEqual(t, holder, next)
		require.Equal(t, 503, c.do(holder, "GET", wire.PathReady, "").Status)
		c.run(40*time.Second, 4*time.Second)
		require.Equal(t, wire.Done, c.phase(next, "job-1"))
	})
}

// A controller loses the state service and its peers, not its workers: they go
// on until its hold is over, and are somebody else's after it; no job is lost,
// none runs twice, and its users are sent elsewhere.
func TestAControllerWithNothingButItsWorkersIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.run(5*time.Second, 0)
		c.do("b", "POST", wire.PathJobs, submission("job-1", 10))
		c.run(4*time.Second, 0)
		require.Equal(t, 6, c.running())
		c.up["a"].view.SetCut(true)
		c.setCut("a", true)
		c.run(8*time.Second, 0)
		require.Equal(t, 503, c.do("a", "GET", wire.PathReady, "").Status)
		require.Equal(t, 503, c.do("a", "POST", wire.PathJobs, submission("job-2", 1)).Status)
		c.run(60*time.Second, 6*time.Second)
		require.Equal(t, wire.Done, c.phase("b", "job-1"), "others have taken its duties")
		c.up["a"].view.SetCut(false)
		c.setCut("a", false)
		c.run(10*time.Second, 0)
		require.Equal(t, wire.Done, c.phase("a", "job-1"))
		require.Equal(t, 200, c.do("a", "GET", wire.PathReady, "").Status)
	})
}

// A controller loses its workers and nothing else: it hears from its peers that
// they are with them, and hands them over before their leases end.
func TestAControllerWithoutItsWorkersHandsPartitionsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		c.run(5*time.Second, 0)
		c.do("b", "POST", wire.PathJobs, submission("job-1", 6))
		c.run(4*time.Second, 0)
		before := c.running()
		require.Equal(t, 6, before)
		c.unreachable["a"] = true
		c.run(30*time.Second, 0)
		require.Equal(t, before, c.running())
		for _, w := range c.workers {
			require.EqualValues(t, 1, w.Session, "its lease has ended")
		}
		c.startedOnce()
		require.Equal(t, 200, c.do("a", "GET", wire.PathReady, "").Status, "users are served")
	})
}

// Controllers are back within a fraction of a second, again and again, also
// while others are taking claims. Every accepted job is known all the time and
// done in the end; nothing runs twice.
func TestNoTaskRunsTwiceWhenControllersRestartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		rng := fakes.Rand(3)
		c.run(5*time.Second, 0)
		for i := range 4 {
			require.Equal(t, 201, c.do("a", "POST", wire.PathJobs, submission(fmt.Sprintf("job-%d", i), 5)).Status)
		}
		for range 24 {
			h := hosts[rng.IntN(3)]
			c.crash(h)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			c.start(h)
			c.run(time.Duration(500+rng.IntN(2500))*time.Millisecond, 6*time.Second)
			for _, at := range hosts {
				for i := range 4 {
					require.NotEqual(t, "404", c.phase(at, fmt.Sprintf("job-%d", i)))
				}
			}
		}
		c.run(75*time.Second, 4*time.Second)
		for i := range 4 {
			require.Equal(t, wire.Done, c.phase("b", fmt.Sprintf("job-%d", i)))
		}
	})
}

// All controllers of a fleet of 1,800 machines end at once, come back within
// moments of each other, and are restarted one after the other right behind
// that. What runs goes on, nothing runs twice, and every accepted job is
// answered for all along and done in the end.
func TestAFleetRunsOnWhenItsControllersRestartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 1800, 5)
		c.runFleet(8*time.Second, 0)
		const many = 24
		for i := range many {
			body := strings.Replace(submission(fmt.Sprintf("job-%d", i), 100+i), `"red"`, `"blue"`, 1)
			require.Equal(t, 201, c.do(hosts[i%3], "POST", wire.PathJobs, body).Status)
		}
		c.runFleet(8*time.Second, 0)
		tasks := many*100 + many*(many-1)/2
		require.Equal(t, tasks, c.running())
		for _, h := range hosts {
			c.crash(h)
		}
		c.runFleet(3*time.Second, 0)
		for i, h := range hosts {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			c.start(h)
		}
		c.runFleet(4*time.Second, 0)
		for _, h := range hosts {
			require.Equal(t, 200, c.do(h, "GET", wire.PathReady, "").Status, "ready soon")
			c.crash(h)
			time.Sleep(200 * time.Millisecond)
			c.start(h)
			c.runFleet(5*time.Second, 0)
			for i := range many {
				require.NotEqual(t, "404", c.phase(hosts[i%3], fmt.Sprintf("job-%d", i)))
			}
		}
		c.runFleet(10*time.Second, 0)
		require.Equal(t, tasks, c.running(), "what ran before runs still")
		c.startedOnce()
		c.runFleet(20*time.Second, time.Second)
		for i := range many {
			require.Equal(t, wire.Done, c.phase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}
