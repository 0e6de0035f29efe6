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

	mu          sync.Mutex
	book        *Election
	lastOK      clock.Micros // when the last confirmed renewal was sent
	resigned    string       // the last incarnation given up for good
	peerOK      clock.Micros // when a peer last said that it has contact
	heardAt     clock.Micros // when a peer last said anything
	gaveAt      clock.Micros // when a duty was last handed over
	unreachable bool         // no worker reaches this controller
}

// NewElector makes a keeper around a book.
func NewElector(book *Election, store Store, c clock.Clock, t Timing, log *slog.Logger) *Elector {
	return &Elector{book: book, store: store, clock: c, timing: t, log: log, wake: make(chan struct{}, 1)}
}

// Apply takes events of the replica.
func (k *Elector) Apply(evs []kvstore.Event, _ uint64) {
	k.mu.Lock()
	for _, e := range evs {
		k.book.Apply(e)
	}
	k.mu.Unlock()
	k.poke()
}

func (k *Elector) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Mine tells whether this process holds a duty and may act on it now.
func (k *Elector) Leading(duty string) (Leadership, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Leading(duty, k.clock.Now())
}

// Holder names the registered holder of a duty.
func (k *Elector) Leader(duty string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Leader(duty)
}

// Claim gives a claim as it stands, and whether the incarnation that it names is
// registered: one that is not never acts again.
func (k *Elector) Current(duty string) (Leadership, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Current(duty)
}

// LeaseValid tells whether this process may act at all.
func (k *Elector) LeaseValid() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.LeaseValid(k.clock.Now())
}

// StoreContact tells how long ago the state service last confirmed the hold, and
// the last incarnation that resigned.
func (k *Elector) StoreContact() (ago clock.Micros, resigned string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lastOK == 0 {
		return math.MaxInt64, k.resigned // never in this process's life
	}
	return k.clock.Now() - k.lastOK, k.resigned
}

// ObservePeer takes what a peer said of its own contact with the state service. When
// the peer has contact and this process has not, its duties are given up: the
// promise is that this incarnation never acts again.
func (k *Elector) ObservePeer(peerAgo clock.Micros) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heardAt = k.clock.Now()
	if peerAgo < k.timing.ResignAfter/2 {
		k.peerOK = k.clock.Now()
	}
	if inc, _ := k.book.Incarnation(); inc != "" && k.clock.Now()-k.lastOK > k.timing.ResignAfter && peerAgo < k.timing.ResignAfter/2 {
		k.resigned = k.book.Resign()
		k.log.Info("cut off from the state service while a peer is not: duties given up", "incarnation", inc)
		k.poke()
	}
}

// SharedOutage tells that neither this process nor any peer that it hears has
// contact with the state service. Then no controller is better placed than
// this one to answer users.
func (k *Elector) SharedOutage() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	return now-k.lastOK > k.timing.RenewInterval*3/2 && now-k.peerOK > k.timing.ResignAfter/2 && !k.alone(now)
}

// Isolated tells that this process reaches neither the state service nor any peer:
// as far as it can tell it is cut off by itself, and users are better served elsewhere.
func (k *Elector) Isolated() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.alone(k.clock.Now())
}

func (k *Elector) alone(now clock.Micros) bool {
	return k.book.PeerCount() > 0 && now-k.lastOK > k.timing.ResignAfter && now-k.heardAt > k.timing.ResignAfter
}

// SetUnreachable tells whether this controller is cut off from the workers.
func (k *Elector) SetUnreachable(unreachable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreachable = unreachable
	k.poke()
}

// RemoveResigned removes the registration of a peer's incarnation that has resigned.
func (k *Elector) RemoveResigned(ctx context.Context, host, incarnation string) {
	k.mu.Lock()
	inc, stamp := k.book.Registered(host)
	k.mu.Unlock()
	if incarnation == "" || inc != incarnation {
		return
	}
	_, err := k.store.Commit(ctx, wire.Txn{Conditions: []wire.Condition{{Key: kvstore.ControllerPrefix + host, ModRevision: stamp}},
		Operations: []wire.Operation{{Drop: kvstore.ControllerPrefix + host}}})
	k.log.Info("removed the registration of a resigned controller", "host", host, "err", err)
}

// Run keeps the registration and takes claims until ctx ends.
func (k *Elector) Run(ctx context.Context) error {
	for tries := 0; ctx.Err() == nil; {
		if inc, _ := k.current(); inc == "" {
			if err := k.register(ctx); err != nil {
				if tries++; tries%32 == 1 { // once in a while: an outage lasts many tries
					k.log.Info("registering", "tries", tries, "err", err)
				}
				k.sleep(ctx, 300*time.Millisecond)
			}
			continue
		}
		tries = 0
		k.step(ctx)
		k.sleep(ctx, 200*time.Millisecond)
	}
	return nil
}

func (k *Elector) current() (string, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Incarnation()
}

func (k *Elector) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// register makes a hold and puts a new incarnation under this host's key. The
// write is conditional on the key as read, so that a late copy of an old
// process's write can't undo it.
func (k *Elector) register(ctx context.Context) error {
	key := kvstore.ControllerPrefix + k.book.host
	it, _, err := k.store.Get(ctx, key)
	if err != nil {
		return err
	}
	sent := k.clock.Now()
	hold, err := k.store.GrantLease(ctx, k.timing.TTL.Duration())
	if err != nil {
		return err
	}
	inc := uuid.NewString()
	k.mu.Lock()
	unreachable := k.unreachable
	k.mu.Unlock()
	_, err = k.store.Commit(ctx, wire.Txn{Conditions: []wire.Condition{{Key: key, ModRevision: it.ModRevision}},
		Operations: []wire.Operation{{Put: key, Value: Registration{inc, unreachable}, LeaseID: hold}}})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.StartIncarnation(inc, hold, k.limit(sent))
	k.lastOK = sent
	k.log.Info("registered", "incarnation", inc)
	return nil
}

// limit is until when a hold confirmed by a request sent at a time surely lasts.
func (k *Elector) limit(sent clock.Micros) clock.Micros {
	return sent + k.timing.TTL.LessDrift() - 300*clock.Millisecond
}

// extendTimeout bounds a renewal. A service that answers slowly still renews the
// hold: giving up sooner would lose every duty to it, and all in vain.
const extendTimeout = 3 * time.Second

func (k *Elector) step(ctx context.Context) {
	inc, hold := k.current()
	now := k.clock.Now()
	k.mu.Lock()
	lapsed := inc != "" && !k.book.LeaseValid(now)
	if lapsed {
		k.resigned = k.book.Resign()
	}
	due := now-k.lastOK >= k.timing.RenewInterval
	wanted := k.book.Campaign(now, k.timing.TakeoverGrace)
	var give []Write
	if !lapsed && now >= k.gaveAt+clock.Second {
		if give = k.book.TransferLeadership(now, k.timing.TransferDelay); len(give) > 0 {
			k.gaveAt = now
		}
	}
	note, noting := k.book.ReachabilityUpdate(k.unreachable)
	k.mu.Unlock()
	if lapsed {
		k.log.Info("the hold could not be confirmed in time: duties given up", "incarnation", inc)
		return
	}
	if due {
		err := k.store.KeepAlive(ctx, hold, extendTimeout)
		switch {
		case err == nil:
			k.mu.Lock()
			k.book.ExtendLease(inc, k.limit(now))
			if k.lastOK < now {
				k.lastOK = now
			}
			k.mu.Unlock()
		case errors.Is(err, kvstore.ErrLeaseNotFound):
			k.mu.Lock()
			if cur, _ := k.book.Incarnation(); cur == inc {
				k.resigned = k.book.Resign()
			}
			k.mu.Unlock()
			k.log.Info("the hold has ended: duties given up", "incarnation", inc)
			return
		default:
			k.log.Debug("renewing the hold", "err", err)
			k.sleep(ctx, 300*time.Millisecond)
			return
		}
	}
	if noting {
		_, err := k.store.Commit(ctx, note)
		k.log.Info("told whether workers reach this controller", "unreachable", note.Operations[0].Value, "err", err)
	}
	var wg sync.WaitGroup
	for _, w := range give {
		wg.Go(func() {
			_, err := k.store.Commit(ctx, w.Txn)
			k.log.Info("handed a duty over", "duty", w.Duty, "err", err)
		})
	}
	for _, w := range wanted {
		wg.Go(func() {
			if _, err := k.store.Commit(ctx, w.Txn); err != nil {
				k.log.Debug("taking a claim", "duty", w.Duty, "err", err)
			} else {
				k.log.Info("took a claim", "duty", w.Duty)
			}
		})
	}
	wg.Wait()
}
