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

// Elections reports which leaderships this process holds, and which process holds the others.
type Elections interface {
	// Leading returns this process's leadership of a duty. It returns false when the process does not lead, or must not act as
	// the leader now because its controller lease may have expired or the leadership is being transferred.
	Leading(duty string) (leaderelection.Leadership, bool)
	// CurrentLeadership returns the leadership of a duty as the replica shows it. live reports whether the incarnation that
	// it names is registered; an incarnation that is not registered never acts as the leader again.
	CurrentLeadership(duty string) (leadership leaderelection.Leadership, live bool)
}

// Store commits transactions within a budget of operations. Errors wrap kvstore.ErrRefused or kvstore.ErrConflict when nothing
// was written for certain, and kvstore.ErrOutcomeUnknown when the transaction may have been written or may still be written.
type Store interface {
	// Commit returns the revision at which the transaction was written.
	Commit(ctx context.Context, txn wire.Txn) (uint64, error)
	// CommitWithCheck does the same, but calls beforeSend after it has waited for the budget and immediately before it sends
	// the transaction. When beforeSend returns an error the transaction is not sent.
	CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error)
	// HasSpareWrites reports whether the budget has room now for n operations that are not urgent, and enough left for
	// other writes.
	HasSpareWrites(n int) bool
}

// PartitionClient calls the partition leader in one controller, this controller or a peer. Each call has its own timeout.
type PartitionClient interface {
	ApplyBatch(batch peer.Batch) (peer.BatchResponse, error)
	Poll(request peer.PollRequest) (peer.PollResponse, error)
}

// TeamDuty returns the name of a team's leadership in the leader election.
func TeamDuty(team string) string { return "team-" + url.PathEscape(team) }

// Server schedules the jobs of the teams that this process leads. It does the I/O for a Scheduler: it polls partition
// leaders, sends them batches, and writes watermarks, progress and final states. All its methods are safe for concurrent use.
type Server struct {
	*core
	teams           []Team
	partitions      map[string]PartitionClient // by controller
	fairShares      bool                       // polls carry the teams' demands
	scheduleMetrics *telemetry.Duty            // durations and delays of scheduling cycles
	pollMetrics     *telemetry.Duty            // time taken to apply responses to polls
	batchWakes      map[string]loop.Signal     // by controller; wakes its sendLoop: there may be a batch to send
	records         *inventory.Records         // machine records as the replica shows them; guarded by mu
	lifetime        *lifetime

	watermarks    *watermarkWriter
	progress      *progressWriter
	finalStates   *finalStateWriter
	cancellations *canceller
}

// Options configures a Server.
type Options struct {
	Teams            []Team
	PartitionDuties  []string                   // names of the partitions' leaderships, by partition
	Partitions       map[string]PartitionClient // by controller
	MaxTxnOps        int                        // maximum number of operations in a transaction
	MaxRecordBytes   int                        // maximum size of a record's value
	ProgressInterval clock.Micros               // interval between writes of progress
	FairShares       bool                       // polls carry the teams' demands

	Elections     Elections
	Store         Store
	PriorityStore Store // for writes that task starts or users wait for
	Jobs          *jobs.Cache
	Clock         clock.Clock
	Log           *slog.Logger
	Telemetry     *telemetry.Reporter // nil: no metrics are collected
}

// NewServer returns a server that does the I/O for a scheduler.
func NewServer(scheduler *Scheduler, o Options) *Server {
	scheduler.tasksPerChunk = tasksPerChunk(o.MaxRecordBytes)
	c := &core{
		elections: o.Elections, jobs: o.Jobs, clock: o.Clock, log: o.Log, txnOps: o.MaxTxnOps,
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
		progress:        &progressWriter{core: c, store: o.Store, interval: o.ProgressInterval},
		finalStates:     finalStates,
		cancellations: &canceller{core: c, store: o.PriorityStore, partitionDuties: o.PartitionDuties,
			finalStates: finalStates, lifetime: lifetime},
	}
	for host := range o.Partitions {
		s.batchWakes[host] = loop.NewSignal()
	}
	return s
}

// SetFetchRates sets how fast each machine type fetches images, in GB per second.
func (s *Server) SetFetchRates(rates map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetFetchRates(rates)
}

// SetPrices sets the prices of the machine types.
func (s *Server) SetPrices(types []wire.MachineType) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetPrices(types)
}

// SetZoneState applies a zone's state and wakes the scheduling loop, since the zone may admit more jobs than before.
func (s *Server) SetZoneState(name string, r zone.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetZoneState(name, r, s.clock.Now())
	s.scheduleWake.Notify()
}

// Reconcile makes the scheduler's teams match the leaderships of this process: it acquires each team that the process leads,
// again if the term has changed, and releases each team that it no longer leads.
//
// It polls every partition leader at once after an acquisition. The poll carries the new term, and from then on the partition
// leader rejects assignments under lower terms. Otherwise the team's former leader could still start a task that this one has
// placed elsewhere (docs/design.md, "Why the rules hold", number 7).
func (s *Server) Reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := s.scheduler.TeamTerms()
	acquired := false
	for _, t := range s.teams {
		leadership, leading := s.elections.Leading(TeamDuty(t.Name))
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
			s.lifetime.start(func() { _ = s.poll(host, 0) }) // an error needs no handling: pollLoop polls again
		}
		s.scheduleWake.Notify()
	}
}
