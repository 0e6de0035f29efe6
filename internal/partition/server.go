package partition

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Elections reports which leaderships this process has, and which controller has each of the others.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
	Leader(duty string) (string, bool)
}

// Store commits transactions to the key-value store and returns their revision.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Server serves the partitions that this process leads. Its methods may be called from any goroutine.
//
// Run's loop starts a goroutine for each delivery, and one at a time for writes of machine records. Run waits for all
// of them before it returns. Only the publisher's timer can fire later; it would answer polls, but none wait any
// more.
type Server struct {
	controller     string
	processID      string // identifies this process
	partitioning   Partitioning
	txnOps         int
	maxRecordBytes int
	elections      Elections
	store          Store
	clock          clock.Clock
	wallClock      func() time.Time
	log            *slog.Logger
	heartbeatDuty  *telemetry.Duty // time spent on heartbeats
	pollDuty       *telemetry.Duty // time spent on polls, without their waits
	loopDuty       *telemetry.Duty // time spent in Run's loop

	misdirected   misdirectedMachines // has its own lock
	wake          loop.Signal         // wakes Run's loop to start deliveries
	stopped       chan struct{}       // closed when Run ends, so that waiting polls are answered
	background    sync.WaitGroup      // deliveries and writes of machine records; only Run's goroutine adds to it
	recordWriteMu sync.Mutex          // held by the goroutine that writes machine records

	recordWriteFailures int // writes of machine records that failed in a row; guarded by recordWriteMu

	// mu guards the fields below. It is not held while a goroutine waits for the network or the key-value store.
	mu          sync.Mutex
	state       *State
	records     *inventory.Records
	connections *workerConnections
	publisher   publisher
}

// Options configures a Server.
type Options struct {
	Controller           string // name of this controller
	ProcessID            string // identifies this process
	Partitioning         Partitioning
	TxnOps               int // largest number of operations in a transaction
	MaxRecordBytes       int // largest value of a key with machine records, in bytes
	MaxWorkerConnections int // largest number of connections to workers' own addresses
	Timing               Timing

	Jobs      JobLookup
	Elections Elections
	Store     Store
	Clock     clock.Clock
	WallClock func() time.Time
	Log       *slog.Logger
	Arbiter   *fairshare.Arbiter  // divides contended resources among teams; nil: the first assignment gets them
	History   *history.Ring       // nil: no history is kept
	Telemetry *telemetry.Reporter // nil: nothing is counted
	// DialWorker makes a client of the worker at an address; nil: over HTTP.
	DialWorker func(addr string) WorkerClient
}

// New returns a server that leads no partition yet.
func New(opts Options) *Server {
	dial := opts.DialWorker
	if dial == nil {
		dial = dialHTTP(opts.Telemetry.Traffic(telemetry.WorkerOrders))
	}
	s := &Server{
		controller:     opts.Controller,
		processID:      opts.ProcessID,
		partitioning:   opts.Partitioning,
		txnOps:         opts.TxnOps,
		maxRecordBytes: opts.MaxRecordBytes,
		elections:      opts.Elections,
		store:          opts.Store,
		clock:          opts.Clock,
		wallClock:      opts.WallClock,
		log:            opts.Log,
		heartbeatDuty:  opts.Telemetry.Duty("owner_report"),
		pollDuty:       opts.Telemetry.Duty("owner_poll"),
		loopDuty:       opts.Telemetry.Duty("owner_tick"),
		misdirected:    misdirectedMachines{byLeader: map[string]map[string]clock.Micros{}},
		wake:           loop.NewSignal(),
		stopped:        make(chan struct{}),
		state:          NewState(opts.Timing, opts.Jobs),
		records:        inventory.NewRecords(),
		connections:    newWorkerConnections(opts.MaxWorkerConnections, dial),
	}
	s.state.arbiter, s.state.history = opts.Arbiter, opts.History
	s.state.counters = newCounters(opts.Telemetry)
	s.addMachineGauges(opts.Telemetry)
	s.publisher = newPublisher(&s.mu, s.state.Version, opts.Clock)
	return s
}

// notifyChange schedules the publication of a change, logs the State's notices and wakes Run's loop. mu is held.
func (s *Server) notifyChange() {
	s.logNotices()
	s.publisher.schedule(s.state.Version(), publicationInterval(s.state.MachineCount(), s.publisher.waitingPolls))
	s.wake.Notify()
}

// leads reports whether this process leads a partition under a term at this moment. Callers check it again after any
// step that may take long, directly before they send something, because the leadership can expire in between.
func (s *Server) leads(partition int, term uint64) bool {
	leadership, leading := s.elections.Leading(Duty(partition))
	return leading && leadership.Term == term
}

// Reconcile acquires and releases partitions in the State, so that it holds those whose leadership this process has
// now.
func (s *Server) Reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	changed := false
	for _, partition := range s.partitioning.all {
		leadership, leading := s.elections.Leading(Duty(partition))
		term, held := s.state.PartitionTerm(partition)
		switch {
		case leading && (!held || term != leadership.Term):
			recorded := s.recordedIn(partition)
			s.state.AcquirePartition(partition, leadership.Term, recorded, now)
			s.log.Info("partition leadership acquired", "partition", partition, "term", leadership.Term,
				"first_token", firstToken(leadership.Term)+1, "revision", leadership.ModRevision, "machines", len(recorded))
			changed = true
		case !leading && held:
			s.state.ReleasePartition(partition)
			s.log.Info("partition leadership released", "partition", partition, "term", term)
			changed = true
		}
	}
	if changed {
		s.notifyChange()
	}
}

const (
	// loopInterval is the time between two calls of tick.
	loopInterval = 250 * time.Millisecond
	// intervalsPerTick is the number of loop intervals per Tick of the State. A tick looks at every task, and none of
	// its findings is urgent.
	intervalsPerTick = 2
)

// Run ticks the State, writes machine records and delivers commands until ctx ends. It then waits for the deliveries
// and writes that are under way, which end with ctx. It waits for nothing if it panics: the process has to end at once then, since
// other goroutines would go on without this one, and renew the leaderships.
func (s *Server) Run(ctx context.Context) error {
	s.runLoop(ctx)
	close(s.stopped)
	s.background.Wait()
	return nil
}

// runLoop does the work of Run until ctx ends.
func (s *Server) runLoop(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for n := 1; ; {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			s.loopDuty.RecordDelay(time.Since(due))
			unrecorded, removals := s.tick(n%intervalsPerTick == 0)
			n++
			s.startRecordWrites(ctx, unrecorded, removals)
		case <-s.wake:
		}
		start := time.Now()
		s.startDeliveries(ctx)
		s.loopDuty.RecordRound(time.Since(start))
	}
}

// tick reconciles the partitions, ticks the State if expire is set, and closes the connections to unknown machines. It
// returns the machines to record, and the ids of those whose records are to be removed.
func (s *Server) tick(expire bool) (unrecorded inventory.Group, removals []string) {
	// The time is read before Reconcile, so that silence is decided as of a time at which this process certainly led
	// its partitions. If the process is paused in between, other leaders may have answered the machines since.
	now := s.clock.Now()
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Version()
	if expire {
		removals = s.state.Tick(now)
		s.logNotices()
	}
	s.connections.retain(func(id string) bool { _, known := s.state.PartitionOf(id); return known })
	if s.state.Version() != before {
		s.notifyChange()
	}
	return s.state.UnrecordedMachines(), removals
}

// startRecordWrites writes machine records in the background, unless an earlier write is still under way. Changes
// that are skipped then are due again with a later tick.
func (s *Server) startRecordWrites(ctx context.Context, unrecorded inventory.Group, removals []string) {
	if len(removals) == 0 && len(unrecorded) == 0 || !s.recordWriteMu.TryLock() {
		return
	}
	s.background.Go(func() {
		defer s.recordWriteMu.Unlock()
		s.writeMachineRecords(ctx, unrecorded, removals)
	})
}
