package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A zone with workers and a controller is cut off for longer than the workers' lease:
// they reach that controller alone, and it nobody else.
func TestIsolatedControllerAndWorkersRecoverAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		zone := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		c.setIsolated(zone, true)
		c.runFor(50*time.Second, 0)
		require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "its duties are others'")
		for duty, r := range c.leaderships() {
			require.NotEqual(t, zone, r.Leader, duty)
		}
		for _, w := range c.workers {
			require.Equal(t, c.pinnedTo[w.ID] != "", w.Session > 1, "%s: its lease ended", w.ID)
		}
		c.setIsolated(zone, false)
		c.runFor(30*time.Second, 4*time.Second)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
		}
	})
}

// All controllers are away for longer than the workers' lease. Nothing is forgotten,
// and what ran runs again, once.
func TestTasksRestartAfterAllControllersDownBeyondLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		for _, h := range hosts {
			c.crash(h)
		}
		c.runFor(20*time.Second, 0)
		require.Zero(t, c.runningTasks(), "their leases have ended")
		for _, h := range hosts {
			c.start(h)
		}
		c.runFor(8*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.runFor(15*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.queryJob("b", "job-1"))
		for _, w := range c.workers {
			require.EqualValues(t, 2, w.Session)
		}
	})
}

// A leader ends while machines with long tasks hang, or don't hear the new leader's
// answers. Back within their lease they go on with what they have; after it that has
// gone elsewhere, or begins anew.
func TestLeaderCrashWithUnreachableMachinesRecoversTasks(t *testing.T) {
	for _, x := range []struct {
		name string
		by   func(c *cluster) map[string]bool
		away time.Duration
	}{
		{"machines hang, not for long", func(c *cluster) map[string]bool { return c.hungWorkers }, 8 * time.Second},
		{"machines hang for longer than a lease", func(c *cluster) map[string]bool { return c.hungWorkers }, 40 * time.Second},
		{"answers are lost, not for long", func(c *cluster) map[string]bool { return c.unanswered }, 8 * time.Second},
		{"answers are lost for longer than a lease", func(c *cluster) map[string]bool { return c.unanswered }, 40 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newBusyCluster(t)
				leader := c.reportsTo[c.workers[0].ID]
				before := c.leaderships()
				away := 0
				for _, w := range c.workers {
					if c.reportsTo[w.ID] == leader {
						x.by(c)[w.ID] = true
						away++
					}
				}
				require.NotZero(t, away)
				c.crash(leader)
				c.runFor(500*time.Millisecond, 0)
				c.start(leader)
				c.runFor(x.away, 0)
				require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "a new process leads")
				clear(x.by(c))
				c.runFor(12*time.Second, 0)
				require.Equal(t, 6, c.runningTasks())
				if x.away < 16*time.Second {
					c.requireStartedOnce()
				}
				c.runFor(20*time.Second, 3*time.Second)
				require.Equal(t, wire.Done, c.queryJob("b", "job-1"))
			})
		})
	}
}

// Old reports, from earlier attempts and sessions too, reach every controller just as
// a new leader begins, and again when it has acted. They change nothing.
func TestReplayedHeartbeatsDuringFailoverChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(8*time.Second, 0)
		c.recordsHeartbeats = true
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 6), "job-1"))
		c.runFor(3*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.recordsHeartbeats = false
		c.runFor(6*time.Second, 2*time.Second) // those tasks are done and forgotten
		require.Equal(t, wire.Done, c.queryJob("a", "job-1"))
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-2", 6), "job-2"))
		c.runFor(4*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		old := c.recordedHeartbeats
		withTasks, answered := 0, map[int]int{}
		deliver := func() {
			for _, b := range old {
				if strings.Contains(string(b), "job-1/") {
					withTasks++
				}
				for _, h := range hosts {
					if c.processes[h] != nil {
						answered[c.post(h, wire.PathHeartbeat, string(b)).Status]++
					}
				}
			}
		}
		leader := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		c.crash(leader)
		c.start(leader)
		for range 60 { // every 50 ms, from before it is registered on
			deliver()
			time.Sleep(50 * time.Millisecond)
		}
		c.runForEach(5*time.Second, 0, deliver)
		require.NotZero(t, withTasks)
		require.NotZero(t, answered[200], "to the new leader a report is news")
		require.NotZero(t, answered[503], "and then it is not")
		require.NotZero(t, answered[421])
		require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "a new process leads")
		require.Equal(t, 6, c.runningTasks(), "what ran runs on")
		c.requireStartedOnce()
		c.runForEach(10*time.Second, 3*time.Second, deliver)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
			require.Equal(t, wire.Done, c.queryJob(h, "job-2"))
		}
		c.requireStartedOnce()
	})
}

// Machines are up at once and get work within a moment, while transactions come late
// and the leader ends. No machine has a task without being on record.
func TestNewMachinesGetTasksOnlyOnceRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.runFor(8*time.Second, 0)
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 6), "job-1"))
		c.runFor(2*time.Second, 0)
		require.Equal(t, 2, c.runningTasks())
		c.setOnCommit(func(_ string, m wire.Txn) txnOutcome {
			if writesTo(m, kvstore.MachinePrefix) {
				c.addOccurrence("a record was held back")
				return txnHeldBack
			}
			return txnServed
		})
		recorded := func() {
			on := c.recordedMachines()
			for _, w := range c.workers {
				if len(w.Tasks) > 0 {
					require.True(c.t, on[w.ID], "%s has tasks and no record", w.ID)
				}
			}
		}
		for i := 2; i < 6; i++ {
			w := fakes.NewWorker(fmt.Sprintf("m-%06d", i), 16e6, c.clock.Now())
			c.workers = append(c.workers, w)
			c.reportsTo[w.ID] = hosts[i%3]
		}
		for i := range 3 {
			c.runForEach(3*time.Second, 0, recorded)
			leader := []string{c.unlimitedTeamLeader(), c.reportsTo[c.workers[2].ID], c.reportsTo[c.workers[5].ID]}[i]
			c.crash(leader)
			c.start(leader)
		}
		c.runForEach(12*time.Second, 0, recorded)
		require.Equal(t, 2, c.runningTasks())
		require.Greater(t, c.occurrenceCount("a record was held back"), 1)
		c.setOnCommit(nil)
		c.releaseHeldTransactions()
		c.runForEach(12*time.Second, 0, recorded)
		require.Equal(t, 6, c.runningTasks())
		c.requireStartedOnce()
		c.runFor(10*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.queryJob("c", "job-1"))
	})
}

// Leaders change ten times in two minutes: they end, are back within a moment or
// seconds later, all of them or one alone, are refused and served again, also while the state service is out.
// Jobs of two or three tasks end far apart over this, and some are withdrawn.
func TestJobsEndOverTenLeaderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(8*time.Second, 0)
		n := 0
		cancelled := 0
		users := func() {
			if id := jobName(n); n < 24 && c.submitJob(hosts[n%3], submission(id, 2+n%2), id) == 201 {
				n++
			}
			for i := range n {
				c.queryJob(hosts[(n+i)%3], jobName(i))
			}
			if n > 6 && n%5 == 0 && c.cancelJob(hosts[n%3], jobName(n-2)) == wire.Cancelled {
				cancelled++
			}
		}
		// A job whose tasks end far apart: one of them right now, the last at the very end.
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-000099", 3), "job-000099"))
		c.runFor(3*time.Second, 0)
		terms := map[uint64]bool{}
		for i := range 10 {
			leader := c.unlimitedTeamLeader()
			switch i % 5 {
			case 0:
				c.crash(leader)
				time.Sleep(300 * time.Millisecond)
				c.start(leader)
			case 1:
				c.setStoreCut(leader, true)
				c.runForEach(8*time.Second, 6*time.Second, users)
				c.setStoreCut(leader, false)
			case 2: // in an outage
				c.store.SetDown(true)
				c.runForEach(3*time.Second, 6*time.Second, users)
				c.crash(leader)
				time.Sleep(200 * time.Millisecond)
				c.start(leader)
				c.runForEach(3*time.Second, 6*time.Second, users)
				c.store.SetDown(false)
			case 3:
				for _, h := range hosts {
					c.crash(h)
				}
				time.Sleep(700 * time.Millisecond)
				c.start(leader)
				c.runForEach(2*time.Second, 6*time.Second, users)
				for _, h := range hosts {
					if h != leader {
						c.start(h)
					}
				}
			case 4:
				c.crash(leader)
				c.runForEach(4*time.Second, 6*time.Second, users)
				c.start(leader)
			}
			c.runForEach(5*time.Second, 6*time.Second, users)
			terms[c.unlimitedTeamTerm()] = true
			if i == 4 {
				c.finishTask("job-000099/1")
			}
		}
		require.GreaterOrEqual(t, len(terms), 10, "as many leaders")
		require.NotZero(t, cancelled)
		require.Equal(t, 24, n)
		c.runFor(60*time.Second, 4*time.Second)
		for i := range n {
			for _, h := range hosts {
				require.Contains(t, []string{wire.Done, wire.Cancelled}, c.queryJob(h, jobName(i)), jobName(i))
			}
		}
		require.Equal(t, wire.Done, c.queryJob("a", "job-000099"))
		for _, w := range c.workers {
			require.LessOrEqual(t, w.Starts["job-000099/1"], 1, "what was done stays done")
		}
	})
}

// A job's tasks end far apart. The first is done, but writing that down has no answer
// until the leader has ended: it is not run again, and the job is done with
// its last task and not before.
func TestCompletedTasksStayCompletedAcrossFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.runFor(8*time.Second, 0)
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 3), "job-1"))
		c.runFor(4*time.Second, 0)
		require.Equal(t, 3, c.runningTasks())
		c.setOnCommit(func(_ string, m wire.Txn) txnOutcome {
			if writesTo(m, kvstore.ProgressPrefix) {
				c.addOccurrence("progress was held back")
				return txnHeldBack
			}
			return txnServed
		})
		for n := range 2 {
			c.finishTask(fmt.Sprintf("job-1/%d", n))
			c.runFor(6*time.Second, 0)
			require.Greater(t, c.occurrenceCount("progress was held back"), n, "what is done could not be written down")
			before, leader := c.leaderships()[scheduler.Duty("blue")], c.unlimitedTeamLeader()
			late := c.takeHeldTransactions()
			c.crash(leader)
			c.start(leader)
			c.runFor(6*time.Second, 0)
			require.Greater(t, c.unlimitedTeamTerm(), before.Term)
			for _, write := range late {
				require.ErrorIs(t, write(), kvstore.ErrConflict, "by a former leader")
			}
			require.Equal(t, wire.Running, c.queryJob("a", "job-1"))
			require.Equal(t, 2-n, c.runningTasks())
		}
		c.setOnCommit(nil)
		c.finishTask("job-1/2")
		c.runFor(4*time.Second, 0)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
		}
		c.requireStartedOnce()
	})
}

// Jobs bound to one zone, or to any one of them, lose machines. They go on in that zone,
// or begin again together.
func TestZoneBoundJobsStayInZoneAfterMachineLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		for i, w := range c.workers {
			w.Zone = hosts[i%2] // a and b
		}
		c.runFor(8*time.Second, 0)
		require.Equal(t, 201, c.submitJob("a", strings.Replace(wholeMachineSubmission("job-1", 3), `"shape"`, `"one_zone":true,"shape"`, 1), "job-1"))
		require.Equal(t, 201, c.submitJob("a", strings.Replace(wholeMachineSubmission("job-2", 1), `"shape"`, `"yard":"b","shape"`, 1), "job-2"))
		together := func() {
			zones := map[string]map[string]bool{"job-1": {}, "job-2": {}}
			for _, w := range c.workers {
				for _, k := range w.InOrder() {
					job, _, _ := wire.SplitTask(k.Task)
					if k.Phase != wire.TaskExited {
						zones[job][w.Zone] = true
					}
				}
			}
			require.LessOrEqual(t, len(zones["job-1"]), 1)
			require.NotContains(t, zones["job-2"], "a")
		}
		c.runForEach(5*time.Second, 0, together)
		require.Equal(t, 4, c.runningTasks())
		for round := range 3 {
			lost := 0
			for _, w := range c.workers {
				if len(w.Tasks) > 0 && lost < 2 && !c.hungWorkers[w.ID] {
					c.hungWorkers[w.ID] = true
					lost++
				}
			}
			require.Equal(t, 2, lost)
			if round == 1 {
				leader := c.unlimitedTeamLeader()
				c.crash(leader)
				c.start(leader)
			}
			c.runForEach(25*time.Second, 0, together)
			clear(c.hungWorkers)
			c.runForEach(8*time.Second, 0, together)
			require.Equal(t, 4, c.runningTasks())
		}
		c.runForEach(30*time.Second, 3*time.Second, together)
		require.Equal(t, wire.Done, c.queryJob("a", "job-1"))
		require.Equal(t, wire.Done, c.queryJob("a", "job-2"))
	})
}

// More work than room, of all ranks, while every word between the controllers takes a
// fifth of a second and a leader ends. The limit holds, and all of it is done.
func TestOverloadWithSlowLinksCompletesAllJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.runFor(8*time.Second, 0)
		c.setPeerLatency(200 * time.Millisecond)
		const many = 16
		ranks := []string{"idle", "normal", "high", "production"}
		for i := range many {
			body := strings.Replace(submission(jobName(i), 4), `"normal"`, fmt.Sprintf("%q", ranks[i%4]), 1)
			require.Equal(t, 201, c.submitJob(hosts[i%3], body, jobName(i)))
		}
		c.runFor(5*time.Second, 2*time.Second)
		require.Positive(t, c.runningTasks())
		leader := c.unlimitedTeamLeader()
		c.crash(leader)
		c.start(leader)
		c.runFor(90*time.Second, 2*time.Second)
		for i := range many {
			require.Equal(t, wire.Done, c.queryJob(hosts[i%3], jobName(i)), jobName(i))
		}
	})
}
