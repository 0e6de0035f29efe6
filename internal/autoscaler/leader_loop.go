package autoscaler

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
)

// leaderLoop runs a part of the fleet leader's work, in the goroutine that calls run. All three
// functions are called from there.
type leaderLoop struct {
	elections Elections
	interval  time.Duration
	startTerm func(leaderelection.Leadership)                  // leadership was acquired, or its term has changed
	step      func(context.Context, leaderelection.Leadership) // at each interval while it is held
	endTerm   func()                                           // at each interval while it is not
}

// run returns when ctx ends.
func (l leaderLoop) run(ctx context.Context) {
	tick := time.NewTicker(l.interval)
	defer tick.Stop()
	term := uint64(0) // 0: not leading
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		leadership, leading := l.elections.Leading(Duty)
		if !leading {
			term = 0
			l.endTerm()
			continue
		}
		if leadership.Term != term {
			term = leadership.Term
			l.startTerm(leadership)
		}
		l.step(ctx, leadership)
	}
}
