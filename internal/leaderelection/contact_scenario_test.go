package leaderelection

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// One controller alone can't reach the store. At no time are there two leaders of a duty; as a peer reports contact, it resigns
// before its lease expires.
func TestIsolatedLeaderResignsWhenPeerHasContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b := startProcess(t, st, "a"), startProcess(t, st, "b")
		time.Sleep(10 * time.Second)
		a.store.SetCut(true)
		time.Sleep(6 * time.Second)
		a.ObservePeer(0)
		require.False(t, a.leads("one"))
		_, resigned := a.StoreContact()
		b.RemoveResigned(t.Context(), "a", resigned)
		time.Sleep(4 * time.Second)
		require.True(t, b.leads("one"))
		require.False(t, a.leads("one"))
		a.store.SetCut(false)
		time.Sleep(2 * time.Second)
		require.True(t, b.leads("one") != a.leads("one"))
	})
}

// A controller that restarts in an outage has had no contact at all: it must not have its peers conclude that they alone are cut off.
func TestRestartInOutageReportsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(10 * time.Second)
		st.SetDown(true)
		time.Sleep(8 * time.Second)
		b := startProcess(t, st, "b")
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			ago, _ := b.StoreContact()
			a.ObservePeer(ago)
			require.True(t, a.leads("one"), "the outage is shared: leaderships go on")
		}
		st.SetDown(false)
		time.Sleep(2 * time.Second)
		ago, _ := b.StoreContact()
		require.Less(t, ago, 3*clock.Second)
	})
}

// An outage counts as shared only while peers are heard and none has contact.
func TestSharedOutageDiffersFromIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(10 * time.Second)
		require.False(t, a.SharedOutage())
		st.SetDown(true)
		time.Sleep(6 * time.Second)
		require.False(t, a.SharedOutage(), "no peer says so")
		a.ObservePeer(6 * clock.Second)
		require.True(t, a.SharedOutage())
		a.ObservePeer(clock.Second)
		require.False(t, a.SharedOutage(), "a peer has contact")
	})
}
