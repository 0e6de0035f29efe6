package api

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// During an outage nothing is forgotten and nothing invented.
func TestRequestsDuringStoreOutageAreUnavailable(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetDown(true)
	require.Equal(t, 503, f.submit(validJob).Status)
	require.Equal(t, 503, f.status().Status, "not 404: nobody has read")
	require.Equal(t, 503, f.cancel().Status)
}

// A final job stays final, whoever is asked, and a late copy of its submission does not bring it back.
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

// Of two schedulers that write a job's final state the one whose leadership has changed since fails, also
// when its write arrives late.
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

// While the final state is being written, the scheduler answers nothing that could be older.
func TestJobStateDuringFinalWriteIsUnavailable(t *testing.T) {
	f := newAPIFixture(t)
	f.submit(validJob)
	active := f.activeRecord(jobID)
	f.jobs.Apply(kvstore.Event{Key: active.Key, Value: active.Value, ModRevision: active.ModRevision})
	f.schedulers.response, f.schedulers.err = peer.JobResponse{Known: true, Found: true, Retry: true}, nil
	require.Equal(t, 503, f.status().Status)
	require.Equal(t, 503, f.cancel().Status)
}
