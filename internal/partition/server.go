package partition

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Elections tells which duties this process holds.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
	Leader(duty string) (string, bool)
}

// Store takes transactions.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Server serves the partitions that this process holds.
type Server struct {
	controller     string
	incarnation    string
	partitioning   Partitioning
	txnOps         int
	maxRecordBytes int // bytes of a record
	elections      Elections
	store          Store
	clock          clock.Clock
	log            *slog.Logger
	stopped        chan struct{} // closed when Run returns: polls that wait are answered
	wallClock      func() time.Time
	misdirected    misdirectedMachines
	heartbeatDuty  *telemetry.Duty // reports answered
	pollDuty       *telemetry.Duty // polls answered, without their waits
	loopDuty       *telemetry.Duty // the loop's own rounds

	mu          sync.Mutex
	state       *State
	records     *inventory.Records
	connections *workerConnections
	publisher   publisher
	wake        chan struct{}
}

// Options of a server.
type Options struct {
	Host                 string
	Instance             string // names this process
	Partitioning         Partitioning
	TxnOps               int // operations in a transaction
	MaxRecordBytes       int
	MaxWorkerConnections int // connections to workers' own addresses
	Timing               Timing

	Jobs      JobLookup
	Elections Elections
	Store     Store
	Clock     clock.Clock
	WallClock func() time.Time
	Log       *slog.Logger
	Arbiter   *fairshare.Arbiter  // divides contended room among teams; nil: whoever asks first has it
	History   *history.Ring       // nil: none is kept
	Telemetry *telemetry.Reporter // nil: nothing is counted
}

// New makes a server that leads no partition yet.
func New(opts Options) *Server {
	o := &Server{
		stopped: make(chan struct{}), controller: opts.Host, incarnation: opts.Instance, partitioning: opts.Partitioning,
		txnOps: opts.TxnOps, maxRecordBytes: opts.MaxRecordBytes,
		elections: opts.Elections, store: opts.Store, clock: opts.Clock, wallClock: opts.WallClock, log: opts.Log,
		heartbeatDuty: opts.Telemetry.Duty("owner_report"),
		pollDuty:      opts.Telemetry.Duty("owner_poll"),
		loopDuty:      opts.Telemetry.Duty("owner_tick"),
		state:         NewState(opts.Timing, opts.Jobs),
		records:       inventory.NewRecords(),
		connections:   newWorkerConnections(opts.MaxWorkerConnections, opts.Telemetry.Traffic(telemetry.WorkerOrders)),
		misdirected:   misdirectedMachines{byLeader: map[string]map[string]clock.Micros{}},
		wake:          make(chan struct{}, 1),
	}
	o.state.arbiter, o.state.history = opts.Arbiter, opts.History
	o.publisher = newPublisher(&o.mu, o.state.Version, opts.Clock)
	return o
}

// SetTypes tells what the machine types offer, and how many GB of images they keep.
func (s *Server) SetTypes(types map[string]resources.Amounts, caches map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetCaches(caches)
	s.state.SetTypes(types)
	s.notifyChange()
}

// notifyChange has waiting polls and the loop that sends orders take note of a change. The lock is held.
func (s *Server) notifyChange() {
	s.publisher.schedule(s.state.Version(), publicationInterval(s.state.MachineCount(), s.publisher.waitingPolls))
	s.wakeDelivery()
}

// wakeDelivery has the loop that sends orders look for machines that want some.
func (s *Server) wakeDelivery() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reconcile takes over and gives up partitions as the claims now say.
func (s *Server) Reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	changed := false
	for _, p := range s.partitioning.all {
		h, mine := s.elections.Leading(Duty(p))
		term, have := s.state.PartitionTerm(p)
		switch {
		case mine && (!have || term != h.Term):
			found := inventory.Group{}
			s.records.Each(func(id string, r inventory.Record) {
				if s.partitioning.PartitionOf(id, r.Zone) == p {
					found[id] = r
				}
			})
			s.state.AcquirePartition(p, h.Term, found, now)
			s.log.Info("partition taken over", "part", p, "term", h.Term, "machines", len(found))
			changed = true
		case !mine && have:
			s.state.ReleasePartition(p)
			s.log.Info("partition given up", "part", p, "term", term)
			changed = true
		}
	}
	if changed {
		s.notifyChange()
	}
}

func errorResponse(status int, text, steward string, retry int) httpx.Response {
	r := httpx.JSON(status, wire.Error{Error: text, Leader: steward})
	r.RetryAfter = retry
	return r
}

// validMachineName tells whether a name can be part of a key of the state service.
func validMachineName(name string) bool {
	if name == "" || len(name) > 150 {
		return false
	}
	for _, c := range name {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// HandleHeartbeat answers a worker's report.
func (s *Server) HandleHeartbeat(body []byte) httpx.Response {
	began := time.Now()
	defer func() { s.heartbeatDuty.Round(time.Since(began)) }()
	var r wire.Heartbeat
	if err := json.Unmarshal(body, &r); err != nil || !validMachineName(r.Machine) || r.Incarnation == 0 || r.Tick == 0 {
		return errorResponse(400, "not a report", "", 0)
	}
	part := s.partitioning.PartitionOf(r.Machine, r.Zone)
	h, mine := s.elections.Leading(Duty(part))
	if !mine {
		if holder, ok := s.elections.Leader(Duty(part)); ok && holder != s.controller {
			s.misdirected.add(holder, r.Machine, s.clock.Now())
			return errorResponse(421, "another controller has this machine", holder, 0)
		}
		return errorResponse(503, "no controller has this machine now", "", 1)
	}
	s.mu.Lock()
	term, have := s.state.PartitionTerm(part)
	if !have || term != h.Term {
		s.mu.Unlock()
		return errorResponse(503, "taking over", "", 1)
	}
	before := s.state.Version()
	ans, ok := s.state.HandleHeartbeat(&r, part, s.clock.Now())
	if s.state.Version() != before {
		s.notifyChange()
	}
	s.mu.Unlock()
	if !ok {
		return errorResponse(503, "an old report", "", 0)
	}
	answer := httpx.JSON(200, ans)
	if !s.leads(part, term) {
		// What is said now may not be true any more: this process was held up in between.
		return errorResponse(503, "the partition's claim is over", "", 1)
	}
	return answer
}

// leads tells that a partition is held under a term at this moment. It is asked
// before anything is sent, after all that may have taken long.
func (s *Server) leads(part int, term uint64) bool {
	h, mine := s.elections.Leading(Duty(part))
	return mine && h.Term == term
}

// HandleBatch carries out a placing controller's round.
func (s *Server) HandleBatch(in peer.Batch) peer.BatchResponse {
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	ans := s.state.HandleBatch(in, s.incarnation, s.clock.Now())
	s.notifyChange()
	return ans
}

// Drain keeps machines free for their return.
func (s *Server) Drain(list []peer.MachineRef) []string {
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := s.state.Drain(list, s.partitioning.PartitionOf, s.clock.Now())
	s.notifyChange()
	return ready
}

// HandleMachinesGone takes the word that machines are gone for certain.
func (s *Server) HandleMachinesGone(list []peer.MachineRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.HandleMachinesGone(list, s.partitioning.PartitionOf, s.clock.Now())
	s.notifyChange()
}

// Run does what is due until ctx ends: lapses, records of machines, orders.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.stopped)
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	var recording sync.Mutex
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case due := <-tick.C:
			s.loopDuty.Late(time.Since(due))
			// Silence is judged as of a moment at which the partitions were held for
			// certain: who stood still in between must not take machines that others
			// have answered since for silent.
			now := s.clock.Now()
			s.Reconcile()
			s.mu.Lock()
			before := s.state.Version()
			var drop []string
			if n++; n%2 == 0 { // it looks at every task, and none of what it finds is due at once
				drop = s.state.Tick(now)
			}
			s.connections.retain(func(id string) bool { _, here := s.state.PartitionOf(id); return here })
			if s.state.Version() != before {
				s.notifyChange()
			}
			fresh := s.state.UnrecordedMachines()
			s.mu.Unlock()
			if (len(drop) > 0 || len(fresh) > 0) && recording.TryLock() {
				go func() {
					defer recording.Unlock()
					s.writeMachineRecords(ctx, fresh, drop)
				}()
			}
		case <-s.wake:
		}
		began := time.Now()
		s.startDeliveries(ctx)
		s.loopDuty.Round(time.Since(began))
	}
}

// SetZoneState takes the state of a zone.
func (s *Server) SetZoneState(name string, r zone.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetZoneState(name, r, s.clock.Now())
}

// AdmittedStages tells the stages that this owner admits in zones to which work returns.
func (s *Server) AdmittedStages() map[string]recovery.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AdmittedStages(s.clock.Now())
}

// Standings gives the teams' shares of the machines that are led, the capacity that they are of, and
// how many assignments had to leave resources to other teams.
func (s *Server) Standings() (capacity resources.Amounts, list []fairshare.Standing, yielded uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.arbiter == nil {
		return resources.Amounts{}, nil, 0
	}
	capacity, list = s.state.Standings(s.clock.Now())
	return capacity, list, s.state.arbiter.Yielded()
}
