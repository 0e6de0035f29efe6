package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// A job is submitted at one controller, placed by another, run, and told as
// done by a third.
func TestJobsRunToTheirEndOnAQuietDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.run(5*time.Second, 0)
		require.Equal(t, 200, c.do("a", "GET", wire.PathReady, "").Status)
		require.Equal(t, 201, c.do("a", "POST", wire.PathJobs, submission("job-1", 9)).Status)
		c.run(4*time.Second, 0)
		require.Equal(t, 6, c.running(), "as many as the limit of 12 CPUs allows")
		require.Equal(t, wire.Running, c.phase("b", "job-1"))
		c.run(20*time.Second, 4*time.Second)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.phase(h, "job-1"))
		}
		require.Zero(t, c.running())
		for _, w := range c.workers {
			require.Empty(t, w.Tasks, "ended tasks are forgotten")
		}
	})
}

// A state service that takes one change a transaction and half a kilobyte a
// value: jobs run, are withdrawn, and stay known over restarts of all controllers.
func TestJobsRunUnderVerySmallLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWith(t, 4, &cluster{reportS: 0.5, txnOps: 1, valueKB: 0.5})
		c.st.SetLimits(1, 512)
		c.run(5*time.Second, 0)
		for i := range 3 {
			r := c.do("a", "POST", wire.PathJobs, submission(fmt.Sprintf("job-%d", i), 5))
			require.Equal(t, 201, r.Status, string(r.Body))
		}
		c.run(4*time.Second, 0)
		require.Equal(t, 6, c.running())
		require.Equal(t, 200, c.do("b", "POST", wire.PathJobs+"/job-2/withdraw", "").Status)
		c.run(30*time.Second, 4*time.Second)
		for range 2 {
			for _, h := range hosts {
				require.Equal(t, wire.Done, c.phase(h, "job-0"))
				require.Equal(t, wire.Done, c.phase(h, "job-1"))
				require.Equal(t, wire.Cancelled, c.phase(h, "job-2"))
			}
			for _, h := range hosts {
				c.crash(h)
				c.start(h)
			}
			c.run(6*time.Second, 0)
		}
		require.Zero(t, c.running())
	})
}

// A withdrawal is told only when every owner has taken it; until then the user
// is told at once to come back. Afterwards nothing of the job runs.
func TestAWithdrawalWaitsForEveryOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.run(5*time.Second, 0)
		c.do("a", "POST", wire.PathJobs, submission("job-1", 6))
		c.run(3*time.Second, 0)
		require.Equal(t, 6, c.running())
		placer, ok := c.up["a"].keeper.Leader("team-red")
		require.True(t, ok)
		other := map[string]string{"a": "b", "b": "c", "c": "a"}[placer]
		c.setCut(other, true)
		r := c.do(placer, "POST", wire.PathJobs+"/job-1/withdraw", "")
		require.Equal(t, 503, r.Status)
		require.Positive(t, r.RetryAfter)
		require.NotEqual(t, wire.Cancelled, c.phase(placer, "job-1"))
		c.setCut(other, false)
		c.run(2*time.Second, 0)
		r = c.do(placer, "POST", wire.PathJobs+"/job-1/withdraw", "")
		require.Equal(t, 200, r.Status, string(r.Body))
		c.run(2*time.Second, 0)
		require.Zero(t, c.running())
		for _, h := range hosts {
			require.Equal(t, wire.Cancelled, c.phase(h, "job-1"))
		}
	})
}

func TestUnknownPathsAndMethodsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0)
		c.run(3*time.Second, 0)
		for _, x := range []struct {
			method, path, body string
			status             int
		}{
			{"GET", "/", "", 404}, {"GET", "/api/jobsx", "", 404}, {"POST", wire.PathReady, "", 405},
			{"GET", wire.PathHeartbeat, "", 405}, {"POST", wire.PathHeartbeat, "{", 400}, {"POST", wire.PathHeartbeat, `{"host":""}`, 400},
			{"POST", wire.PathHeartbeat, `{"host":"a b","tenure":1,"tick":1}`, 400}, {"POST", wire.PathHeartbeat, `{"host":"a","tenure":-1}`, 400},
			{"GET", wire.PathJobs, "", 405}, {"GET", wire.PathJobs + "/job-7", "", 404}, {"POST", wire.PathJobs + "/job-7/withdraw", "", 404},
		} {
			r := c.do("a", x.method, x.path, x.body)
			require.Equal(t, x.status, r.Status, "%s %s", x.method, x.path)
			require.True(t, json.Valid(r.Body))
		}
	})
}

// A controller loses the state service, but neither its peers nor its workers.
// Users who reach it are served all the same.
func TestACutOffControllerHandsSubmissionsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.run(5*time.Second, 0)
		c.up["a"].view.SetCut(true)
		c.run(2*time.Second, 0)
		require.Equal(t, 201, c.do("a", "POST", wire.PathJobs, submission("job-1", 2)).Status)
		c.run(10*time.Second, 0)
		require.Equal(t, 201, c.do("a", "POST", wire.PathJobs, submission("job-2", 2)).Status)
		c.run(4*time.Second, 0)
		require.Equal(t, 4, c.running())
		c.up["a"].view.SetCut(false)
		c.run(20*time.Second, 4*time.Second)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.phase(h, "job-1"))
			require.Equal(t, wire.Done, c.phase(h, "job-2"))
		}
	})
}
