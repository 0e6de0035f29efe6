package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

func TestPeerStatusIsOmittedAtMaxAge(t *testing.T) {
	start := time.Unix(1000, 0)
	p := newPeerStates()
	p.record("b", peer.Heartbeat{Strays: 1, Machines: 5, Unheard: 2}, false, start)
	want := []peerStatus{{misdirected: 1, machines: 5, missedHeartbeats: 2, reportedAt: start}}
	require.Equal(t, want, p.recentStatuses(start.Add(peerStatusMaxAge-1)))
	require.Empty(t, p.recentStatuses(start.Add(peerStatusMaxAge)))
}

func TestPeerWithStoreContactIsFirstRecentPeerByName(t *testing.T) {
	start := time.Unix(1000, 0)
	p := newPeerStates()
	require.Empty(t, p.peerWithStoreContact(start, time.Second))
	p.record("c", peer.Heartbeat{}, true, start.Add(500*time.Millisecond))
	p.record("b", peer.Heartbeat{}, true, start)
	p.record("a", peer.Heartbeat{}, false, start)
	require.Equal(t, "b", p.peerWithStoreContact(start.Add(999*time.Millisecond), time.Second))
	require.Equal(t, "c", p.peerWithStoreContact(start.Add(time.Second), time.Second))
	p.record("b", peer.Heartbeat{}, false, start.Add(time.Second))
	require.Equal(t, "c", p.peerWithStoreContact(start.Add(time.Second), time.Second))
	require.Empty(t, p.peerWithStoreContact(start.Add(1500*time.Millisecond), time.Second))
}
