package controller

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// zoneStates holds the replica's zone records. It is safe for concurrent use.
type zoneStates struct {
	mu      sync.Mutex
	records map[string]autoscaler.ZoneRecord // by zone
}

func newZoneStates() zoneStates {
	return zoneStates{records: map[string]autoscaler.ZoneRecord{}}
}

// apply updates the records with an event, and returns the zone that the event concerns and the zone's new record. The
// record is a healthy one if the event deletes the stored record or its value can't be decoded. changed is false if the
// event concerns no zone.
func (s *zoneStates) apply(e kvstore.Event) (name string, r zone.Record, changed bool) {
	name, ok := strings.CutPrefix(e.Key, kvstore.ZonePrefix)
	if !ok {
		return "", r, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Value == nil || json.Unmarshal(e.Value, &r) != nil {
		delete(s.records, name)
		return name, zone.Record{State: zone.Healthy}, true
	}
	s.records[name] = autoscaler.ZoneRecord{Record: r, ModRevision: e.ModRevision}
	return name, r, true
}

// snapshot returns a copy of the records, by zone.
func (s *zoneStates) snapshot() map[string]autoscaler.ZoneRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.records)
}

// ZoneRecords returns the replica's zone records, by zone. Healthy zones may have none.
func (c *Controller) ZoneRecords() map[string]autoscaler.ZoneRecord {
	return c.zones.snapshot()
}

// ZoneEvidence returns the counts of each zone's machines from which the zone's state is decided, by zone.
func (c *Controller) ZoneEvidence() map[string]zone.Evidence {
	return c.scheduler.ZoneEvidence(c.partitions.MisdirectedMachines())
}

// applyZoneState applies an event to the zone records. If it concerns a zone and followsZoneStates is set, it passes
// the zone's record to the partition server and the scheduler and adds the state to the history.
func (c *Controller) applyZoneState(e kvstore.Event) {
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

// zoneStatuses returns the status of each zone in the settings, which operators' commands show.
func (c *Controller) zoneStatuses() []peer.ZoneStatus {
	evidence, records, admitted := c.ZoneEvidence(), c.ZoneRecords(), c.partitions.AdmittedStages()
	waiting := peer.WaitingByStage(c.scheduler.Demands())
	out := make([]peer.ZoneStatus, 0, len(c.settings.Params.Zones))
	for _, name := range c.settings.Params.Zones {
		status := zoneStatus(name, records[name].Record, evidence[name], waiting)
		if stage, ok := admitted[name]; ok {
			status.Admits = stage.String()
		}
		out = append(out, status)
	}
	return out
}

// zoneStatus returns a zone's status; waiting is the number of waiting tasks by the stage that admits them.
func zoneStatus(name string, r zone.Record, evidence zone.Evidence, waiting map[recovery.Stage]int) peer.ZoneStatus {
	if r.State == "" {
		r.State = zone.Healthy
	}
	status := peer.ZoneStatus{Zone: name, State: string(r.State), Held: r.Held, Flaps: r.Flaps, AtMS: r.AtMS, Why: r.Why,
		Machines: evidence.Machines, Unheard: evidence.Missing, Unsettled: evidence.Unaccounted}
	if r.State != zone.Returning {
		return status
	}
	status.Stage = r.Stage.String()
	for stage, tasks := range waiting {
		if stage > r.Stage {
			status.Waiting += tasks
		}
	}
	return status
}

// holdZone holds the return of a zone at its present stage, or resumes it, if this controller leads the fleet. Any other controller
// only names the fleet's leader in its response, if there is one. With zone return disabled every controller refuses.
func (c *Controller) holdZone(in peer.ZoneHoldRequest) (out peer.ZoneHoldResponse) {
	if leader, ok := c.elector.Leader(autoscaler.Duty); ok {
		out.Holder = leader
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
