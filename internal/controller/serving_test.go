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

// Guards against failures of the basic case: a job that is submitted at one controller must run within its team's limit, and
// all controllers must report it as done.
func TestJobsCompleteWithoutFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.runFor(5*time.Second, 0)
		require.Equal(t, 200, c.get("a", wire.PathReady).Status)
		require.Equal(t, 201, c.post("a", wire.PathJobs, submission("job-1", 9)).Status)
		c.runFor(4*time.Second, 0)
		require.Equal(t, 6, c.runningTasks(), "the team's limit allows six tasks")
		require.Equal(t, wire.Running, c.jobPhase("b", "job-1"))
		c.runFor(20*time.Second, 4*time.Second)
		c.requirePhaseEverywhere(wire.Done, "job-1")
		require.Zero(t, c.runningTasks())
		for _, w := range c.workers {
			require.Empty(t, w.Tasks, "the worker must forget ended tasks")
		}
	})
}

// Guards against writes that exceed the limits of the key-value store. With a store that takes one operation in a transaction
// and half a kilobyte in a value, jobs must complete, be cancelled, and stay known after all controllers have restarted.
func TestJobsCompleteUnderMinimalStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithOptions(t, 4, clusterOptions{txnOps: 1, valueKB: 0.5})
		c.store.SetLimits(1, 512)
		c.runFor(5*time.Second, 0)
		for i := range 3 {
			r := c.post("a", wire.PathJobs, submission(fmt.Sprintf("job-%d", i), 5))
			require.Equal(t, 201, r.Status, string(r.Body))
		}
		c.runFor(4*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		require.Equal(t, 200, c.post("b", withdrawPath("job-2"), "").Status)
		c.runFor(30*time.Second, 4*time.Second)
		for range 2 {
			c.requirePhaseEverywhere(wire.Done, "job-0")
			c.requirePhaseEverywhere(wire.Done, "job-1")
			c.requirePhaseEverywhere(wire.Cancelled, "job-2")
			for _, h := range hosts {
				c.crash(h)
				c.start(h)
			}
			c.runFor(6*time.Second, 0)
		}
		require.Zero(t, c.runningTasks())
	})
}

func TestUnknownPathsAndMethodsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0)
		c.runFor(3*time.Second, 0)
		for _, tc := range []struct {
			method, path, body string
			status             int
		}{
			{"GET", "/", "", 404},
			{"GET", "/api/jobsx", "", 404},
			{"POST", wire.PathReady, "", 405},
			{"POST", wire.PathMetrics, "", 405},
			{"GET", wire.PathHeartbeat, "", 405},
			{"POST", wire.PathHeartbeat, "{", 400},
			{"POST", wire.PathHeartbeat, `{"host":""}`, 400},
			{"POST", wire.PathHeartbeat, `{"host":"a b","tenure":1,"tick":1}`, 400},
			{"POST", wire.PathHeartbeat, `{"host":"a","tenure":-1}`, 400},
			{"GET", wire.PathJobs, "", 405},
			{"GET", wire.PathJobs + "/job-7", "", 404},
			{"POST", withdrawPath("job-7"), "", 404},
		} {
			r := c.request("a", tc.method, tc.path, tc.body)
			require.Equal(t, tc.status, r.Status, "%s %s", tc.method, tc.path)
			require.True(t, json.Valid(r.Body))
		}
	})
}

// Guards against a controller that rejects submissions although a peer could accept them. The controller loses the key-value
// store, but neither its peers nor its workers, and must forward the submissions.
func TestControllerWithoutStoreForwardsSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.runFor(5*time.Second, 0)
		c.setStoreDisconnected("a", true)
		c.runFor(2*time.Second, 0)
		require.Equal(t, 201, c.post("a", wire.PathJobs, submission("job-1", 2)).Status)
		c.runFor(10*time.Second, 0)
		require.Equal(t, 201, c.post("a", wire.PathJobs, submission("job-2", 2)).Status)
		c.runFor(4*time.Second, 0)
		require.Equal(t, 4, c.runningTasks())
		c.setStoreDisconnected("a", false)
		c.runFor(20*time.Second, 4*time.Second)
		c.requirePhaseEverywhere(wire.Done, "job-1")
		c.requirePhaseEverywhere(wire.Done, "job-2")
	})
}
