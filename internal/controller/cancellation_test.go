package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// cancelResponse is the response to the cancellation of a job at a host.
type cancelResponse struct {
	host, id string
	httpx.Response
}

// burstUsers submit four one-task jobs a second and cancel a quarter of the jobs. Of the cancellations, half are sent
// concurrently with all other requests and repeated until they are confirmed; the other half are sent before the job's first
// task has started.
type burstUsers struct {
	*cluster
	began     time.Time
	submitted int
	responses chan cancelResponse
}

// cancelConcurrently cancels a job without waiting for the response, which is sent to the channel responses.
func (u *burstUsers) cancelConcurrently(host, id string) {
	go func() {
		u.responses <- cancelResponse{host, id, u.post(host, withdrawPath(id), "")}
	}()
}

// cancelledConcurrently reports whether the i-th job is cancelled right after its submission.
func cancelledConcurrently(i int) bool { return i%8 == 3 }

// occurrenceCancelledUnstarted is counted when a job is cancelled before any of its tasks has started.
const occurrenceCancelledUnstarted = "cancelled before its start"

// act repeats the cancellations that are not confirmed yet, submits the jobs that are due, and sends the cancellations that
// are due.
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
			// The last job of the previous step has been placed, but not started: its machine has sent no heartbeat since.
			if id = jobName(first - 1); u.taskStarts(id) == 0 && u.cancelJob(hosts[(i+2)%3], id) == wire.Cancelled {
				u.addOccurrence(occurrenceCancelledUnstarted)
			}
		}
	}
}

// Guards against short jobs that never end, or end wrongly, when they are cancelled while they are placed or started. For two
// minutes users submit four one-task jobs a second and cancel a quarter of them immediately or shortly afterwards. All jobs
// must end soon, and those that are cancelled immediately must end as cancelled.
func TestSingleTaskJobsCancelledInBurstsAllEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		users := &burstUsers{cluster: newSettledCluster(t, 6), responses: make(chan cancelResponse, 100)}
		users.began = time.Now()
		users.runForEach(120*time.Second, time.Second, users.act)
		users.runFor(15*time.Second, time.Second)
		require.GreaterOrEqual(t, users.submitted, 470, "fewer than four jobs a second")
		require.Greater(t, users.occurrenceCount(occurrenceCancelledUnstarted), 40)
		cancelled := 0
		for i := range users.submitted {
			id := jobName(i)
			for _, h := range hosts {
				require.Contains(t, []string{wire.Done, wire.Cancelled}, users.queryJob(h, id), id)
			}
			if cancelledConcurrently(i) {
				require.Equal(t, wire.Cancelled, users.finalAnswers[id], id)
				cancelled++
			}
		}
		require.GreaterOrEqual(t, cancelled, users.submitted/8)
		require.Zero(t, users.runningTasks())
	})
}

// Guards against cancellations that are lost in leadership transfers. Users submit and cancel jobs continuously, while the
// key-value store refuses first the team's leader and then a partition leader for 9 s each. The leaderships of the refused
// controller move to the others and later back to it.
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
			c.setStoreDisconnected(h, true)
			c.runForEach(9*time.Second, 0, submitAndCancel)
			c.setStoreDisconnected(h, false)
			c.runForEach(30*time.Second, 0, submitAndCancel)
		}
		c.runFor(20*time.Second, 0)
		returned := 0
		for duty, leadership := range c.leaderships() {
			if leadership.Term > before[duty].Term+1 {
				returned++
			}
		}
		require.GreaterOrEqual(t, returned, partitionsPerController, "too few leaderships have moved and returned")
		for i := range submitted {
			c.cancelJob("a", jobName(i))
			c.requirePhaseEverywhere(wire.Cancelled, jobName(i))
		}
		c.runFor(3*time.Second, 0)
		require.Greater(t, submitted, 30)
		require.Zero(t, c.runningTasks())
	})
}

// Guards against a cancellation that waits unnecessarily for a partition leader that can't be reached. If no task of the job
// has been assigned yet, no partition leader was asked for resources for it, so none need be notified and the cancellation
// can be confirmed immediately.
func TestWaitingJobIsCancelledWithPartitionLeaderUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		require.Equal(t, 6, c.runningTasks(), "job-1 must use all machines")
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
		require.Empty(t, c.cancelJob(leader, "job-1"), "confirmed although a partition leader can't be notified")
		for _, h := range hosts {
			c.setDisconnected(h, false)
		}
		c.runFor(5*time.Second, 0)
		require.Equal(t, wire.Cancelled, c.queryJob("a", "job-1"))
		require.Equal(t, wire.Cancelled, c.queryJob("a", "job-2"))
		require.Zero(t, c.taskStarts("job-2"))
	})
}

// Guards against a cancellation that is confirmed before every partition leader has acknowledged it, after which tasks of the
// job could still start. Until all have acknowledged it, the user immediately gets a response that asks for a retry. After the
// confirmation no task of the job runs.
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
		c.requirePhaseEverywhere(wire.Cancelled, "job-1")
	})
}
