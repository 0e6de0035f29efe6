package scheduler

import (
	"context"
	"time"
)

// signal wakes the goroutine that receives from it. Notifications before it has received are one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// notify wakes the receiver. It never blocks.
func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// broadcast wakes all goroutines that wait for a change. It has no lock of its own.
type broadcast struct{ changed chan struct{} }

func newBroadcast() broadcast { return broadcast{make(chan struct{})} }

// next gives a channel that is closed by the next notification.
func (b *broadcast) next() <-chan struct{} { return b.changed }

// notify wakes all that wait.
func (b *broadcast) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// pause waits for a duration, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
