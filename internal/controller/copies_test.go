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

// newClusterWithDeliveries makes a settled cluster whose controllers deliver commands, and keeps the deliveries.
func newClusterWithDeliveries(t *testing.T) *cluster {
	c := newSettledClusterWithOptions(t, 6, clusterOptions{deliveries: true})
	c.keepsDeliveries = true
	return c
}

// deliverCopies delivers once more all deliveries that were answered so far.
func (c *cluster) deliverCopies() {
	for _, d := range c.keptDeliveries {
		c.sendToWorker(d)
	}
	c.keptDeliveries = nil
	c.carryOutDeliveries()
}

// Guards against ran_twice: the copy of an answered run command arrives after the attempt has failed and was forgotten.
func TestCopyOfAnsweredRunStartsNoFailedTaskOnItsFormerMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithDeliveries(t)
		require.Equal(t, 201, c.submitJob("a", unlimitedSubmission("job-1", 1), "job-1"))
		c.runFor(2*time.Second, 0)
		require.Equal(t, 1, c.runningTasks())
		for _, w := range c.workers {
			w.Finish("job-1/0", wire.CauseError)
		}
		c.runFor(4*time.Second, 0)
		require.Equal(t, 1, c.runningTasks(), "the task runs again")
		c.deliverCopies()
		c.requireNoAttemptStartedTwice()
	})
}

// Guards against starts after a confirmed cancellation: the copies of all answered run commands arrive after the attempts were
// forgotten.
func TestCopyOfAnsweredRunStartsNoTaskOfCancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithDeliveries(t)
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
		c.deliverCopies()
		c.requireCancelledStopped()
		c.requireNoAttemptStartedTwice()
	})
}
