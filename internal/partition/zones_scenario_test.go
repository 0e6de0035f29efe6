package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// leaseAt asks for room for a task that is admitted at a stage.
func (s *scene) leaseAt(n int, attempt uint64, stage recovery.Stage) bool {
	a := ask(n, attempt)
	a.Stage = int(stage) + 1
	return !s.round(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

func (s *scene) returnAt(stage recovery.Stage) {
	s.table.SetZoneState("a", zone.Record{State: zone.Returning, Stage: stage}, s.now)
}

// While work returns to a zone its owner admits what the stage does; a machine that was not seen at work yet
// gets one trial task before more. All is admitted once it is over.
func TestWorkReturnsToMachinesInStages(t *testing.T) {
	s := newScene(t)
	s.returnAt(recovery.Reconcile)
	require.False(t, s.leaseAt(0, 1, recovery.Urgent), "nothing new")
	s.returnAt(recovery.Urgent)
	require.False(t, s.leaseAt(0, 2, recovery.Services))
	require.True(t, s.leaseAt(0, 3, recovery.Urgent), "one trial task")
	s.now += sec
	require.False(t, s.leaseAt(1, 4, recovery.Urgent), "no second one before it runs")
	s.report()
	s.report()
	require.True(t, s.w.Running("job-1/0"))
	require.True(t, s.leaseAt(1, 5, recovery.Urgent), "it is warm")
	require.False(t, s.leaseAt(2, 6, recovery.Services))
	s.table.SetZoneState("a", zone.Record{State: zone.Healthy}, s.now)
	require.True(t, s.leaseAt(2, 7, recovery.Cold))
}

// A machine that began anew is cold again, and what no placer names a stage for goes by its rank.
func TestColdMachinesAndUnnamedStages(t *testing.T) {
	s := newScene(t)
	s.lease(0, 1)
	s.report()
	s.report()
	s.returnAt(recovery.Services)
	require.True(t, s.lease(1, 2), "rank normal is of the services")
	s.report()
	s.report()
	s.w.Session++
	clear(s.w.Tasks)
	s.report()
	require.True(t, s.lease(2, 3), "one trial task in a new session")
	require.False(t, s.lease(3, 4), "no second one")
	s.returnAt(recovery.Urgent)
	require.False(t, s.lease(4, 5))
}

// A copy of a task that was done elsewhere meanwhile comes back with its machine: its owner ends it,
// and its room counts until it is gone.
func TestAReturningMachineHoldsWhatIsOver(t *testing.T) {
	s := newScene(t)
	s.lease(0, 1)
	s.report()
	s.report()
	delete(s.jobs.active, "job-1")
	s.returnAt(recovery.Reconcile)
	free := s.table.view(s.table.machines["m-1"], 0, s.now).Free
	require.EqualValues(t, 6_000_000, free.CPU)
	ans := s.report()
	require.Equal(t, wire.VerbStop, ans.Orders[0].Verb, "a gate holds up no stop")
	s.report()
	s.report()
	require.Empty(t, s.w.Tasks)
	require.EqualValues(t, 8_000_000, s.table.view(s.table.machines["m-1"], 0, s.now).Free.CPU)
}
