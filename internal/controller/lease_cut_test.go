package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// awaitRenewal lets time pass until a controller has just renewed its controller lease.
func (c *cluster) awaitRenewal(host string) {
	const step = 5 * time.Millisecond
	for {
		if age, _ := c.process(host).elector.StoreContact(); age <= clock.FromDuration(step) {
			return
		}
		time.Sleep(step)
	}
}

// Guards against running tasks that a controller starts a second time (ran_twice) after a cut from the store and its peers that lasts
// about as long as its controller lease: a renewal that was under way succeeds after the lease is over by the controller's clock.
func TestCutAsLongAsControllerLeaseStartsNoTaskTwice(t *testing.T) {
	for cutFor := 23600 * time.Millisecond; cutFor <= 24200*time.Millisecond; cutFor += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newSettledCluster(t, 12)
			require.Equal(t, 201, c.submitJob("a", unlimitedSubmission("job-1", 24), "job-1"))
			c.runFor(4*time.Second, 0)
			require.Equal(t, 24, c.runningTasks())
			leader := c.unlimitedTeamLeader()
			c.awaitRenewal(leader)
			c.cutFromStoreAndPeers(leader, cutFor)
			c.runFor(cutFor+10*time.Second, 0)
			c.requireStartedOnce()
			c.runFor(20*time.Second, 3*time.Second)
			for _, h := range hosts {
				require.Equal(t, wire.Done, c.queryJob(h, "job-1"), "after a cut of %v", cutFor)
			}
		})
	}
}
