package autoscaler

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// ZoneSource tells what the fleet's holder decides the states of zones by.
type ZoneSource interface {
	// ZoneEvidence tells what is known of each zone's machines.
	ZoneEvidence() map[string]zone.Evidence
	// ZoneRecords gives the states on record, with their keys' stamps.
	ZoneRecords() map[string]ZoneRecord
}

// ZoneRecord is a state on record.
type ZoneRecord struct {
	zone.Record
	ModRevision uint64
}

// ZoneWatch has the fleet's holder decide the states of zones.
type ZoneWatch struct {
	Settings zone.Settings
	Names    []string
	Source   ZoneSource
}

// Errors of a hold.
var (
	ErrNotLeader          = errors.New("this controller does not hold the fleet")
	ErrUnknownZone        = errors.New("there is no such zone")
	ErrZoneReturnDisabled = errors.New("zone states are off")
)

// zoneStates is the deciding part of the duty.
type zoneStates struct {
	watch ZoneWatch

	mu           sync.Mutex
	decider      *zone.Decider // nil while the duty is not held
	modRevisions map[string]uint64
	unsaved      map[string]bool // zones whose state is not on record as it was decided
}

// zoneStepInterval is how often the states of zones are looked at.
const zoneStepInterval = 500 * time.Millisecond

// RunZones decides the states of zones while the duty is held, until ctx ends. It does not wait
// for the cloud, whose calls may take seconds.
func (a *Autoscaler) RunZones(ctx context.Context) error {
	z := &a.zones
	if z.watch.Source == nil {
		return nil
	}
	tick := time.NewTicker(zoneStepInterval)
	defer tick.Stop()
	term := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		h, mine := a.elections.Leading(Duty)
		if !mine {
			term = 0
			z.endTerm()
			continue
		}
		now := a.clock.Now()
		if h.Term != term {
			term = h.Term
			z.startTerm(now)
		}
		a.stepZones(ctx, h, a.controllers.Demands(ctx), now)
	}
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

// endTerm forgets what was decided: another holder goes on.
func (z *zoneStates) endTerm() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.decider = nil
}

// stepZones decides, and writes what has changed.
func (a *Autoscaler) stepZones(ctx context.Context, h leaderelection.Leadership, demands []peer.Demand, now clock.Micros) {
	z := &a.zones
	evidence := z.watch.Source.ZoneEvidence()
	z.mu.Lock()
	changed := z.decider.Step(evidence, peer.WaitingByStage(demands), now, a.wallClock().UnixMilli())
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		r := changed[name]
		z.unsaved[name] = true
		a.log.Info("a zone's state has changed", "zone", name, "state", r.State, "stage", r.Stage.String(), "flaps", r.Flaps, "why", r.Why)
	}
	z.mu.Unlock()
	if err := a.saveZones(ctx, h); err != nil {
		a.log.Debug("writing the states of zones", "err", err)
	}
}

// saveZones writes what is not on record yet, each on the condition of the fleet's claim and of the
// key's stamp as last known: a late copy, or a former holder's write, changes nothing.
func (a *Autoscaler) saveZones(ctx context.Context, h leaderelection.Leadership) error {
	z := &a.zones
	z.mu.Lock()
	if z.decider == nil {
		z.mu.Unlock()
		return ErrNotLeader
	}
	m := wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty, ModRevision: h.ModRevision}}}
	records := z.decider.Records()
	names := slices.Sorted(maps.Keys(z.unsaved))
	for _, name := range names {
		key := kvstore.ZonePrefix + name
		m.Conditions = append(m.Conditions, wire.Condition{Key: key, ModRevision: z.modRevisions[name]})
		m.Operations = append(m.Operations, wire.Operation{Put: key, Value: records[name]})
	}
	z.mu.Unlock()
	if len(names) == 0 {
		return nil
	}
	rev, err := a.store.Commit(ctx, m)
	z.mu.Lock()
	defer z.mu.Unlock()
	if err != nil {
		// Its fate may be unknown: what is on record by now is what the replica shows.
		for name, r := range z.watch.Source.ZoneRecords() {
			z.modRevisions[name] = r.ModRevision
		}
		return err
	}
	for _, name := range names {
		z.modRevisions[name] = rev
		if z.decider == nil || z.decider.Records()[name] == records[name] {
			delete(z.unsaved, name)
		}
	}
	return nil
}

// HoldZone stops a zone's return at its stage, or lets it go on. It returns once that is on record.
func (a *Autoscaler) HoldZone(ctx context.Context, name string, held bool) error {
	z := &a.zones
	if z.watch.Source == nil {
		return ErrZoneReturnDisabled
	}
	h, mine := a.elections.Leading(Duty)
	z.mu.Lock()
	if !mine || z.decider == nil {
		z.mu.Unlock()
		return ErrNotLeader
	}
	_, known := z.decider.Hold(name, held, a.wallClock().UnixMilli())
	if known {
		z.unsaved[name] = true
	}
	z.mu.Unlock()
	if !known {
		return ErrUnknownZone
	}
	return a.saveZones(ctx, h)
}

// closedZones are those in which no machines are rented now.
func (a *Autoscaler) closedZones() (closed map[string]bool, unsettled bool) {
	z := &a.zones
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

// maxIdleScaleIn is how many idle machines are given back at a time while a zone comes back: the
// replacements rented for it are not all dropped in the moment in which it is there again.
const maxIdleScaleIn = 2

// limitIdleScaleIn leaves of the machines to give back those that can't be used, and a few idle ones.
func limitIdleScaleIn(list []ScaleIn) (out []ScaleIn) {
	idle := 0
	for _, r := range list {
		if r.Reason == reasonIdle {
			if idle++; idle > maxIdleScaleIn {
				continue
			}
		}
		out = append(out, r)
	}
	return out
}
