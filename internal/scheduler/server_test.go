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

// budgetedStore is a state service that takes few changes a second from this controller.
type budgetedStore struct {
	*fakes.KVClient
	budget     *rate.Limiter
	operations int
}

func (n *budgetedStore) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := n.budget.WaitN(ctx, len(m.Operations)); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrBudgetExhausted)
	}
	n.operations += len(m.Operations)
	return n.KVClient.CommitWithCheck(ctx, m, sending)
}

// alwaysLeading holds every duty.
type alwaysLeading struct{ leaderelection.Leadership }

func (a alwaysLeading) Leading(string) (leaderelection.Leadership, bool) { return a.Leadership, true }
func (a alwaysLeading) Current(string) (leaderelection.Leadership, bool) { return a.Leadership, true }

// serverFixture is a placer that holds the team red; what it writes goes to a state service.
type serverFixture struct {
	*Server
	t     *testing.T
	store *fakes.KVClient
}

func newServerFixture(t *testing.T, view *fakes.KVClient, store Store) *serverFixture {
	stamp, err := view.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + Duty(red), Value: leaderelection.Record{}}}})
	require.NoError(t, err)
	scheduler := NewScheduler(Config{Instance: "i", Teams: []Team{{Name: red}}, Seed: 1, WallMS: func() int64 { return 0 }})
	scheduler.AcquireTeam(red, 1, stamp, nil, 0)
	claims := alwaysLeading{leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: stamp}}
	return &serverFixture{New(scheduler, Options{TxnOps: 12, MaxRecordBytes: 4000, Elections: claims, Store: store, PriorityStore: store, Jobs: jobs.NewCache(),
		Clock: clock.NewSteady(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))}), t, view}
}

// accept has a job on record and at the scheduler.
func (w *serverFixture) accept(id string, tasks int) *job {
	rec := jobs.Record{Job: wire.Job{ID: id, Team: red, Tasks: tasks}}
	stamp, err := w.store.Commit(w.t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.ActiveJobPrefix + id, Value: rec}}})
	require.NoError(w.t, err)
	w.scheduler.AddJob(jobs.New(rec, stamp), 0)
	return w.scheduler.teams[red].jobs[id]
}

// Hundreds of jobs of one task each are done within moments, far more than there
// are changes to spare. While their ends wait for the budget each of them is
// answered for: only what is being sent at the moment may get a retry.
func TestFinalStateQueuedForWriteBudgetKeepsStatusAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		st := &budgetedStore{KVClient: &fakes.KVClient{KVStore: fakes.NewKVStore()}, budget: rate.NewLimiter(8, 13)}
		p := newServerFixture(t, st.KVClient, st)
		const many = 300
		name := func(i int) string { return fmt.Sprintf("job-%06d", i) }
		for i := range many {
			p.accept(name(i), 1).markDone(0)
		}
		go p.writeLoop(ctx) //nolint:errcheck // ends with the context
		began := time.Now()
		for over := 0; over < many; {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait() // what is sent at this very instant has its answer
			over = 0
			retries := 0
			for i := range many {
				a := p.Status(peer.JobRequest{Team: red, ID: name(i)})
				require.True(t, a.Known && a.Found)
				if a.Retry {
					retries++
				}
				if a.State.Phase == wire.Done {
					over++
				}
			}
			require.Zero(t, retries, "nothing is being sent at this moment")
			require.Less(t, time.Since(began), 60*time.Second)
		}
		require.LessOrEqual(t, st.operations, many+maxFinalWriteOperations, "one change for each")
	})
}

// A record of progress has no answer and is carried out late, after a newer one of
// the same placer. What was written since, and forgotten by the workers, stays.
func TestLateProgressWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		st := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		p := newServerFixture(t, st, st)
		j := p.accept("job-000001", 8)
		st.SetCapture(true)
		j.markDone(0)
		p.writeProgress(ctx)
		st.SetCapture(false)
		for n := 1; n < 3; n++ {
			j.markDone(n)
			p.writeProgress(ctx)
		}
		require.Zero(t, st.Release(), "the late copy must change nothing")
		it, ok, err := st.Get(ctx, progressKey(j.ID, chunkID{0, j.chunkTasks}))
		require.NoError(t, err)
		require.True(t, ok)
		require.JSONEq(t, `"Bw=="`, string(it.Value), "three tasks are done")
	})
}

// However few changes a transaction takes, or many controllers there are: four times as
// many conditions name the claims of all partitions, the team's and the job's record.
func TestCancelledFinalStateFitsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		w := newServerFixture(t, st, st)
		j := w.accept("job-000001", 8)
		for _, most := range []int{1, 2, 3, 12, 100} {
			w.txnOps = most
			m, _ := w.finalStateTxn([]*job{j}, wire.Cancelled, false)
			require.LessOrEqual(t, len(m.Conditions)+MaxPartitions(most), 4*most)
			require.LessOrEqual(t, len(m.Operations), max(most, 1))
			require.Positive(t, MaxPartitions(most))
		}
	})
}
