package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// queryJob asks a controller for a job and holds the answer against all that users were
// told before: accepted, done and cancelled stay.
func (c *cluster) queryJob(host, id string) string {
	p := c.jobPhase(host, id)
	switch {
	case p == "404":
		require.False(c.t, c.accepted[id], "%s says that it doesn't know %s, which is accepted", host, id)
	case len(p) <= 3: // not answered for now
	case c.finalAnswers[id] != "":
		require.Equal(c.t, c.finalAnswers[id], p, "%s of %s, which was told as over", host, id)
	case p == wire.Done || p == wire.Cancelled:
		c.finalAnswers[id] = p
		c.accepted[id] = true
	default:
		c.accepted[id] = true
	}
	return p
}

// submitJob submits a job, as its user does once more when there is no answer.
func (c *cluster) submitJob(host, body, id string) (status int) {
	r := c.request(host, "POST", wire.PathJobs, body)
	require.False(c.t, c.accepted[id] && (r.Status == 400 || r.Status == 422), "%s refuses %s, which is accepted: %d", host, id, r.Status)
	if r.Status == 200 || r.Status == 201 {
		c.accepted[id] = true
		var s wire.JobState
		require.NoError(c.t, json.Unmarshal(r.Body, &s))
		require.True(c.t, c.finalAnswers[id] == "" || c.finalAnswers[id] == s.Phase, "%s, a repeat at %s: %s after %s", id, host, s.Phase, c.finalAnswers[id])
		if s.Phase == wire.Done || s.Phase == wire.Cancelled {
			c.finalAnswers[id] = s.Phase
		}
	}
	return r.Status
}

// cancelJob withdraws a job as its user does, and takes note of the answer.
func (c *cluster) cancelJob(host, id string) (phase string) {
	return c.recordCancelResponse(host, id, c.request(host, "POST", wire.PathJobs+"/"+id+"/withdraw", ""))
}

func (c *cluster) recordCancelResponse(host, id string, r httpx.Response) (phase string) {
	require.False(c.t, r.Status == 404 && c.accepted[id], "%s doesn't know %s, which is accepted", host, id)
	if r.Status != 200 {
		return ""
	}
	phase = wire.Done
	if strings.Contains(string(r.Body), wire.Cancelled) {
		phase = wire.Cancelled
	}
	require.True(c.t, c.finalAnswers[id] == "" || c.finalAnswers[id] == phase, "%s: %s after %s", id, phase, c.finalAnswers[id])
	c.finalAnswers[id] = phase
	if _, told := c.cancelled[id]; phase == wire.Cancelled && !told {
		c.cancelled[id] = confirmedCancellation{confirmedAt: time.Now(), starts: c.taskStarts(id)}
	}
	return phase
}

// Users ask at all controllers within milliseconds of a job's acceptance, its end or
// the confirmation of its withdrawal, repeat the submission, and some withdraw at
// once or at the end of the last task: whatever one of them was told, none is
// told anything older. The same where the state service's answers are
// lost while others read what was written, or its transactions come late.
func TestUserAnswersNeverRegressAcrossControllers(t *testing.T) {
	for _, x := range []struct {
		name string
		lot  txnOutcome
	}{
		{"no other trouble", txnServed},
		{"answers of transactions are lost", responseLost},
		{"answers of transactions are slow", responseSlow},
		{"transactions come late", txnHeldBack},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6)
				c.runFor(8*time.Second, 0)
				c.setReplicaDelay(c.teamLeader("red"), 400*time.Millisecond) // others read its writes before it does
				meetsEnd := 0
				ending := make(chan string, 1000) // jobs whose end is being written
				near := map[string]time.Time{}
				c.everyFiveMS = func() {
					for len(ending) > 0 {
						near[<-ending] = time.Now()
					}
					for id, at := range near {
						for _, h := range hosts {
							c.queryJob(h, id)
						}
						if time.Since(at) < 20*time.Millisecond {
							meetsEnd++
							c.submitJob(hosts[meetsEnd%3], submission(id, 1), id)
							c.cancelJob(hosts[(meetsEnd+1)%3], id)
						}
						if time.Since(at) > 300*time.Millisecond {
							delete(near, id)
						}
					}
				}
				c.setOnCommit(func(_ string, m wire.Txn) txnOutcome {
					for _, prefix := range []string{kvstore.ActiveJobPrefix, kvstore.FinalJobPrefix} {
						if strings.Contains(writtenKeys(m), prefix) {
							if prefix == kvstore.FinalJobPrefix {
								ending <- strings.TrimPrefix(strings.Fields(writtenKeys(m))[0], prefix)
							}
							if c.addOccurrence("a transaction")%2 == 0 {
								c.addOccurrence(prefix + " in trouble")
								return x.lot
							}
						}
					}
					return txnServed
				})
				const many = 12
				closely := func(id, body string) {
					for k := range 6 {
						for _, h := range hosts {
							c.queryJob(h, id)
						}
						c.submitJob(hosts[k%3], body, id)
						time.Sleep(2 * time.Millisecond)
					}
				}
				answered := 0
				for i := range many {
					id, h := jobName(i), hosts[i%3]
					body := submission(id, 1+i%2)
					for try := 0; !c.accepted[id] && try < 30; try++ {
						if c.submitJob(h, body, id) == 503 {
							time.Sleep(300 * time.Millisecond)
						}
					}
					require.True(t, c.accepted[id])
					closely(id, body)
					if i%3 == 1 {
						c.cancelJob(hosts[(i+1)%3], id)
						closely(id, body)
					}
					c.runFor(500*time.Millisecond, 0)
					c.releaseHeldTransactions()
				}
				c.runForEach(20*time.Second, 1500*time.Millisecond, func() {
					for i := range many {
						id := jobName(i)
						p := c.queryJob(hosts[i%3], id)
						if again := i%3 == 1; c.finalAnswers[id] == "" && (again || i%3 == 2 && p == wire.Running) {
							c.cancelJob(hosts[(i+1)%3], id) // the others perhaps at the very end of their last task
						}
						if c.finalAnswers[id] != "" {
							answered++
							for _, h := range hosts {
								c.queryJob(h, id)
								c.submitJob(h, submission(id, 1+i%2), id)
								c.cancelJob(h, id)
							}
						}
					}
					c.releaseHeldTransactions()
				})
				require.NotZero(t, answered)
				require.NotZero(t, meetsEnd, "repeats and withdrawals at the very end")
				c.setOnCommit(nil)
				c.everyFiveMS = nil
				c.runFor(30*time.Second, time.Second)
				ends := map[string]int{}
				for i := range many {
					for _, h := range hosts {
						require.NotEqual(t, "503", c.queryJob(h, jobName(i)))
					}
					ends[c.finalAnswers[jobName(i)]]++
				}
				require.NotZero(t, ends[wire.Done])
				require.GreaterOrEqual(t, ends[wire.Cancelled], many/3)
				require.Equal(t, many, ends[wire.Done]+ends[wire.Cancelled])
				if x.lot != txnServed {
					require.NotZero(t, c.occurrenceCount(kvstore.ActiveJobPrefix+" in trouble"), "an acceptance had no answer")
					require.NotZero(t, c.occurrenceCount(kvstore.FinalJobPrefix+" in trouble"), "an end had no answer")
				}
			})
		})
	}
}

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
