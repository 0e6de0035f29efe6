// Package loop holds what the long-lived loops of a controller share: a signal that wakes a loop, a pause that its
// context ends, and how often a failure that repeats is logged.
package loop

import (
	"context"
	"time"
)

// Signal wakes the one goroutine that receives from it. Notifications that come before it has received count as one.
type Signal chan struct{}

// NewSignal makes a signal without a notification.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes the receiver. It never blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Pause waits for a duration. It reports whether the context went on for all of it.
func Pause(ctx context.Context, d time.Duration) bool { return PauseOrWake(ctx, d, nil) }

// PauseOrWake waits for a duration or, if that is sooner, for a notification; a nil signal has none. It returns false at once
// when the context ends.
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

// failureLogInterval is how many failures in a row go with one log event: an outage lasts many attempts.
const failureLogInterval = 32

// LogsFailure reports whether the failure with this number, counted in a row from 1, is to be logged.
func LogsFailure(n int) bool { return n%failureLogInterval == 1 }
