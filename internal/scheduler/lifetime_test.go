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

// slowPartition answers every poll after a while, whatever it is asked to wait.
type slowPartition struct {
	took  time.Duration
	polls int // answered
}

func (p *slowPartition) Poll(peer.PollRequest) (peer.PollResponse, error) {
	time.Sleep(p.took)
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
		require.NoError(t, ctx.Err(), "also before Run has begun")
		l.end()
		synctest.Wait()
		require.ErrorIs(t, ctx.Err(), context.Canceled)
		l.wait()
		late, cancel := l.newContext()
		defer cancel()
		require.ErrorIs(t, late.Err(), context.Canceled, "it is over")
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
		require.False(t, l.start(func() { t.Error("started after the end") }))
	})
}

// A poll that an acquired team has started is under way when the server stops: Run returns after it.
func TestServerRunReturnsAfterStartedPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		f := newServerFixture(t, store, store)
		f.teams = []Team{{Name: red}}
		f.scheduler.ReleaseTeam(red)
		f.scheduler.sessions["a"] = &leaderSession{partitionTerms: map[int]uint64{}, fencedTerms: map[string]uint64{}}
		slow := &slowPartition{took: 700 * time.Millisecond}
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
		require.Equal(t, 1, slow.polls, "nothing is started after the end")
	})
}
