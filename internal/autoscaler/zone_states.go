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

// zoneStepInterval is how often the states of zones are decided: a fraction of the shortest time
// that a state lasts, which is counted in seconds.
const zoneStepInterval = 500 * time.Millisecond

// ZoneSource provides what the fleet's leader decides the states of zones by.
type ZoneSource interface {
	// ZoneEvidence gives what is known of each zone's machines.
	ZoneEvidence() map[string]zone.Evidence
	// ZoneRecords gives the states on record, with their keys' mod revisions.
	ZoneRecords() map[string]ZoneRecord
}

// ZoneRecord is a state on record.
type ZoneRecord struct {
	zone.Record
	ModRevision uint64
}

// ZoneWatch has the fleet's leader decide the states of zones.
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

// zoneStates decides the states of zones while this controller leads the fleet, and writes them to the
// key-value store. A nil one decides nothing.
type zoneStates struct {
	watch       ZoneWatch
	elections   Elections
	store       Store
	controllers ControllerClient
	clock       clock.Clock
	wallClock   func() time.Time
	log         *slog.Logger

	failures int // writes that failed in a row; used by the loop of step alone

	mu           sync.Mutex
	decider      *zone.Decider     // nil while not leading
	modRevisions map[string]uint64 // of the zones' records, as last known
	unsaved      map[string]bool   // zones whose state is not on record as it was decided
}

// newZoneStates returns nil where the states of zones are not decided.
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

// RunZones decides the states of zones while this controller leads the fleet, until ctx ends. It is a
// loop of its own since it must not wait for the cloud, whose calls may take seconds.
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

// HoldZone stops a zone's return at its stage, or lets it go on. It returns once that is on record.
func (a *Autoscaler) HoldZone(ctx context.Context, name string, held bool) error {
	if a.zones == nil {
		return ErrZoneReturnDisabled
	}
	return a.zones.hold(ctx, name, held)
}

// startTerm goes on where the records stand.
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

// endTerm forgets what was decided: another leader goes on.
func (z *zoneStates) endTerm() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.decider = nil
}

// step decides, and writes what has changed.
func (z *zoneStates) step(ctx context.Context, leadership leaderelection.Leadership, demands []peer.Demand, now clock.Micros) {
	z.decide(demands, now)
	if err := z.save(ctx, leadership); err != nil {
		if z.failures++; loop.LogsFailure(z.failures) && ctx.Err() == nil {
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

// zoneWrite is a transaction with the states that it writes.
type zoneWrite struct {
	txn     wire.Txn
	records map[string]zone.Record
	names   []string // in the order of the transaction's operations
}

// save writes what is not on record yet.
func (z *zoneStates) save(ctx context.Context, leadership leaderelection.Leadership) error {
	w, err := z.pendingWrite(leadership)
	if err != nil || len(w.names) == 0 {
		return err
	}
	revision, err := z.store.Commit(ctx, w.txn)
	if err != nil {
		// The write's outcome may be unknown: what is on record by now is what the replica shows.
		z.reloadModRevisions()
		return err
	}
	z.acknowledge(w, revision)
	return nil
}

// pendingWrite is the write of all unsaved states, each on the condition of the fleet's leadership and
// of the key's mod revision as last known: a late copy, or a former leader's write, changes nothing.
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

// acknowledge takes note that a write is on record. A state that was decided anew meanwhile stays unsaved.
func (z *zoneStates) acknowledge(w zoneWrite, revision uint64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, name := range w.names {
		z.modRevisions[name] = revision
		if z.decider == nil || z.decider.Records()[name] == w.records[name] {
			delete(z.unsaved, name)
		}
	}
}

// hold stops a zone's return at its stage, or lets it go on, and saves that.
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

// closedZones are those in which no instances are requested now; unsettled reports whether some zone
// is not healthy.
func (z *zoneStates) closedZones() (closed map[string]bool, unsettled bool) {
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
		unsettled = unsettled || r.State != zone.Healthy
	}
	return closed, unsettled
}
