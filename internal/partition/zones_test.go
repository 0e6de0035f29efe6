package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// While work returns to a zone, its leader must admit only tasks of the stages reached so far. A machine on which no
// task has been seen running yet gets one trial task first. Once the zone is healthy everything is admitted.
func TestReturningZoneAdmitsTasksInStages(t *testing.T) {
	s := newFixture(t)
	s.setReturningStage(recovery.Reconcile)
	require.False(t, s.assignAtStage(0, 1, recovery.Urgent), "no new task is admitted at the reconcile stage")
	s.setReturningStage(recovery.Urgent)
	require.False(t, s.assignAtStage(0, 2, recovery.Services))
	require.True(t, s.assignAtStage(0, 3, recovery.Urgent), "an unproven machine gets one trial task")
	s.now += sec
	require.False(t, s.assignAtStage(1, 4, recovery.Urgent), "no second task is admitted before the trial task runs")
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.True(t, s.assignAtStage(1, 5, recovery.Urgent), "the machine is proven once the trial task runs")
	require.False(t, s.assignAtStage(2, 6, recovery.Services))
	s.state.SetZoneState("a", zone.Record{State: zone.Healthy}, s.now)
	require.True(t, s.assignAtStage(2, 7, recovery.Cold))
}

// A machine whose worker has begun a new incarnation is cold again, and an assignment without a stage is admitted by
// its priority.
func TestColdMachineInReturningZoneGetsOneTrialTask(t *testing.T) {
	s := newFixture(t)
	s.assign(0, 1)
	s.heartbeat()
	s.heartbeat()
	s.setReturningStage(recovery.Services)
	require.True(t, s.assign(1, 2), "normal priority belongs to the services stage")
	s.heartbeat()
	s.heartbeat()
	s.worker.Incarnation++
	clear(s.worker.Tasks)
	s.heartbeat()
	require.True(t, s.assign(2, 3), "a new incarnation gets one trial task")
	require.False(t, s.assign(3, 4), "no second task is admitted before the trial task runs")
	s.setReturningStage(recovery.Urgent)
	require.False(t, s.assign(4, 5))
}

// A machine comes back with its zone and still runs a task that has been completed elsewhere. Its leader must stop the
// task. The task's resources must not be free before the leader has decided that, and must be free once it is gone.
func TestReturningMachineCountsEndedTasksUntilTheyAreGone(t *testing.T) {
	s := newFixture(t)
	s.assign(0, 1)
	s.heartbeat()
	s.heartbeat()
	delete(s.jobs.active, "job-1")
	s.setReturningStage(recovery.Reconcile)
	free := s.state.view(s.state.machines["m-1"], 0, s.now).Free
	require.EqualValues(t, 6_000_000, free.CPU)
	ans := s.heartbeat()
	require.Equal(t, wire.VerbStop, ans.Orders[0].Verb, "the zone's gate must not hold back stop commands")
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.EqualValues(t, 8_000_000, s.state.view(s.state.machines["m-1"], 0, s.now).Free.CPU)
}
