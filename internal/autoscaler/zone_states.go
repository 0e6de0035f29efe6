package autoscaler

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// zoneStepInterval is the time between two decisions on the states of zones. It is a fraction of the shortest time
// that a state lasts, which is some seconds.
const zoneStepInterval = 500 * time.Millisecond

// ZoneSource provides the input by which the fleet's leader decides the states of zones.
type ZoneSource interface {
	// ZoneEvidence returns, for each zone, how many machines it has, how many of them are missing, and how many are not
	// accounted for.
	ZoneEvidence() map[string]zone.Evidence
	// ZoneRecords returns the stored states of zones with the mod revisions of their keys.
	ZoneRecords() map[string]ZoneRecord
}

// ZoneRecord is a zone's state as the key-value store has it.
type ZoneRecord struct {
	zone.Record
	ModRevision uint64
}

// ZoneWatch configures the decisions on the states of zones. Without a Source no states are decided.
type ZoneWatch struct {
	Settings zone.Settings
	Names    []string
	Source   ZoneSource
}

// Errors of HoldZone.
var (
	ErrNotLeader          = errors.New("this controller does not lead the fleet")
	ErrUnknownZone        = errors.New("there is no such zone")
	ErrZoneReturnDisabled = errors.New("zone states are off")
)

// zoneStates decides the states of zones while this controller leads the fleet, and writes them to the key-value
// store. A nil *zoneStates decides nothing.
type zoneStates struct {
	watch       ZoneWatch
	elections   Elections
	store       Store
	controllers ControllerClient
	clock       clock.Clock
	wallClock   func() time.Time
	log         *slog.Logger

	failures int // consecutive failed writes; used by the goroutine of step only

	mu           sync.Mutex
	decider      *zone.Decider     // nil while this controller does not lead the fleet
	modRevisions map[string]uint64 // latest known mod revisions of the zones' records
	unsaved      map[string]bool   // zones whose latest state has not been written yet
}

// newZoneStates returns nil if o has no source of evidence on zones, so that no states are decided.
func newZoneStates(o Options) *zoneStates {
	if o.Zones.Source == nil {
		return nil
	}
	return &zoneStates{
		watch:       o.Zones,
		elections:   o.Elections,
		store:       o.Store,
		controllers: o.Controllers,
		clock:       o.Clock,
		wallClock:   o.WallClock,
		log:         o.Log,
	}
}

// RunZones decides the states of zones while this controller leads the fleet, and returns when ctx is done, or at once if
// no states are decided. It runs apart from Run, so that these decisions do not wait for calls of the cloud, which may take seconds.
func (a *Autoscaler) RunZones(ctx context.Context) error {
	z := a.zones
	if z == nil {
		return nil
	}
	leaderLoop{
		elections: z.elections,
		interval:  zoneStepInterval,
		startTerm: func(leaderelection.Leadership) { z.startTerm(z.clock.Now()) },
		step: func(ctx context.Context, leadership leaderelection.Leadership) {
			now := z.clock.Now()
			z.step(ctx, leadership, z.controllers.Demands(ctx), now)
		},
		endTerm: z.endTerm,
	}.run(ctx)
	return nil
}

// HoldZone holds a zone's return at its present stage, or lets it continue. It returns nil once that is stored.
func (a *Autoscaler) HoldZone(ctx context.Context, name string, held bool) error {
	if a.zones == nil {
		return ErrZoneReturnDisabled
	}
	return a.zones.hold(ctx, name, held)
}

// startTerm makes a decider that continues from the stored states, at the start of a term.
func (z *zoneStates) startTerm(now clock.Micros) {
	z.mu.Lock()
	defer z.mu.Unlock()
	records := map[string]zone.Record{}
	z.modRevisions, z.unsaved = map[string]uint64{}, map[string]bool{}
	for name, r := range z.watch.Source.ZoneRecords() {
		records[name], z.modRevisions[name] = r.Record, r.ModRevision
	}
	z.decider = zone.NewDecider(z.watch.Settings, z.watch.Names, records, now)
}

// endTerm discards the decider when leadership is lost. The next leader continues from the stored states.
func (z *zoneStates) endTerm() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.decider = nil
}

// step decides the states of all zones, and writes those that have changed.
func (z *zoneStates) step(ctx context.Context, leadership leaderelection.Leadership, demands []peer.Demand, now clock.Micros) {
	z.decide(demands, now)
	if err := z.save(ctx, leadership); err != nil {
		if z.failures++; loop.ShouldLogFailure(z.failures) && ctx.Err() == nil {
			z.log.Warn("zone state write failed", "error", err)
		}
		return
	}
	z.failures = 0
}

func (z *zoneStates) decide(demands []peer.Demand, now clock.Micros) {
	evidence := z.watch.Source.ZoneEvidence()
	z.mu.Lock()
	defer z.mu.Unlock()
	changed := z.decider.Step(evidence, peer.WaitingByStage(demands), now, z.wallClock().UnixMilli())
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		r := changed[name]
		z.unsaved[name] = true
		z.log.Info("zone state changed", "zone", name, "state", r.State, "stage", r.Stage.String(), "flaps", r.Flaps, "reason", r.Why)
	}
}

// zoneWrite is a transaction together with the states that it writes.
type zoneWrite struct {
	txn     wire.Txn
	records map[string]zone.Record
	names   []string // zones, in the order of the transaction's operations
}

// save writes all states that have not been written yet, in one transaction.
func (z *zoneStates) save(ctx context.Context, leadership leaderelection.Leadership) error {
	w, err := z.pendingWrite(leadership)
	if err != nil || len(w.names) == 0 {
		return err
	}
	revision, err := z.store.Commit(ctx, w.txn)
	if err != nil {
		// The transaction may have been carried out although there was no response. The replica of the store
		// shows which mod revisions the records have now.
		z.reloadModRevisions()
		return err
	}
	z.recordCommitted(w, revision)
	return nil
}

// pendingWrite returns the transaction that writes all unsaved states. It is conditional on the fleet's leadership and
// on the latest known mod revision of each key, so that a delayed copy of it, or a write of a former leader,
// changes nothing.
func (z *zoneStates) pendingWrite(leadership leaderelection.Leadership) (zoneWrite, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.decider == nil {
		return zoneWrite{}, ErrNotLeader
	}
	w := zoneWrite{
		txn:     wire.Txn{Conditions: []wire.Condition{leadershipCondition(leadership)}},
		records: z.decider.Records(),
		names:   slices.Sorted(maps.Keys(z.unsaved)),
	}
	for _, name := range w.names {
		key := kvstore.ZonePrefix + name
		w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: key, ModRevision: z.modRevisions[name]})
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Put: key, Value: w.records[name]})
	}
	return w, nil
}

func (z *zoneStates) reloadModRevisions() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for name, r := range z.watch.Source.ZoneRecords() {
		z.modRevisions[name] = r.ModRevision
	}
}

// recordCommitted records that a write was committed at a revision of the store. A zone whose state has changed since
// the write was made stays unsaved.
func (z *zoneStates) recordCommitted(w zoneWrite, revision uint64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, name := range w.names {
		z.modRevisions[name] = revision
		if z.decider == nil || z.decider.Records()[name] == w.records[name] {
			delete(z.unsaved, name)
		}
	}
}

// hold holds a zone's return at its present stage, or lets it continue, and writes the zone's state.
func (z *zoneStates) hold(ctx context.Context, name string, held bool) error {
	leadership, leading := z.elections.Leading(Duty)
	if !leading {
		return ErrNotLeader
	}
	if err := z.decideHold(name, held); err != nil {
		return err
	}
	return z.save(ctx, leadership)
}

func (z *zoneStates) decideHold(name string, held bool) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.decider == nil {
		return ErrNotLeader
	}
	if _, known := z.decider.Hold(name, held, z.wallClock().UnixMilli()); !known {
		return ErrUnknownZone
	}
	z.unsaved[name] = true
	return nil
}

// closedZones returns the zones in which no instances are requested at present, since they are suspect or lost.
// anyUnhealthy reports whether some zone is in another state than healthy.
func (z *zoneStates) closedZones() (closed map[string]bool, anyUnhealthy bool) {
	if z == nil {
		return nil, false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.decider == nil {
		return nil, false
	}
	closed = map[string]bool{}
	for name, r := range z.decider.Records() {
		if r.State == zone.Lost || r.State == zone.Suspect {
			closed[name] = true
		}
		anyUnhealthy = anyUnhealthy || r.State != zone.Healthy
	}
	return closed, anyUnhealthy
}
