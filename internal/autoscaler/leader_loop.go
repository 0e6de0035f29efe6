package autoscaler

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
)

// leaderLoop runs periodic work of the fleet's leader. The goroutine that calls run calls all three functions.
type leaderLoop struct {
	elections Elections
	interval  time.Duration
	startTerm func(leaderelection.Leadership)                  // called when leadership was acquired or its term changed
	step      func(context.Context, leaderelection.Leadership) // called at each interval while this controller leads
	endTerm   func()                                           // called at each interval while it does not lead
}

// run calls the functions at each interval, by whether this controller leads the fleet, until ctx is done.
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
