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

// Elections answers which leaderships this process has, and who has others.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
	Leader(duty string) (string, bool)
}

// Store commits transactions to the key-value store.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Server serves the partitions that this process leads. Its methods may be called from any goroutine.
//
// Its goroutines are Run's loop, which starts one for each delivery and one at a time for the writes of machine records;
// Run waits for them before it returns. Only a publication's timer may fire later: it answers polls, and there are none.
type Server struct {
	controller     string
	incarnation    string // of this process
	partitioning   Partitioning
	txnOps         int
	maxRecordBytes int
	elections      Elections
	store          Store
	clock          clock.Clock
	wallClock      func() time.Time
	log            *slog.Logger
	heartbeatDuty  *telemetry.Duty // heartbeats answered
	pollDuty       *telemetry.Duty // polls answered, without their waits
	loopDuty       *telemetry.Duty // rounds of Run's loop

	misdirected misdirectedMachines // has its own lock
	wake        loop.Signal         // wakes Run's loop to start deliveries
	stopped     chan struct{}       // closed when Run ends: polls that wait are answered
	background  sync.WaitGroup      // deliveries and writes of machine records; added to by Run's goroutine only
	recording   sync.Mutex          // held by the goroutine that writes machine records

	recordFailures int // writes of machine records that failed in a row; guarded by recording

	// mu guards the fields below. It is not held while anything waits for the network or the store.
	mu          sync.Mutex
	state       *State
	records     *inventory.Records
	connections *workerConnections
	publisher   publisher
}

// Options of a server.
type Options struct {
	Host                 string // of this controller
	Instance             string // the incarnation of this process
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
	Arbiter   *fairshare.Arbiter  // divides contended resources among teams; nil: the first assignment gets them
	History   *history.Ring       // nil: none is kept
	Telemetry *telemetry.Reporter // nil: nothing is counted
}

// New makes a server that leads no partition yet.
func New(opts Options) *Server {
	s := &Server{
		controller:     opts.Host,
		incarnation:    opts.Instance,
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
		connections:    newWorkerConnections(opts.MaxWorkerConnections, opts.Telemetry.Traffic(telemetry.WorkerOrders)),
	}
	s.state.arbiter, s.state.history = opts.Arbiter, opts.History
	s.publisher = newPublisher(&s.mu, s.state.Version, opts.Clock)
	return s
}

// notifyChange has a change published to polls, and wakes Run's loop. mu is held.
func (s *Server) notifyChange() {
	s.publisher.schedule(s.state.Version(), publicationInterval(s.state.MachineCount(), s.publisher.waitingPolls))
	s.wake.Notify()
}

// leads reports whether a partition is led under a term at this moment. It is asked before anything is sent, after all
// that may have taken long.
func (s *Server) leads(partition int, term uint64) bool {
	l, leading := s.elections.Leading(Duty(partition))
	return leading && l.Term == term
}

// Reconcile acquires and releases partitions until those that the State holds are those that this process leads.
func (s *Server) Reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	changed := false
	for _, p := range s.partitioning.all {
		l, leading := s.elections.Leading(Duty(p))
		term, have := s.state.PartitionTerm(p)
		switch {
		case leading && (!have || term != l.Term):
			recorded := s.recordedIn(p)
			s.state.AcquirePartition(p, l.Term, recorded, now)
			s.log.Info("partition leadership acquired", "partition", p, "term", l.Term, "machines", len(recorded))
			changed = true
		case !leading && have:
			s.state.ReleasePartition(p)
			s.log.Info("partition leadership released", "partition", p, "term", term)
			changed = true
		}
	}
	if changed {
		s.notifyChange()
	}
}

const (
	loopInterval = 250 * time.Millisecond
	// expiryEvery is how many loop intervals lie between two ticks of the State: a tick looks at every task, and
	// none of what it finds is urgent.
	expiryEvery = 2
)

// Run expires what is due, writes machine records and delivers commands until ctx ends, and waits for the deliveries and
// writes that are under way: they end with ctx.
func (s *Server) Run(ctx context.Context) error {
	defer s.background.Wait()
	defer close(s.stopped)
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for n := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case due := <-ticker.C:
			s.loopDuty.Late(time.Since(due))
			unrecorded, drop := s.tick(n%expiryEvery == 0)
			n++
			s.startRecording(ctx, unrecorded, drop)
		case <-s.wake:
		}
		began := time.Now()
		s.startDeliveries(ctx)
		s.loopDuty.Round(time.Since(began))
	}
}

// tick does what is due a few times a second. It gives the machines that are to be recorded, and those whose records
// are to be removed.
func (s *Server) tick(expire bool) (unrecorded inventory.Group, drop []string) {
	// Silence is decided as of a moment at which the partitions were led for certain: a process that was paused in
	// between must not take machines that others have answered since for silent.
	now := s.clock.Now()
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Version()
	if expire {
		drop = s.state.Tick(now)
	}
	s.connections.retain(func(id string) bool { _, known := s.state.PartitionOf(id); return known })
	if s.state.Version() != before {
		s.notifyChange()
	}
	return s.state.UnrecordedMachines(), drop
}

// startRecording writes machine records in the background, unless an earlier write is still under way: what is due
// then is due again with the next tick.
func (s *Server) startRecording(ctx context.Context, unrecorded inventory.Group, drop []string) {
	if len(drop) == 0 && len(unrecorded) == 0 || !s.recording.TryLock() {
		return
	}
	s.background.Go(func() {
		defer s.recording.Unlock()
		s.writeMachineRecords(ctx, unrecorded, drop)
	})
}
