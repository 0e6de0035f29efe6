package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
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

// budgetedStore is a key-value store with a write budget that allows this controller few operations a second.
type budgetedStore struct {
	*fakes.KVClient
	budget     *rate.Limiter
	operations int
}

func (s *budgetedStore) CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.budget.WaitN(ctx, len(txn.Operations)); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrBudgetExhausted)
	}
	s.operations += len(txn.Operations)
	return s.KVClient.CommitWithCheck(ctx, txn, beforeSend)
}

// alwaysLeading are elections in which this process holds every leadership.
type alwaysLeading struct{ leaderelection.Leadership }

func (a alwaysLeading) Leading(string) (leaderelection.Leadership, bool) { return a.Leadership, true }
func (a alwaysLeading) CurrentLeadership(string) (leaderelection.Leadership, bool) {
	return a.Leadership, true
}

// lapsingElections are elections in which this process holds every leadership, except while lapsed is set.
type lapsingElections struct {
	alwaysLeading
	lapsed atomic.Bool
}

func (l *lapsingElections) Leading(string) (leaderelection.Leadership, bool) {
	return l.Leadership, !l.lapsed.Load()
}

// serverFixture is a server that leads the team red and has not been started with Run, and the store to which it writes.
type serverFixture struct {
	*Server
	t     *testing.T
	store *fakes.KVClient
}

// newServerFixture returns a server that writes to store, which is kv or wraps it. kv gets the record of the team's leadership.
func newServerFixture(t *testing.T, kv *fakes.KVClient, store Store) *serverFixture {
	t.Helper()
	rev, err := kv.Commit(t.Context(), wire.Txn{
		Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + TeamDuty(red), Value: leaderelection.Record{}}},
	})
	require.NoError(t, err)
	scheduler := NewScheduler(Config{ProcessID: "i", Teams: []Team{{Name: red}}, Seed: 1, WallClockMS: func() int64 { return 0 }})
	scheduler.AcquireTeam(red, 1, rev, nil, 0)
	server := NewServer(scheduler, Options{
		MaxTxnOps: 12, MaxRecordBytes: 4000,
		Elections: alwaysLeading{leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: rev}},
		Store:     store, PriorityStore: store, Jobs: jobs.NewCache(), Clock: clock.NewMonotonic(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return &serverFixture{server, t, kv}
}

// accept writes the active record of a job and adds the job to the scheduler.
func (f *serverFixture) accept(id string, tasks int) *job {
	f.t.Helper()
	record := jobs.Record{Job: wire.Job{ID: id, Team: red, Tasks: tasks}}
	rev, err := f.store.Commit(f.t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.ActiveJobPrefix + id, Value: record}}})
	require.NoError(f.t, err)
	f.scheduler.AddJob(jobs.New(record, rev), 0)
	return f.scheduler.teams[red].jobs[id]
}

// Guards against users who are asked to retry while their jobs' final states wait for the write budget. Hundreds of jobs with one
// task each are done at once, far more than the budget has operations for. Only a job whose final state is being sent at the
// moment may be answered with a retry.
func TestFinalStateQueuedForWriteBudgetKeepsStatusAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &budgetedStore{KVClient: &fakes.KVClient{KVStore: fakes.NewKVStore()}, budget: rate.NewLimiter(8, 13)}
		f := newServerFixture(t, store.KVClient, store)
		const jobCount = 300
		jobID := func(i int) string { return fmt.Sprintf("job-%06d", i) }
		for i := range jobCount {
			f.accept(jobID(i), 1).markDone(0)
		}
		go f.writeLoop(ctx) //nolint:errcheck // ends with the context
		startedAt := time.Now()
		for finished := 0; finished < jobCount; {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait() // no write is in flight any more
			finished = 0
			retries := 0
			for i := range jobCount {
				response := f.Status(peer.JobRequest{Team: red, ID: jobID(i)})
				require.True(t, response.Known && response.Found)
				if response.Retry {
					retries++
				}
				if response.State.Phase == wire.Done {
					finished++
				}
			}
			require.Zero(t, retries, "no final state is being sent at this moment")
			require.Less(t, time.Since(startedAt), 60*time.Second)
		}
		require.LessOrEqual(t, store.operations, jobCount+maxFinalWriteOperations, "one operation for each job")
	})
}

// Guards against completed jobs that no question is answered about (forgotten) until their team changes leaders: a write of their
// final states gets no answer, the next attempt meets a moment without leadership, and the team is led on under the same term.
func TestFinalStateGivenUpWithoutLeadershipIsWrittenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		f := newServerFixture(t, store, store)
		elections := &lapsingElections{alwaysLeading: f.elections.(alwaysLeading)}
		f.elections = elections
		ids := []string{"job-000001", "job-000002", "job-000003"}
		for _, id := range ids {
			f.accept(id, 1).markDone(0)
		}
		store.SetCapture(true)
		go f.writeLoop(ctx) //nolint:errcheck // ends with the context
		time.Sleep(writeTick + finalWriteRetryInterval/2)
		elections.lapsed.Store(true)
		time.Sleep(finalWriteRetryInterval)
		store.SetCapture(false)
		elections.lapsed.Store(false)
		for _, id := range ids {
			require.True(t, f.Status(peer.JobRequest{Team: red, ID: id}).Retry, "the attempt without an answer may have ended %s", id)
		}
		time.Sleep(2 * writeTick)
		for _, id := range ids {
			require.Equal(t, wire.Done, f.Status(peer.JobRequest{Team: red, ID: id}).State.Phase, id)
		}
	})
}

// Guards against a late copy of a progress write that undoes newer ones. The first write has no answer, and the store executes it
// only after the same scheduler has written more completed tasks, which the workers have forgotten: those must stay recorded.
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
		item, ok, err := store.Get(ctx, progressKey(j.ID, chunkID{0, j.tasksPerChunk}))
		require.NoError(t, err)
		require.True(t, ok)
		require.JSONEq(t, `"Bw=="`, string(item.Value), "three tasks are done")
	})
}

// Guards against a cancellation whose transaction the store rejects because it has too many conditions, however few operations a
// transaction may have and however many controllers there are. The conditions on the leaderships of all partitions and of the
// team and on the job's record must not exceed four times the number of operations.
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
