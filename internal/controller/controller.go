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
	set    *config.Settings
	log    *slog.Logger
	store  Store
	keeper *leaderelection.Elector
	book   *jobs.Cache
	owner  *partition.Server
	placer *scheduler.Server
	front  *api.Handler
	fleet  *autoscaler.Autoscaler
	peers  map[string]PeerClient
	loaded chan struct{}
	report *telemetry.Reporter
	// replayed counts the batches of changes taken from the replica.
	replayed *telemetry.Duty
	// fresh is how long ago its hold may have been confirmed for a controller to
	// count as reaching the state service.
	fresh clock.Micros

	zones       zoneBook
	followZones bool // work returns to zones in stages
	history     *history.Ring

	mu      sync.Mutex
	catalog wire.Catalog
	contact map[string]time.Time // when a peer last said that it reaches the state service
	told    map[string]told      // by peer
}

// New makes a controller from its settings, with clients for the services and
// peers that they name.
func New(set *config.Settings, knobs *policy.Parameters, log *slog.Logger) *Controller {
	p := &set.Params
	report := telemetry.NewReporter(log)
	peers := map[string]PeerClient{}
	for _, o := range set.Peers {
		peers[o.Host] = peer.NewClient(o.Addr, report.Traffic(telemetry.Peers))
	}
	client := kvstore.NewClient(set.Services.State, p.State.RPS, p.State.WriteRPS, p.Count, answerMost(p.Limits.MemoryMB))
	client.CountTraffic(report.Traffic(telemetry.StateService))
	urgent := kvstore.PriorityClient{Client: client}
	return assemble(&wiring{settings: set, parameters: knobs, store: client, priorityStore: urgent,
		userStore: kvstore.UserClient{PriorityClient: urgent}, peers: peers, seed: rand.Uint64(), telemetry: report, log: log})
}

// answerMost is the longest answer of a service that is taken, by the memory there is.
func answerMost(memoryMB float64) int { return int(min(max(memoryMB/16, 1), 32) * (1 << 20)) }

// Run serves until ctx ends.
func (n *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	limits := n.set.Params.Limits
	for _, w := range n.set.Degradations() {
		n.log.Error("a limit is very small", "what", w)
	}
	for _, w := range n.set.Insufficient(config.LargeFleet) {
		n.log.Info("a setting does not suffice for a large fleet", "machines", config.LargeFleet, "what", w)
	}
	for _, a := range n.set.Assumed {
		n.log.Info("a limit is not given", "what", a)
	}
	inbound, _ := n.set.Sockets()
	srv := httpx.NewServer(n.handle, answeredPromptly, inbound, int64(limits.MemoryMB*(1<<20)/8), 90*time.Second, n.log)
	g.Go(func() error { return srv.Run(ctx, n.set.Listen) })
	g.Go(func() error {
		return peer.Serve(ctx, n.set.PeerListen, &service{n}, n.report.Traffic(telemetry.Peers))
	})
	g.Go(func() error { return n.report.Run(ctx) })
	g.Go(func() error { return n.fleet.Run(ctx) })
	g.Go(func() error { return n.duties(ctx) })
	n.log.Info("merlinlatch is up", "listen", n.set.Listen)
	return g.Wait()
}

// duties runs all that needs the state service and the peers only.
func (n *Controller) duties(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	replica := kvstore.NewReplica(n.store, n.apply, n.log)
	g.Go(func() error { return replica.Run(ctx, n.loaded) })
	g.Go(func() error { return n.keeper.Run(ctx) })
	g.Go(func() error { return n.owner.Run(ctx) })
	g.Go(func() error { return n.placer.Run(ctx) })
	g.Go(func() error { return n.fleet.RunZones(ctx) })
	for h, c := range n.peers {
		g.Go(func() error { return n.greet(ctx, h, c) })
	}
	g.Go(func() error { return n.listen(ctx) })
	return g.Wait()
}

// apply takes events of the replica. Jobs, machines and progress are taken
// before claims, so that a duty gained stands on all that came before it.
func (n *Controller) apply(evs []kvstore.Event, rev uint64) {
	began := time.Now()
	defer func() { n.replayed.Round(time.Since(began)) }()
	for _, e := range evs {
		n.book.Apply(e)
		if e.Key == kvstore.CatalogKey && e.Value != nil {
			n.setCatalog(e.Value)
		}
	}
	n.book.AdvanceRevision(rev)
	n.owner.Apply(evs)
	n.placer.Apply(evs)
	for _, e := range evs {
		n.applyZone(e)
	}
	n.keeper.Apply(evs, rev)
	for _, e := range evs {
		if strings.HasPrefix(e.Key, kvstore.LeaderPrefix) || strings.HasPrefix(e.Key, kvstore.ControllerPrefix) {
			n.owner.Reconcile()
			n.placer.Reconcile()
			break
		}
	}
}

func (n *Controller) setCatalog(raw json.RawMessage) {
	var c wire.Catalog
	if err := json.Unmarshal(raw, &c); err != nil || len(c.Types) == 0 {
		n.log.Error("the kept catalog is not understood", "err", err)
		return
	}
	n.mu.Lock()
	n.catalog = c
	n.mu.Unlock()
	types, fetch, caches := map[string]resources.Amounts{}, map[string]float64{}, map[string]float64{}
	for _, t := range c.Types {
		caches[t.Name] = t.CacheGB
		fetch[t.Name] = t.FetchGBPS
		types[t.Name] = resources.Capacity(t.CPUs, t.GPUs, t.MemGB)
	}
	n.owner.SetTypes(types, caches)
	n.placer.SetFetchRates(fetch)
	n.placer.SetPrices(c.Types)
	n.front.SetTypes(c.Types)
}

func (n *Controller) keptCatalog() wire.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.catalog
}
