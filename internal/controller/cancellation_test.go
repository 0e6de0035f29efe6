package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// cancelResponse is the answer to a cancellation.
type cancelResponse struct {
	host, id string
	httpx.Response
}

// burstUsers submit one-task jobs four a second and cancel a quarter of them: half of those concurrently with
// everything else, until it is confirmed, the others before their first task has started.
type burstUsers struct {
	*cluster
	began     time.Time
	submitted int
	responses chan cancelResponse
}

// cancelConcurrently cancels a job without waiting for the answer, which comes to responses.
func (u *burstUsers) cancelConcurrently(host, id string) {
	go func() {
		u.responses <- cancelResponse{host, id, u.post(host, withdrawPath(id), "")}
	}()
}

// cancelledConcurrently is whether the i-th job is cancelled right after its submission.
func cancelledConcurrently(i int) bool { return i%8 == 3 }

const occurrenceCancelledUnstarted = "cancelled before its start"

// act repeats the cancellations that are not confirmed yet, and submits as many jobs as are due.
func (u *burstUsers) act() {
	for len(u.responses) > 0 {
		if a := <-u.responses; u.recordCancelResponse(a.host, a.id, a.Response) == "" {
			u.cancelConcurrently(a.host, a.id)
		}
	}
	for first := u.submitted; float64(u.submitted) < 4*time.Since(u.began).Seconds(); u.submitted++ {
		i := u.submitted
		id := jobName(i)
		require.Equal(u.t, 201, u.submitJob(hosts[i%3], unlimitedSubmission(id, 1), id))
		switch {
		case cancelledConcurrently(i):
			u.cancelConcurrently(hosts[(i+1)%3], id)
		case i%8 == 7:
			// Placed by now, and not started: its machine has sent no heartbeat since.
			if id = jobName(first - 1); u.taskStarts(id) == 0 && u.cancelJob(hosts[(i+2)%3], id) == wire.Cancelled {
				u.addOccurrence(occurrenceCancelledUnstarted)
			}
		}
	}
}

// One-task jobs come four a second for minutes, a quarter of them cancelled immediately
// or a moment later. All of them end, as they should, and soon.
func TestSingleTaskJobsCancelledInBurstsAllEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &burstUsers{cluster: newSettledCluster(t, 6), responses: make(chan cancelResponse, 100)}
		u.began = time.Now()
		u.runForEach(120*time.Second, time.Second, u.act)
		u.runFor(15*time.Second, time.Second)
		require.GreaterOrEqual(t, u.submitted, 470, "four a second")
		require.Greater(t, u.occurrenceCount(occurrenceCancelledUnstarted), 40)
		cancelled := 0
		for i := range u.submitted {
			id := jobName(i)
			for _, h := range hosts {
				require.Contains(t, []string{wire.Done, wire.Cancelled}, u.queryJob(h, id), id)
			}
			if cancelledConcurrently(i) {
				require.Equal(t, wire.Cancelled, u.finalAnswers[id], id)
				cancelled++
			}
		}
		require.GreaterOrEqual(t, cancelled, u.submitted/8)
		require.Zero(t, u.runningTasks())
	})
}

// Jobs are cancelled all the while that one controller's leaderships move to the others
// and come back to it.
func TestCancellationsDuringLeadershipTransfersAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 6)
		teamLeader := c.unlimitedTeamLeader()
		partitionLeader := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		submitted := 0
		submitAndCancel := func() {
			id := jobName(submitted)
			if c.submitJob(hosts[submitted%3], wholeMachineSubmission(id, 2), id) == 201 {
				submitted++
			}
			for i := max(0, submitted-8); i < submitted-1; i++ {
				c.cancelJob(hosts[(submitted+i)%3], jobName(i))
			}
		}
		c.runForEach(4*time.Second, 0, submitAndCancel)
		for _, h := range []string{teamLeader, partitionLeader} {
			c.setStoreCut(h, true)
			c.runForEach(9*time.Second, 0, submitAndCancel)
			c.setStoreCut(h, false)
			c.runForEach(30*time.Second, 0, submitAndCancel)
		}
		c.runFor(20*time.Second, 0)
		returned := 0
		for duty, leadership := range c.leaderships() {
			if leadership.Term > before[duty].Term+1 {
				returned++
			}
		}
		require.GreaterOrEqual(t, returned, partitionsPerController, "leaderships have moved and come back")
		for i := range submitted {
			c.cancelJob("a", jobName(i))
			for _, h := range hosts {
				require.Equal(t, wire.Cancelled, c.queryJob(h, jobName(i)))
			}
		}
		c.runFor(3*time.Second, 0)
		require.Greater(t, submitted, 30)
		require.Zero(t, c.runningTasks())
	})
}

// A job of which no task has been assigned yet is cancelled while a partition leader
// can't be reached: no partition leader was asked for resources, so none need be notified.
func TestWaitingJobIsCancelledWithPartitionLeaderUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		require.Equal(t, 6, c.runningTasks(), "all machines are in use")
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-2", 2), "job-2"))
		c.runFor(4*time.Second, 0)
		leader := c.unlimitedTeamLeader()
		for _, h := range hosts {
			if h != leader {
				c.setDisconnected(h, true)
				break
			}
		}
		require.Equal(t, wire.Cancelled, c.cancelJob(leader, "job-2"))
		require.Empty(t, c.cancelJob(leader, "job-1"), "all partition leaders have to be notified of that one")
		for _, h := range hosts {
			c.setDisconnected(h, false)
		}
		c.runFor(5*time.Second, 0)
		require.Equal(t, wire.Cancelled, c.queryJob("a", "job-1"))
		require.Equal(t, wire.Cancelled, c.queryJob("a", "job-2"))
		require.Zero(t, c.taskStarts("job-2"))
	})
}

// A cancellation is confirmed only when every partition leader has acknowledged it; until then the
// user is told immediately to come back. Afterwards nothing of the job runs.
func TestCancellationWaitsForEveryPartitionLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(5*time.Second, 0)
		c.post("a", wire.PathJobs, submission("job-1", 6))
		c.runFor(3*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		leader, ok := c.process("a").elector.Leader("team-red")
		require.True(t, ok)
		other := nextHost(leader)
		c.setDisconnected(other, true)
		r := c.post(leader, withdrawPath("job-1"), "")
		require.Equal(t, 503, r.Status)
		require.Positive(t, r.RetryAfter)
		require.NotEqual(t, wire.Cancelled, c.jobPhase(leader, "job-1"))
		c.setDisconnected(other, false)
		c.runFor(2*time.Second, 0)
		r = c.post(leader, withdrawPath("job-1"), "")
		require.Equal(t, 200, r.Status, string(r.Body))
		c.runFor(2*time.Second, 0)
		require.Zero(t, c.runningTasks())
		for _, h := range hosts {
			require.Equal(t, wire.Cancelled, c.jobPhase(h, "job-1"))
		}
	})
}
