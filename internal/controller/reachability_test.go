package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReachabilityChangesAfterConsecutiveObservations(t *testing.T) {
	for _, tc := range []struct {
		name            string
		contradicts     []bool
		wantChanged     []bool
		wantUnreachable bool // unreachable at the end
	}{
		{name: "fewer than three", contradicts: []bool{true, true}, wantChanged: []bool{false, false}},
		{name: "three", contradicts: []bool{true, true, true}, wantChanged: []bool{false, false, true}, wantUnreachable: true},
		{name: "interrupted", contradicts: []bool{true, true, false, true, true}, wantChanged: []bool{false, false, false, false, false}},
		{name: "three, then three more", contradicts: []bool{true, true, true, true, true, true},
			wantChanged: []bool{false, false, true, false, false, true}},
		{name: "not back after an interruption", contradicts: []bool{true, true, true, true, true, false, true, true},
			wantChanged: []bool{false, false, true, false, false, false, false, false}, wantUnreachable: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r reachability
			var changed []bool
			for _, contradicts := range tc.contradicts {
				changed = append(changed, r.observe(contradicts))
			}
			require.Equal(t, tc.wantChanged, changed)
			require.Equal(t, tc.wantUnreachable, r.unreachable)
		})
	}
}

func TestWorkersReachPeersOnlyRequiresHeartbeatsAtReachedPeer(t *testing.T) {
	// status returns a peer's status with the number of this controller's machines that report to the peer, of the peer's
	// machines, and of the peer's machines with missed heartbeats.
	status := func(misdirected, machines, missed int) peerStatus {
		return peerStatus{misdirected: misdirected, machines: machines, missedHeartbeats: missed}
	}
	for _, tc := range []struct {
		name             string
		machines, missed int
		peers            []peerStatus
		want             bool
	}{
		{"all conditions just met", 9, 6, []peerStatus{status(3, 8, 2)}, true},
		{"misdirected to two peers, one of which gets its own heartbeats", 9, 6, []peerStatus{status(2, 4, 1), status(1, 4, 4)}, true},
		{"too few machines", 2, 2, []peerStatus{status(3, 8, 2)}, false},
		{"too few missed heartbeats", 9, 5, []peerStatus{status(3, 8, 2)}, false},
		{"too few misdirected", 9, 6, []peerStatus{status(2, 8, 2)}, false},
		{"the peer misses heartbeats too", 9, 6, []peerStatus{status(3, 8, 3)}, false},
		{"no recent status of a peer", 9, 6, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			observed := heartbeatObservation{machines: tc.machines, missedHeartbeats: tc.missed, peers: tc.peers}
			require.Equal(t, tc.want, observed.workersReachPeersOnly())
		})
	}
}
