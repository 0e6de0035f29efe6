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

// Guards against completed jobs that no question is answered about (forgotten) after such a cut: tasks end during the cut, and an
// attempt to write the end of their job meets the moment between the end of the lease and a renewal that succeeds late.
func TestJobsThatEndInCutAsLongAsControllerLeaseAreAnswered(t *testing.T) {
	const (
		actsFor = 23676 * time.Millisecond // how long a controller acts after a renewal
		attempt = commitTimeout + 300*time.Millisecond
		jobs    = 12
	)
	for phase := time.Duration(0); phase < 200*time.Millisecond; phase += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newSettledCluster(t, jobs)
			time.Sleep(phase) // the submissions wake the elector, which shifts its renewals
			for i := range jobs {
				require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission(jobName(i), 1), jobName(i)))
			}
			c.runFor(4*time.Second, 0)
			require.Equal(t, jobs, c.runningTasks())
			leader := c.unlimitedTeamLeader()
			c.awaitRenewal(leader)
			over := time.Now().Add(actsFor)
			c.cutFromStoreAndPeers(leader, actsFor+45*time.Millisecond)
			c.runFor(actsFor-2*attempt-stepInterval, 0)
			c.endTasksAt(leader, over.Add(-2*attempt), 10*time.Millisecond)
			c.runFor(2*attempt+20*time.Second, 0)
			for i := range jobs {
				for _, h := range hosts {
					phase := c.queryJob(h, jobName(i))
					require.True(t, isPhase(phase), "%s at %s: %s", jobName(i), h, phase)
				}
			}
		})
	}
}

// endTasksAt ends the tasks on the workers that report to a controller, one after the other from a time on, and sends the heartbeats
// that say so.
func (c *cluster) endTasksAt(host string, from time.Time, interval time.Duration) {
	ended := 0
	for _, w := range c.workers {
		if c.reportsTo[w.ID] != host {
			continue
		}
		time.Sleep(time.Until(from) + time.Duration(ended)*interval)
		for _, task := range w.SortedTasks() {
			w.Finish(task.Task, wire.CauseDone)
			ended++
		}
		c.sendHeartbeat(w)
	}
	require.NotZero(c.t, ended, "no task runs on a worker of %s", host)
}
