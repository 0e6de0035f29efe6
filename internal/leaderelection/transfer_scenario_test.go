package leaderelection

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// A controller returns after it was away for longer than its lease. Once it has stayed registered for the transfer delay it
// leads again what it is preferred for, under a new term, and the duty never has two leaders.
func TestLeadershipReturnsToPreferredLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		b := startClusterAndStopA(t, kv)
		before, ok := b.Leading("one")
		require.True(t, ok)
		restarted := startProcess(t, kv, "a")
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, restarted.leads("one") && b.leads("one"))
		}
		back, ok := restarted.Leading("one")
		require.True(t, ok)
		require.Greater(t, back.Term, before.Term)
		require.True(t, b.leads("two"), "b must keep the duty that it is preferred for")
	})
}

// A leader stops acting on a leadership as soon as it decides to transfer it, even if the write that frees it fails or gets no
// response: another controller may be the leader already.
func TestTransferredLeadershipIsNotActedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		b := startClusterAndStopA(t, kv)
		require.True(t, b.leads("one"))
		startProcess(t, kv, "a")
		time.Sleep(14 * time.Second)
		require.True(t, b.leads("one"), "a has not been registered for the whole transfer delay")
		b.store.SetDisconnected(true)
		time.Sleep(3 * time.Second)
		require.False(t, b.leads("one"), "b must not act on a leadership whose transfer is decided")
		leader, ok := b.Leader("one")
		require.True(t, ok && leader == "b", "the replica must still show b as the leader")
	})
}

// The workers stop reaching two of three controllers. A leadership that needs the workers moves immediately and stays away; one
// that does not need them stays. A controller that workers reach again gets back the leadership that it is preferred for.
func TestUnreachableControllerTransfersOnlyWorkerDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a, b, c := startProcess(t, kv, "a"), startProcess(t, kv, "b"), startProcess(t, kv, "c")
		time.Sleep(20 * time.Second)
		require.True(t, a.leads("one") && b.leads("two") && c.leads("three"))
		a.SetUnreachable(true)
		c.SetUnreachable(true)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, a.leads("one") && b.leads("one"))
		}
		require.True(t, b.leads("one") && c.leads("three"))
		time.Sleep(40 * time.Second)
		require.True(t, b.leads("one") && b.leads("two") && c.leads("three"))
		a.SetUnreachable(false)
		time.Sleep(20 * time.Second)
		require.True(t, a.leads("one") && b.leads("two"))
	})
}
