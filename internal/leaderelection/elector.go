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
	// passPause is how long Run waits between two passes, unless it is woken: an event of the replica wakes it.
	passPause = 200 * time.Millisecond
	// retryPause is how long Run waits after a registration or a renewal that failed. With passPause a renewal is retried within
	// half a second of the end of an outage (docs/design.md, "Leadership"); more often would spend the request budget.
	retryPause = 300 * time.Millisecond
	// transferInterval is the least time from one pass with transfers to the next: the replica has shown their outcome by then, as
	// a rule.
	transferInterval = clock.Second
)

// Store is the part of the key-value store that the elector needs.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, txn wire.Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, leaseID uint64, timeout time.Duration) error
}

// Timing is how long things last: TTL of the controller lease; RenewInterval from one renewal of it to the next; TakeoverGrace, for
// which a free leadership is left to its preferred leader; ResignAfter without contact with the store, where a peer has contact;
// TransferDelay, for which a preferred leader is registered before a leadership goes back to it.
type Timing struct{ TTL, RenewInterval, TakeoverGrace, ResignAfter, TransferDelay clock.Micros }

// Elector keeps this controller registered under a controller lease, campaigns for free leaderships and transfers those that others
// should have. Its methods may be called from any goroutine; one goroutine runs Run.
type Elector struct {
	store  Store
	clock  clock.Clock
	timing Timing
	log    *slog.Logger
	wake   loop.Signal // has Run go on before its pause is over

	renewalFailures int // in a row; of Run's goroutine only

	mu                sync.Mutex // guards what follows; not held during I/O with the store
	election          *Election
	lastRenewal       clock.Micros // when the last confirmed renewal, or registration, was sent; zero: never
	lastResigned      string       // the last incarnation that resigned
	lastPeerContact   clock.Micros // when a peer last said that it has contact with the store
	lastPeerHeartbeat clock.Micros // when a peer last said anything
	lastTransfer      clock.Micros // when a leadership was last transferred
	unreachable       bool         // no worker reaches this controller
}

// NewElector makes an elector around an election.
func NewElector(election *Election, store Store, c clock.Clock, t Timing, log *slog.Logger) *Elector {
	return &Elector{election: election, store: store, clock: c, timing: t, log: log, wake: loop.NewSignal()}
}

// Apply takes events of the replica.
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

// Leader names the registered leader of a duty.
func (e *Elector) Leader(duty string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Leader(duty)
}

// Current returns a leadership as it stands, and whether the incarnation that it names is registered: one that is not never acts
// again.
func (e *Elector) Current(duty string) (Leadership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Current(duty)
}

// LeaseValid reports whether this process may act at all.
func (e *Elector) LeaseValid() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.LeaseValid(e.clock.Now())
}

// Run keeps the incarnation registered, campaigns for free leaderships and transfers others until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for attempts := 0; ctx.Err() == nil; {
		if e.hasIncarnation() {
			attempts = 0
			e.pass(ctx)
			loop.PauseOrWake(ctx, passPause, e.wake)
			continue
		}
		if err := e.register(ctx); err != nil {
			if attempts++; loop.LogsFailure(attempts) {
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

// actions is what one pass is to do for an incarnation, as decided at one moment.
type actions struct {
	incarnation string
	leaseID     uint64
	at          clock.Micros

	renew        bool // the lease
	publish      bool // whether the workers reach this controller, unreachable, by the write reachability
	unreachable  bool
	reachability wire.Txn
	transfers    []Write
	campaigns    []Write
}

// pass carries out what is due: first a renewal of the lease, and only if that succeeds all else, of which transfers and campaigns
// go at the same time. All of it is decided before the renewal.
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

// plan decides what is due now. It resigns an incarnation whose lease has expired; ok is false when there is none to act for.
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
	due = actions{incarnation: incarnation, leaseID: leaseID, at: now, unreachable: e.unreachable}
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

// transfer frees a leadership that this controller no longer acts on. A write that fails is decided on again in a later pass.
func (e *Elector) transfer(ctx context.Context, w Write) {
	if _, err := e.store.Commit(ctx, w.Txn); err != nil {
		e.log.Warn("leadership transfer failed", "duty", w.Duty, "error", err)
		return
	}
	e.log.Info("leadership transferred", "duty", w.Duty)
}

// campaign acquires a free leadership; it takes effect when the replica shows it. That it fails is usual: another was faster.
func (e *Elector) campaign(ctx context.Context, w Write) {
	if _, err := e.store.Commit(ctx, w.Txn); err != nil {
		e.log.Debug("leadership campaign failed", "duty", w.Duty, "error", err)
		return
	}
	e.log.Info("leadership acquired", "duty", w.Duty)
}
