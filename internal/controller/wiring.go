package controller

import (
	"log/slog"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/api"
	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// wiring is what a controller is assembled from.
type wiring struct {
	settings   *config.Settings
	parameters *policy.Parameters
	store      Store
	// priorityStore takes what users or other controllers wait for: accepted jobs, leaderships.
	priorityStore Store
	userStore     api.Store // for reads on users' behalf
	peers         map[string]PeerClient
	seed          uint64              // decides which machines are sampled
	telemetry     *telemetry.Reporter // nil: nothing is counted
	log           *slog.Logger
}

// assemble connects the parts of a controller with each other, with the store and with the peers. It starts nothing.
//
// The order is that of the dependencies: the job cache and the elector, which all others ask; the partition server;
// the scheduler, which calls it; the API handler and the autoscaler, which call the controller itself.
func assemble(w *wiring) *Controller {
	steady, l := clock.NewSteady(), newLayout(w.settings)
	c := &Controller{
		settings:           w.settings,
		log:                w.log,
		store:              w.store,
		peers:              w.peers,
		telemetry:          w.telemetry,
		history:            newHistory(w),
		replicaLoaded:      make(chan struct{}),
		replicaApply:       w.telemetry.Duty("replica_apply"),
		storeContactMaxAge: storeContactMaxAge(w.parameters),
		followsZoneStates:  followsZoneStates(w),
		zones:              newZoneStates(),
		peerStates:         newPeerStates(),
	}
	c.jobs = newJobCache(c.history)
	election := leaderelection.NewElection(w.settings.Host, l.hosts, l.duties(), len(l.partitionDuties))
	c.elector = leaderelection.NewElector(election, w.priorityStore, steady, leaseTiming(w.parameters), w.log)
	c.partitions = partition.New(c.partitionOptions(w, &l, steady))
	core := scheduler.NewScheduler(schedulerConfig(w, &l))
	c.scheduler = scheduler.New(core, c.schedulerOptions(w, &l, steady))
	c.api = api.New(c.apiOptions(w, &l))
	c.autoscaler = autoscaler.New(c.autoscalerOptions(w, steady))
	return c
}

// storeContactMaxAge is 1.6 renewal intervals of the controller lease: a renewal may be late, but none may be missing.
func storeContactMaxAge(parameters *policy.Parameters) clock.Micros {
	return parameters.LeaderRenewInterval * 8 / 5
}

// followsZoneStates is whether work returns to zones in stages: where that is on and there are several zones.
func followsZoneStates(w *wiring) bool {
	if !w.parameters.ZoneReturn {
		return false
	}
	if zones := w.settings.Params.Zones; len(zones) < 2 {
		w.log.Warn("zone return disabled", "zones", zones, "reason", "fewer than two zones")
		return false
	}
	return true
}

// newHistory makes the ring of events that a controller keeps; nil where that is off.
func newHistory(w *wiring) *history.Ring {
	if !w.parameters.History {
		return nil
	}
	entries := history.Entries(int(w.settings.Params.Limits.MemoryMB * historyShare * (1 << 20)))
	return history.NewRing(w.settings.Host, entries, wallMS)
}

// newJobCache makes the cache of jobs, which records the end of each in a history, if one is kept.
func newJobCache(ring *history.Ring) *jobs.Cache {
	if ring == nil {
		return jobs.NewCache()
	}
	return jobs.NewCache(jobs.OnFinal(func(id string, f jobs.Final) {
		ring.Add(history.Event{Kind: history.JobOver, Job: id, Note: f.Phase})
	}))
}

// wallMS is the time of day in milliseconds since the epoch.
func wallMS() int64 { return time.Now().UnixMilli() }
