package api

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// While the key-value store is down, a controller can't know whether a job exists. It must answer 503: a
// 404 would tell the user that the job does not exist, although the store was not read.
func TestRequestsDuringStoreOutageAreUnavailable(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetDown(true)
	require.Equal(t, 503, f.submit(validJob).Status)
	require.Equal(t, 503, f.status().Status, "not 404: the store was not read")
	require.Equal(t, 503, f.cancel().Status)
}

// A late or repeated copy of a submission must not create a final job anew, and neither that nor a cancellation
// may change its final state.
func TestFinalJobSubmittedOrCancelledAgainStaysFinal(t *testing.T) {
	f := newAPIFixture(t)
	f.submit(validJob)
	active := f.activeRecord(jobID)
	_, err := f.store.Commit(t.Context(), wire.Txn{
		Conditions: []wire.Condition{{Key: active.Key, ModRevision: active.ModRevision}},
		Operations: []wire.Operation{
			{Put: kvstore.FinalJobPrefix + jobID, Value: jobs.Final{Phase: wire.Cancelled, Team: "red", Tasks: 16}},
			{Drop: active.Key},
		},
	})
	require.NoError(t, err)
	for range 2 {
		r := f.submit(validJob)
		require.Equal(t, 200, r.Status)
		require.Contains(t, string(r.Body), `"cancelled"`)
	}
	require.Contains(t, string(f.cancel().Body), `"cancelled"`)
}

// A scheduler that has lost its team's leadership must not finish a job, even if its write was sent before the
// loss and reaches the store after it. The write carries the revision of the leadership as a condition, which
// fails once the leadership has changed.
func TestLateFinalStateAfterLeadershipChangeIsNotWritten(t *testing.T) {
	f := newAPIFixture(t)
	f.submit(validJob)
	active := f.activeRecord(jobID)
	leadership := kvstore.LeaderPrefix + "team-red"
	revision, _ := f.store.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: leadership, Value: 1}}})
	f.store.SetCapture(true)
	_, err := f.store.Commit(t.Context(), wire.Txn{
		Conditions: []wire.Condition{
			{Key: leadership, ModRevision: revision},
			{Key: active.Key, ModRevision: active.ModRevision},
		},
		Operations: []wire.Operation{{Drop: active.Key}},
	})
	require.ErrorIs(t, err, kvstore.ErrOutcomeUnknown)
	f.store.SetCapture(false)
	_, err = f.store.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: leadership, Value: 2}}})
	require.NoError(t, err)
	require.Zero(t, f.store.Release())
	require.Equal(t, 200, f.status().Status)
}

// While a job's final state is being written, another user may already have read it. The scheduler then gives no
// state (Retry), and queries and cancellations must be answered with 503 instead of an older state.
func TestJobStateDuringFinalWriteIsUnavailable(t *testing.T) {
	f := newAPIFixture(t)
	f.submit(validJob)
	active := f.activeRecord(jobID)
	f.jobs.Apply(kvstore.Event{Key: active.Key, Value: active.Value, ModRevision: active.ModRevision})
	f.schedulers.response, f.schedulers.err = peer.JobResponse{Known: true, Found: true, Retry: true}, nil
	require.Equal(t, 503, f.status().Status)
	require.Equal(t, 503, f.cancel().Status)
}
