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

// Guards against a job that does not recover after a controller and its workers were isolated together for longer than the
// worker lease. The workers reach only that controller, and it reaches neither the store nor a peer. Its leaderships move to
// others and its workers' leases expire. After the reconnection the job must complete.
func TestIsolatedControllerAndWorkersRecoverAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		isolated := c.reportsTo[c.workers[0].ID]
		before := c.leaderships()
		c.setIsolated(isolated, true)
		c.runFor(50*time.Second, 0)
		require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "others have not acquired its leaderships")
		for duty, r := range c.leaderships() {
			require.NotEqual(t, isolated, r.Leader, duty)
		}
		for _, w := range c.workers {
			require.Equal(t, c.pinnedTo[w.ID] != "", w.Incarnation > 1, "only the leases of isolated workers must expire: %s", w.ID)
		}
		c.setIsolated(isolated, false)
		c.runFor(30*time.Second, 4*time.Second)
		c.requirePhaseEverywhere(wire.Done, "job-1")
	})
}

// Guards against jobs that are lost when all controllers are down for longer than the worker lease. Each task that ran must
// run again, once.
func TestTasksRestartAfterAllControllersDownBeyondLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		c.crashAll()
		c.runFor(20*time.Second, 0)
		require.Zero(t, c.runningTasks(), "tasks run after the worker leases have expired")
		c.startAll()
		c.runFor(8*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		c.runFor(15*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.queryJob("b", "job-1"))
		for _, w := range c.workers {
			require.EqualValues(t, 2, w.Incarnation)
		}
	})
}

// Guards against tasks that are lost or run twice when a leader crashes while machines hang or don't get the new leader's
// answers. Machines that recover within their lease continue their tasks. Otherwise the tasks run elsewhere or start again.
func TestLeaderCrashWithUnreachableMachinesRecoversTasks(t *testing.T) {
	for _, tc := range []struct {
		name     string
		affected func(c *cluster) map[string]bool
		outage   time.Duration
	}{
		{"machines hang for less than a lease", func(c *cluster) map[string]bool { return c.hungWorkers }, 8 * time.Second},
		{"machines hang for longer than a lease", func(c *cluster) map[string]bool { return c.hungWorkers }, 40 * time.Second},
		{"answers are lost for less than a lease", func(c *cluster) map[string]bool { return c.workersWithoutAnswers }, 8 * time.Second},
		{"answers are lost for longer than a lease", func(c *cluster) map[string]bool { return c.workersWithoutAnswers }, 40 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newBusyCluster(t)
				leader := c.reportsTo[c.workers[0].ID]
				before := c.leaderships()
				affectedWorkers := 0
				for _, w := range c.workers {
					if c.reportsTo[w.ID] == leader {
						tc.affected(c)[w.ID] = true
						affectedWorkers++
					}
				}
				require.NotZero(t, affectedWorkers)
				c.crash(leader)
				c.runFor(500*time.Millisecond, 0)
				c.start(leader)
				c.runFor(tc.outage, 0)
				require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "a new process leads")
				clear(tc.affected(c))
				c.runFor(12*time.Second, 0)
				require.Equal(t, 6, c.runningTasks())
				if tc.outage < workerLease.Duration() {
					c.requireStartedOnce()
				}
				c.runFor(20*time.Second, 3*time.Second)
				require.Equal(t, wire.Done, c.queryJob("b", "job-1"))
			})
		})
	}
}

// Guards against a new leader that accepts a delayed copy of an old heartbeat as current, and stops or restarts tasks because
// of it. Copies of heartbeats, some of earlier attempts, reach every controller while a new leader starts its term and after
// it has acted. A controller answers each heartbeat only once, and the copies must change nothing (docs/design.md, "Why the
// rules hold", number 13).
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
		for range 60 { // every 50 ms, starting before the new process is registered
			replay()
			time.Sleep(50 * time.Millisecond)
		}
		c.runForEach(5*time.Second, 0, replay)
		require.NotZero(t, withTasks)
		require.NotZero(t, statuses[200], "the new leader must answer the first copy")
		require.NotZero(t, statuses[503], "the new leader must reject further copies")
		require.NotZero(t, statuses[421])
		require.GreaterOrEqual(t, c.leadershipsMoved(before), partitionsPerController, "a new process leads")
		require.Equal(t, 6, c.runningTasks(), "running tasks must continue")
		c.requireStartedOnce()
		c.runForEach(10*time.Second, 3*time.Second, replay)
		c.requirePhaseEverywhere(wire.Done, "job-1")
		c.requirePhaseEverywhere(wire.Done, "job-2")
		c.requireStartedOnce()
	})
}

// Guards against tasks on machines without a record in the key-value store. A new leader finds machines by their records, so
// it would miss such a machine and start its tasks elsewhere, too (docs/design.md, "Why the rules hold", number 5). New machines
// report while writes of machine records are held back and leaders crash. They get tasks only once the records are written.
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

// leaderChanges is a cluster whose leaders change repeatedly while users submit, query and cancel jobs.
type leaderChanges struct {
	*cluster
	submitted int // number of accepted jobs, all of limitedTeam
	cancelled int // confirmed cancellations, including repeated ones
}

// changingLeaderJobs is the number of jobs that users submit while leaders change.
const changingLeaderJobs = 24

// longJob is a job whose tasks take whole machines and end at very different times.
const longJob = "job-000099"

// act submits a job if not all are submitted, queries all submitted jobs, and sometimes cancels one.
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

// runUsers lets time pass and calls act after every step.
func (l *leaderChanges) runUsers(d time.Duration) { l.runForEach(d, 6*time.Second, l.act) }

// restart crashes the controller on a host and starts it again after a delay.
func (l *leaderChanges) restart(host string, after time.Duration) {
	l.crash(host)
	time.Sleep(after)
	l.start(host)
}

// changeLeader makes a leader lose its leaderships in one of five ways, chosen by i.
func (l *leaderChanges) changeLeader(leader string, i int) {
	switch i % 5 {
	case 0: // the leader restarts within a second
		l.restart(leader, 300*time.Millisecond)
	case 1: // the key-value store refuses only the leader
		l.setStoreDisconnected(leader, true)
		l.runUsers(8 * time.Second)
		l.setStoreDisconnected(leader, false)
	case 2: // the leader restarts during an outage of the key-value store
		l.store.SetDown(true)
		l.runUsers(3 * time.Second)
		l.restart(leader, 200*time.Millisecond)
		l.runUsers(3 * time.Second)
		l.store.SetDown(false)
	case 3: // all controllers crash, and the leader restarts before the others
		l.crashAll()
		time.Sleep(700 * time.Millisecond)
		l.start(leader)
		l.runUsers(2 * time.Second)
		for _, h := range hosts {
			if h != leader {
				l.start(h)
			}
		}
	case 4: // the leader is down for four seconds
		l.crash(leader)
		l.runUsers(4 * time.Second)
		l.start(leader)
	}
}

// Guards against jobs that never end, or tasks that are repeated after they were done, when leaders change often. The leader of
// unlimitedTeam changes ten times in about two minutes, in the ways of changeLeader. Meanwhile users submit jobs of two or three
// tasks and cancel some of them, and the tasks of longJob end at very different times.
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
		require.GreaterOrEqual(t, len(terms), 10, "too few leader changes")
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
			require.LessOrEqual(t, w.Starts[longJob+"/1"], 1, "a task was started again after it was done")
		}
	})
}

// Guards against a completed task that runs again after a failover because its progress was not written. The writes of the
// job's progress are held back until the leader has crashed, and must fail afterwards. The job must be done when its last task
// is done, and not before.
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
			require.Greater(t, c.occurrenceCount(occurrenceHeldBack), n, "no write of progress was held back")
			before, leader := c.unlimitedTeamTerm(), c.unlimitedTeamLeader()
			held := c.takeHeldTransactions()
			c.crash(leader)
			c.start(leader)
			c.runFor(6*time.Second, 0)
			require.Greater(t, c.unlimitedTeamTerm(), before)
			for _, commit := range held {
				require.ErrorIs(t, commit(), kvstore.ErrConflict, "a write of a former leader was carried out")
			}
			require.Equal(t, wire.Running, c.queryJob("a", "job-1"))
			require.Equal(t, 2-n, c.runningTasks())
		}
		c.setOnCommit(nil)
		c.finishTask("job-1/2")
		c.runFor(4*time.Second, 0)
		c.requirePhaseEverywhere(wire.Done, "job-1")
		c.requireStartedOnce()
	})
}

// runningZones returns the zones in which tasks of a job run.
func (c *cluster) runningZones(id string) map[string]bool {
	zones := map[string]bool{}
	for _, w := range c.workers {
		for _, task := range w.Tasks {
			if job, _, _ := wire.SplitTask(task.Task); job == id && task.Phase != wire.TaskExited {
				zones[w.Zone] = true
			}
		}
	}
	return zones
}

// hangBusyWorkers makes at most a given number of the workers that have tasks hang, and returns how many it made hang.
func (c *cluster) hangBusyWorkers(most int) (n int) {
	for _, w := range c.workers {
		if len(w.Tasks) > 0 && n < most && !c.hungWorkers[w.ID] {
			c.hungWorkers[w.ID] = true
			n++
		}
	}
	return n
}

// Guards against a job whose tasks leave its zone after a machine was lost. One job requires the zone b, the other one any
// single zone for all its tasks. After each loss of machines the jobs must continue in their zone, or start again together in
// one zone.
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

// Guards against an overloaded cluster that exceeds a limit or leaves jobs undone when its controllers are slow to reach each
// other. There is more work than resources, of all priorities; every call between controllers has a latency of 200 ms each
// way, and a leader crashes. runFor checks the limit, and all jobs must complete.
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
