package leaderelection

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// The store answers renewals two seconds late for a minute. The leader must keep its leadership, since each renewal still
// succeeds.
func TestSlowStoreKeepsLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := slowStore{&fakes.KVClient{KVStore: fakes.NewKVStore()}, 2 * time.Second}
		e := startElector(ctx, store, "a", discardLog)
		time.Sleep(5 * time.Second)
		for range 60 {
			_, ok := e.Leading(duties[0])
			require.True(t, ok)
			time.Sleep(time.Second)
		}
		cancel()
		time.Sleep(4 * time.Second) // wait for the last renewal to return
	})
}

// Guards against a leadership that is lost and then held again under the same term, whose work starts anew and runs tasks twice:
// a cut from the store ends after the lease is over by the own clock, while a renewal is under way, and that renewal succeeds.
func TestLateRenewalRevivesNoLeadership(t *testing.T) {
	for _, answersOnly := range []bool{false, true} {
		for cutFor := 23600 * time.Millisecond; cutFor < 25*time.Second; cutFor += 45 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(cutFor + 4*time.Second) // until the cut is over and renewals under way have returned, if the test fails too
				}()
				store := &cutStore{KVClient: &fakes.KVClient{KVStore: fakes.NewKVStore()}, answersOnly: answersOnly}
				e := startElector(ctx, store, "a", discardLog)
				time.Sleep(5 * time.Second)
				awaitRenewal(e)
				time.AfterFunc(cutFor, store.cut())
				requireEachTermHeldOnce(t, e, cutFor+4*time.Second)
				for _, duty := range duties {
					_, leads := e.Leading(duty)
					require.True(t, leads, "%s is not led 4 s after a cut of %v", duty, cutFor)
				}
			})
		}
	}
}

// observationStep is the time between two looks at an elector.
const observationStep = 5 * time.Millisecond

// awaitRenewal lets time pass until an elector has just renewed its lease.
func awaitRenewal(e *Elector) {
	for age, _ := e.StoreContact(); age > clock.FromDuration(observationStep); age, _ = e.StoreContact() {
		time.Sleep(observationStep)
	}
}

// requireEachTermHeldOnce lets time pass, and requires that no duty is led under a term that was lost before.
func requireEachTermHeldOnce(t *testing.T, e *Elector, d time.Duration) {
	t.Helper()
	lowestTerms := map[string]uint64{} // by duty
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(observationStep) {
		for _, duty := range duties {
			leadership, leads := e.Leading(duty)
			if !leads {
				lowestTerms[duty] = leadership.Term + 1
				continue
			}
			require.GreaterOrEqual(t, leadership.Term, lowestTerms[duty], "%s is led again under a term that was over", duty)
		}
	}
}

// A restarted process replaces its former incarnation immediately. The former process, if it still runs, leads nothing any
// more.
func TestRestartAcquiresLeadershipsUnderNewTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a := startProcess(t, kv, "a")
		time.Sleep(time.Second)
		first, _ := a.Leading("one")
		restarted := startProcess(t, kv, "a")
		time.Sleep(time.Second)
		second, ok := restarted.Leading("one")
		require.True(t, ok)
		require.Equal(t, first.Term+1, second.Term)
		require.False(t, a.leads("one"))
	})
}

// A process stops without notice. Its leaderships move when its lease expires, and not before.
func TestLeadershipMovesWhenLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a, b := startProcess(t, kv, "a"), startProcess(t, kv, "b")
		time.Sleep(10 * time.Second)
		require.True(t, a.leads("one"))
		a.stop()
		time.Sleep(20 * time.Second)
		require.False(t, b.leads("one"))
		time.Sleep(4700 * time.Millisecond)
		require.True(t, b.leads("one"), "it moves immediately, since a controller that was away for its whole lease is not waited for")
	})
}

// An outage of the store of 20 s ends no leadership. One of 28 s, longer than the lease, ends all of them by the leader's own
// clock, and a new term begins after the outage.
func TestOutageLongerThanLeaseEndsLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a := startProcess(t, kv, "a")
		time.Sleep(time.Second)
		first, _ := a.Leading("one")
		kv.SetDown(true)
		for range 20 {
			time.Sleep(time.Second)
			require.True(t, a.leads("one"))
		}
		kv.SetDown(false)
		time.Sleep(3 * time.Second)
		same, ok := a.Leading("one")
		require.True(t, ok)
		require.Equal(t, first.Term, same.Term)
		kv.SetDown(true)
		time.Sleep(28 * time.Second)
		require.False(t, a.leads("one"), "a leader must not act once its lease may have expired")
		kv.SetDown(false)
		time.Sleep(3 * time.Second)
		next, ok := a.Leading("one")
		require.True(t, ok)
		require.Greater(t, next.Term, first.Term)
	})
}

// The write of a registration is delayed and arrives after the controller has registered again. It must not replace the newer
// registration.
func TestLateRegistrationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		kv.SetCapture(true)
		a := startProcess(t, kv, "a")
		time.Sleep(time.Second)
		a.stop()
		kv.SetCapture(false)
		b := startProcess(t, kv, "a")
		time.Sleep(time.Second)
		before, ok := b.Leading("one")
		require.True(t, ok)
		require.Zero(t, kv.Release(), "a late registration must not replace the newer one")
		time.Sleep(time.Second)
		after, ok := b.Leading("one")
		require.True(t, ok)
		require.Equal(t, before, after)
	})
}
