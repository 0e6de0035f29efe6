package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// copiedShare is the share of answered messages that arrive once more in the random tests.
const copiedShare = 0.3

var copiesSeeds = newSeedRange("copies", 64)

// Guards against ran_twice and starts after a cancellation by copies of answered messages, among random failures.
func TestRulesHoldUnderRandomFailureCombinationsWithCopies(t *testing.T) {
	copiesSeeds.run(t, runRandomFailuresWithCopies)
}

func runRandomFailuresWithCopies(t *testing.T, seed uint64) {
	options := failureClusterOptions(seed)
	options.deliveries = true
	options.copies = fakes.NewCopies(seed, copiedShare)
	r := newRandomFailures(newClusterWithOptions(t, 6, options), seed, seed+500)
	r.restartsAtOnce = true
	r.failedMachines = map[string]bool{}
	r.run(seed)
	r.requireNoAttemptStartedTwice()
	for _, kind := range []fakes.MessageKind{fakes.DirectCommand, fakes.Heartbeat, fakes.StoreRequest, fakes.PeerCall, fakes.UserRequest} {
		require.Positive(t, options.copies.Delivered(kind), kind)
	}
}

var workerRestartSeeds = newSeedRange("worker-restart", 8)

// Guards against ran_twice by workers that restart within their incarnation, among random failures.
func TestRulesHoldUnderRandomFailureCombinationsWithWorkerRestarts(t *testing.T) {
	workerRestartSeeds.run(t, func(t *testing.T, seed uint64) {
		options := failureClusterOptions(seed)
		options.deliveries = true
		r := newRandomFailures(newClusterWithOptions(t, 6, options), seed, seed+900)
		r.restartsAtOnce, r.restartsWorkers = true, true
		r.run(seed)
	})
}

// newClusterWithCopies makes a settled cluster whose controllers deliver commands, and which keeps answered messages.
func newClusterWithCopies(t *testing.T) *cluster {
	return newSettledClusterWithOptions(t, 6, clusterOptions{deliveries: true, keepsCopies: true})
}

// Guards against ran_twice: the copy of an answered run command arrives after the attempt has failed and was forgotten.
func TestCopyOfAnsweredRunStartsNoFailedTaskOnItsFormerMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithCopies(t)
		require.Equal(t, 201, c.submitJob("a", unlimitedSubmission("job-1", 1), "job-1"))
		c.runFor(2*time.Second, 0)
		require.Equal(t, 1, c.runningTasks())
		c.endTask("job-1/0", wire.CauseError)
		c.runFor(4*time.Second, 0)
		require.Equal(t, 1, c.runningTasks(), "the task runs again")
		c.deliverCopies(fakes.DirectCommand)
		c.requireNoAttemptStartedTwice()
	})
}

// Guards against starts after a confirmed cancellation: the copies of all answered run commands arrive after the attempts were
// forgotten.
func TestCopyOfAnsweredRunStartsNoTaskOfCancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithCopies(t)
		require.Equal(t, 201, c.submitJob("a", unlimitedSubmission("job-1", 6), "job-1"))
		c.runFor(2*time.Second, 0)
		require.Equal(t, 6, c.runningTasks())
		require.Equal(t, wire.Cancelled, c.cancelJob("a", "job-1"))
		c.runFor(4*time.Second, 0)
		for _, w := range c.workers {
			for _, task := range w.SortedTasks() {
				require.False(t, strings.HasPrefix(task.Task, "job-1/"), "the attempts are forgotten")
			}
		}
		c.deliverCopies(fakes.DirectCommand)
		c.requireCancelledStopped()
		c.requireNoAttemptStartedTwice()
	})
}

// storeRevisions returns the mod revisions of all keys in the store, by key.
func (c *cluster) storeRevisions() map[string]uint64 {
	items, _, err := c.directClient().List(c.t.Context(), "ml/")
	require.NoError(c.t, err)
	revisions := map[string]uint64{}
	for _, item := range items {
		revisions[item.Key] = item.ModRevision
	}
	return revisions
}

// newClusterWithEndedJobs makes a cluster that keeps copies, in which job-1 is done, job-2 is cancelled, and a task of job-3 has failed
// and runs again.
func newClusterWithEndedJobs(t *testing.T) *cluster {
	c := newClusterWithCopies(t)
	require.Equal(t, 201, c.submitJob("a", unlimitedSubmission("job-1", 6), "job-1"))
	require.Equal(t, 201, c.submitJob("b", unlimitedSubmission("job-2", 6), "job-2"))
	c.runFor(2*time.Second, 0)
	require.Equal(t, wire.Cancelled, c.cancelJob("a", "job-2"))
	for n := range 6 {
		c.finishTask(wire.TaskName("job-1", n))
	}
	require.Equal(t, 201, c.submitJob("c", unlimitedSubmission("job-3", 4), "job-3"))
	c.runFor(6*time.Second, 0)
	require.Equal(t, wire.Done, c.queryJob("a", "job-1"))
	c.endTask("job-3/0", wire.CauseError)
	c.runFor(6*time.Second, 0)
	require.Equal(t, 4, c.runningTasks())
	return c
}

// requireNothingChanged requires that job-1 and job-2 have ended as before, and that the tasks of job-3 run on without a start.
func (c *cluster) requireNothingChanged(starts int) {
	c.t.Helper()
	c.requirePhaseEverywhere(wire.Done, "job-1")
	c.requirePhaseEverywhere(wire.Cancelled, "job-2")
	require.Equal(c.t, 4, c.runningTasks())
	require.Equal(c.t, starts, c.totalStarts())
	c.requireNoAttemptStartedTwice()
}

// totalStarts counts the starts of the tasks of newClusterWithEndedJobs.
func (c *cluster) totalStarts() int {
	return c.taskStarts("job-1") + c.taskStarts("job-2") + c.taskStarts("job-3")
}

// Guards against transactions that a copy carries out a second time after what they wrote was changed or removed.
func TestCopiesOfTransactionsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithEndedJobs(t)
		for range 2 {
			before := c.storeRevisions()
			require.Greater(t, c.deliverCopies(fakes.StoreRequest), 30)
			require.Equal(t, before, c.storeRevisions())
			c.restartAll()
			c.runFor(6*time.Second, 0)
		}
	})
}

// Guards against messages that act a second time when copies of them arrive after their effect has ended, or at restarted controllers.
func TestCopiesOfMessagesChangeNothing(t *testing.T) {
	for _, kind := range []fakes.MessageKind{fakes.DirectCommand, fakes.Heartbeat, fakes.PeerCall, fakes.UserRequest, fakes.StoreRequest} {
		for name, prepare := range map[string]func(c *cluster){
			"in the same terms":                  func(*cluster) {},
			"while all controllers are starting": func(c *cluster) { c.restartAll() },
			"after all controllers are back": func(c *cluster) {
				c.restartAll()
				c.runFor(4*time.Second, 0)
			},
		} {
			t.Run(string(kind)+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newClusterWithEndedJobs(t)
					starts := c.totalStarts()
					prepare(c)
					require.Positive(t, c.deliverCopies(kind))
					c.runFor(20*time.Second, 0)
					c.requireNothingChanged(starts)
				})
			})
		}
	}
}

// Guards against ran_twice and starts after a cancellation in a large fleet, whose machines all get their run commands once more.
func TestCopiesOfRunsStartNothingInFleetOf4000Machines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines, jobs, tasksPerJob = 4000, 8, 400
		c := newClusterWithOptions(t, machines, clusterOptions{heartbeatS: 5, deliveries: true, keepsCopies: true})
		c.runFleetFor(8*time.Second, 0)
		for i := range jobs {
			require.Equal(t, 201, c.submitJob(hosts[i%3], unlimitedSubmission(jobName(i), tasksPerJob), jobName(i)))
		}
		c.runFleetFor(4*time.Second, 0)
		require.Equal(t, jobs*tasksPerJob, c.runningTasks())
		for i := range jobs / 2 {
			require.Equal(t, wire.Cancelled, c.cancelJob(hosts[i%3], jobName(i)))
		}
		for n := range tasksPerJob {
			c.endTask(wire.TaskName(jobName(jobs-1), n), wire.CauseError)
		}
		c.runFleetFor(12*time.Second, 0)
		running, starts := c.runningTasks(), c.taskStarts(jobName(jobs-1))
		require.GreaterOrEqual(t, c.deliverCopies(fakes.DirectCommand), jobs*tasksPerJob/10)
		c.restartAll()
		c.deliverCopies(fakes.DirectCommand)
		require.Equal(t, running, c.runningTasks())
		require.Equal(t, starts, c.taskStarts(jobName(jobs-1)))
		c.requireCancelledStopped()
		c.requireNoAttemptStartedTwice()
	})
}

// Guards against copies of lease renewals that keep the leaderships of a controller which is down for good, so that jobs wait.
func TestCopiesOfRenewalsDelayNoTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const copyInterval, longestWait = 20 * time.Second, 90 * time.Second
		c := newClusterWithCopies(t)
		leader := c.unlimitedTeamLeader()
		c.crash(leader)
		require.Equal(t, 201, c.submitJob(nextHost(leader), unlimitedSubmission("job-1", 2), "job-1"))
		for crashedAt := time.Now(); time.Since(crashedAt) < longestWait; {
			c.runFor(copyInterval, 0)
			c.deliverCopies(fakes.StoreRequest)
		}
		require.Equal(t, 2, c.runningTasks(), "the job waits while machines have room")
	})
}
