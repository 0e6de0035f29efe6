package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// budgetedStore is a key-value store that takes few operations a second from this controller.
type budgetedStore struct {
	*fakes.KVClient
	budget     *rate.Limiter
	operations int
}

func (s *budgetedStore) CommitWithCheck(ctx context.Context, txn wire.Txn, sending func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.budget.WaitN(ctx, len(txn.Operations)); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrBudgetExhausted)
	}
	s.operations += len(txn.Operations)
	return s.KVClient.CommitWithCheck(ctx, txn, sending)
}

// alwaysLeading has every leadership.
type alwaysLeading struct{ leaderelection.Leadership }

func (a alwaysLeading) Leading(string) (leaderelection.Leadership, bool) { return a.Leadership, true }
func (a alwaysLeading) Current(string) (leaderelection.Leadership, bool) { return a.Leadership, true }

// serverFixture is a server that leads the team red, before Run; what it writes goes to a store.
type serverFixture struct {
	*Server
	t     *testing.T
	store *fakes.KVClient
}

// newServerFixture makes a server that writes to store, over a store that shows its team's leadership.
func newServerFixture(t *testing.T, kv *fakes.KVClient, store Store) *serverFixture {
	t.Helper()
	rev, err := kv.Commit(t.Context(), wire.Txn{
		Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + Duty(red), Value: leaderelection.Record{}}},
	})
	require.NoError(t, err)
	scheduler := NewScheduler(Config{Instance: "i", Teams: []Team{{Name: red}}, Seed: 1, WallMS: func() int64 { return 0 }})
	scheduler.AcquireTeam(red, 1, rev, nil, 0)
	server := New(scheduler, Options{
		TxnOps: 12, MaxRecordBytes: 4000,
		Elections: alwaysLeading{leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: rev}},
		Store:     store, PriorityStore: store, Jobs: jobs.NewCache(), Clock: clock.NewSteady(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return &serverFixture{server, t, kv}
}

// accept puts a job on record and into the scheduler.
func (f *serverFixture) accept(id string, tasks int) *job {
	f.t.Helper()
	record := jobs.Record{Job: wire.Job{ID: id, Team: red, Tasks: tasks}}
	rev, err := f.store.Commit(f.t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.ActiveJobPrefix + id, Value: record}}})
	require.NoError(f.t, err)
	f.scheduler.AddJob(jobs.New(record, rev), 0)
	return f.scheduler.teams[red].jobs[id]
}

// Hundreds of jobs of one task each are done within moments, far more than the budget has operations for. While their
// final states wait for the budget the status of each is answered: only what is being sent at the moment may get a retry.
func TestFinalStateQueuedForWriteBudgetKeepsStatusAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &budgetedStore{KVClient: &fakes.KVClient{KVStore: fakes.NewKVStore()}, budget: rate.NewLimiter(8, 13)}
		f := newServerFixture(t, store.KVClient, store)
		const jobCount = 300
		name := func(i int) string { return fmt.Sprintf("job-%06d", i) }
		for i := range jobCount {
			f.accept(name(i), 1).markDone(0)
		}
		go f.writeLoop(ctx) //nolint:errcheck // ends with the context
		startedAt := time.Now()
		for finished := 0; finished < jobCount; {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait() // what is sent at this very instant has its answer
			finished = 0
			retries := 0
			for i := range jobCount {
				response := f.Status(peer.JobRequest{Team: red, ID: name(i)})
				require.True(t, response.Known && response.Found)
				if response.Retry {
					retries++
				}
				if response.State.Phase == wire.Done {
					finished++
				}
			}
			require.Zero(t, retries, "nothing is being sent at this moment")
			require.Less(t, time.Since(startedAt), 60*time.Second)
		}
		require.LessOrEqual(t, store.operations, jobCount+maxFinalWriteOperations, "one operation for each")
	})
}

// A write of progress has no answer and is carried out late, after a newer one of the same scheduler. What was written since,
// and forgotten by the workers, stays.
func TestLateProgressWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		f := newServerFixture(t, store, store)
		j := f.accept("job-000001", 8)
		store.SetCapture(true)
		j.markDone(0)
		f.progress.write(ctx)
		store.SetCapture(false)
		for n := 1; n < 3; n++ {
			j.markDone(n)
			f.progress.write(ctx)
		}
		require.Zero(t, store.Release(), "the late copy must change nothing")
		item, ok, err := store.Get(ctx, progressKey(j.ID, chunkID{0, j.chunkTasks}))
		require.NoError(t, err)
		require.True(t, ok)
		require.JSONEq(t, `"Bw=="`, string(item.Value), "three tasks are done")
	})
}

// However few operations a transaction takes, or many controllers there are: four times as many conditions name the
// leaderships of all partitions, the team's and the job's record.
func TestCancelledFinalStateFitsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		f := newServerFixture(t, store, store)
		j := f.accept("job-000001", 8)
		for _, txnOps := range []int{1, 2, 3, 12, 100} {
			f.txnOps = txnOps
			txn, _ := f.finalStates.txn(&finalWrite{jobs: []*job{j}, phase: wire.Cancelled})
			require.LessOrEqual(t, len(txn.Conditions)+MaxPartitions(txnOps), 4*txnOps)
			require.LessOrEqual(t, len(txn.Operations), max(txnOps, 1))
			require.Positive(t, MaxPartitions(txnOps))
		}
	})
}
