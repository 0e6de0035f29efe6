package leaderelection

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// One controller loses the store while its peers still reach it. It resigns before its lease expires as soon as a peer reports
// contact, and a duty never has two leaders.
func TestIsolatedLeaderResignsWhenPeerHasContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a, b := startProcess(t, kv, "a"), startProcess(t, kv, "b")
		time.Sleep(10 * time.Second)
		a.store.SetDisconnected(true)
		time.Sleep(6 * time.Second)
		a.RecordPeerContact(0)
		require.False(t, a.leads("one"))
		_, resigned := a.StoreContact()
		b.RemoveResigned(t.Context(), "a", resigned)
		time.Sleep(4 * time.Second)
		require.True(t, b.leads("one"))
		require.False(t, a.leads("one"))
		a.store.SetDisconnected(false)
		time.Sleep(2 * time.Second)
		require.True(t, b.leads("one") != a.leads("one"))
	})
}

// A controller that restarts during an outage of the store has had no contact with it. If it reported contact, its peers would
// conclude that they alone are cut off and resign.
func TestRestartInOutageReportsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a := startProcess(t, kv, "a")
		time.Sleep(10 * time.Second)
		kv.SetDown(true)
		time.Sleep(8 * time.Second)
		b := startProcess(t, kv, "b")
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			ago, _ := b.StoreContact()
			a.RecordPeerContact(ago)
			require.True(t, a.leads("one"), "a shared outage must not end leaderships")
		}
		kv.SetDown(false)
		time.Sleep(2 * time.Second)
		ago, _ := b.StoreContact()
		require.Less(t, ago, 3*clock.Second)
	})
}

// In a cluster of several controllers an outage counts as shared only while a peer is heard and none that is heard has contact
// with the store.
func TestSharedOutageDiffersFromIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a := startProcess(t, kv, "a")
		time.Sleep(10 * time.Second)
		require.False(t, a.SharedOutage())
		kv.SetDown(true)
		time.Sleep(6 * time.Second)
		require.False(t, a.SharedOutage(), "without a peer's heartbeat the process counts as isolated")
		a.RecordPeerContact(6 * clock.Second)
		require.True(t, a.SharedOutage())
		a.RecordPeerContact(clock.Second)
		require.False(t, a.SharedOutage(), "a peer has contact")
	})
}
