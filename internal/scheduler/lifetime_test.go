package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// slowPartition answers each poll with an error after a delay, whatever wait the poll asks for.
type slowPartition struct {
	delay time.Duration
	polls int // answered
}

func (p *slowPartition) Poll(peer.PollRequest) (peer.PollResponse, error) {
	time.Sleep(p.delay)
	p.polls++
	return peer.PollResponse{}, peer.ErrUnavailable
}

func (*slowPartition) ApplyBatch(peer.Batch) (peer.BatchResponse, error) {
	return peer.BatchResponse{}, peer.ErrUnavailable
}

func TestLifetimeContextEndsWithLifetimeNotBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLifetime()
		ctx, cancel := l.newContext()
		defer cancel()
		time.Sleep(time.Hour)
		synctest.Wait()
		require.NoError(t, ctx.Err(), "the context must not end before the lifetime, even if Run has not been called")
		l.end()
		synctest.Wait()
		require.ErrorIs(t, ctx.Err(), context.Canceled)
		l.wait()
		late, cancel := l.newContext()
		defer cancel()
		require.ErrorIs(t, late.Err(), context.Canceled, "a context made after the lifetime must have ended")
	})
}

func TestLifetimeWaitReturnsAfterStartedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLifetime()
		returned := false
		require.True(t, l.start(func() { time.Sleep(time.Second); returned = true }))
		l.end()
		l.wait()
		require.True(t, returned)
		require.False(t, l.start(func() { t.Error("a function was started after wait") }))
	})
}

// Guards against goroutines that outlive Run. Reconcile has acquired a team and started a poll, which is still in flight when the
// context of Run ends: Run must return only after the poll, and no further poll may be started.
func TestServerRunReturnsAfterStartedPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		f := newServerFixture(t, store, store)
		f.teams = []Team{{Name: red}}
		f.scheduler.ReleaseTeam(red)
		f.scheduler.sessions["a"] = &leaderSession{partitionTerms: map[int]uint64{}, fencedTerms: map[string]uint64{}}
		slow := &slowPartition{delay: 700 * time.Millisecond}
		f.partitions = map[string]PartitionClient{"a": slow}
		f.Reconcile()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, f.Run(ctx))
		require.Equal(t, 1, slow.polls)
		f.scheduler.ReleaseTeam(red)
		f.Reconcile()
		synctest.Wait()
		time.Sleep(time.Minute)
		require.Equal(t, 1, slow.polls, "no poll may be started after Run has returned")
	})
}
