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
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
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
	host        string
	instance    string
	split       Partitioning
	txnOps      int
	valueMost   int // bytes of a record
	claims      Elections
	store       Store
	clock       clock.Clock
	log         *slog.Logger
	stopped     chan struct{} // closed when Run returns: polls that wait are answered
	wall        func() time.Time
	misdirected misdirected
	reports     *telemetry.Duty // reports answered
	polls       *telemetry.Duty // polls answered, without their waits
	ticks       *telemetry.Duty // the loop's own rounds

	mu      sync.Mutex
	table   *State
	records *inventory.Records
	lines   *lines
	feed    feed
	wake    chan struct{}
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
		stopped: make(chan struct{}), host: opts.Host, instance: opts.Instance, split: opts.Partitioning,
		txnOps: opts.TxnOps, valueMost: opts.MaxRecordBytes,
		claims: opts.Elections, store: opts.Store, clock: opts.Clock, wall: opts.WallClock, log: opts.Log,
		reports:     opts.Telemetry.Duty("owner_report"),
		polls:       opts.Telemetry.Duty("owner_poll"),
		ticks:       opts.Telemetry.Duty("owner_tick"),
		table:       NewState(opts.Timing, opts.Jobs),
		records:     inventory.NewRecords(),
		lines:       newLines(opts.MaxWorkerConnections, opts.Telemetry.Traffic(telemetry.WorkerOrders)),
		misdirected: misdirected{of: map[string]map[string]clock.Micros{}},
		wake:        make(chan struct{}, 1),
	}
	o.table.arbiter, o.table.history = opts.Arbiter, opts.History
	o.feed = newFeed(&o.mu, o.table.Version, opts.Clock)
	return o
}

// SetTypes tells what the machine types offer, and how many GB of images they keep.
func (o *Server) SetTypes(types map[string]resources.Amounts, caches map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetCaches(caches)
	o.table.SetTypes(types)
	o.notify()
}

// notify has waiting polls and the loop that sends orders take note of a change. The lock is held.
func (o *Server) notify() {
	o.feed.changed(o.table.Version(), pollGap(o.table.MachineCount(), o.feed.waiting))
	o.poke()
}

// poke has the loop that sends orders look for machines that want some.
func (o *Server) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Reconcile takes over and gives up partitions as the claims now say.
func (o *Server) Reconcile() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	changed := false
	for _, p := range o.split.all {
		h, mine := o.claims.Leading(Duty(p))
		term, have := o.table.PartitionTerm(p)
		switch {
		case mine && (!have || term != h.Term):
			found := inventory.Group{}
			o.records.Each(func(id string, r inventory.Record) {
				if o.split.PartitionOf(id, r.Zone) == p {
					found[id] = r
				}
			})
			o.table.AcquirePartition(p, h.Term, found, now)
			o.log.Info("partition taken over", "part", p, "term", h.Term, "machines", len(found))
			changed = true
		case !mine && have:
			o.table.ReleasePartition(p)
			o.log.Info("partition given up", "part", p, "term", term)
			changed = true
		}
	}
	if changed {
		o.notify()
	}
}

func refuse(status int, text, steward string, retry int) httpx.Response {
	r := httpx.JSON(status, wire.Error{Error: text, Leader: steward})
	r.RetryAfter = retry
	return r
}

// validMachine tells whether a name can be part of a key of the state service.
func validMachine(name string) bool {
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
func (o *Server) HandleHeartbeat(body []byte) httpx.Response {
	began := time.Now()
	defer func() { o.reports.Round(time.Since(began)) }()
	var r wire.Heartbeat
	if err := json.Unmarshal(body, &r); err != nil || !validMachine(r.Machine) || r.Incarnation == 0 || r.Tick == 0 {
		return refuse(400, "not a report", "", 0)
	}
	part := o.split.PartitionOf(r.Machine, r.Zone)
	h, mine := o.claims.Leading(Duty(part))
	if !mine {
		if holder, ok := o.claims.Leader(Duty(part)); ok && holder != o.host {
			o.misdirected.note(holder, r.Machine, o.clock.Now())
			return refuse(421, "another controller has this machine", holder, 0)
		}
		return refuse(503, "no controller has this machine now", "", 1)
	}
	o.mu.Lock()
	term, have := o.table.PartitionTerm(part)
	if !have || term != h.Term {
		o.mu.Unlock()
		return refuse(503, "taking over", "", 1)
	}
	before := o.table.Version()
	ans, ok := o.table.HandleHeartbeat(&r, part, o.clock.Now())
	if o.table.Version() != before {
		o.notify()
	}
	o.mu.Unlock()
	if !ok {
		return refuse(503, "an old report", "", 0)
	}
	answer := httpx.JSON(200, ans)
	if !o.holds(part, term) {
		// What is said now may not be true any more: this process was held up in between.
		return refuse(503, "the partition's claim is over", "", 1)
	}
	return answer
}

// holds tells that a partition is held under a term at this moment. It is asked
// before anything is sent, after all that may have taken long.
func (o *Server) holds(part int, term uint64) bool {
	h, mine := o.claims.Leading(Duty(part))
	return mine && h.Term == term
}

// HandleBatch carries out a placing controller's round.
func (o *Server) HandleBatch(in peer.Batch) peer.BatchResponse {
	o.Reconcile()
	o.mu.Lock()
	defer o.mu.Unlock()
	ans := o.table.HandleBatch(in, o.instance, o.clock.Now())
	o.notify()
	return ans
}

// Drain keeps machines free for their return.
func (o *Server) Drain(list []peer.MachineRef) []string {
	o.Reconcile()
	o.mu.Lock()
	defer o.mu.Unlock()
	ready := o.table.Drain(list, o.split.PartitionOf, o.clock.Now())
	o.notify()
	return ready
}

// HandleMachinesGone takes the word that machines are gone for certain.
func (o *Server) HandleMachinesGone(list []peer.MachineRef) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.HandleMachinesGone(list, o.split.PartitionOf, o.clock.Now())
	o.notify()
}

// Run does what is due until ctx ends: lapses, records of machines, orders.
func (o *Server) Run(ctx context.Context) error {
	defer close(o.stopped)
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	var recording sync.Mutex
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case due := <-tick.C:
			o.ticks.Late(time.Since(due))
			// Silence is judged as of a moment at which the partitions were held for
			// certain: who stood still in between must not take machines that others
			// have answered since for silent.
			now := o.clock.Now()
			o.Reconcile()
			o.mu.Lock()
			before := o.table.Version()
			var drop []string
			if n++; n%2 == 0 { // it looks at every task, and none of what it finds is due at once
				drop = o.table.Tick(now)
			}
			o.lines.keep(func(id string) bool { _, here := o.table.PartitionOf(id); return here })
			if o.table.Version() != before {
				o.notify()
			}
			fresh := o.table.UnrecordedMachines()
			o.mu.Unlock()
			if (len(drop) > 0 || len(fresh) > 0) && recording.TryLock() {
				go func() {
					defer recording.Unlock()
					o.record(ctx, fresh, drop)
				}()
			}
		case <-o.wake:
		}
		began := time.Now()
		o.send(ctx)
		o.ticks.Round(time.Since(began))
	}
}
