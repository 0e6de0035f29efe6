package leaderelection

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// passPause is how long Run waits between two passes. Events, such as those of the replica, wake it earlier.
	passPause = 200 * time.Millisecond
	// retryPause is how long Run waits after a failed registration or renewal. Together with passPause it makes a renewal retry
	// within half a second of the end of an outage in which requests fail at once (docs/design.md, "Leadership"); more frequent
	// retries would spend the request budget.
	retryPause = 300 * time.Millisecond
	// transferInterval is the minimum time between two passes that transfer leaderships, as a rule long enough for the replica
	// to show the outcome of the earlier transfers.
	transferInterval = clock.Second
)

// Store is the part of the key-value store client that Elector uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, txn wire.Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, leaseID uint64, timeout time.Duration) error
}

// Timing holds the durations of an election. TTL is that of the controller lease, and RenewInterval the time between two of its
// renewals. TakeoverGrace is the grace period for which a free leadership may be left to preferred controllers; see
// Election.Campaign. A process without contact with the store resigns after ResignAfter if a peer has contact. A preferred
// leader has to keep the same registration for TransferDelay before a leadership goes back to it.
type Timing struct{ TTL, RenewInterval, TakeoverGrace, ResignAfter, TransferDelay clock.Micros }

// Elector keeps this controller registered under a controller lease, campaigns for free leaderships, and transfers leaderships
// that other controllers should have. Its methods are safe for concurrent use, except Run, which only one goroutine runs.
type Elector struct {
	store  Store
	clock  clock.Clock
	timing Timing
	log    *slog.Logger
	wake   loop.Signal // ends the current pause of Run early

	renewalFailures int // consecutive failures; used only by the goroutine of Run

	mu                sync.Mutex // guards the fields below; not held during requests to the store
	election          *Election
	lastRenewal       clock.Micros // when the last confirmed renewal or registration was sent; 0: never
	lastResigned      string       // the last incarnation that resigned
	lastPeerContact   clock.Micros // when a peer last reported contact with the store
	lastPeerHeartbeat clock.Micros // when a peer heartbeat last arrived
	lastTransfer      clock.Micros // when this controller last decided to transfer leaderships
	unreachable       bool         // this controller's workers do not reach it
}

// NewElector makes an elector for an election.
func NewElector(election *Election, store Store, c clock.Clock, t Timing, log *slog.Logger) *Elector {
	return &Elector{election: election, store: store, clock: c, timing: t, log: log, wake: loop.NewSignal()}
}

// Apply applies events of the replica and wakes Run.
func (e *Elector) Apply(events []kvstore.Event, _ uint64) {
	e.mu.Lock()
	for _, ev := range events {
		e.election.Apply(ev)
	}
	e.mu.Unlock()
	e.wake.Notify()
}

// Leading returns a leadership, and whether this process has it and may act on it now.
func (e *Elector) Leading(duty string) (Leadership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Leading(duty, e.clock.Now())
}

// Leader names the controller that leads a duty. It reports false when none leads it.
func (e *Elector) Leader(duty string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Leader(duty)
}

// CurrentLeadership returns a leadership as the replica last showed it, and whether the incarnation that it names is
// registered. An incarnation that is not registered never acts again.
func (e *Elector) CurrentLeadership(duty string) (Leadership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.CurrentLeadership(duty)
}

// LeaseValid reports whether this process has a valid controller lease, without which it may act under no leadership.
func (e *Elector) LeaseValid() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.LeaseValid(e.clock.Now())
}

// Run keeps an incarnation registered, publishes whether the workers reach this controller, campaigns for free leaderships, and
// transfers leaderships that other controllers should have, until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for attempts := 0; ctx.Err() == nil; {
		if e.hasIncarnation() {
			attempts = 0
			e.pass(ctx)
			loop.PauseOrWake(ctx, passPause, e.wake)
			continue
		}
		if err := e.register(ctx); err != nil {
			if attempts++; loop.ShouldLogFailure(attempts) {
				e.log.Warn("registration failed", "attempts", attempts, "error", err)
			}
			loop.PauseOrWake(ctx, retryPause, e.wake)
		}
	}
	return nil
}

func (e *Elector) hasIncarnation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	incarnation, _ := e.election.Incarnation()
	return incarnation != ""
}

// actions holds what one pass does for an incarnation, as decided at one moment.
type actions struct {
	incarnation string
	leaseID     uint64
	decidedAt   clock.Micros

	renew        bool // renew the lease
	publish      bool // commit the transaction in reachability, which puts unreachable into the registration
	unreachable  bool
	reachability wire.Txn
	transfers    []Write
	campaigns    []Write
}

// pass decides what is due and carries it out. If a renewal of the lease is due, pass sends it first, and does nothing else if
// it fails. Then it publishes the reachability, and after that sends transfers and campaigns concurrently.
func (e *Elector) pass(ctx context.Context) {
	due, ok := e.plan()
	if !ok {
		return
	}
	if due.renew && !e.renew(ctx, due) {
		return
	}
	if due.publish {
		e.publishReachability(ctx, due)
	}
	var wg sync.WaitGroup
	for _, w := range due.transfers {
		wg.Go(func() { e.transfer(ctx, w) })
	}
	for _, w := range due.campaigns {
		wg.Go(func() { e.campaign(ctx, w) })
	}
	wg.Wait()
}

// plan decides what is due now. It resigns an incarnation whose lease has expired; ok is false when there is no incarnation to
// act for.
func (e *Elector) plan() (due actions, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	incarnation, leaseID := e.election.Incarnation()
	if incarnation == "" {
		return due, false
	}
	if !e.election.LeaseValid(now) {
		e.resign("lease not confirmed in time")
		return due, false
	}
	due = actions{incarnation: incarnation, leaseID: leaseID, decidedAt: now, unreachable: e.unreachable}
	due.renew = now-e.lastRenewal >= e.timing.RenewInterval
	due.campaigns = e.election.Campaign(now, e.timing.TakeoverGrace)
	if now >= e.lastTransfer+transferInterval {
		if due.transfers = e.election.TransferLeadership(now, e.timing.TransferDelay); len(due.transfers) > 0 {
			e.lastTransfer = now
		}
	}
	due.reachability, due.publish = e.election.ReachabilityUpdate(e.unreachable)
	return due, true
}

// transfer sends the write that frees a leadership. This controller has already stopped acting on the leadership; if the write
// fails, a later pass plans it again.
func (e *Elector) transfer(ctx context.Context, w Write) {
	if _, err := e.store.Commit(ctx, w.Txn); err != nil {
		e.log.Warn("leadership transfer failed", "duty", w.Duty, "error", err)
		return
	}
	e.log.Info("leadership transferred", "duty", w.Duty)
}

// campaign sends the write that acquires a free leadership. The leadership takes effect when the replica shows it. Failure is
// usual, since another controller may have been faster.
func (e *Elector) campaign(ctx context.Context, w Write) {
	if _, err := e.store.Commit(ctx, w.Txn); err != nil {
		e.log.Debug("leadership campaign failed", "duty", w.Duty, "error", err)
		return
	}
	e.log.Info("leadership acquired", "duty", w.Duty)
}
