package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// While work returns to a zone its leader admits what the stage does; a machine on which no task was seen running yet
// gets one trial task before more. All is admitted once it is over.
func TestReturningZoneAdmitsTasksInStages(t *testing.T) {
	s := newScene(t)
	s.returnZoneAt(recovery.Reconcile)
	require.False(t, s.acquireLeaseAt(0, 1, recovery.Urgent), "nothing new")
	s.returnZoneAt(recovery.Urgent)
	require.False(t, s.acquireLeaseAt(0, 2, recovery.Services))
	require.True(t, s.acquireLeaseAt(0, 3, recovery.Urgent), "one trial task")
	s.now += sec
	require.False(t, s.acquireLeaseAt(1, 4, recovery.Urgent), "no second one before it runs")
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.True(t, s.acquireLeaseAt(1, 5, recovery.Urgent), "it is warm")
	require.False(t, s.acquireLeaseAt(2, 6, recovery.Services))
	s.state.SetZoneState("a", zone.Record{State: zone.Healthy}, s.now)
	require.True(t, s.acquireLeaseAt(2, 7, recovery.Cold))
}

// A machine whose worker began anew is cold again, and an assignment without a stage goes by its priority.
func TestColdMachineInReturningZoneGetsOneTrialTask(t *testing.T) {
	s := newScene(t)
	s.acquireLease(0, 1)
	s.heartbeat()
	s.heartbeat()
	s.returnZoneAt(recovery.Services)
	require.True(t, s.acquireLease(1, 2), "priority normal is of the services")
	s.heartbeat()
	s.heartbeat()
	s.worker.Incarnation++
	clear(s.worker.Tasks)
	s.heartbeat()
	require.True(t, s.acquireLease(2, 3), "one trial task in a new incarnation")
	require.False(t, s.acquireLease(3, 4), "no second one")
	s.returnZoneAt(recovery.Urgent)
	require.False(t, s.acquireLease(4, 5))
}

// A copy of a task that was done elsewhere meanwhile comes back with its machine: its leader stops it, and its
// resources count until it is gone.
func TestReturningMachineCountsEndedTasksUntilTheyAreGone(t *testing.T) {
	s := newScene(t)
	s.acquireLease(0, 1)
	s.heartbeat()
	s.heartbeat()
	delete(s.jobs.active, "job-1")
	s.returnZoneAt(recovery.Reconcile)
	free := s.state.view(s.state.machines["m-1"], 0, s.now).Free
	require.EqualValues(t, 6_000_000, free.CPU)
	ans := s.heartbeat()
	require.Equal(t, wire.VerbStop, ans.Orders[0].Verb, "a gate holds up no stop")
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.EqualValues(t, 8_000_000, s.state.view(s.state.machines["m-1"], 0, s.now).Free.CPU)
}
