package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

const sec = clock.Second

func TestStagesOfJobs(t *testing.T) {
	for _, x := range []struct {
		rank     int
		deadline bool
		want     Stage
	}{{3, false, Urgent}, {2, false, Urgent}, {1, true, Urgent}, {1, false, Services}, {0, true, Cold}, {0, false, Cold}} {
		require.Equal(t, x.want, DefaultStage(x.rank, x.deadline), "%+v", x)
	}
	for s := Reconcile; s <= Open; s++ {
		named, ok := StageOf(s.String())
		require.True(t, ok)
		require.Equal(t, s, named)
	}
	_, ok := StageOf("soon")
	require.False(t, ok)
}

// A stage lasts until what it is for is done, and no longer than its bound; together they stay
// below the 90 s for which work may wait beside room.
func TestStagesAreBounded(t *testing.T) {
	busy := Facts{Unsettled: 1, Waiting: map[Stage]int{Urgent: 1, Services: 1, Cold: 1}}
	total := clock.Micros(0)
	for s := Reconcile; s < Open; s++ {
		require.Equal(t, s, Advance(s, s.MaxDuration()-1, busy))
		require.Equal(t, s+1, Advance(s, s.MaxDuration(), busy))
		total += s.MaxDuration() + stageEndMargin
	}
	require.Less(t, total, 90*sec)
	require.Equal(t, Reconcile, Advance(Reconcile, sec, Facts{}), "what waits may not have been told yet")
	require.Equal(t, Urgent, Advance(Reconcile, 2*sec, Facts{}))
	require.Equal(t, Services, Advance(Urgent, 2*sec, Facts{Waiting: map[Stage]int{Services: 1}}))
	require.Equal(t, Services, Advance(Services, 2*sec, Facts{Waiting: map[Stage]int{Services: 1}}))
	require.Equal(t, Open, Advance(Open, sec, busy))
}

func TestWhatAGateAdmits(t *testing.T) {
	warm, cold := Machine{Warm: true}, Machine{}
	for _, x := range []struct {
		stage, task Stage
		machine     Machine
		underWay    int
		want        bool
	}{
		{Reconcile, Urgent, warm, 0, false},
		{Urgent, Urgent, warm, 0, true},
		{Urgent, Services, warm, 0, false},
		{Services, Urgent, warm, 3, true},
		{Services, Urgent, warm, 4, false}, // as many starts are under way as may be
		{Urgent, Urgent, cold, 0, true},    // one trial task
		{Services, Urgent, Machine{Pending: 1}, 1, false},
		{Cold, Services, cold, 0, true},
		{Cold, Services, Machine{Pending: 1}, 1, false},
		{Cold, Cold, warm, 0, true},
		{Open, Cold, cold, 1000, true},
	} {
		require.Equal(t, x.want, NewGate(x.stage, false, sec).Admits(x.task, x.machine, x.underWay, sec), "%+v", x)
	}
}

// Nothing new is admitted from a zone's loss until it returns; if the word of its return doesn't come,
// an owner admits all some time after it has heard a machine of it.
func TestAGateOfALostZone(t *testing.T) {
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

// What succeeds lets more start at a time, up to a bound.
func TestTheRampWidens(t *testing.T) {
	g := NewGate(Urgent, false, sec)
	require.False(t, g.Admits(Urgent, Machine{Warm: true}, 4, sec))
	g.Succeeded()
	require.True(t, g.Admits(Urgent, Machine{Warm: true}, 4, sec))
	for range 1000 {
		g.Succeeded()
	}
	require.Equal(t, maxStarts, g.Starts())
}

// An owner that hears of no end of a stage admits all after a while; one that operators hold stays.
func TestAGateWithoutNewsOpens(t *testing.T) {
	g := NewGate(Urgent, false, sec)
	require.Equal(t, Urgent, g.Stage(sec+Urgent.MaxDuration()+stageEndMargin))
	require.Equal(t, Open, g.Stage(sec+Urgent.MaxDuration()+stageEndMargin+1))
	g.SetStage(Services, false, 30*sec)
	require.Equal(t, Services, g.Stage(31*sec))
	g.SetStage(Services, true, 31*sec)
	require.Equal(t, Services, g.Stage(1000*sec))
}
