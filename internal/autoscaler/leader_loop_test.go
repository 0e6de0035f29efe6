package autoscaler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
)

// startTerm is called once for each term, before its first step: when leadership is first held, when its term changes
// without a gap, and when it is acquired again after a loss. Otherwise a step would use state of an earlier term.
func TestLeaderLoopStartsEachTermOnce(t *testing.T) {
	elections := &fakeElections{term: 3}
	ctx, stop := context.WithCancel(t.Context())
	var events []string
	add := func(event string) {
		if len(events) == 0 || events[len(events)-1] != event {
			events = append(events, event)
		}
	}
	steps := 0
	loop := leaderLoop{
		elections: elections,
		interval:  time.Millisecond,
		startTerm: func(l leaderelection.Leadership) { events = append(events, "start "+string(rune('0'+l.Term))) },
		step: func(_ context.Context, l leaderelection.Leadership) {
			add("step " + string(rune('0'+l.Term)))
			switch steps++; steps {
			case 2:
				elections.setTerm(4)
			case 4:
				elections.setTerm(0)
			case 6:
				stop()
			}
		},
		endTerm: func() {
			add("end")
			elections.setTerm(5)
		},
	}
	loop.run(ctx)
	require.Equal(t, []string{"start 3", "step 3", "start 4", "step 4", "end", "start 5", "step 5"}, events)
	require.GreaterOrEqual(t, steps, 6)
}
