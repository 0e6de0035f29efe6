package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// A machine that is returned to the cloud with a task or a lease on it would lose the task. So Drain returns only
// machines that have neither, and they get no tasks afterwards.
func TestMachineIsDrainedOnlyWhenEmpty(t *testing.T) {
	s := newFixture(t)
	partitionOf := func(string, string) int { return 0 }
	require.True(t, s.assign(0, 1))
	require.Empty(t, s.state.Drain([]peer.MachineRef{{ID: "m-1"}}, partitionOf, s.now))
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Equal(t, []string{"m-1"}, s.state.Drain([]peer.MachineRef{{ID: "m-1"}}, partitionOf, s.now))
	require.False(t, s.assign(1, 2))
	require.Equal(t, []string{"m-9"}, s.state.Drain([]peer.MachineRef{{ID: "m-9"}}, partitionOf, s.now), "a machine without heartbeats")
	s.state.HandleMachinesGone([]peer.MachineRef{{ID: "m-1"}}, partitionOf, s.now)
	hb := s.worker.Heartbeat(s.now)
	_, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.False(t, ok, "a late heartbeat of a returned machine must not be answered")
}
