package scheduler

import (
	"context"
	"encoding/base64"
	"log/slog"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/sync/errgroup"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Elections tells which duties this process holds.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
	Current(duty string) (h leaderelection.Leadership, live bool)
}

// Store takes transactions.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
	CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error)
	HasSpareWrites(n int) bool
}

// PartitionClient speaks with the owner part of a controller, this one's or a peer's.
type PartitionClient interface {
	ApplyBatch(in peer.Batch) (peer.BatchResponse, error)
	Poll(in peer.PollRequest) (peer.PollResponse, error)
}

// Duty names the claim of a team.
func Duty(team string) string { return "team-" + url.PathEscape(team) }

// Server places the jobs of the teams that this process holds.
type Server struct {
	teams            []Team
	partitionDuties  []string // duties of the partitions
	partitions       map[string]PartitionClient
	elections        Elections
	store            Store
	jobs             *jobs.Cache
	clock            clock.Clock
	txnOps           int
	maxRecordBytes   int
	priorityStore    Store // for what starts wait for
	progressInterval clock.Micros
	// fairShares has owners told what waits of each team.
	fairShares      bool
	log             *slog.Logger
	scheduleMetrics *telemetry.Duty // rounds of decisions
	pollMetrics     *telemetry.Duty // answers of owners taken

	mu        sync.Mutex
	scheduler *Scheduler
	records   *inventory.Records
	wake      chan struct{}
	senders   map[string]chan struct{}
	writes    chan struct{}
	updated   chan struct{} // closed and made anew with every word of an owner
	running   context.Context
}

// Options of a server.
type Options struct {
	Teams           []Team
	PartitionDuties []string
	Partitions      map[string]PartitionClient // by controller
	TxnOps          int                        // operations in a transaction
	MaxRecordBytes  int
	ProgressEvery   clock.Micros
	FairShares      bool // partition leaders are told what waits of each team

	Elections     Elections
	Store         Store
	PriorityStore Store // for what starts wait for
	Jobs          *jobs.Cache
	Clock         clock.Clock
	Log           *slog.Logger
	Telemetry     *telemetry.Reporter // nil: nothing is counted
}

// New makes a server around a scheduler.
func New(scheduler *Scheduler, o Options) *Server {
	p := &Server{
		teams: o.Teams, partitionDuties: o.PartitionDuties, partitions: o.Partitions, elections: o.Elections, store: o.Store, priorityStore: o.PriorityStore,
		jobs: o.Jobs, clock: o.Clock, log: o.Log,
		txnOps: o.TxnOps, maxRecordBytes: o.MaxRecordBytes, progressInterval: o.ProgressEvery, fairShares: o.FairShares,
		scheduleMetrics: o.Telemetry.Duty("placer_round"),
		pollMetrics:     o.Telemetry.Duty("placer_view"),
		scheduler:       scheduler,
		records:         inventory.NewRecords(),
		wake:            make(chan struct{}, 1),
		senders:         map[string]chan struct{}{},
		writes:          make(chan struct{}, 1),
		updated:         make(chan struct{}),
		running:         context.Background(),
	}
	scheduler.chunkTasks = chunkTasks(o.MaxRecordBytes)
	for h := range o.Partitions {
		p.senders[h] = make(chan struct{}, 1)
	}
	return p
}

// notifyUpdated has withdrawals that wait look again. The lock is held.
func (p *Server) notifyUpdated() {
	close(p.updated)
	p.updated = make(chan struct{})
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetFetchRates tells how fast machine types fetch images, in GB a second.
func (p *Server) SetFetchRates(rates map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetFetchRates(rates)
}

// SetPrices tells what machines cost.
func (p *Server) SetPrices(types []wire.MachineType) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetPrices(types)
}

// Apply takes events of the replica: jobs, progress and machines' records.
func (p *Server) Apply(evs []kvstore.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, recorded := p.clock.Now(), false
	for _, e := range evs {
		switch {
		case strings.HasPrefix(e.Key, kvstore.ActiveJobPrefix):
			id := strings.TrimPrefix(e.Key, kvstore.ActiveJobPrefix)
			if j, ok := p.jobs.Active(id); ok && e.Value != nil {
				p.scheduler.AddJob(j, now)
			} else {
				p.scheduler.DropJob(id)
			}
		case strings.HasPrefix(e.Key, kvstore.ProgressPrefix):
			id, c, _ := strings.Cut(strings.TrimPrefix(e.Key, kvstore.ProgressPrefix), "/")
			n, ok := parseChunk(c)
			var text string
			switch {
			case !ok:
			case e.Value == nil:
				p.scheduler.DropProgress(id, n)
			case json.Unmarshal(e.Value, &text) == nil:
				if bits, err := base64.StdEncoding.DecodeString(text); err == nil {
					p.scheduler.HandleProgressRecord(id, n, bits, e.ModRevision)
				}
			}
		case strings.HasPrefix(e.Key, kvstore.WatermarkPrefix):
			var jobs map[string]int
			if e.Value != nil && json.Unmarshal(e.Value, &jobs) != nil {
				continue
			}
			p.scheduler.HandleWatermarkRecord(e.Key, jobs, e.ModRevision)
		case strings.HasPrefix(e.Key, kvstore.MachinePrefix):
			came, went := p.records.Apply(e)
			recorded = true
			for _, id := range went {
				p.scheduler.HandleMachineRecord(id, false)
			}
			for id := range came {
				p.scheduler.HandleMachineRecord(id, true)
			}
		}
	}
	if recorded {
		p.scheduler.legacyRecords = p.records.HasLegacy()
	}
	wake(p.wake)
}

// Reconcile takes over and gives up teams as the claims now say.
func (p *Server) Reconcile() {
	p.mu.Lock()
	defer p.mu.Unlock()
	terms := p.scheduler.TeamTerms()
	gained := false
	for _, t := range p.teams {
		h, mine := p.elections.Leading(Duty(t.Name))
		term, have := terms[t.Name]
		switch {
		case mine && (!have || term != h.Term):
			active := p.jobs.ActiveOfTeam(t.Name)
			p.scheduler.AcquireTeam(t.Name, h.Term, h.ModRevision, active, p.clock.Now())
			p.log.Info("team taken over", "team", t.Name, "term", h.Term, "jobs", len(active))
			gained = true
		case !mine && have:
			p.scheduler.ReleaseTeam(t.Name)
			p.log.Info("team given up", "team", t.Name, "term", term)
		}
	}
	if gained {
		for h := range p.partitions {
			go p.poll(h, 0) //nolint:errcheck // the loop polls again
		}
		wake(p.wake)
	}
}

// Run places until ctx ends.
func (p *Server) Run(ctx context.Context) error {
	p.mu.Lock()
	p.running = ctx
	p.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for h := range p.partitions {
		g.Go(func() error { return p.pollLoop(ctx, h) })
		g.Go(func() error { return p.sendLoop(ctx, h) })
	}
	g.Go(func() error { return p.scheduleLoop(ctx) })
	g.Go(func() error { return p.writeLoop(ctx) })
	g.Go(func() error { return p.watermarkLoop(ctx) })
	g.Go(func() error { return p.summaryLoop(ctx) })
	return g.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Server) pollLoop(ctx context.Context, host string) error {
	for ctx.Err() == nil {
		if err := p.poll(host, clock.Second); err != nil {
			p.mu.Lock()
			p.scheduler.MarkUnreachable(host)
			p.mu.Unlock()
			pause(ctx, 150*time.Millisecond)
		}
	}
	return nil
}

// poll asks an owner for what changed; for everything when a team's term is
// new to it, so that its answer is given under the fence of that term.
func (p *Server) poll(host string, wait clock.Micros) error {
	p.mu.Lock()
	in := p.scheduler.NextPoll(host)
	in.Wait = wait
	if p.fairShares {
		in.Demands = p.scheduler.DemandsFor(host, p.clock.Now())
	}
	p.mu.Unlock()
	ans, err := p.partitions[host].Poll(in)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.clock.Now()
	p.scheduler.HandlePollResponse(host, in, &ans, began)
	p.pollMetrics.Round((p.clock.Now() - began).Duration())
	p.notifyUpdated()
	wake(p.wake)
	wake(p.writes)
	return nil
}

func (p *Server) sendLoop(ctx context.Context, host string) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.senders[host]:
		}
		for ctx.Err() == nil {
			p.mu.Lock()
			r := p.scheduler.NextBatch(host)
			p.mu.Unlock()
			if r == nil {
				break
			}
			ans, err := p.partitions[host].ApplyBatch(*r)
			p.mu.Lock()
			if err != nil {
				p.scheduler.MarkUnreachable(host)
				p.mu.Unlock()
				p.log.Debug("round had no answer", "owner", host, "err", err)
				pause(ctx, 150*time.Millisecond)
				continue
			}
			met := p.scheduler.HandleBatchResponse(host, r, &ans, p.clock.Now())
			p.notifyUpdated()
			wake(p.wake)
			wake(p.writes)
			p.mu.Unlock()
			if !met {
				// What bears repeating goes to the new process, once a poll has met it:
				// not again and again until then.
				pause(ctx, 50*time.Millisecond)
			}
		}
	}
}

// summaryLoop logs now and then how placing stands.
func (p *Server) summaryLoop(ctx context.Context) error {
	var last Counters
	for ctx.Err() == nil {
		pause(ctx, 10*time.Second)
		p.mu.Lock()
		s := p.scheduler.Summary()
		p.mu.Unlock()
		c := s.Counters
		if c != last {
			p.log.Info("placing", "waiting", s.Waiting, "bound", s.Bound, "withdrawn", s.CancellingJobs, "placed", c.Placed-last.Placed, "refused", c.Refused-last.Refused, "yielded", c.Yielded-last.Yielded,
				"preempted", c.Preempted-last.Preempted, "moves", c.Moves-last.Moves, "moved", c.Moved-last.Moved, "done", c.Done-last.Done, "stopped", c.Stopped-last.Stopped,
				"failed", c.Failed-last.Failed, "lost", c.Lost-last.Lost, "fetch_cpu_s", int((c.FetchCPUs - last.FetchCPUs).Seconds()))
		}
		last = c
	}
	return nil
}

// scheduleInterval gathers what comes close together into one round of decisions. It
// widens with the tasks about and with what the last round took, so that a
// controller that is short of time decides on more at once.
func scheduleInterval(bound int, took time.Duration) time.Duration {
	return max(min(8*time.Millisecond+time.Duration(bound)*20*time.Microsecond, 50*time.Millisecond), 3*took)
}

func (p *Server) scheduleLoop(ctx context.Context) error {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-tick.C:
			p.scheduleMetrics.Late(time.Since(due))
			p.Reconcile()
		case <-p.wake:
		}
		p.mu.Lock()
		began := p.clock.Now()
		p.scheduler.Schedule(began)
		for h, c := range p.senders {
			if p.scheduler.HasBatch(h, began) {
				wake(c)
			}
		}
		bound := p.scheduler.Summary().Bound
		took := (p.clock.Now() - began).Duration()
		p.scheduleMetrics.Round(took)
		gap := scheduleInterval(bound, took)
		p.mu.Unlock()
		pause(ctx, gap)
	}
}
