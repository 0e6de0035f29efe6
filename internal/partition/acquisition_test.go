package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// A machine is drained for its return only when it holds neither task nor lease, and gets none after that.
func TestMachineIsDrainedOnlyWhenEmpty(t *testing.T) {
	s := newScene(t)
	part := func(string, string) int { return 0 }
	require.True(t, s.acquireLease(0, 1))
	require.Empty(t, s.state.Drain([]peer.MachineRef{{ID: "m-1"}}, part, s.now))
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Equal(t, []string{"m-1"}, s.state.Drain([]peer.MachineRef{{ID: "m-1"}}, part, s.now))
	require.False(t, s.acquireLease(1, 2))
	require.Equal(t, []string{"m-9"}, s.state.Drain([]peer.MachineRef{{ID: "m-9"}}, part, s.now), "one that never reported")
	s.state.HandleMachinesGone([]peer.MachineRef{{ID: "m-1"}}, part, s.now)
	r := s.worker.Heartbeat(s.now)
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.False(t, ok, "a late heartbeat of a returned machine")
}
