// Package controller assembles a controller from its components and connects them to the key-value store, the
// peers, the workers and the users.
//
// The main types are Controller, which owns the components and their goroutines; rpcService, which implements the
// methods that peers and operators' commands call; reachability, which decides whether the workers reach this controller;
// peerStates, which caches what peers report; and zoneStates, which caches the zone records of the replica. The
// packages scheduler, partition and autoscaler decide about jobs, machines and the fleet, and leaderelection decides
// which controller leads what. This package decides only whether the workers reach the controller, whether the load
// balancer should send users to it (handleReady) and which peer a submission is forwarded to. The rest of it is I/O
// and wiring.
//
// Invariants kept here:
//   - Controller.apply passes the replica's events to the components in a fixed order, leaderships last, so that a
//     component that acts on an acquired leadership has already seen everything that was written before the
//     acquisition. Otherwise a new leader could miss a machine that has tasks, tasks that former leaders assigned, or the
//     end of a job, and run a task twice or after its job has ended (docs/design.md, "Why the rules hold", numbers 5, 7
//     and 11).
//   - A controller that its workers don't reach publishes that in its registration, and its partitions are transferred
//     (see reachability). It never concludes from being unreachable that machines are gone.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlinlatch/merlinlatch/internal/api"
	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// Store is the client of the key-value store. It combines the operations that the components of a controller need.
type Store interface {
	leaderelection.Store
	scheduler.Store
	kvstore.Source
}

// Controller is one controller process. The function assemble sets its fields, which don't change afterwards. State that
// changes is in the components and in catalog, zones and peerStates, each of which has its own lock.
type Controller struct {
	settings  *config.Settings
	log       *slog.Logger
	store     Store
	peers     map[string]PeerClient // by host; this controller is not in it
	telemetry *telemetry.Reporter   // nil if telemetry is disabled

	elector    *leaderelection.Elector
	jobs       *jobs.Cache
	partitions *partition.Server
	scheduler  *scheduler.Server
	api        *api.Handler
	autoscaler *autoscaler.Autoscaler
	history    *history.Ring // nil if no history is kept

	// replicaLoaded is closed once the replica has read the whole store.
	replicaLoaded chan struct{}
	// replicaApply measures the time that apply takes for each batch of the replica's events.
	replicaApply *telemetry.Duty
	// storeContactMaxAge is the age of the last confirmation of a controller's lease up to which that controller, this one
	// or a peer, counts as reaching the key-value store.
	storeContactMaxAge clock.Micros
	// followsZoneStates is set if work returns to a zone in stages after the zone was lost.
	followsZoneStates bool

	catalog    catalogCache
	zones      zoneStates
	peerStates peerStates
}

// New creates a controller from its settings, with clients for the services and peers that the settings name.
func New(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) *Controller {
	p := &settings.Params
	reporter := telemetry.NewReporter(log)
	peers := map[string]PeerClient{}
	for _, other := range settings.Peers {
		peers[other.Host] = peer.NewClient(other.Addr, reporter.Traffic(telemetry.Peers))
	}
	client := kvstore.NewClient(settings.Services.Store, p.Store.RPS, p.Store.WriteRPS, p.Count, maxResponseBytes(p.Limits.MemoryMB))
	client.CountTraffic(reporter.Traffic(telemetry.KVStore))
	priority := kvstore.PriorityClient{Client: client}
	return assemble(&wiring{
		settings:      settings,
		parameters:    parameters,
		store:         client,
		priorityStore: priority,
		userStore:     kvstore.UserClient{PriorityClient: priority},
		peers:         peers,
		seed:          rand.Uint64(),
		telemetry:     reporter,
		log:           log,
	})
}

// Run serves users, workers and peers until ctx ends or a component fails, then waits for all goroutines that it started.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	c.logLimits()
	server := c.httpServer()
	g.Go(func() error { return server.Run(ctx, c.settings.Listen) })
	g.Go(func() error {
		return peer.Serve(ctx, c.settings.PeerListen, &rpcService{c}, c.telemetry.Traffic(telemetry.Peers))
	})
	g.Go(func() error { return c.telemetry.Run(ctx) })
	g.Go(func() error { return c.autoscaler.Run(ctx) })
	g.Go(func() error { return c.runDuties(ctx) })
	c.log.Info("controller started", "listen", c.settings.Listen)
	return g.Wait()
}

// logLimits logs the resource limits that are too small, the settings that don't suffice for a large fleet, and the limits that
// the settings don't give and for which defaults are assumed.
func (c *Controller) logLimits() {
	for _, reason := range c.settings.Degradations() {
		c.log.Error("resource limit insufficient", "reason", reason)
	}
	for _, reason := range c.settings.Insufficient(config.LargeFleet) {
		c.log.Info("setting insufficient for large fleet", "machines", config.LargeFleet, "reason", reason)
	}
	for _, reason := range c.settings.Assumed {
		c.log.Info("resource limit assumed", "reason", reason)
	}
}

const (
	// idleConnectionTimeout is how long a connection of a user or worker may go without a request before the server
	// closes it. Workers send a heartbeat every few seconds, so their connections stay open.
	idleConnectionTimeout = 90 * time.Second
	// pendingRequestShare is the share of the controller's memory that unanswered requests may take.
	pendingRequestShare = 1.0 / 8
)

func (c *Controller) httpServer() *httpx.Server {
	connections, _ := c.settings.Sockets()
	pendingBytes := int64(c.settings.Params.Limits.MemoryMB * (1 << 20) * pendingRequestShare)
	return httpx.NewServer(c.handleRequest, answeredFromMemory, connections, pendingBytes, idleConnectionTimeout, c.log)
}

// runDuties runs all goroutines that need neither a listening socket nor the cloud, until ctx ends or one of them fails, and
// waits for them. Scenario tests call it instead of Run, which also opens sockets and runs the autoscaler.
func (c *Controller) runDuties(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	replica := kvstore.NewReplica(c.store, c.apply, c.log)
	g.Go(func() error { return replica.Run(ctx, c.replicaLoaded) })
	g.Go(func() error { return c.elector.Run(ctx) })
	g.Go(func() error { return c.partitions.Run(ctx) })
	g.Go(func() error { return c.scheduler.Run(ctx) })
	g.Go(func() error { return c.autoscaler.RunZones(ctx) })
	for host, client := range c.peers {
		g.Go(func() error { return c.exchangeHeartbeats(ctx, host, client) })
	}
	g.Go(func() error { return c.watchReachability(ctx) })
	return g.Wait()
}

// apply passes a batch of the replica's events, up to revision rev, to the components. Only the replica's goroutine calls it.
//
// The order matters for correctness. A component that acts on a leadership must have seen everything that was written
// before the leadership was acquired, so leaderships come last. The numbers below refer to docs/design.md, "Why the rules hold".
//
//  1. The job cache and the catalog. The end of a job must be known before any component asks about the job; otherwise a
//     task of a job that has ended could be started (number 11).
//  2. The revision of the job cache. Assignments are checked against it: a job that is missing from a cache that lags
//     behind the job's record must not be taken for ended (number 11).
//  3. The partition server and the scheduler, which take machine records, progress and watermarks. A new leader needs
//     them to know which machines and tasks former leaders may have used (numbers 5 to 7).
//  4. Zone states.
//  5. The elector, which takes leaderships and registrations.
//  6. If the batch has a leadership or a registration, the partition server and the scheduler reconcile what they lead with
//     it, once for the whole batch.
func (c *Controller) apply(events []kvstore.Event, rev uint64) {
	start := time.Now()
	defer func() { c.replicaApply.RecordRound(time.Since(start)) }()
	for _, e := range events {
		c.jobs.Apply(e)
		if e.Key == kvstore.CatalogKey && e.Value != nil {
			c.applyCatalog(e.Value)
		}
	}
	c.jobs.AdvanceRevision(rev)
	c.partitions.Apply(events)
	c.scheduler.Apply(events)
	for _, e := range events {
		c.applyZoneState(e)
	}
	c.elector.Apply(events, rev)
	if slices.ContainsFunc(events, changesLeadership) {
		c.partitions.Reconcile()
		c.scheduler.Reconcile()
	}
}

// changesLeadership reports whether an event concerns a leadership or a controller's registration.
func changesLeadership(e kvstore.Event) bool {
	return strings.HasPrefix(e.Key, kvstore.LeaderPrefix) || strings.HasPrefix(e.Key, kvstore.ControllerPrefix)
}
