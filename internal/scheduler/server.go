package scheduler

import (
	"context"
	"log/slog"
	"net/url"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Elections tells which leaderships this process has, and who leads otherwise.
type Elections interface {
	// Leading gives this process's leadership of a duty; false when it may not act on it now.
	Leading(duty string) (leaderelection.Leadership, bool)
	// Current gives the leadership as the replica shows it; live tells whether the incarnation that it names is registered: one that
	// is not never acts again.
	Current(duty string) (leadership leaderelection.Leadership, live bool)
}

// Store carries out transactions within a budget of operations. Errors wrap kvstore.ErrRefused and kvstore.ErrConflict where
// nothing was written for certain, and kvstore.ErrOutcomeUnknown where it may have been, or may yet be.
type Store interface {
	// Commit gives the revision that the transaction was written at.
	Commit(ctx context.Context, txn wire.Txn) (uint64, error)
	// CommitWithCheck calls sending when the transaction is about to be sent, after the wait for the budget; where that fails
	// nothing is sent.
	CommitWithCheck(ctx context.Context, txn wire.Txn, sending func() error) (uint64, error)
	// HasSpareWrites tells whether n operations that can wait may be made now.
	HasSpareWrites(n int) bool
}

// PartitionClient calls the partition leader of a controller, this one's or a peer's. Its calls end by a timeout of their own.
type PartitionClient interface {
	ApplyBatch(batch peer.Batch) (peer.BatchResponse, error)
	Poll(request peer.PollRequest) (peer.PollResponse, error)
}

// Duty names the leadership of a team.
func Duty(team string) string { return "team-" + url.PathEscape(team) }

// Server schedules the jobs of the teams that this process leads. It does the I/O around a Scheduler: it polls partition
// leaders, sends them batches, and writes watermarks, progress and final states. All methods may be called concurrently.
type Server struct {
	*core
	teams           []Team
	partitions      map[string]PartitionClient // by controller
	fairShares      bool                       // polls carry the teams' demands
	scheduleMetrics *telemetry.Duty            // passes of the decision
	pollMetrics     *telemetry.Duty            // answers to polls
	batchWakes      map[string]loop.Signal     // by controller: there may be a batch to send
	records         *inventory.Records         // machine records of the replica; guarded by mu
	lifetime        *lifetime

	watermarks    *watermarkWriter
	progress      *progressWriter
	finalStates   *finalStateWriter
	cancellations *canceller
}

// Options of a server.
type Options struct {
	Teams           []Team
	PartitionDuties []string
	Partitions      map[string]PartitionClient // by controller
	TxnOps          int                        // operations in a transaction
	MaxRecordBytes  int
	ProgressEvery   clock.Micros
	FairShares      bool // polls carry the teams' demands

	Elections     Elections
	Store         Store
	PriorityStore Store // for what starts and users wait for
	Jobs          *jobs.Cache
	Clock         clock.Clock
	Log           *slog.Logger
	Telemetry     *telemetry.Reporter // nil: nothing is counted
}

// New makes a server around a scheduler.
func New(scheduler *Scheduler, o Options) *Server {
	scheduler.chunkTasks = chunkTasks(o.MaxRecordBytes)
	c := &core{
		elections: o.Elections, jobs: o.Jobs, clock: o.Clock, log: o.Log, txnOps: o.TxnOps,
		scheduleWake: loop.NewSignal(), writeWake: loop.NewSignal(),
		scheduler: scheduler, updated: newBroadcast(),
	}
	lifetime := newLifetime()
	finalStates := &finalStateWriter{core: c, store: o.Store, lifetime: lifetime}
	s := &Server{
		core: c, teams: o.Teams, partitions: o.Partitions, fairShares: o.FairShares,
		scheduleMetrics: o.Telemetry.Duty("placer_round"),
		pollMetrics:     o.Telemetry.Duty("placer_view"),
		batchWakes:      map[string]loop.Signal{},
		records:         inventory.NewRecords(),
		lifetime:        lifetime,
		watermarks:      &watermarkWriter{core: c, store: o.PriorityStore, maxRecordBytes: o.MaxRecordBytes},
		progress:        &progressWriter{core: c, store: o.Store, interval: o.ProgressEvery},
		finalStates:     finalStates,
		cancellations: &canceller{core: c, store: o.PriorityStore, partitionDuties: o.PartitionDuties,
			finalStates: finalStates, lifetime: lifetime},
	}
	for host := range o.Partitions {
		s.batchWakes[host] = loop.NewSignal()
	}
	return s
}

// SetFetchRates sets how fast machine types fetch images, in GB a second.
func (s *Server) SetFetchRates(rates map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetFetchRates(rates)
}

// SetPrices sets what machines cost.
func (s *Server) SetPrices(types []wire.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetPrices(types)
}

// SetZoneState applies the state of a zone.
func (s *Server) SetZoneState(name string, r zone.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetZoneState(name, r, s.clock.Now())
	s.scheduleWake.Notify()
}

// Reconcile compares the teams that are scheduled with the leaderships of this process: it acquires those that it leads, under
// a new term also those that it had, and releases the others. Polls fence lower terms of an acquired team at every
// partition leader (docs/design.md, "Why the rules hold", 7).
func (s *Server) Reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := s.scheduler.TeamTerms()
	acquired := false
	for _, t := range s.teams {
		leadership, leading := s.elections.Leading(Duty(t.Name))
		term, scheduled := terms[t.Name]
		switch {
		case leading && (!scheduled || term != leadership.Term):
			active := s.jobs.ActiveOfTeam(t.Name)
			s.scheduler.AcquireTeam(t.Name, leadership.Term, leadership.ModRevision, active, s.clock.Now())
			s.log.Info("team leadership acquired", "team", t.Name, "term", leadership.Term, "jobs", len(active))
			acquired = true
		case !leading && scheduled:
			s.scheduler.ReleaseTeam(t.Name)
			s.log.Info("team leadership released", "team", t.Name, "term", term)
		}
	}
	if acquired {
		for host := range s.partitions {
			s.lifetime.start(func() { _ = s.poll(host, 0) }) // after an error the poll loop polls again
		}
		s.scheduleWake.Notify()
	}
}
