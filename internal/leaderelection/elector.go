package leaderelection

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Store is the part of the state service that the keeper needs.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, hold uint64, timeout time.Duration) error
}

// Timing is how long things last.
type Timing struct{ TTL, RenewInterval, TakeoverGrace, ResignAfter, TransferDelay clock.Micros }

// Elector keeps this controller registered and takes free claims.
type Elector struct {
	store  Store
	clock  clock.Clock
	timing Timing
	log    *slog.Logger
	wake   chan struct{}

	mu                sync.Mutex
	election          *Election
	lastRenewal       clock.Micros // when the last confirmed renewal was sent
	lastResigned      string       // the last incarnation given up for good
	lastPeerContact   clock.Micros // when a peer last said that it has contact
	lastPeerHeartbeat clock.Micros // when a peer last said anything
	lastTransfer      clock.Micros // when a duty was last handed over
	unreachable       bool         // no worker reaches this controller
}

// NewElector makes a keeper around a book.
func NewElector(book *Election, store Store, c clock.Clock, t Timing, log *slog.Logger) *Elector {
	return &Elector{election: book, store: store, clock: c, timing: t, log: log, wake: make(chan struct{}, 1)}
}

// Apply takes events of the replica.
func (e *Elector) Apply(evs []kvstore.Event, _ uint64) {
	e.mu.Lock()
	for _, ev := range evs {
		e.election.Apply(ev)
	}
	e.mu.Unlock()
	e.notify()
}

func (e *Elector) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Mine tells whether this process holds a duty and may act on it now.
func (e *Elector) Leading(duty string) (Leadership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Leading(duty, e.clock.Now())
}

// Holder names the registered holder of a duty.
func (e *Elector) Leader(duty string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Leader(duty)
}

// Claim gives a claim as it stands, and whether the incarnation that it names is
// registered: one that is not never acts again.
func (e *Elector) Current(duty string) (Leadership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Current(duty)
}

// LeaseValid tells whether this process may act at all.
func (e *Elector) LeaseValid() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.LeaseValid(e.clock.Now())
}

// StoreContact tells how long ago the state service last confirmed the hold, and
// the last incarnation that resigned.
func (e *Elector) StoreContact() (ago clock.Micros, resigned string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastRenewal == 0 {
		return math.MaxInt64, e.lastResigned // never in this process's life
	}
	return e.clock.Now() - e.lastRenewal, e.lastResigned
}

// ObservePeer takes what a peer said of its own contact with the state service. When
// the peer has contact and this process has not, its duties are given up: the
// promise is that this incarnation never acts again.
func (e *Elector) ObservePeer(peerAgo clock.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastPeerHeartbeat = e.clock.Now()
	if peerAgo < e.timing.ResignAfter/2 {
		e.lastPeerContact = e.clock.Now()
	}
	if inc, _ := e.election.Incarnation(); inc != "" && e.clock.Now()-e.lastRenewal > e.timing.ResignAfter && peerAgo < e.timing.ResignAfter/2 {
		e.lastResigned = e.election.Resign()
		e.log.Info("cut off from the state service while a peer is not: duties given up", "incarnation", inc)
		e.notify()
	}
}

// SharedOutage tells that neither this process nor any peer that it hears has
// contact with the state service. Then no controller is better placed than
// this one to answer users.
func (e *Elector) SharedOutage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	return now-e.lastRenewal > e.timing.RenewInterval*3/2 && now-e.lastPeerContact > e.timing.ResignAfter/2 && !e.isolated(now)
}

// Isolated tells that this process reaches neither the state service nor any peer:
// as far as it can tell it is cut off by itself, and users are better served elsewhere.
func (e *Elector) Isolated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isolated(e.clock.Now())
}

func (e *Elector) isolated(now clock.Micros) bool {
	return e.election.PeerCount() > 0 && now-e.lastRenewal > e.timing.ResignAfter && now-e.lastPeerHeartbeat > e.timing.ResignAfter
}

// SetUnreachable tells whether this controller is cut off from the workers.
func (e *Elector) SetUnreachable(unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable = unreachable
	e.notify()
}

// RemoveResigned removes the registration of a peer's incarnation that has resigned.
func (e *Elector) RemoveResigned(ctx context.Context, host, incarnation string) {
	e.mu.Lock()
	inc, stamp := e.election.Registered(host)
	e.mu.Unlock()
	if incarnation == "" || inc != incarnation {
		return
	}
	_, err := e.store.Commit(ctx, wire.Txn{Conditions: []wire.Condition{{Key: kvstore.ControllerPrefix + host, ModRevision: stamp}},
		Operations: []wire.Operation{{Drop: kvstore.ControllerPrefix + host}}})
	e.log.Info("removed the registration of a resigned controller", "host", host, "err", err)
}

// Run keeps the registration and takes claims until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for tries := 0; ctx.Err() == nil; {
		if inc, _ := e.incarnation(); inc == "" {
			if err := e.register(ctx); err != nil {
				if tries++; tries%32 == 1 { // once in a while: an outage lasts many tries
					e.log.Info("registering", "tries", tries, "err", err)
				}
				e.pause(ctx, 300*time.Millisecond)
			}
			continue
		}
		tries = 0
		e.step(ctx)
		e.pause(ctx, 200*time.Millisecond)
	}
	return nil
}

func (e *Elector) incarnation() (string, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Incarnation()
}

func (e *Elector) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.wake:
	case <-ctx.Done():
	}
}

// register makes a hold and puts a new incarnation under this host's key. The
// write is conditional on the key as read, so that a late copy of an old
// process's write can't undo it.
func (e *Elector) register(ctx context.Context) error {
	key := kvstore.ControllerPrefix + e.election.host
	it, _, err := e.store.Get(ctx, key)
	if err != nil {
		return err
	}
	sent := e.clock.Now()
	hold, err := e.store.GrantLease(ctx, e.timing.TTL.Duration())
	if err != nil {
		return err
	}
	inc := uuid.NewString()
	e.mu.Lock()
	unreachable := e.unreachable
	e.mu.Unlock()
	_, err = e.store.Commit(ctx, wire.Txn{Conditions: []wire.Condition{{Key: key, ModRevision: it.ModRevision}},
		Operations: []wire.Operation{{Put: key, Value: Registration{inc, unreachable}, LeaseID: hold}}})
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.election.StartIncarnation(inc, hold, e.leaseLimit(sent))
	e.lastRenewal = sent
	e.log.Info("registered", "incarnation", inc)
	return nil
}

// leaseLimit is until when a hold confirmed by a request sent at a time surely lasts.
func (e *Elector) leaseLimit(sent clock.Micros) clock.Micros {
	return sent + e.timing.TTL.LessDrift() - 300*clock.Millisecond
}

// renewalTimeout bounds a renewal. A service that answers slowly still renews the
// hold: giving up sooner would lose every duty to it, and all in vain.
const renewalTimeout = 3 * time.Second

func (e *Elector) step(ctx context.Context) {
	inc, hold := e.incarnation()
	now := e.clock.Now()
	e.mu.Lock()
	lapsed := inc != "" && !e.election.LeaseValid(now)
	if lapsed {
		e.lastResigned = e.election.Resign()
	}
	due := now-e.lastRenewal >= e.timing.RenewInterval
	wanted := e.election.Campaign(now, e.timing.TakeoverGrace)
	var give []Write
	if !lapsed && now >= e.lastTransfer+clock.Second {
		if give = e.election.TransferLeadership(now, e.timing.TransferDelay); len(give) > 0 {
			e.lastTransfer = now
		}
	}
	note, noting := e.election.ReachabilityUpdate(e.unreachable)
	e.mu.Unlock()
	if lapsed {
		e.log.Info("the hold could not be confirmed in time: duties given up", "incarnation", inc)
		return
	}
	if due {
		err := e.store.KeepAlive(ctx, hold, renewalTimeout)
		switch {
		case err == nil:
			e.mu.Lock()
			e.election.ExtendLease(inc, e.leaseLimit(now))
			if e.lastRenewal < now {
				e.lastRenewal = now
			}
			e.mu.Unlock()
		case errors.Is(err, kvstore.ErrLeaseNotFound):
			e.mu.Lock()
			if cur, _ := e.election.Incarnation(); cur == inc {
				e.lastResigned = e.election.Resign()
			}
			e.mu.Unlock()
			e.log.Info("the hold has ended: duties given up", "incarnation", inc)
			return
		default:
			e.log.Debug("renewing the hold", "err", err)
			e.pause(ctx, 300*time.Millisecond)
			return
		}
	}
	if noting {
		_, err := e.store.Commit(ctx, note)
		e.log.Info("told whether workers reach this controller", "unreachable", note.Operations[0].Value, "err", err)
	}
	var wg sync.WaitGroup
	for _, w := range give {
		wg.Go(func() {
			_, err := e.store.Commit(ctx, w.Txn)
			e.log.Info("handed a duty over", "duty", w.Duty, "err", err)
		})
	}
	for _, w := range wanted {
		wg.Go(func() {
			if _, err := e.store.Commit(ctx, w.Txn); err != nil {
				e.log.Debug("taking a claim", "duty", w.Duty, "err", err)
			} else {
				e.log.Info("took a claim", "duty", w.Duty)
			}
		})
	}
	wg.Wait()
}
