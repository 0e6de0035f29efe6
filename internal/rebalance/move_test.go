package rebalance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// moveEvent is an event of a move. Its name appears in messages of failed assertions.
type moveEvent struct {
	name  string
	apply func(m *Move) Action
}

var events = []moveEvent{
	{"granted", (*Move).LeaseAccepted},
	{"refused", (*Move).LeaseRejected},
	{"destination lost", (*Move).DestinationLost},
	{"source gone", func(m *Move) Action { return m.SourceGone(true) }},
	{"source done", func(m *Move) Action { return m.SourceGone(false) }},
	{"abandoned", (*Move).Abandon},
	{"expired", func(m *Move) Action { return m.Expire(100*sec + HeldLeaseTTL) }},
	{"time passes", func(m *Move) Action { return m.Expire(100*sec + HeldLeaseTTL - 1) }},
}

// Messages and losses may arrive in any order. In every sequence of six events, the task is started at the destination
// at most once, only while the lease is held, and only by the event that the task is gone from the source
// and still wanted; otherwise two copies of it could run. The source is stopped at most once, and only while the
// lease is held. A lease that is not used is released unless it is gone, so that it does not block capacity.
func TestMoveInAnyOrderOfEventsStartsTaskOnlyOnceGoneFromSource(t *testing.T) {
	const steps = 6
	total := 1
	for range steps {
		total *= len(events)
	}
	outcomes := map[Outcome]int{}
	for n := range total {
		m := NewPlanner(limits).StartMove(slowMachineCandidate(), lessLoadedDestination(), 20*sec, 8*sec, 100*sec)
		var applied []string
		granted, lost, over := false, false, false
		stops, starts, releases := 0, 0, 0
		for rest, step := n, 0; step < steps; step, rest = step+1, rest/len(events) {
			e := events[rest%len(events)]
			applied = append(applied, e.name)
			a := e.apply(m)
			switch a {
			case StopSource:
				stops++
				require.False(t, lost || over, "%v", applied)
				granted = true
			case StartDestination:
				starts++
				require.True(t, granted && e.name == "source gone" && !lost && !over, "%v", applied)
			case ReleaseDestination:
				releases++
				require.False(t, lost, "%v", applied)
			}
			lost = lost || e.name == "refused" || e.name == "destination lost"
			over = over || m.Ended()
		}
		require.LessOrEqual(t, stops, 1, "%v", applied)
		require.LessOrEqual(t, starts+releases, 1, "%v", applied)
		if m.Ended() {
			require.True(t, starts+releases == 1 || lost, "%v: the lease was neither used nor released", applied)
			require.NotEqual(t, UnderWay, m.Outcome)
		}
		outcomes[m.Outcome]++
	}
	for _, o := range []Outcome{UnderWay, Moved, DestinationRefused, DestinationGone, SourceEnded, TaskOver, TookTooLong} {
		require.Positive(t, outcomes[o], fmt.Sprint(o))
	}
}
