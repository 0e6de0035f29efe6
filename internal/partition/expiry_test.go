package partition

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A machine that nobody answers is silent only when its worker has surely killed all that it had.
func TestMachineIsSilentOnlyAfterWholeWorkerLease(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.now += workerLease
	s.state.Tick(s.now)
	require.Len(t, s.tasks(), 1)
	s.now += sec
	require.Equal(t, []string{"m-1"}, s.state.Tick(s.now), "its record may be removed")
	require.Empty(t, s.tasks())
	s.worker.Check(s.now)
	require.False(t, s.worker.Running("job-1/0"))
}

// An unused lease expires; one whose run was sent does not.
func TestUnusedLeaseExpires(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Empty(t, s.tasks())
	s.heartbeat()
	require.True(t, s.acquireLease(1, 2))
	s.state.NextDelivery("m-1", s.now)
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Len(t, s.tasks(), 1)
}

// A machine whose heartbeats stop gets no tasks long before its worker lease expires, and gets them again when it
// reports.
func TestMachineWithOverdueHeartbeatsGetsNoTasks(t *testing.T) {
	s := newScene(t)
	s.state.timing.HeartbeatOverdue = workerLease / 2
	usable := func() bool { return s.state.view(s.state.machines["m-1"], 0, s.now).Usable }
	require.True(t, usable())
	s.now += workerLease/2 + sec
	s.state.Tick(s.now)
	require.False(t, usable())
	require.False(t, s.state.machines["m-1"].worker.silent, "its tasks may be running")
	s.heartbeat()
	require.True(t, usable())
}
