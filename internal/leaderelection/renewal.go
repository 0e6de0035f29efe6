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
	// renewalTimeout bounds a renewal. A store that answers slowly still renews the lease; a shorter timeout would lose every
	// leadership during a slow phase of the store, without need.
	renewalTimeout = 3 * time.Second
	// leaseMargin is subtracted from a lease in addition to the clock drift, since an action that was checked against the lease
	// takes a moment to be carried out.
	leaseMargin = 300 * clock.Millisecond
)

// leaseExpiry returns the time up to which a lease is certainly valid that was confirmed by a request sent at sentAt.
func (e *Elector) leaseExpiry(sentAt clock.Micros) clock.Micros {
	return sentAt + e.timing.TTL.LessDrift() - leaseMargin
}

// renew renews the controller lease and reports whether the lease is valid for longer. If the store has dropped the lease, or has
// confirmed it only after it was over by this process's clock, the incarnation resigns. After any other failure renew pauses
// before it returns.
func (e *Elector) renew(ctx context.Context, due actions) bool {
	err := e.store.KeepAlive(ctx, due.leaseID, renewalTimeout)
	switch {
	case err == nil:
		e.renewalFailures = 0
		return e.confirmRenewal(due)
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		e.mu.Lock()
		defer e.mu.Unlock()
		e.resignIfCurrent(due.incarnation, "lease expired")
		return false
	}
	if e.renewalFailures++; loop.ShouldLogFailure(e.renewalFailures) {
		e.log.Warn("lease renewal failed", "error", err)
	}
	loop.PauseOrWake(ctx, retryPause, e.wake)
	return false
}

// confirmRenewal records that the store has confirmed a renewal, and reports whether the lease is valid for longer.
func (e *Elector) confirmRenewal(due actions) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.lastRenewal = max(e.lastRenewal, due.decidedAt)
	if e.election.ExtendLease(due.incarnation, e.leaseExpiry(due.decidedAt), now) {
		return true
	}
	e.log.Warn("lease renewal late", "incarnation", due.incarnation, "duration_ms", (now - due.decidedAt).Duration().Milliseconds())
	e.resignIfCurrent(due.incarnation, "lease not confirmed in time")
	return false
}
