package leaderelection

import (
	"context"
	"errors"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
)

const (
	// renewalTimeout bounds a renewal. A store that answers slowly still renews the lease: giving up sooner would lose every
	// leadership to it, and all in vain.
	renewalTimeout = 3 * time.Second
	// leaseMargin is how much earlier than by the drift bound alone a lease counts as expired here: an action that was checked
	// against it takes a moment to be carried out.
	leaseMargin = 300 * clock.Millisecond
)

// leaseLimit returns until when a lease surely lasts that was confirmed by a request sent at a time.
func (e *Elector) leaseLimit(sent clock.Micros) clock.Micros {
	return sent + e.timing.TTL.LessDrift() - leaseMargin
}

// renew renews the controller lease; it reports whether it is confirmed. If the store has dropped the lease the incarnation
// resigns; any other failure is followed by a pause.
func (e *Elector) renew(ctx context.Context, due actions) bool {
	err := e.store.KeepAlive(ctx, due.leaseID, renewalTimeout)
	switch {
	case err == nil:
		e.renewalFailures = 0
		e.mu.Lock()
		defer e.mu.Unlock()
		e.election.ExtendLease(due.incarnation, e.leaseLimit(due.at))
		e.lastRenewal = max(e.lastRenewal, due.at)
		return true
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		e.mu.Lock()
		defer e.mu.Unlock()
		if present, _ := e.election.Incarnation(); present == due.incarnation {
			e.resign("lease expired")
		}
		return false
	}
	if e.renewalFailures++; loop.LogsFailure(e.renewalFailures) {
		e.log.Warn("lease renewal failed", "error", err)
	}
	loop.PauseOrWake(ctx, retryPause, e.wake)
	return false
}
