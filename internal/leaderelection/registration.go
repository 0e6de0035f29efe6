package leaderelection

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// register creates a controller lease and writes a new incarnation under it to this controller's key. The write is conditional
// on the key's mod revision as just read. A delayed copy of an older process's registration therefore fails and does not
// replace the newer one.
func (e *Elector) register(ctx context.Context) error {
	key := kvstore.ControllerPrefix + e.election.controller
	former, _, err := e.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read former registration: %w", err)
	}
	sentAt := e.clock.Now()
	leaseID, err := e.store.GrantLease(ctx, e.timing.TTL.Duration())
	if err != nil {
		return fmt.Errorf("create controller lease: %w", err)
	}
	e.mu.Lock()
	registration := Registration{uuid.NewString(), e.unreachable}
	e.mu.Unlock()
	_, err = e.store.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: key, ModRevision: former.ModRevision}},
		Operations: []wire.Operation{{Put: key, Value: registration, LeaseID: leaseID}},
	})
	if err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.election.StartIncarnation(registration.Incarnation, leaseID, e.leaseExpiry(sentAt))
	e.lastRenewal = sentAt
	e.log.Info("controller registered", "incarnation", registration.Incarnation)
	return nil
}

// SetUnreachable records whether this controller's workers do not reach it. Run publishes that in the registration. Once the
// replica shows it, Run transfers the leaderships that need the workers, if another controller may lead them.
func (e *Elector) SetUnreachable(unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable = unreachable
	e.wake.Notify()
}

// publishReachability records in this controller's registration whether its workers reach it.
func (e *Elector) publishReachability(ctx context.Context, due actions) {
	if _, err := e.store.Commit(ctx, due.reachability); err != nil {
		e.log.Warn("reachability publication failed", "unreachable", due.unreachable, "error", err)
		return
	}
	e.log.Info("reachability published", "unreachable", due.unreachable)
}

// RemoveResigned deletes the registration of a peer's incarnation that has resigned, so that its leaderships are free before
// its lease expires. It does nothing if that incarnation is not the peer's registered one.
func (e *Elector) RemoveResigned(ctx context.Context, peer, incarnation string) {
	e.mu.Lock()
	registered, modRevision := e.election.RegisteredIncarnation(peer)
	e.mu.Unlock()
	if incarnation == "" || registered != incarnation {
		return
	}
	key := kvstore.ControllerPrefix + peer
	_, err := e.store.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: key, ModRevision: modRevision}},
		Operations: []wire.Operation{{Drop: key}},
	})
	if err != nil {
		e.log.Warn("peer registration removal failed", "peer", peer, "error", err)
		return
	}
	e.log.Info("peer registration removed", "peer", peer)
}
