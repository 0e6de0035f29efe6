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

// wiring has the settings, clients and other dependencies from which assemble makes a controller.
type wiring struct {
	settings   *config.Settings
	parameters *policy.Parameters
	store      Store
	// priorityStore is the client for writes that users or other controllers wait for, such as accepted jobs and leaderships.
	priorityStore Store
	userStore     api.Store                                // for requests that the API handler makes for users
	peers         map[string]PeerClient                    // by host; this controller is not in it
	dialWorker    func(addr string) partition.WorkerClient // nil: over HTTP
	seed          uint64                                   // of the random sampling of machines by the scheduler
	telemetry     *telemetry.Reporter                      // nil if telemetry is disabled
	log           *slog.Logger
}

// assemble creates the components of a controller and connects them to each other, to the store and to the peers. It starts
// no goroutine.
//
// It creates the components in the order of their dependencies: first the job cache and the elector, which all others
// query; then the partition server; then the scheduler, which calls the partition server; last the API handler and the
// autoscaler, which call the controller itself.
func assemble(w *wiring) *Controller {
	monotonic, l := clock.NewMonotonic(), newLayout(w.settings)
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
	c.elector = leaderelection.NewElector(election, w.priorityStore, monotonic, leaseTiming(w.parameters), w.log)
	c.partitions = partition.New(c.partitionOptions(w, &l, monotonic))
	core := scheduler.NewScheduler(schedulerConfig(w, &l))
	c.scheduler = scheduler.NewServer(core, c.schedulerOptions(w, &l, monotonic))
	c.api = api.New(c.apiOptions(w, &l))
	c.autoscaler = autoscaler.New(c.autoscalerOptions(w, monotonic))
	return c
}

// storeContactMaxAge returns 1.6 renewal intervals of the controller lease, which tolerates a late renewal but not a missed one.
func storeContactMaxAge(parameters *policy.Parameters) clock.Micros {
	return parameters.LeaderRenewInterval * 8 / 5
}

// followsZoneStates reports whether work returns to zones in stages, which needs the policy parameter zone_return and at least
// two zones.
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

// newHistory creates the ring buffer of a controller's history events. It returns nil if the history is disabled.
func newHistory(w *wiring) *history.Ring {
	if !w.parameters.History {
		return nil
	}
	capacity := history.CapacityForBytes(int(w.settings.Params.Limits.MemoryMB * historyShare * (1 << 20)))
	return history.NewRing(w.settings.Host, capacity, wallClockMS)
}

// newJobCache creates the cache of jobs. If a history is kept, the cache adds an event to it when a job ends.
func newJobCache(ring *history.Ring) *jobs.Cache {
	if ring == nil {
		return jobs.NewCache()
	}
	return jobs.NewCache(jobs.OnFinal(func(id string, f jobs.Final) {
		ring.Add(history.Event{Kind: history.JobFinished, Job: id, Note: f.Phase})
	}))
}

// wallClockMS returns the wall-clock time in milliseconds since the Unix epoch.
func wallClockMS() int64 { return time.Now().UnixMilli() }
