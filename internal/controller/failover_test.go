package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A controller and the workers that report to it are cut off for longer than the workers' lease:
// they reach that controller alone, and it nobody else. Its leaderships move, the workers' leases expire, and all
// of it recovers once they are connected again.
func TestIsolatedControllerAndWorkersRecoverAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		isolated := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		c.setIsolated(isolated, true)
		c.runFor(50*time.Second, 0)
		require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "others lead what it led")
		for duty, r := range c.leaderships() {
			require.NotEqual(t, isolated, r.Leader, duty)
		}
		for _, w := range c.workers {
			require.Equal(t, c.pinnedTo[w.ID] != "", w.Incarnation > 1, "%s: its lease expired", w.ID)
		}
		c.setIsolated(isolated, false)
		c.runFor(30*time.Second, 4*time.Second)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
		}
	})
}

// All controllers are down for longer than the workers' lease. No job is lost, and what ran runs again, once.
func TestTasksRestartAfterAllControllersDownBeyondLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		for _, h := range hosts {
			c.crash(h)
		}
		c.runFor(20*time.Second, 0)
		require.Zero(t, c.runningTasks(), "their leases have expired")
		for _, h := range hosts {
			c.start(h)
		}
		c.runFor(8*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.runFor(15*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.queryJob("b", "job-1"))
		for _, w := range c.workers {
			require.EqualValues(t, 2, w.Incarnation)
		}
	})
}

// A leader crashes while machines with long tasks hang, or don't get the new leader's
// answers. Back within their lease they go on with their tasks; after it those run elsewhere, or start again.
func TestLeaderCrashWithUnreachableMachinesRecoversTasks(t *testing.T) {
	for _, x := range []struct {
		name     string
		affected func(c *cluster) map[string]bool
		away     time.Duration
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
						x.affected(c)[w.ID] = true
						away++
					}
				}
				require.NotZero(t, away)
				c.crash(leader)
				c.runFor(500*time.Millisecond, 0)
				c.start(leader)
				c.runFor(x.away, 0)
				require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "a new process leads")
				clear(x.affected(c))
				c.runFor(12*time.Second, 0)
				require.Equal(t, 6, c.runningTasks())
				if x.away < workerLease.Duration() {
					c.requireStartedOnce()
				}
				c.runFor(20*time.Second, 3*time.Second)
				require.Equal(t, wire.Done, c.queryJob("b", "job-1"))
			})
		})
	}
}

// Copies of old heartbeats, of earlier attempts too, reach every controller just as
// a new leader begins, and again when it has acted (argument 13). They change nothing.
func TestReplayedHeartbeatsDuringFailoverChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 6)
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
		withTasks, statuses := 0, map[int]int{}
		replay := func() {
			for _, heartbeat := range old {
				if strings.Contains(string(heartbeat), "job-1/") {
					withTasks++
				}
				for _, h := range hosts {
					if c.process(h) != nil {
						statuses[c.post(h, wire.PathHeartbeat, string(heartbeat)).Status]++
					}
				}
			}
		}
		leader := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		c.crash(leader)
		c.start(leader)
		for range 60 { // every 50 ms, from before it is registered on
			replay()
			time.Sleep(50 * time.Millisecond)
		}
		c.runForEach(5*time.Second, 0, replay)
		require.NotZero(t, withTasks)
		require.NotZero(t, statuses[200], "the first copy is new to the new leader")
		require.NotZero(t, statuses[503], "and the next is not")
		require.NotZero(t, statuses[421])
		require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "a new process leads")
		require.Equal(t, 6, c.runningTasks(), "what ran runs on")
		c.requireStartedOnce()
		c.runForEach(10*time.Second, 3*time.Second, replay)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
			require.Equal(t, wire.Done, c.queryJob(h, "job-2"))
		}
		c.requireStartedOnce()
	})
}

// New machines get work within a moment, while writes of machine records are held back
// and leaders crash. No machine has a task without being on record (argument 5).
func TestNewMachinesGetTasksOnlyOnceRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 2)
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 6), "job-1"))
		c.runFor(2*time.Second, 0)
		require.Equal(t, 2, c.runningTasks())
		c.holdBackWrites(kvstore.MachinePrefix)
		requireRecorded := func() {
			recorded := c.recordedMachines()
			for _, w := range c.workers {
				if len(w.Tasks) > 0 {
					require.True(c.t, recorded[w.ID], "%s has tasks and no record", w.ID)
				}
			}
		}
		for i := 2; i < 6; i++ {
			c.addWorker(i)
		}
		for i := range 3 {
			c.runForEach(3*time.Second, 0, requireRecorded)
			leader := []string{c.unlimitedTeamLeader(), c.reportsTo[c.workers[2].ID], c.reportsTo[c.workers[5].ID]}[i]
			c.crash(leader)
			c.start(leader)
		}
		c.runForEach(12*time.Second, 0, requireRecorded)
		require.Equal(t, 2, c.runningTasks())
		require.Greater(t, c.occurrenceCount(occurrenceHeldBack), 1)
		c.setOnCommit(nil)
		c.releaseHeldTransactions()
		c.runForEach(12*time.Second, 0, requireRecorded)
		require.Equal(t, 6, c.runningTasks())
		c.requireStartedOnce()
		c.runFor(10*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.queryJob("c", "job-1"))
	})
}

// leaderChanges plays users of a cluster whose leaders change all the time.
type leaderChanges struct {
	*cluster
	submitted int // jobs of limitedTeam
	cancelled int // confirmed cancellations, repeats included
}

// changingLeaderJobs is how many jobs users submit while leaders change.
const changingLeaderJobs = 24

// longJob is a job whose tasks take whole machines and end far apart.
const longJob = "job-000099"

// act submits a job, queries all, and cancels one now and then.
func (l *leaderChanges) act() {
	n := l.submitted
	if id := jobName(n); n < changingLeaderJobs && l.submitJob(hosts[n%3], submission(id, 2+n%2), id) == 201 {
		l.submitted++
		n++
	}
	for i := range n {
		l.queryJob(hosts[(n+i)%3], jobName(i))
	}
	if n > 6 && n%5 == 0 && l.cancelJob(hosts[n%3], jobName(n-2)) == wire.Cancelled {
		l.cancelled++
	}
}

// runUsers lets time pass while users act.
func (l *leaderChanges) runUsers(d time.Duration) { l.runForEach(d, 6*time.Second, l.act) }

// restart crashes a controller and starts it again after a while.
func (l *leaderChanges) restart(host string, after time.Duration) {
	l.crash(host)
	time.Sleep(after)
	l.start(host)
}

// changeLeader makes the leader lose its leaderships, in the i-th way of five.
func (l *leaderChanges) changeLeader(leader string, i int) {
	switch i % 5 {
	case 0: // it is back within a moment
		l.restart(leader, 300*time.Millisecond)
	case 1: // the key-value store refuses it alone
		l.setStoreCut(leader, true)
		l.runUsers(8 * time.Second)
		l.setStoreCut(leader, false)
	case 2: // in an outage of the key-value store
		l.store.SetDown(true)
		l.runUsers(3 * time.Second)
		l.restart(leader, 200*time.Millisecond)
		l.runUsers(3 * time.Second)
		l.store.SetDown(false)
	case 3: // all of them crash, and it is back before the others
		for _, h := range hosts {
			l.crash(h)
		}
		time.Sleep(700 * time.Millisecond)
		l.start(leader)
		l.runUsers(2 * time.Second)
		for _, h := range hosts {
			if h != leader {
				l.start(h)
			}
		}
	case 4: // it is down for seconds
		l.crash(leader)
		l.runUsers(4 * time.Second)
		l.start(leader)
	}
}

// Leaders change ten times in two minutes: they crash, are back within a moment or
// seconds later, all of them or one alone, are refused and served again, also while the key-value store is down.
// Jobs of two or three tasks end far apart over this, and some are cancelled.
func TestJobsEndOverTenLeaderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leaderChanges{cluster: newSettledCluster(t, 6)}
		require.Equal(t, 201, l.submitJob("a", wholeMachineSubmission(longJob, 3), longJob))
		l.runFor(3*time.Second, 0)
		terms := map[uint64]bool{}
		for i := range 10 {
			l.changeLeader(l.unlimitedTeamLeader(), i)
			l.runUsers(5 * time.Second)
			terms[l.unlimitedTeamTerm()] = true
			if i == 4 {
				l.finishTask(longJob + "/1")
			}
		}
		require.GreaterOrEqual(t, len(terms), 10, "as many leaders")
		require.NotZero(t, l.cancelled)
		require.Equal(t, changingLeaderJobs, l.submitted)
		l.runFor(60*time.Second, 4*time.Second)
		for i := range l.submitted {
			for _, h := range hosts {
				require.Contains(t, []string{wire.Done, wire.Cancelled}, l.queryJob(h, jobName(i)), jobName(i))
			}
		}
		require.Equal(t, wire.Done, l.queryJob("a", longJob))
		for _, w := range l.workers {
			require.LessOrEqual(t, w.Starts[longJob+"/1"], 1, "what was done stays done")
		}
	})
}

// A job's tasks end far apart. The first is done, but the write of its progress has no answer
// until the leader has crashed: it is not run again, and the job is done with
// its last task and not before.
func TestCompletedTasksStayCompletedAcrossFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 6)
		require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 3), "job-1"))
		c.runFor(4*time.Second, 0)
		require.Equal(t, 3, c.runningTasks())
		c.holdBackWrites(kvstore.ProgressPrefix)
		for n := range 2 {
			c.finishTask(fmt.Sprintf("job-1/%d", n))
			c.runFor(6*time.Second, 0)
			require.Greater(t, c.occurrenceCount(occurrenceHeldBack), n, "progress could not be written")
			before, leader := c.unlimitedTeamTerm(), c.unlimitedTeamLeader()
			late := c.takeHeldTransactions()
			c.crash(leader)
			c.start(leader)
			c.runFor(6*time.Second, 0)
			require.Greater(t, c.unlimitedTeamTerm(), before)
			for _, commit := range late {
				require.ErrorIs(t, commit(), kvstore.ErrConflict, "by a former leader")
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

// runningZones are the zones in which tasks of a job run.
func (c *cluster) runningZones(id string) map[string]bool {
	zones := map[string]bool{}
	for _, w := range c.workers {
		for _, k := range w.Tasks {
			if job, _, _ := wire.SplitTask(k.Task); job == id && k.Phase != wire.TaskExited {
				zones[w.Zone] = true
			}
		}
	}
	return zones
}

// hangBusyWorkers hangs so many of the workers that have tasks, and gives how many it has found.
func (c *cluster) hangBusyWorkers(most int) (n int) {
	for _, w := range c.workers {
		if len(w.Tasks) > 0 && n < most && !c.hungWorkers[w.ID] {
			c.hungWorkers[w.ID] = true
			n++
		}
	}
	return n
}

// Jobs bound to a given zone, or to any one zone, lose machines. They go on in that zone,
// or start again together.
func TestZoneBoundJobsStayInZoneAfterMachineLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		for i, w := range c.workers {
			w.Zone = hosts[i%2] // a and b
		}
		c.runFor(8*time.Second, 0)
		oneZone := strings.Replace(wholeMachineSubmission("job-1", 3), `"shape"`, `"one_zone":true,"shape"`, 1)
		require.Equal(t, 201, c.submitJob("a", oneZone, "job-1"))
		zoneB := strings.Replace(wholeMachineSubmission("job-2", 1), `"shape"`, `"yard":"b","shape"`, 1)
		require.Equal(t, 201, c.submitJob("a", zoneB, "job-2"))
		requireZones := func() {
			require.LessOrEqual(t, len(c.runningZones("job-1")), 1)
			require.NotContains(t, c.runningZones("job-2"), "a")
		}
		c.runForEach(5*time.Second, 0, requireZones)
		require.Equal(t, 4, c.runningTasks())
		for loss := range 3 {
			require.Equal(t, 2, c.hangBusyWorkers(2))
			if loss == 1 {
				leader := c.unlimitedTeamLeader()
				c.crash(leader)
				c.start(leader)
			}
			c.runForEach(25*time.Second, 0, requireZones)
			clear(c.hungWorkers)
			c.runForEach(8*time.Second, 0, requireZones)
			require.Equal(t, 4, c.runningTasks())
		}
		c.runForEach(30*time.Second, 3*time.Second, requireZones)
		require.Equal(t, wire.Done, c.queryJob("a", "job-1"))
		require.Equal(t, wire.Done, c.queryJob("a", "job-2"))
	})
}

// More work than resources, of all priorities, while every call between the controllers takes a
// fifth of a second each way and a leader crashes. The quota holds, and all of it is done.
func TestOverloadWithSlowLinksCompletesAllJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 4)
		c.setPeerLatency(200 * time.Millisecond)
		const jobs = 16
		priorities := []string{"idle", "normal", "high", "production"}
		for i := range jobs {
			body := strings.Replace(submission(jobName(i), 4), `"normal"`, fmt.Sprintf("%q", priorities[i%4]), 1)
			require.Equal(t, 201, c.submitJob(hosts[i%3], body, jobName(i)))
		}
		c.runFor(5*time.Second, 2*time.Second)
		require.Positive(t, c.runningTasks())
		leader := c.unlimitedTeamLeader()
		c.crash(leader)
		c.start(leader)
		c.runFor(90*time.Second, 2*time.Second)
		for i := range jobs {
			require.Equal(t, wire.Done, c.queryJob(hosts[i%3], jobName(i)), jobName(i))
		}
	})
}
