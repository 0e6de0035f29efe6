package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// One-task jobs come four a second for minutes, a quarter of them withdrawn right away
// or a moment later. All of them end, as they should, and soon.
func TestSingleTaskJobsCancelledInBurstsAllEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(8*time.Second, 0)
		type answer struct {
			host, id string
			httpx.Response
		}
		answers := make(chan answer, 100)
		cancel := func(host, id string) { // nobody waits for another's answer
			go func() {
				answers <- answer{host, id, c.request(host, "POST", wire.PathJobs+"/"+id+"/withdraw", "")}
			}()
		}
		n, began := 0, time.Now()
		c.runForEach(120*time.Second, time.Second, func() {
			for len(answers) > 0 {
				if a := <-answers; c.recordCancelResponse(a.host, a.id, a.Response) == "" {
					cancel(a.host, a.id)
				}
			}
			for early := n; float64(n) < 4*time.Since(began).Seconds(); {
				id := jobName(n)
				require.Equal(t, 201, c.submitJob(hosts[n%3], strings.Replace(submission(id, 1), `"red"`, `"blue"`, 1), id))
				switch n % 8 {
				case 3:
					cancel(hosts[(n+1)%3], id)
				case 7:
					// Placed by now, and not started: its machine has not reported since.
					if id = jobName(early - 1); c.taskStarts(id) == 0 && c.cancelJob(hosts[(n+2)%3], id) == wire.Cancelled {
						c.addOccurrence("withdrawn before its start")
					}
				}
				n++
			}
		})
		c.runFor(15*time.Second, time.Second)
		require.GreaterOrEqual(t, n, 470, "four a second")
		require.Greater(t, c.occurrenceCount("withdrawn before its start"), 40)
		asked := 0
		for i := range n {
			for _, h := range hosts {
				p := c.queryJob(h, jobName(i))
				require.Contains(t, []string{wire.Done, wire.Cancelled}, p, jobName(i))
			}
			if i%8 == 3 {
				require.Equal(t, wire.Cancelled, c.finalAnswers[jobName(i)], jobName(i))
				asked++
			}
		}
		require.GreaterOrEqual(t, asked, n/8)
		require.Zero(t, c.runningTasks())
	})
}

// Jobs are withdrawn all the while that one controller's duties move to the others
// and come back to it.
func TestCancellationsDuringLeadershipTransfersAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(8*time.Second, 0)
		leader := c.unlimitedTeamLeader()
		part := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		n := 0
		cancelling := func() {
			id := jobName(n)
			if c.submitJob(hosts[n%3], wholeMachineSubmission(id, 2), id) == 201 {
				n++
			}
			for i := max(0, n-8); i < n-1; i++ {
				c.cancelJob(hosts[(n+i)%3], jobName(i))
			}
		}
		c.runForEach(4*time.Second, 0, cancelling)
		for _, h := range []string{leader, part} {
			c.processes[h].storeClient.SetCut(true)
			c.runForEach(9*time.Second, 0, cancelling)
			c.processes[h].storeClient.SetCut(false)
			c.runForEach(30*time.Second, 0, cancelling)
		}
		c.runFor(20*time.Second, 0)
		moved := 0
		for duty, h := range c.leaderships() {
			if h.Term > before[duty].Term+1 {
				moved++
			}
		}
		require.GreaterOrEqual(t, moved, partitionsPerController, "duties have gone and come back")
		for i := range n {
			c.cancelJob("a", jobName(i))
			for _, h := range hosts {
				require.Equal(t, wire.Cancelled, c.queryJob(h, jobName(i)))
			}
		}
		c.runFor(3*time.Second, 0)
		require.Greater(t, n, 30)
		require.Zero(t, c.runningTasks())
	})
}

// A job that has found no room yet is withdrawn while a controller that holds machines
// can't be reached: nobody was asked for room, so nobody need be told.
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
		require.Empty(t, c.cancelJob(leader, "job-1"), "that one has to be told of")
		for _, h := range hosts {
			c.setDisconnected(h, false)
		}
		c.runFor(5*time.Second, 0)
		require.Equal(t, wire.Cancelled, c.queryJob("a", "job-1"))
		require.Equal(t, wire.Cancelled, c.queryJob("a", "job-2"))
		require.Zero(t, c.taskStarts("job-2"))
	})
}

// A withdrawal is told only when every owner has taken it; until then the user
// is told at once to come back. Afterwards nothing of the job runs.
func TestCancellationWaitsForEveryPartitionLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(5*time.Second, 0)
		c.request("a", "POST", wire.PathJobs, submission("job-1", 6))
		c.runFor(3*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		placer, ok := c.processes["a"].elector.Leader("team-red")
		require.True(t, ok)
		other := map[string]string{"a": "b", "b": "c", "c": "a"}[placer]
		c.setDisconnected(other, true)
		r := c.request(placer, "POST", wire.PathJobs+"/job-1/withdraw", "")
		require.Equal(t, 503, r.Status)
		require.Positive(t, r.RetryAfter)
		require.NotEqual(t, wire.Cancelled, c.jobPhase(placer, "job-1"))
		c.setDisconnected(other, false)
		c.runFor(2*time.Second, 0)
		r = c.request(placer, "POST", wire.PathJobs+"/job-1/withdraw", "")
		require.Equal(t, 200, r.Status, string(r.Body))
		c.runFor(2*time.Second, 0)
		require.Zero(t, c.runningTasks())
		for _, h := range hosts {
			require.Equal(t, wire.Cancelled, c.jobPhase(h, "job-1"))
		}
	})
}
