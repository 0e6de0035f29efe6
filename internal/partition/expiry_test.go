package partition

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A machine whose heartbeats nobody answers becomes silent only when its worker must have killed all of its tasks.
// Otherwise a task could run twice.
func TestMachineIsSilentOnlyAfterWholeWorkerLease(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	s.now += workerLease
	s.state.Tick(s.now)
	require.Len(t, s.tasks(), 1)
	s.now += sec
	require.Equal(t, []string{"m-1"}, s.state.Tick(s.now), "the record of a silent machine is to be removed")
	require.Empty(t, s.tasks())
	s.worker.ExpireLease(s.now)
	require.False(t, s.worker.Running("job-1/0"))
}

// A lease for which no run command was sent expires. One whose run command was sent does not, because the task may be
// running.
func TestUnusedLeaseExpires(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Empty(t, s.tasks())
	s.heartbeat()
	require.True(t, s.assign(1, 2))
	s.state.NextDelivery("m-1", s.now)
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Len(t, s.tasks(), 1)
}

// A machine whose heartbeats stop must get no tasks long before its worker lease expires, and gets them again once it
// sends heartbeats.
func TestMachineWithOverdueHeartbeatsGetsNoTasks(t *testing.T) {
	s := newFixture(t)
	s.state.timing.HeartbeatOverdue = workerLease / 2
	usable := func() bool { return s.state.view(s.state.machines["m-1"], 0, s.now).Usable }
	require.True(t, usable())
	s.now += workerLease/2 + sec
	s.state.Tick(s.now)
	require.False(t, usable())
	require.False(t, s.state.machines["m-1"].worker.silent, "its tasks may still be running")
	s.heartbeat()
	require.True(t, usable())
}
