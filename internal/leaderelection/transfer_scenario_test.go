package leaderelection

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// A controller that was away for longer than its lease is leader again of what it is preferred for once it has stayed, under a new
// term, and never are there two leaders.
func TestLeadershipReturnsToPreferredLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		b := clusterWithoutA(t, st)
		before, ok := b.Leading("one")
		require.True(t, ok)
		again := startProcess(t, st, "a")
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, again.leads("one") && b.leads("one"))
		}
		back, ok := again.Leading("one")
		require.True(t, ok)
		require.Greater(t, back.Term, before.Term)
		require.True(t, b.leads("two"), "what b is preferred for stays")
	})
}

// A leader that transfers a leadership doesn't act on it from then on, although the write that frees it was refused or had no
// answer: another may be leader already.
func TestTransferredLeadershipIsNotActedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		b := clusterWithoutA(t, st)
		require.True(t, b.leads("one"))
		startProcess(t, st, "a")
		time.Sleep(14 * time.Second)
		require.True(t, b.leads("one"), "a has not been back for long enough")
		b.store.SetCut(true)
		time.Sleep(3 * time.Second)
		require.False(t, b.leads("one"), "the transfer has been decided on")
		leader, ok := b.Leader("one")
		require.True(t, ok && leader == "b", "the record still names b")
	})
}

// The workers don't reach a controller: those of its leaderships that need them go to others immediately and stay there, the rest
// stays; once workers reach it again its own come back.
func TestUnreachableControllerTransfersOnlyWorkerDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b, c := startProcess(t, st, "a"), startProcess(t, st, "b"), startProcess(t, st, "c")
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
