// Package node wires a controller together: the replica feeds the book of jobs,
// the owner, the placer and the claims; connections reach the front and the owner.
package node

import (
	"context"
	"encoding/json"
	"fmt"
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

// told is what a peer last said of machines: how many of this controller's it has
// met lately, how many of its own there are, and how many are unheard.
type told struct {
	misdirected, machines, unheard int
	at                             time.Time
}

// partsPerController is how many partitions there are for each controller.
const partsPerController = 4

// Store is the state service as all the duties together need it.
type Store interface {
	claim.Store
	placer.Store
	state.Source
}

// Peer calls another controller.
type Peer interface {
	Call(method string, in, out any, timeout time.Duration) error
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

// greet exchanges a word with a peer once a second: it tells whether a peer can
// reach the state service while this controller can't, and which incarnations resigned.
func (n *Node) greet(ctx context.Context, host string, c Peer) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var out peer.Hello
		if err := c.Call("Hello", n.hello(), &out, 800*time.Millisecond); err != nil {
			n.log.Debug("greeting", "peer", host, "err", err)
			continue
		}
		n.keeper.Hear(out.Contact)
		n.mu.Lock()
		n.told[host] = told{out.Strays, out.Machines, out.Unheard, time.Now()}
		if out.Contact < n.fresh {
			n.contact[host] = time.Now()
		}
		n.mu.Unlock()
		if out.Resigned != "" {
			n.keeper.Bury(ctx, host, out.Resigned)
		}
	}
}

func (n *Node) hello() peer.Hello {
	ago, resigned := n.keeper.Contact()
	return peer.Hello{Contact: ago, Resigned: resigned, From: n.set.Host}
}

// unreachableAfter is for how many looks in a row, a second apart, the workers must be
// heard of elsewhere only. Looks are counted, not time: a process that stood still
// finds everybody else's word of it waiting, and has not listened yet.
const unreachableAfter = 3

// listen finds out whether the workers reach this controller. When they don't, it
// says so and hands the machines to those whom they reach; once it reaches workers
// again it takes its part back.
func (n *Node) listen(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	unreachable, looks := false, 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if unreachable {
			if looks++; !n.owner.Reaches(ctx) {
				looks = 0
			}
		} else {
			looks++
			all, unheard := n.owner.Unheard()
			misdirected, better := 0, false
			n.mu.Lock()
			for _, t := range n.told {
				if time.Since(t.at) < 3*time.Second {
					misdirected += t.misdirected
					better = better || 4*t.unheard <= t.machines
				}
			}
			n.mu.Unlock()
			// Machines that hear no answers stray as well, but from all controllers
			// alike: then none of them is better placed than this one.
			if all < 3 || 3*unheard < 2*all || 3*misdirected < all || !better {
				looks = 0
			}
		}
		if looks >= unreachableAfter {
			unreachable, looks = !unreachable, 0
			n.log.Info("whether workers reach this controller has changed", "unreachable", unreachable)
			n.keeper.SetUnreachable(unreachable)
		}
	}
}

// handle answers a request of a user, a worker or the load balancer, and counts it.
func (n *Node) handle(ctx context.Context, r *httpx.Request) httpx.Response {
	kind := telemetry.Users
	if r.Path == wire.PathReport {
		kind = telemetry.Workers
	}
	answer := n.answer(ctx, r)
	n.report.Traffic(kind).Message(len(r.Body), len(answer.Body))
	return answer
}

// answeredPromptly tells which requests are answered from memory alone. The event loop
// answers these itself, so that workers' leases and health checks don't wait behind users.
func answeredPromptly(r *httpx.Request) bool {
	return r.Path == wire.PathReport || r.Path == wire.PathReady
}

func (n *Node) answer(ctx context.Context, r *httpx.Request) httpx.Response {
	switch {
	case r.Path == wire.PathReport:
		if r.Method != "POST" {
			return text(405, "method not allowed")
		}
		return n.owner.HandleReport(r.Body)
	case r.Path == wire.PathReady:
		if r.Method != "GET" {
			return text(405, "method not allowed")
		}
		return n.ready()
	case r.Path == wire.PathJobs || strings.HasPrefix(r.Path, wire.PathJobs+"/"):
		return n.front.Handle(ctx, r, strings.TrimPrefix(r.Path, wire.PathJobs))
	}
	return text(404, "no such path")
}

func text(status int, msg string) httpx.Response {
	return httpx.JSON(status, wire.Error{Error: msg})
}

// ready tells whether users should come here. In an outage of the state service
// that all controllers share they should: they are told at once when to come
// back, and need not wait for the load balancer to take the controllers back in.
func (n *Node) ready() httpx.Response {
	select {
	case <-n.loaded:
	default:
		return text(503, "reading the state service")
	}
	if n.keeper.Alone() {
		return text(503, "cut off from the state service and all peers")
	}
	if n.keeper.SharedOutage() {
		return httpx.Response{Status: 200, Body: []byte(`{"ready":true}`)}
	}
	if !n.front.Decisive() {
		return text(503, "the machine types are not known yet")
	}
	if !n.keeper.Confirmed() {
		return text(503, "not registered with the state service")
	}
	return httpx.Response{Status: 200, Body: []byte(`{"ready":true}`)}
}

// Away tells that this controller has not reached the state service for a while.
func (n *Node) Away() bool {
	ago, _ := n.keeper.Contact()
	return ago > n.fresh
}

// submitTimeout bounds how long another controller is waited for with a submission.
const submitTimeout = 800 * time.Millisecond

// Submit hands a submission to a peer that has said lately that it reaches the state service.
func (n *Node) Submit(body []byte) (r httpx.Response, ok bool) {
	host := ""
	n.mu.Lock()
	for h, at := range n.contact {
		if time.Since(at) < n.fresh.Duration() && (host == "" || h < host) {
			host = h
		}
	}
	n.mu.Unlock()
	if host == "" {
		return r, false
	}
	var a peer.SubmitAnswer
	if err := n.peers[host].Call("Submit", peer.SubmitQuery{Body: body}, &a, submitTimeout); err != nil {
		n.log.Debug("handing a submission on", "peer", host, "err", err)
		return r, false
	}
	return httpx.Response{Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter}, a.Status != 0
}

// askTimeout bounds a question to a peer on a user's behalf.
const askTimeout = 1500 * time.Millisecond

// Status asks the team's placer about a job.
func (n *Node) Status(_ context.Context, q peer.JobQuery) (peer.JobAnswer, error) {
	return n.ask("Status", n.placer.Status, q, askTimeout)
}

// Withdraw asks the team's placer to end a job.
func (n *Node) Withdraw(_ context.Context, q peer.JobQuery) (peer.JobAnswer, error) {
	return n.ask("Withdraw", n.placer.Withdraw, q, 2*askTimeout)
}

func (n *Node) ask(method string, local func(peer.JobQuery) peer.JobAnswer, q peer.JobQuery, timeout time.Duration) (peer.JobAnswer, error) {
	host, ok := n.keeper.Holder(placer.Duty(q.Team))
	if !ok {
		return peer.JobAnswer{}, fmt.Errorf("team %s has no placer now", q.Team)
	}
	if host == n.set.Host {
		return local(q), nil
	}
	var out peer.JobAnswer
	err := n.peers[host].Call(method, q, &out, timeout)
	return out, err
}

// each calls a method of all peers at once.
func each[Out any](n *Node, method string, in any, take func(Out)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, c := range n.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var out Out
			if err := c.Call(method, in, &out, 600*time.Millisecond); err == nil {
				mu.Lock()
				defer mu.Unlock()
				take(out)
			}
		}()
	}
	wg.Wait()
}

// Demands asks all placers what waits.
func (n *Node) Demands(context.Context) []peer.Demand {
	out := n.placer.Demands()
	each(n, "Demand", n.hello(), func(a peer.DemandAnswer) { out = append(out, a.Demands...) })
	return out
}

// Views appends the mirror of all machines.
func (n *Node) Views(to []peer.MachineView) []peer.MachineView { return n.placer.Views(to) }

// RecordedBefore lists the machines that were on record by a time of day.
func (n *Node) RecordedBefore(atMS int64) []peer.Machine { return n.owner.RecordedBefore(atMS) }

// Drain asks all owners to set machines aside.
func (n *Node) Drain(_ context.Context, list []peer.Machine) []string {
	out := n.owner.Drain(list)
	each(n, "Drain", peer.DrainQuery{Machines: list}, func(a peer.DrainAnswer) { out = append(out, a.Ready...) })
	return out
}

// Gone tells all owners of machines that are gone for certain.
func (n *Node) Gone(_ context.Context, list []peer.Machine) {
	n.owner.Gone(list)
	each(n, "Gone", peer.GoneNote{Machines: list}, func(peer.DrainAnswer) {})
}

type localOwner struct{ o *owner.Owner }

func (l localOwner) Round(in peer.Round) (peer.RoundAnswer, error) { return l.o.Round(in), nil }
func (l localOwner) Poll(in peer.Poll) (peer.PollAnswer, error)    { return l.o.Poll(in), nil }

type remoteOwner struct{ c Peer }

func (r remoteOwner) Round(in peer.Round) (out peer.RoundAnswer, err error) {
	err = r.c.Call("Round", in, &out, 1500*time.Millisecond)
	return out, err
}

func (r remoteOwner) Poll(in peer.Poll) (out peer.PollAnswer, err error) {
	err = r.c.Call("Poll", in, &out, in.Wait.Duration()+1500*time.Millisecond)
	return out, err
}

// service is what peers may call.
type service struct{ n *Node }

var _ peer.Service = (*service)(nil)

func (s *service) Round(in peer.Round, out *peer.RoundAnswer) error {
	*out = s.n.owner.Round(in)
	return nil
}

func (s *service) Poll(in peer.Poll, out *peer.PollAnswer) error {
	*out = s.n.owner.Poll(in)
	return nil
}

func (s *service) Hello(in peer.Hello, out *peer.Hello) error {
	*out = s.n.hello()
	out.Strays = s.n.owner.Misdirected(in.From)
	out.Machines, out.Unheard = s.n.owner.Unheard()
	return nil
}

func (s *service) Demand(_ peer.Hello, out *peer.DemandAnswer) error {
	out.Demands = s.n.placer.Demands()
	return nil
}

func (s *service) Status(in peer.JobQuery, out *peer.JobAnswer) error {
	*out = s.n.placer.Status(in)
	return nil
}

func (s *service) Withdraw(in peer.JobQuery, out *peer.JobAnswer) error {
	*out = s.n.placer.Withdraw(in)
	return nil
}

func (s *service) Submit(in peer.SubmitQuery, out *peer.SubmitAnswer) error {
	r := s.n.front.Accept(context.Background(), in.Body)
	*out = peer.SubmitAnswer{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter}
	return nil
}

func (s *service) Drain(in peer.DrainQuery, out *peer.DrainAnswer) error {
	out.Ready = s.n.owner.Drain(in.Machines)
	return nil
}

func (s *service) Gone(in peer.GoneNote, _ *peer.DrainAnswer) error {
	s.n.owner.Gone(in.Machines)
	return nil
}
