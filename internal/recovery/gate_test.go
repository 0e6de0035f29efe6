package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGateAdmitsByStageWarmthAndStartsInFlight(t *testing.T) {
	warm, cold := Machine{Warm: true}, Machine{}
	for _, x := range []struct {
		stage, task Stage
		machine     Machine
		inFlight    int
		want        bool
	}{
		{Reconcile, Urgent, warm, 0, false},
		{Urgent, Urgent, warm, 0, true},
		{Urgent, Services, warm, 0, false},
		{Services, Urgent, warm, 3, true},
		{Services, Urgent, warm, 4, false}, // as many starts are in flight as may be
		{Urgent, Urgent, cold, 0, true},    // one trial task
		{Services, Urgent, Machine{Pending: 1}, 1, false},
		{Cold, Services, cold, 0, true},
		{Cold, Services, Machine{Pending: 1}, 1, false},
		{Cold, Cold, warm, 0, true},
		{Open, Cold, cold, 1000, true},
	} {
		require.Equal(t, x.want, NewGate(x.stage, false, sec).Admits(x.task, x.machine, x.inFlight, sec), "%+v", x)
	}
}

// Nothing new is admitted from a zone's loss until it returns; a partition leader that isn't notified of
// its return admits all some time after the first heartbeat of a machine of it.
func TestLostZoneGateOpensAfterMaximumWait(t *testing.T) {
	g := NewLostGate()
	require.False(t, g.Admits(Urgent, Machine{Warm: true}, 0, 1000*sec))
	g.HeartbeatSeen(1000 * sec)
	g.HeartbeatSeen(1050 * sec)
	require.False(t, g.Admits(Urgent, Machine{Warm: true}, 0, 1065*sec))
	require.True(t, g.Admits(Urgent, Machine{Warm: true}, 0, 1065*sec+1))
	g.SetStage(Reconcile, false, 1070*sec)
	require.Equal(t, Reconcile, g.Stage(1071*sec), "it returns")
	require.Equal(t, Open, g.Stage(1070*sec+Reconcile.MaxDuration()+stageEndMargin+1))
}

// Each start that succeeds lets one more be in flight, up to a bound.
func TestGateLimitGrowsWithSuccessfulStarts(t *testing.T) {
	g := NewGate(Urgent, false, sec)
	require.False(t, g.Admits(Urgent, Machine{Warm: true}, 4, sec))
	g.Succeeded()
	require.True(t, g.Admits(Urgent, Machine{Warm: true}, 4, sec))
	for range 1000 {
		g.Succeeded()
	}
	require.Equal(t, maxStarts, g.Starts())
}

// A gate that isn't notified of a stage's end admits all after a while; one that operators hold stays.
func TestGateOpensWhenStageEndIsMissed(t *testing.T) {
	g := NewGate(Urgent, false, sec)
	require.Equal(t, Urgent, g.Stage(sec+Urgent.MaxDuration()+stageEndMargin))
	require.Equal(t, Open, g.Stage(sec+Urgent.MaxDuration()+stageEndMargin+1))
	g.SetStage(Services, false, 30*sec)
	require.Equal(t, Services, g.Stage(31*sec))
	g.SetStage(Services, true, 31*sec)
	require.Equal(t, Services, g.Stage(1000*sec))
}
