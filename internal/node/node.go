// Package node wires a controller together: the replica feeds the book of jobs,
// the owner, the placer and the claims; connections reach the front and the owner.
package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/merlinlatch/merlinlatch/internal/claim"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fleet"
	"github.com/merlinlatch/merlinlatch/internal/front"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/owner"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/placer"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/internal/res"
	"github.com/merlinlatch/merlinlatch/internal/state"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// partsPerController is how many partitions there are for each controller.
const partsPerController = 4

// Store is the state service as all the duties together need it.
type Store interface {
	claim.Store
	placer.Store
	state.Source
}

// Node is one controller.
type Node struct {
	set    *config.Settings
	log    *slog.Logger
	store  Store
	keeper *claim.Keeper
	book   *jobs.Book
	owner  *owner.Owner
	placer *placer.Placer
	front  *front.Front
	fleet  *fleet.Fleet
	peers  map[string]Peer
	loaded chan struct{}
	report *telemetry.Reporter
	// replayed counts the batches of changes taken from the replica.
	replayed *telemetry.Duty
	// fresh is how long ago its hold may have been confirmed for a controller to
	// count as reaching the state service.
	fresh clock.Micros

	mu      sync.Mutex
	catalog wire.Catalog
	contact map[string]time.Time // when a peer last said that it reaches the state service
	told    map[string]told      // by peer
}

// New makes a controller from its settings, with clients for the services and
// peers that they name.
func New(ctx context.Context, set *config.Settings, knobs *policy.Knobs, log *slog.Logger) *Node {
	p := &set.Params
	report := telemetry.NewReporter(log)
	peers := map[string]Peer{}
	for _, o := range set.Peers {
		peers[o.Host] = peer.NewClient(o.Addr, report.Traffic(telemetry.Peers))
	}
	client := state.NewClient(set.Services.State, p.State.RPS, p.State.WriteRPS, p.Count, answerMost(p.Limits.MemoryMB))
	client.Count(report.Traffic(telemetry.StateService))
	urgent := state.Urgent{Client: client}
	n := assemble(ctx, set, knobs, client, urgent, state.Users{Urgent: urgent}, peers, log)
	n.measure(report)
	return n
}

// measure has all parts count what they do.
func (n *Node) measure(r *telemetry.Reporter) {
	n.report = r
	n.owner.Measure(r)
	n.placer.Measure(r)
	n.fleet.Measure(r)
	n.replayed = r.Duty("replica_apply")
}

// answerMost is the longest answer of a service that is taken, by the memory there is.
func answerMost(memoryMB float64) int { return int(min(max(memoryMB/16, 1), 32) * (1 << 20)) }

// assemble wires a controller to a state service and to peers. What users or
// other controllers wait for, accepted jobs and claims, goes the urgent way, and
// what users ask a way of its own.
func assemble(ctx context.Context, set *config.Settings, knobs *policy.Knobs, store, urgent Store, users front.Store, peers map[string]Peer, log *slog.Logger) *Node {
	p := &set.Params
	n := &Node{fresh: knobs.HoldRenew * 8 / 5, set: set, log: log, store: store, book: jobs.NewBook(), peers: peers, contact: map[string]time.Time{}, told: map[string]told{}, loaded: make(chan struct{})}
	c := clock.NewSteady()
	instance := uuid.NewString()
	hosts := []string{set.Host}
	for _, o := range set.Peers {
		hosts = append(hosts, o.Host)
	}
	slices.Sort(hosts)
	parts := min(partsPerController*p.Count, placer.MostParts(p.State.TxnOps))
	valueMost := int(p.State.ValueKB * 1024 * 0.9)
	zoneOf := map[string]string{set.Host: set.Zone}
	for _, o := range set.Peers {
		zoneOf[o.Host] = o.Zone
	}
	duties, partDuties, partZones := []string{}, []string{}, []string{}
	for i := range parts {
		partDuties = append(partDuties, owner.Duty(i))
		partZones = append(partZones, zoneOf[claim.Preferred(hosts, i, 0)])
	}
	duties = append(duties, partDuties...)
	teams := make([]placer.Team, 0, len(p.Teams))
	limits := map[string]res.Amounts{}
	for _, t := range p.Teams {
		tm := placer.Team{Name: t.Name, Guarantee: res.Have(t.CPUs, t.GPUs, 0), Limit: res.Have(t.CPUsMax, t.GPUsMax, 0)}
		teams = append(teams, tm)
		limits[t.Name] = tm.Limit
		duties = append(duties, placer.Duty(t.Name))
	}
	duties = append(duties, fleet.Duty)
	n.keeper = claim.NewKeeper(claim.NewBook(set.Host, hosts, duties, parts), urgent, c,
		claim.Timing{TTL: knobs.HoldTTL, Renew: knobs.HoldRenew, Grace: knobs.HoldGrace, ResignAfter: knobs.ResignAfter, Settle: knobs.HandOver}, log)
	wall := time.Now
	_, lines := set.Sockets()
	n.owner = owner.New(ctx, set.Host, instance, owner.NewSplit(partZones), p.State.TxnOps, valueMost, lines,
		owner.Timing{Lease: set.Lease(), Quiet: min(clock.FromSeconds(2.5*p.Workers.ReportS+1), set.Lease()*2/3), LeaseTTL: knobs.LeaseTTL, SickErrors: knobs.SickErrors}, n.book, n.keeper, n.store, c, wall, log)
	scheduler := placer.NewScheduler(placer.Timing{Lease: set.Lease(), Sample: knobs.Sample, Batch: knobs.Batch, PreemptAfter: knobs.PreemptAfter,
		Economy: knobs.Economy, Waits: spans(p.Objectives, "wait"), Finishes: spans(p.Objectives, "finished"), Times: times(p.Objectives),
		Guarantee: spans(p.Objectives, "guarantee")[""]},
		instance, teams, hosts, rand.Uint64(), func() int64 { return wall().UnixMilli() })
	owners := map[string]placer.OwnerCaller{set.Host: localOwner{n.owner}}
	for h, pc := range n.peers {
		owners[h] = remoteOwner{pc}
	}
	n.placer = placer.New(scheduler, placer.Options{Teams: teams, PartDuties: partDuties, Owners: owners, TxnOps: p.State.TxnOps,
		ValueMost: valueMost, ProgressEvery: knobs.ProgressEvery}, n.keeper, n.store, urgent, n.book, c, log)
	n.front = front.New(users, n, n, n.book, limits, spans(p.Objectives, "wait"), int(p.State.ValueKB*1024), wall, log)
	n.fleet = fleet.New(fleet.NewCloud(set.Services.Cloud, p.Cloud.RPS, answerMost(p.Limits.MemoryMB)), n.keeper, n.store, n, c,
		fleet.Knobs{Economy: knobs.Economy, SpareShare: knobs.SpareShare, IdleReturn: knobs.IdleReturn, BootPatience: knobs.BootPatience,
			Catchup: knobs.Catchup, CatchupOrdinary: knobs.CatchupOrdinary},
		knobs.RentalBackoff, clock.FromSeconds(p.Cloud.ListLagS), clock.FromSeconds(p.SkewMS/1000), wall, n.keptCatalog, log)
	return n
}

// spans gives the shortest time that objectives of a kind set for each class;
// those for no class in particular are under the empty name.
func spans(objectives []config.Objective, kind string) map[string]clock.Micros {
	out := map[string]clock.Micros{}
	for _, o := range objectives {
		within := clock.FromSeconds(o.WithinS)
		if o.Kind == kind && within > 0 && (out[o.Class] == 0 || within < out[o.Class]) {
			out[o.Class] = within
		}
	}
	return out
}

// times gives the largest multiple of its deadlines that objectives set for each class.
func times(objectives []config.Objective) map[string]float64 {
	out := map[string]float64{}
	for _, o := range objectives {
		if o.Kind == "deadline" {
			out[o.Class] = max(out[o.Class], o.Times)
		}
	}
	return out
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	limits := n.set.Params.Limits
	for _, w := range n.set.Without() {
		n.log.Error("a limit is very small", "what", w)
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
func (n *Node) duties(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	replica := state.NewReplica(n.store, n.apply, n.log)
	g.Go(func() error { return replica.Run(ctx, n.loaded) })
	g.Go(func() error { return n.keeper.Run(ctx) })
	g.Go(func() error { return n.owner.Run(ctx) })
	g.Go(func() error { return n.placer.Run(ctx) })
	for h, c := range n.peers {
		g.Go(func() error { return n.greet(ctx, h, c) })
	}
	g.Go(func() error { return n.listen(ctx) })
	return g.Wait()
}

// apply takes events of the replica. Jobs, machines and progress are taken
// before claims, so that a duty gained stands on all that came before it.
func (n *Node) apply(evs []state.Event, rev uint64) {
	began := time.Now()
	defer func() { n.replayed.Round(time.Since(began)) }()
	for _, e := range evs {
		n.book.Apply(e)
		if e.Key == state.Catalog && e.Value != nil {
			n.setCatalog(e.Value)
		}
	}
	n.book.Reach(rev)
	n.owner.Apply(evs)
	n.placer.Apply(evs)
	n.keeper.Apply(evs, rev)
	for _, e := range evs {
		if strings.HasPrefix(e.Key, state.Claims) || strings.HasPrefix(e.Key, state.Nodes) {
			n.owner.Reconcile()
			n.placer.Reconcile()
			break
		}
	}
}

func (n *Node) setCatalog(raw json.RawMessage) {
	var c wire.Catalog
	if err := json.Unmarshal(raw, &c); err != nil || len(c.Types) == 0 {
		n.log.Error("the kept catalog is not understood", "err", err)
		return
	}
	n.mu.Lock()
	n.catalog = c
	n.mu.Unlock()
	types, fetch, caches := map[string]res.Amounts{}, map[string]float64{}, map[string]float64{}
	for _, t := range c.Types {
		caches[t.Name] = t.CacheGB
		fetch[t.Name] = t.FetchGBPS
		types[t.Name] = res.Have(t.CPUs, t.GPUs, t.MemGB)
	}
	n.owner.SetTypes(types, caches)
	n.placer.SetFetch(fetch)
	n.front.SetTypes(c.Types)
}

func (n *Node) keptCatalog() wire.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.catalog
}
