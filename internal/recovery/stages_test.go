package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

const sec = clock.Second

func TestDefaultStageFollowsPriorityAndDeadline(t *testing.T) {
	for _, x := range []struct {
		priority int
		deadline bool
		want     Stage
	}{{3, false, Urgent}, {2, false, Urgent}, {1, true, Urgent}, {1, false, Services}, {0, true, Cold}, {0, false, Cold}} {
		require.Equal(t, x.want, DefaultStage(x.priority, x.deadline), "%+v", x)
	}
}

func TestStageOfNameIsInverseOfString(t *testing.T) {
	for s := Reconcile; s <= Open; s++ {
		named, ok := StageOf(s.String())
		require.True(t, ok)
		require.Equal(t, s, named)
	}
	_, ok := StageOf("soon")
	require.False(t, ok)
}

// A stage ends when its purpose is met, but not before two seconds, and at its bound at the latest. All bounds with their
// margins stay below 90 s, the longest that work may wait while a suitable machine has free capacity.
func TestStageEndsWhenDoneOrAtItsBound(t *testing.T) {
	busy := Progress{Unaccounted: 1, Waiting: map[Stage]int{Urgent: 1, Services: 1, Cold: 1}}
	total := clock.Micros(0)
	for s := Reconcile; s < Open; s++ {
		require.Equal(t, s, Advance(s, s.MaxDuration()-1, busy))
		require.Equal(t, s+1, Advance(s, s.MaxDuration(), busy))
		total += s.MaxDuration() + stageEndMargin
	}
	require.Less(t, total, 90*sec)
	require.Equal(t, Reconcile, Advance(Reconcile, sec, Progress{}), "the waiting tasks may not have been reported yet")
	require.Equal(t, Urgent, Advance(Reconcile, 2*sec, Progress{}))
	require.Equal(t, Services, Advance(Urgent, 2*sec, Progress{Waiting: map[Stage]int{Services: 1}}))
	require.Equal(t, Services, Advance(Services, 2*sec, Progress{Waiting: map[Stage]int{Services: 1}}))
	require.Equal(t, Open, Advance(Open, sec, busy))
}
