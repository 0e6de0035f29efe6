package leaderelection

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// The store answers two seconds late for a minute: leaderships are kept.
func TestSlowStoreKeepsLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := slowStore{&fakes.KVClient{KVStore: fakes.NewKVStore()}, 2 * time.Second}
		e := NewElector(NewElection("a", []string{"a", "b", "c"}, duties, 2), store, clock.NewSteady(), timing, discardLog)
		r := kvstore.NewReplica(store, e.Apply, discardLog)
		go e.Run(ctx)                      //nolint:errcheck // ends with the context
		go r.Run(ctx, make(chan struct{})) //nolint:errcheck // ends with the context
		time.Sleep(5 * time.Second)
		for range 60 {
			_, ok := e.Leading(duties[0])
			require.True(t, ok)
			time.Sleep(time.Second)
		}
		cancel()
		time.Sleep(4 * time.Second) // the last renewal comes back
	})
}

// A restarted process replaces its former incarnation immediately; the former one, should it still run, leads nothing.
func TestRestartAcquiresLeadershipsUnderNewTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		first, _ := a.Leading("one")
		again := startProcess(t, st, "a")
		time.Sleep(time.Second)
		second, ok := again.Leading("one")
		require.True(t, ok)
		require.Equal(t, first.Term+1, second.Term)
		require.False(t, a.leads("one"))
	})
}

// The leaderships of a process that is gone for good move when its lease expires, not before.
func TestLeadershipMovesWhenLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b := startProcess(t, st, "a"), startProcess(t, st, "b")
		time.Sleep(10 * time.Second)
		require.True(t, a.leads("one"))
		a.stop()
		time.Sleep(20 * time.Second)
		require.False(t, b.leads("one"))
		time.Sleep(4700 * time.Millisecond)
		require.True(t, b.leads("one"), "immediately: a controller that was away for its whole lease is not waited for")
	})
}

// An outage of the store of 20 s ends no leadership; a longer one ends them by the leader's own clock, and a new term begins after
// it.
func TestOutageLongerThanLeaseEndsLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		first, _ := a.Leading("one")
		st.SetDown(true)
		for range 20 {
			time.Sleep(time.Second)
			require.True(t, a.leads("one"))
		}
		st.SetDown(false)
		time.Sleep(3 * time.Second)
		same, ok := a.Leading("one")
		require.True(t, ok)
		require.Equal(t, first.Term, same.Term)
		st.SetDown(true)
		time.Sleep(28 * time.Second)
		require.False(t, a.leads("one"), "the lease may have expired by now")
		st.SetDown(false)
		time.Sleep(3 * time.Second)
		next, ok := a.Leading("one")
		require.True(t, ok)
		require.Greater(t, next.Term, first.Term)
	})
}

// A registration's write is held back and arrives when the controller has registered anew.
func TestLateRegistrationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		st.SetCapture(true)
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		a.stop()
		st.SetCapture(false)
		b := startProcess(t, st, "a")
		time.Sleep(time.Second)
		before, ok := b.Leading("one")
		require.True(t, ok)
		require.Zero(t, st.Release(), "a late registration must not replace the newer one")
		time.Sleep(time.Second)
		after, ok := b.Leading("one")
		require.True(t, ok)
		require.Equal(t, before, after)
	})
}
