package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// replacement says when a partition leader's process is replaced by a new process on the same host.
type replacement int

const (
	notReplaced                  replacement = iota
	replacedAfterAcknowledgement             // after it has acknowledged the cancellation
	replacedDuringFinalWrite                 // while the job's final state is being written
	replacedAfterConfirmation                // after the cancellation was confirmed to the user
)

// occurrenceFinalWrite is counted when the team's leader sends the transaction with a cancelled job's final state.
const occurrenceFinalWrite = "the final state was being written"

// leaderReplacement is a cluster in which job-1 is cancelled while the key-value store refuses a partition leader, whose
// process may be replaced as well.
type leaderReplacement struct {
	*cluster
	teamLeader      string // host that leads the job's team; users cancel through it
	partitionLeader string // host that leads partitions with tasks of the job
	thirdHost       string // the remaining host
}

func newLeaderReplacement(t *testing.T) *leaderReplacement {
	r := &leaderReplacement{cluster: newBusyCluster(t)}
	r.teamLeader = r.unlimitedTeamLeader()
	for _, h := range hosts {
		if h != r.teamLeader && r.partitionLeader == "" && r.tasksOn(h, "job-1") > 0 {
			r.partitionLeader = h
		} else if h != r.teamLeader {
			r.thirdHost = h
		}
	}
	require.NotEmpty(t, r.partitionLeader, "no controller but the team's leader has tasks of the job")
	return r
}

// replaceAndRefuse replaces the partition leader's process. The store refuses the new process as soon as it leads its
// partitions.
func (r *leaderReplacement) replaceAndRefuse() {
	r.replaceProcess(r.partitionLeader)
	r.setStoreDisconnected(r.partitionLeader, true)
}

// prepare brings about the faults that precede the confirmed cancellation. For replacedAfterAcknowledgement this includes a
// first, unconfirmed cancellation and the replacement. If the partition leader is to be replaced, no worker reaches its first
// process, so that none gets the stop commands of that process.
func (r *leaderReplacement) prepare(when replacement) {
	switch when {
	case replacedAfterAcknowledgement:
		r.unreachableHosts[r.partitionLeader] = true
		r.setDisconnected(r.thirdHost, true)
		require.Empty(r.t, r.cancelJob(r.teamLeader, "job-1"), "confirmed without an acknowledgement of the third controller")
		r.replaceAndRefuse()
		r.unreachableHosts[r.partitionLeader] = false
		r.setDisconnected(r.thirdHost, false)
	case replacedDuringFinalWrite:
		r.unreachableHosts[r.partitionLeader] = true
		r.setOnCommit(func(host string, m wire.Txn) txnOutcome {
			final := host == r.teamLeader && writesTo(m, kvstore.FinalJobPrefix+"job-1")
			if final && r.addOccurrence(occurrenceFinalWrite) == 1 {
				r.replaceAndRefuse()
				r.unreachableHosts[r.partitionLeader] = false
			}
			return txnServed
		})
	case replacedAfterConfirmation:
		r.unreachableHosts[r.partitionLeader] = true
	case notReplaced:
		r.setStoreDisconnected(r.partitionLeader, true)
	}
}

// cancelUntilConfirmed repeats the cancellation until it is confirmed, which must happen although the store refuses the
// partition leader.
func (r *leaderReplacement) cancelUntilConfirmed() {
	confirmed := false
	for range 8 {
		if confirmed = r.cancelJob(r.teamLeader, "job-1") == wire.Cancelled; confirmed {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.True(r.t, confirmed, "not confirmed while the store refuses the partition leader")
}

// Guards against a job that runs on after its cancellation was confirmed, because the leader of its machines does not know
// of the cancellation. The key-value store refuses only one partition leader while the others confirm the cancellation. Then
// the store is down for all controllers, for longer than cancel_s, while workers still report to that leader. If the leader's
// process was replaced before the last partition leader acknowledged the cancellation, or while the final state was being
// written, the new process has never received the cancellation. In all cases the job's tasks must end.
func TestCancellationBeforeStoreOutageReachesPartitionLeaders(t *testing.T) {
	for _, tc := range []struct {
		name string
		when replacement
	}{
		{"the leader stays", notReplaced},
		{"replaced after it has acknowledged the cancellation", replacedAfterAcknowledgement},
		{"replaced while the final state is being written", replacedDuringFinalWrite},
		{"replaced after the confirmation", replacedAfterConfirmation},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLeaderReplacement(t)
				r.prepare(tc.when)
				if tc.when == replacedDuringFinalWrite {
					defer func() { require.NotZero(t, r.occurrenceCount(occurrenceFinalWrite)) }()
				}
				r.cancelUntilConfirmed()
				if tc.when == replacedAfterConfirmation {
					require.NotZero(t, r.tasksOn(r.partitionLeader, "job-1"), "its workers must not have received the stop commands")
					r.replaceAndRefuse() // it acquires its partitions after the job's end, which its replica therefore has
					r.unreachableHosts[r.partitionLeader] = false
				}
				time.Sleep(400 * time.Millisecond)
				_, _, err := r.process(r.partitionLeader).storeClient.Get(t.Context(), kvstore.FinalJobPrefix+"job-1")
				require.ErrorIs(t, err, kvstore.ErrRefused)
				r.store.SetDown(true)
				r.runFor(60*time.Second, 0)
				require.Zero(t, r.runningTasks())
				r.store.SetDown(false)
				r.setStoreDisconnected(r.partitionLeader, false)
				r.runFor(30*time.Second, 0)
				r.requirePhaseEverywhere(wire.Cancelled, "job-1")
			})
		})
	}
}

// Guards against users being told two different ends of a job. The team's leader gets no answer to the write of a cancelled
// job's final state, and crashes. If the write was carried out, the job must stay cancelled. If the write is delayed, no user
// has been told of the cancellation: the next leader continues the job, and the delayed write must fail.
func TestUnansweredCancellationIsResolvedAfterTeamLeaderCrash(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome txnOutcome
	}{{"carried out, the answer is lost", responseLost}, {"carried out late", txnHeldBack}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newBusyCluster(t)
				leader := c.unlimitedTeamLeader()
				c.setOnCommit(func(host string, m wire.Txn) txnOutcome {
					if host == leader && writesTo(m, kvstore.FinalJobPrefix) {
						c.addOccurrence(occurrenceFinalWrite)
						return tc.outcome
					}
					return txnServed
				})
				c.setReplicaDelay(leader, 4*time.Second) // until then it can't see its own write in the replica
				require.Empty(t, c.cancelJob(leader, "job-1"), "confirmed although the write of the final state has no answer")
				require.Equal(t, "503", c.queryJob(leader, "job-1"))
				require.NotZero(t, c.occurrenceCount(occurrenceFinalWrite))
				c.crash(leader)
				c.setReplicaDelay(leader, 0)
				c.setOnCommit(nil)
				held := c.takeHeldTransactions()
				c.runFor(time.Second, 0)
				c.start(leader)
				c.runFor(8*time.Second, 0)
				if tc.outcome == responseLost {
					require.Zero(t, c.runningTasks())
					c.requirePhaseEverywhere(wire.Cancelled, "job-1")
					return
				}
				require.Equal(t, 6, c.runningTasks(), "the next leader must continue the job")
				for _, commit := range held {
					require.ErrorIs(t, commit(), kvstore.ErrConflict)
				}
				c.runFor(15*time.Second, 3*time.Second)
				c.requirePhaseEverywhere(wire.Done, "job-1")
			})
		})
	}
}

// Guards against an isolated leader that contradicts its successor. A controller loses the key-value store and its peers, but
// still reaches its workers and users. After its lease has expired, others acquire its leaderships, and a job is cancelled
// through them. The isolated controller must not tell users an older state of the job, and its workers' tasks must end within
// cancellationLimit.
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
		require.NotZero(t, answers, "the isolated controller has not answered any user")
		require.NotEqual(t, leader, c.unlimitedTeamLeader())
		c.runForEach(15*time.Second, 0, queryAndCancel)
		require.True(t, confirmed(), "not confirmed by the successor")
		c.runForEach(45*time.Second, 0, queryAndCancel)
		require.Zero(t, c.runningTasks())
		c.setIsolated(leader, false)
		c.runForEach(20*time.Second, 0, queryAndCancel)
		require.Equal(t, wire.Cancelled, c.queryJob(leader, "job-1"))
	})
}
