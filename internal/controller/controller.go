// Package node wires a controller together: the replica feeds the book of jobs,
// the owner, the placer and the claims; connections reach the front and the owner.
package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
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
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Store is the state service as all the duties together need it.
type Store interface {
	leaderelection.Store
	scheduler.Store
	kvstore.Source
}

// Controller is one controller.
type Controller struct {
	settings      *config.Settings
	log           *slog.Logger
	store         Store
	elector       *leaderelection.Elector
	jobs          *jobs.Cache
	partitions    *partition.Server
	scheduler     *scheduler.Server
	api           *api.Handler
	autoscaler    *autoscaler.Autoscaler
	peers         map[string]PeerClient
	replicaLoaded chan struct{}
	telemetry     *telemetry.Reporter
	// replicaApply counts the batches of changes taken from the replica.
	replicaApply *telemetry.Duty
	// storeContactMaxAge is how long ago its hold may have been confirmed for a controller to
	// count as reaching the state service.
	storeContactMaxAge clock.Micros

	zones             zoneStates
	followsZoneStates bool // work returns to zones in stages
	history           *history.Ring

	mu             sync.Mutex
	catalog        wire.Catalog
	storeReachedAt map[string]time.Time  // when a peer last said that it reaches the state service
	peerStatuses   map[string]peerStatus // by peer
}

// New makes a controller from its settings, with clients for the services and
// peers that they name.
func New(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) *Controller {
	p := &settings.Params
	report := telemetry.NewReporter(log)
	peers := map[string]PeerClient{}
	for _, o := range settings.Peers {
		peers[o.Host] = peer.NewClient(o.Addr, report.Traffic(telemetry.Peers))
	}
	client := kvstore.NewClient(settings.Services.State, p.State.RPS, p.State.WriteRPS, p.Count, maxResponseBytes(p.Limits.MemoryMB))
	client.CountTraffic(report.Traffic(telemetry.StateService))
	urgent := kvstore.PriorityClient{Client: client}
	return assemble(&wiring{settings: settings, parameters: parameters, store: client, priorityStore: urgent,
		userStore: kvstore.UserClient{PriorityClient: urgent}, peers: peers, seed: rand.Uint64(), telemetry: report, log: log})
}

// maxResponseBytes is the longest answer of a service that is taken, by the memory there is.
func maxResponseBytes(memoryMB float64) int { return int(min(max(memoryMB/16, 1), 32) * (1 << 20)) }

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	limits := c.settings.Params.Limits
	for _, w := range c.settings.Degradations() {
		c.log.Error("a limit is very small", "what", w)
	}
	for _, w := range c.settings.Insufficient(config.LargeFleet) {
		c.log.Info("a setting does not suffice for a large fleet", "machines", config.LargeFleet, "what", w)
	}
	for _, a := range c.settings.Assumed {
		c.log.Info("a limit is not given", "what", a)
	}
	inbound, _ := c.settings.Sockets()
	srv := httpx.NewServer(c.handleRequest, answeredFromMemory, inbound, int64(limits.MemoryMB*(1<<20)/8), 90*time.Second, c.log)
	g.Go(func() error { return srv.Run(ctx, c.settings.Listen) })
	g.Go(func() error {
		return peer.Serve(ctx, c.settings.PeerListen, &rpcService{c}, c.telemetry.Traffic(telemetry.Peers))
	})
	g.Go(func() error { return c.telemetry.Run(ctx) })
	g.Go(func() error { return c.autoscaler.Run(ctx) })
	g.Go(func() error { return c.runDuties(ctx) })
	c.log.Info("merlinlatch is up", "listen", c.settings.Listen)
	return g.Wait()
}

// runDuties runs all that needs the state service and the peers only.
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

// apply takes events of the replica. Jobs, machines and progress are taken
// before claims, so that a duty gained stands on all that came before it.
func (c *Controller) apply(evs []kvstore.Event, rev uint64) {
	began := time.Now()
	defer func() { c.replicaApply.Round(time.Since(began)) }()
	for _, e := range evs {
		c.jobs.Apply(e)
		if e.Key == kvstore.CatalogKey && e.Value != nil {
			c.setCatalog(e.Value)
		}
	}
	c.jobs.AdvanceRevision(rev)
	c.partitions.Apply(evs)
	c.scheduler.Apply(evs)
	for _, e := range evs {
		c.applyZone(e)
	}
	c.elector.Apply(evs, rev)
	for _, e := range evs {
		if strings.HasPrefix(e.Key, kvstore.LeaderPrefix) || strings.HasPrefix(e.Key, kvstore.ControllerPrefix) {
			c.partitions.Reconcile()
			c.scheduler.Reconcile()
			break
		}
	}
}

func (c *Controller) setCatalog(raw json.RawMessage) {
	var catalog wire.Catalog
	if err := json.Unmarshal(raw, &catalog); err != nil || len(catalog.Types) == 0 {
		c.log.Error("the kept catalog is not understood", "err", err)
		return
	}
	c.mu.Lock()
	c.catalog = catalog
	c.mu.Unlock()
	types, fetch, caches := map[string]resources.Amounts{}, map[string]float64{}, map[string]float64{}
	for _, t := range catalog.Types {
		caches[t.Name] = t.CacheGB
		fetch[t.Name] = t.FetchGBPS
		types[t.Name] = resources.Capacity(t.CPUs, t.GPUs, t.MemGB)
	}
	c.partitions.SetTypes(types, caches)
	c.scheduler.SetFetchRates(fetch)
	c.scheduler.SetPrices(catalog.Types)
	c.api.SetTypes(catalog.Types)
}

func (c *Controller) storedCatalog() wire.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog
}
