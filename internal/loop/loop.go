// Package loop contains helpers for the long-lived loops of a controller: a signal that wakes a loop, a pause that
// ends early with the context, and a limit on how often a repeated failure is logged.
package loop

import (
	"context"
	"time"
)

// Signal wakes the one goroutine that receives from it. Several notifications before a receive wake the goroutine
// only once.
type Signal chan struct{}

// NewSignal returns a signal without a pending notification.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes the receiver, now or when it receives next. It never blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Pause waits for a duration and returns true, or returns false as soon as ctx ends.
func Pause(ctx context.Context, d time.Duration) bool { return PauseOrWake(ctx, d, nil) }

// PauseOrWake waits for a duration, or until wake is notified if that is sooner, and returns true. It returns false as
// soon as ctx ends. A nil signal never wakes it.
func PauseOrWake(ctx context.Context, d time.Duration, wake Signal) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// failureLogInterval is the number of consecutive failures for which one is logged, the first. An outage causes many
// failed attempts, and one log event for each would flood the log.
const failureLogInterval = 32

// ShouldLogFailure reports whether the n-th consecutive failure is to be logged. n counts from 1.
func ShouldLogFailure(n int) bool { return n%failureLogInterval == 1 }
