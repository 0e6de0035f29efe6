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
	s := &Server{
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
		s.senders[h] = make(chan struct{}, 1)
	}
	return s
}

// notifyUpdated has withdrawals that wait look again. The lock is held.
func (s *Server) notifyUpdated() {
	close(s.updated)
	s.updated = make(chan struct{})
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetFetchRates tells how fast machine types fetch images, in GB a second.
func (s *Server) SetFetchRates(rates map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetFetchRates(rates)
}

// SetPrices tells what machines cost.
func (s *Server) SetPrices(types []wire.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetPrices(types)
}

// Apply takes events of the replica: jobs, progress and machines' records.
func (s *Server) Apply(evs []kvstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, recorded := s.clock.Now(), false
	for _, e := range evs {
		switch {
		case strings.HasPrefix(e.Key, kvstore.ActiveJobPrefix):
			id := strings.TrimPrefix(e.Key, kvstore.ActiveJobPrefix)
			if j, ok := s.jobs.Active(id); ok && e.Value != nil {
				s.scheduler.AddJob(j, now)
			} else {
				s.scheduler.DropJob(id)
			}
		case strings.HasPrefix(e.Key, kvstore.ProgressPrefix):
			id, c, _ := strings.Cut(strings.TrimPrefix(e.Key, kvstore.ProgressPrefix), "/")
			n, ok := parseChunk(c)
			var text string
			switch {
			case !ok:
			case e.Value == nil:
				s.scheduler.DropProgress(id, n)
			case json.Unmarshal(e.Value, &text) == nil:
				if bits, err := base64.StdEncoding.DecodeString(text); err == nil {
					s.scheduler.HandleProgressRecord(id, n, bits, e.ModRevision)
				}
			}
		case strings.HasPrefix(e.Key, kvstore.WatermarkPrefix):
			var jobs map[string]int
			if e.Value != nil && json.Unmarshal(e.Value, &jobs) != nil {
				continue
			}
			s.scheduler.HandleWatermarkRecord(e.Key, jobs, e.ModRevision)
		case strings.HasPrefix(e.Key, kvstore.MachinePrefix):
			came, went := s.records.Apply(e)
			recorded = true
			for _, id := range went {
				s.scheduler.HandleMachineRecord(id, false)
			}
			for id := range came {
				s.scheduler.HandleMachineRecord(id, true)
			}
		}
	}
	if recorded {
		s.scheduler.legacyRecords = s.records.HasLegacy()
	}
	wake(s.wake)
}

// Reconcile takes over and gives up teams as the claims now say.
func (s *Server) Reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := s.scheduler.TeamTerms()
	gained := false
	for _, t := range s.teams {
		h, mine := s.elections.Leading(Duty(t.Name))
		term, have := terms[t.Name]
		switch {
		case mine && (!have || term != h.Term):
			active := s.jobs.ActiveOfTeam(t.Name)
			s.scheduler.AcquireTeam(t.Name, h.Term, h.ModRevision, active, s.clock.Now())
			s.log.Info("team taken over", "team", t.Name, "term", h.Term, "jobs", len(active))
			gained = true
		case !mine && have:
			s.scheduler.ReleaseTeam(t.Name)
			s.log.Info("team given up", "team", t.Name, "term", term)
		}
	}
	if gained {
		for h := range s.partitions {
			go s.poll(h, 0) //nolint:errcheck // the loop polls again
		}
		wake(s.wake)
	}
}

// Run places until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for h := range s.partitions {
		g.Go(func() error { return s.pollLoop(ctx, h) })
		g.Go(func() error { return s.sendLoop(ctx, h) })
	}
	g.Go(func() error { return s.scheduleLoop(ctx) })
	g.Go(func() error { return s.writeLoop(ctx) })
	g.Go(func() error { return s.watermarkLoop(ctx) })
	g.Go(func() error { return s.summaryLoop(ctx) })
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

func (s *Server) pollLoop(ctx context.Context, host string) error {
	for ctx.Err() == nil {
		if err := s.poll(host, clock.Second); err != nil {
			s.mu.Lock()
			s.scheduler.MarkUnreachable(host)
			s.mu.Unlock()
			pause(ctx, 150*time.Millisecond)
		}
	}
	return nil
}

// poll asks an owner for what changed; for everything when a team's term is
// new to it, so that its answer is given under the fence of that term.
func (s *Server) poll(host string, wait clock.Micros) error {
	s.mu.Lock()
	in := s.scheduler.NextPoll(host)
	in.Wait = wait
	if s.fairShares {
		in.Demands = s.scheduler.DemandsFor(host, s.clock.Now())
	}
	s.mu.Unlock()
	ans, err := s.partitions[host].Poll(in)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	began := s.clock.Now()
	s.scheduler.HandlePollResponse(host, in, &ans, began)
	s.pollMetrics.Round((s.clock.Now() - began).Duration())
	s.notifyUpdated()
	wake(s.wake)
	wake(s.writes)
	return nil
}

func (s *Server) sendLoop(ctx context.Context, host string) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.senders[host]:
		}
		for ctx.Err() == nil {
			s.mu.Lock()
			r := s.scheduler.NextBatch(host)
			s.mu.Unlock()
			if r == nil {
				break
			}
			ans, err := s.partitions[host].ApplyBatch(*r)
			s.mu.Lock()
			if err != nil {
				s.scheduler.MarkUnreachable(host)
				s.mu.Unlock()
				s.log.Debug("round had no answer", "owner", host, "err", err)
				pause(ctx, 150*time.Millisecond)
				continue
			}
			met := s.scheduler.HandleBatchResponse(host, r, &ans, s.clock.Now())
			s.notifyUpdated()
			wake(s.wake)
			wake(s.writes)
			s.mu.Unlock()
			if !met {
				// What bears repeating goes to the new process, once a poll has met it:
				// not again and again until then.
				pause(ctx, 50*time.Millisecond)
			}
		}
	}
}

// summaryLoop logs now and then how placing stands.
func (s *Server) summaryLoop(ctx context.Context) error {
	var last Counters
	for ctx.Err() == nil {
		pause(ctx, 10*time.Second)
		s.mu.Lock()
		summary := s.scheduler.Summary()
		s.mu.Unlock()
		c := summary.Counters
		if c != last {
			s.log.Info("placing", "waiting", summary.Waiting, "bound", summary.Bound, "withdrawn", summary.CancellingJobs, "placed", c.Placed-last.Placed, "refused", c.Refused-last.Refused, "yielded", c.Yielded-last.Yielded,
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

func (s *Server) scheduleLoop(ctx context.Context) error {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-tick.C:
			s.scheduleMetrics.Late(time.Since(due))
			s.Reconcile()
		case <-s.wake:
		}
		s.mu.Lock()
		began := s.clock.Now()
		s.scheduler.Schedule(began)
		for h, c := range s.senders {
			if s.scheduler.HasBatch(h, began) {
				wake(c)
			}
		}
		bound := s.scheduler.Summary().Bound
		took := (s.clock.Now() - began).Duration()
		s.scheduleMetrics.Round(took)
		gap := scheduleInterval(bound, took)
		s.mu.Unlock()
		pause(ctx, gap)
	}
}
