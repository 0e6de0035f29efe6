package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A gate admits a task only if the stage admits it, fewer starts are in flight than the bound, and the machine has had a
// running task or no start is pending on it. An open gate admits every task.
func TestGateAdmitsByStageProvenMachineAndStartsInFlight(t *testing.T) {
	proven, unproven := Machine{Proven: true}, Machine{}
	for _, x := range []struct {
		stage, task Stage
		machine     Machine
		inFlight    int
		want        bool
	}{
		{Reconcile, Urgent, proven, 0, false},
		{Urgent, Urgent, proven, 0, true},
		{Urgent, Services, proven, 0, false},
		{Services, Urgent, proven, 3, true},
		{Services, Urgent, proven, 4, false}, // the bound on starts in flight is reached
		{Urgent, Urgent, unproven, 0, true},  // one trial task
		{Services, Urgent, Machine{Pending: 1}, 1, false},
		{Cold, Services, unproven, 0, true},
		{Cold, Services, Machine{Pending: 1}, 1, false},
		{Cold, Cold, proven, 0, true},
		{Open, Cold, unproven, 1000, true},
	} {
		require.Equal(t, x.want, NewGate(x.stage, false, sec).Admits(x.task, x.machine, x.inFlight, sec), "%+v", x)
	}
}

// The gate of a lost zone admits nothing until the zone returns. If the partition leader is not notified of the return,
// the gate opens maxLostWait after the first heartbeat, so that the zone does not stay closed for ever.
func TestLostZoneGateOpensAfterMaximumWait(t *testing.T) {
	g := NewLostGate()
	require.False(t, g.Admits(Urgent, Machine{Proven: true}, 0, 1000*sec))
	g.RecordHeartbeat(1000 * sec)
	g.RecordHeartbeat(1050 * sec)
	require.False(t, g.Admits(Urgent, Machine{Proven: true}, 0, 1065*sec))
	require.True(t, g.Admits(Urgent, Machine{Proven: true}, 0, 1065*sec+1))
	g.SetStage(Reconcile, false, 1070*sec)
	require.Equal(t, Reconcile, g.Stage(1071*sec), "the zone returns")
	require.Equal(t, Open, g.Stage(1070*sec+Reconcile.MaxDuration()+stageEndMargin+1))
}

// Each successful start raises the bound on concurrent starts by one, up to maxStarts.
func TestGateLimitGrowsWithSuccessfulStarts(t *testing.T) {
	g := NewGate(Urgent, false, sec)
	require.False(t, g.Admits(Urgent, Machine{Proven: true}, 4, sec))
	g.RecordSuccessfulStart()
	require.True(t, g.Admits(Urgent, Machine{Proven: true}, 4, sec))
	for range 1000 {
		g.RecordSuccessfulStart()
	}
	require.Equal(t, maxStarts, g.MaxStartsInFlight())
}

// A gate that is not notified of a stage's end opens stageEndMargin after the stage's bound, so that the zone does not
// stay closed for ever. A gate that operators hold does not open.
func TestGateOpensWhenStageEndIsMissed(t *testing.T) {
	g := NewGate(Urgent, false, sec)
	require.Equal(t, Urgent, g.Stage(sec+Urgent.MaxDuration()+stageEndMargin))
	require.Equal(t, Open, g.Stage(sec+Urgent.MaxDuration()+stageEndMargin+1))
	g.SetStage(Services, false, 30*sec)
	require.Equal(t, Services, g.Stage(31*sec))
	g.SetStage(Services, true, 31*sec)
	require.Equal(t, Services, g.Stage(1000*sec))
}
