// Package controller assembles one controller from its parts and connects them with the key-value store, the
// peers, the workers and the users.
//
// The main types are Controller, which owns the parts and their goroutines; rpcService, the methods that peers
// call; reachability, the decision whether the workers reach this controller; peerStates and zoneStates, what
// peers and the replica report. What is decided about jobs, machines and the fleet is decided in the packages
// scheduler, partition and autoscaler, and who leads what in leaderelection. This package decides only whether the
// workers reach the controller, whether users should come to it (handleReady) and where to forward a submission;
// the rest of it is I/O and wiring.
//
// Invariants kept here:
//   - Events of the replica reach the parts in a fixed order, leaderships last (see Controller.apply), so that a
//     part that acts on an acquired leadership has everything that was written before it was acquired. Arguments 5, 7
//     and 11 of "Why the rules hold" in docs/design.md rest on it.
//   - A controller that its workers don't reach says so in its registration and its partitions are transferred
//     (see reachability); it never decides by that that machines are gone.
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

// Store is the key-value store as all parts of a controller together need it.
type Store interface {
	leaderelection.Store
	scheduler.Store
	kvstore.Source
}

// Controller is one controller. Its fields are set by assemble and don't change afterwards; what changes is in the
// parts, in catalog, zones and peerStates, each of which has its own lock.
type Controller struct {
	settings  *config.Settings
	log       *slog.Logger
	store     Store
	peers     map[string]PeerClient // by host, without this one
	telemetry *telemetry.Reporter   // nil: nothing is counted

	elector    *leaderelection.Elector
	jobs       *jobs.Cache
	partitions *partition.Server
	scheduler  *scheduler.Server
	api        *api.Handler
	autoscaler *autoscaler.Autoscaler
	history    *history.Ring // nil: no history is kept

	// replicaLoaded is closed once the replica has read the whole store.
	replicaLoaded chan struct{}
	// replicaApply counts the batches of events taken from the replica.
	replicaApply *telemetry.Duty
	// storeContactMaxAge is how long ago its lease may have been confirmed for a controller, this one or a peer,
	// to count as reaching the key-value store.
	storeContactMaxAge clock.Micros
	// followsZoneStates is set where work returns to a zone in stages.
	followsZoneStates bool

	catalog    catalogCache
	zones      zoneStates
	peerStates peerStates
}

// New makes a controller from its settings, with clients for the services and
// peers that they name.
func New(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) *Controller {
	p := &settings.Params
	reporter := telemetry.NewReporter(log)
	peers := map[string]PeerClient{}
	for _, other := range settings.Peers {
		peers[other.Host] = peer.NewClient(other.Addr, reporter.Traffic(telemetry.Peers))
	}
	client := kvstore.NewClient(settings.Services.State, p.State.RPS, p.State.WriteRPS, p.Count, maxResponseBytes(p.Limits.MemoryMB))
	client.CountTraffic(reporter.Traffic(telemetry.StateService))
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

// Run serves users, workers and peers until ctx ends or a part fails, and waits for everything that it started.
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

// logLimits logs which limits are too small, not sufficient for a large fleet, or assumed.
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
	// idleConnectionTimeout is after how long without a request a connection of a user or worker is closed. Workers
	// send a heartbeat every few seconds and so keep theirs.
	idleConnectionTimeout = 90 * time.Second
	// pendingRequestShare is the part of its memory that requests which are not answered yet may take.
	pendingRequestShare = 1.0 / 8
)

func (c *Controller) httpServer() *httpx.Server {
	connections, _ := c.settings.Sockets()
	pendingBytes := int64(c.settings.Params.Limits.MemoryMB * (1 << 20) * pendingRequestShare)
	return httpx.NewServer(c.handleRequest, answeredFromMemory, connections, pendingBytes, idleConnectionTimeout, c.log)
}

// runDuties runs everything that needs the key-value store and the peers only, until ctx ends, and waits for it.
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

// apply hands a batch of events of the replica, up to revision rev, to the parts. Only the replica's goroutine calls it.
//
// The order is part of the rules. Whoever acts on a leadership must have all that was written before it was
// acquired, so leaderships come last:
//
//  1. the job cache and the catalog: a job's end is known before any part is asked about it (argument 11);
//  2. the job cache's revision, since assignments are checked against it (argument 11);
//  3. the partition server and the scheduler: machine records, progress, watermarks (arguments 5 to 7);
//  4. zone states;
//  5. the elector: leaderships and registrations;
//  6. where one of those is in the batch, both servers reconcile what they lead with it. They do so once a batch.
func (c *Controller) apply(events []kvstore.Event, rev uint64) {
	began := time.Now()
	defer func() { c.replicaApply.Round(time.Since(began)) }()
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

// changesLeadership is whether an event concerns a leadership or a controller's registration.
func changesLeadership(e kvstore.Event) bool {
	return strings.HasPrefix(e.Key, kvstore.LeaderPrefix) || strings.HasPrefix(e.Key, kvstore.ControllerPrefix)
}
