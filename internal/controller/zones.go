package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// zoneStates holds the states of zones as the replica shows them.
type zoneStates struct {
	mu      sync.Mutex
	records map[string]autoscaler.ZoneRecord
}

// apply takes an event; changed gives the zone that it is about.
func (b *zoneStates) apply(e kvstore.Event) (name string, r zone.Record, changed bool) {
	name, ok := strings.CutPrefix(e.Key, kvstore.ZonePrefix)
	if !ok {
		return "", r, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Value == nil || json.Unmarshal(e.Value, &r) != nil {
		delete(b.records, name)
		return name, zone.Record{State: zone.Healthy}, true
	}
	b.records[name] = autoscaler.ZoneRecord{Record: r, ModRevision: e.ModRevision}
	return name, r, true
}

// ZoneRecords gives the states on record.
func (c *Controller) ZoneRecords() map[string]autoscaler.ZoneRecord {
	c.zones.mu.Lock()
	defer c.zones.mu.Unlock()
	out := make(map[string]autoscaler.ZoneRecord, len(c.zones.records))
	for name, r := range c.zones.records {
		out[name] = r
	}
	return out
}

// ZoneEvidence tells what is known of each zone's machines.
func (c *Controller) ZoneEvidence() map[string]zone.Evidence {
	return c.scheduler.ZoneEvidence(c.partitions.MisdirectedMachines())
}

// applyZone takes a zone's state from the replica, where states are followed.
func (c *Controller) applyZone(e kvstore.Event) {
	name, r, changed := c.zones.apply(e)
	if !changed || !c.followsZoneStates {
		return
	}
	c.partitions.SetZoneState(name, r)
	c.scheduler.SetZoneState(name, r)
	note := string(r.State)
	if r.State == zone.Returning {
		note += " " + r.Stage.String()
	}
	c.history.Add(history.Event{Kind: history.ZoneChanged, Zone: name, Note: note})
}

// zoneStatuses tells how each zone stands.
func (c *Controller) zoneStatuses() []peer.ZoneStatus {
	evidence, records, gates := c.ZoneEvidence(), c.ZoneRecords(), c.partitions.AdmittedStages()
	waiting := peer.WaitingByStage(c.scheduler.Demands())
	out := make([]peer.ZoneStatus, 0, len(c.settings.Params.Zones))
	for _, name := range c.settings.Params.Zones {
		r, e := records[name], evidence[name]
		if r.State == "" {
			r.State = zone.Healthy
		}
		s := peer.ZoneStatus{Zone: name, State: string(r.State), Held: r.Held, Flaps: r.Flaps, AtMS: r.AtMS, Why: r.Why,
			Machines: e.Machines, Unheard: e.Unheard, Unsettled: e.Unsettled}
		if r.State == zone.Returning {
			s.Stage = r.Stage.String()
			for stage, n := range waiting {
				if stage > r.Stage {
					s.Waiting += n
				}
			}
		}
		if g, ok := gates[name]; ok {
			s.Admits = g.String()
		}
		out = append(out, s)
	}
	return out
}

// holdZone stops a return, or lets it go on, if this controller holds the fleet.
func (c *Controller) holdZone(in peer.ZoneHoldRequest) (out peer.ZoneHoldResponse) {
	if holder, ok := c.elector.Leader(autoscaler.Duty); ok {
		out.Holder = holder
	}
	err := c.autoscaler.HoldZone(context.Background(), in.Zone, in.Held)
	switch {
	case err == nil:
		out.Done = true
	case errors.Is(err, autoscaler.ErrNotLeader):
	default:
		out.Refusal = err.Error()
	}
	return out
}
