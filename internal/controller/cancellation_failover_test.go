package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// replacement is when a partition leader's process is replaced by a new one of the same host.
type replacement int

const (
	notReplaced                  replacement = iota
	replacedAfterAcknowledgement             // after it has acknowledged the cancellation
	replacedDuringFinalWrite                 // while the job's final state is being written
	replacedAfterConfirmation                // after the confirmation
)

const occurrenceFinalWrite = "the final state was being written"

// leaderReplacement is a cluster in which a partition leader is refused by the key-value store, and perhaps replaced,
// around the cancellation of job-1.
type leaderReplacement struct {
	*cluster
	teamLeader string // leads the job's team; users cancel through it
	partition  string // leads partitions with tasks of the job
	third      string // the remaining controller
}

func newLeaderReplacement(t *testing.T) *leaderReplacement {
	r := &leaderReplacement{cluster: newBusyCluster(t)}
	r.teamLeader = r.unlimitedTeamLeader()
	for _, h := range hosts {
		if h != r.teamLeader && r.partition == "" && r.tasksOn(h, "job-1") > 0 {
			r.partition = h
		} else if h != r.teamLeader {
			r.third = h
		}
	}
	require.NotEmpty(t, r.partition, "some other controller has tasks of the job")
	return r
}

// replaceAndRefuse replaces the partition leader's process; the store refuses the new one as soon as it leads.
func (r *leaderReplacement) replaceAndRefuse() {
	r.replaceProcess(r.partition)
	r.setStoreCut(r.partition, true)
}

// prepare has the partition leader refused or replaced before the cancellation that is confirmed. Where it is
// replaced no worker hears the stops that its first process sends.
func (r *leaderReplacement) prepare(when replacement) {
	switch when {
	case replacedAfterAcknowledgement:
		r.unreachable[r.partition] = true
		r.setDisconnected(r.third, true)
		require.Empty(r.t, r.cancelJob(r.teamLeader, "job-1"), "the third controller has not acknowledged it")
		r.replaceAndRefuse()
		r.unreachable[r.partition] = false
		r.setDisconnected(r.third, false)
	case replacedDuringFinalWrite:
		r.unreachable[r.partition] = true
		r.setOnCommit(func(host string, m wire.Txn) txnOutcome {
			final := host == r.teamLeader && writesTo(m, kvstore.FinalJobPrefix+"job-1")
			if final && r.addOccurrence(occurrenceFinalWrite) == 1 {
				r.replaceAndRefuse()
				r.unreachable[r.partition] = false
			}
			return txnServed
		})
	case replacedAfterConfirmation:
		r.unreachable[r.partition] = true
	case notReplaced:
		r.setStoreCut(r.partition, true)
	}
}

// cancelUntilConfirmed cancels the job until others confirm it while the partition leader is refused.
func (r *leaderReplacement) cancelUntilConfirmed() {
	confirmed := false
	for range 8 {
		if confirmed = r.cancelJob(r.teamLeader, "job-1") == wire.Cancelled; confirmed {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.True(r.t, confirmed, "others confirm while the leader is refused")
}

// The key-value store refuses the leader of partitions alone; others confirm a
// cancellation; then the store is down for all, for longer than cancel_s, while
// workers report to the old leader. The job's tasks are gone in time all the
// same, also where the leader has just been replaced by a new process of its
// host, before the last partition leader has acknowledged the cancellation or while the final state is
// being written: that process has never received the cancellation.
func TestCancellationBeforeStoreOutageReachesPartitionLeaders(t *testing.T) {
	for _, x := range []struct {
		name string
		when replacement
	}{
		{"the leader stays", notReplaced},
		{"replaced after it has acknowledged the cancellation", replacedAfterAcknowledgement},
		{"replaced while the final state is being written", replacedDuringFinalWrite},
		{"replaced after the confirmation", replacedAfterConfirmation},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLeaderReplacement(t)
				r.prepare(x.when)
				if x.when == replacedDuringFinalWrite {
					defer func() { require.NotZero(t, r.occurrenceCount(occurrenceFinalWrite)) }()
				}
				r.cancelUntilConfirmed()
				if x.when == replacedAfterConfirmation {
					require.NotZero(t, r.tasksOn(r.partition, "job-1"), "its workers have not heard of it")
					r.replaceAndRefuse() // it finds the end in its replica, as it has taken its partitions since
					r.unreachable[r.partition] = false
				}
				time.Sleep(400 * time.Millisecond)
				_, _, err := r.process(r.partition).storeClient.Get(t.Context(), kvstore.FinalJobPrefix+"job-1")
				require.ErrorIs(t, err, kvstore.ErrRefused)
				r.store.SetDown(true)
				r.runFor(60*time.Second, 0)
				require.Zero(t, r.runningTasks())
				r.store.SetDown(false)
				r.setStoreCut(r.partition, false)
				r.runFor(30*time.Second, 0)
				for _, h := range hosts {
					require.Equal(t, wire.Cancelled, r.jobPhase(h, "job-1"))
				}
			})
		})
	}
}

// The write of a cancelled job's final state has no answer, and its team's leader crashes. Where it was carried out, the job
// is cancelled and stays so. Where it comes late, no user has been told: the next leader
// goes on with the job, and the late write changes nothing.
func TestUnansweredCancellationIsResolvedAfterTeamLeaderCrash(t *testing.T) {
	for _, x := range []struct {
		name    string
		outcome txnOutcome
	}{{"carried out, the answer is lost", responseLost}, {"carried out late", txnHeldBack}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newBusyCluster(t)
				leader := c.unlimitedTeamLeader()
				c.setOnCommit(func(host string, m wire.Txn) txnOutcome {
					if host == leader && writesTo(m, kvstore.FinalJobPrefix) {
						c.addOccurrence(occurrenceFinalWrite)
						return x.outcome
					}
					return txnServed
				})
				c.setReplicaDelay(leader, 4*time.Second) // it does not read its own write meanwhile
				require.Empty(t, c.cancelJob(leader, "job-1"), "no user is told while its end may be written or not")
				require.Equal(t, "503", c.queryJob(leader, "job-1"))
				require.NotZero(t, c.occurrenceCount(occurrenceFinalWrite))
				c.crash(leader)
				c.setReplicaDelay(leader, 0)
				c.setOnCommit(nil)
				late := c.takeHeldTransactions()
				c.runFor(time.Second, 0)
				c.start(leader)
				c.runFor(8*time.Second, 0)
				if x.outcome == responseLost {
					require.Zero(t, c.runningTasks())
					for _, h := range hosts {
						require.Equal(t, wire.Cancelled, c.queryJob(h, "job-1"))
					}
					return
				}
				require.Equal(t, 6, c.runningTasks(), "it goes on")
				for _, commit := range late {
					require.ErrorIs(t, commit(), kvstore.ErrConflict)
				}
				c.runFor(15*time.Second, 3*time.Second)
				for _, h := range hosts {
					require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
				}
			})
		})
	}
}

// A controller loses the key-value store and its peers, not its workers and users. Others
// take its leaderships once its lease has expired, and jobs are cancelled through them. No user
// is told anything older by it, and its workers' tasks are gone in time.
func TestCancellationThroughSuccessorOfIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		leader := c.unlimitedTeamLeader()
		c.setIsolated(leader, true)
		require.NotEmpty(t, c.pinnedTo)
		answers := 0
		confirmed := func() bool { return !c.cancelled["job-1"].confirmedAt.IsZero() }
		queryAndCancel := func() {
			if p := c.queryJob(leader, "job-1"); isPhase(p) {
				answers++
			}
			for _, h := range hosts {
				if h != leader && !confirmed() {
					c.cancelJob(h, "job-1")
				}
			}
		}
		c.runForEach(30*time.Second, 0, queryAndCancel)
		require.NotZero(t, answers, "it has answered its users meanwhile")
		require.NotEqual(t, leader, c.unlimitedTeamLeader())
		c.runForEach(15*time.Second, 0, queryAndCancel)
		require.True(t, confirmed(), "by its successor")
		c.runForEach(45*time.Second, 0, queryAndCancel)
		require.Zero(t, c.runningTasks())
		c.setIsolated(leader, false)
		c.runForEach(20*time.Second, 0, queryAndCancel)
		require.Equal(t, wire.Cancelled, c.queryJob(leader, "job-1"))
	})
}
