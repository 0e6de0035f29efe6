// Package autoscaler scales the fleet out and in: the leader of the fleet requests instances from the
// cloud by the demand that the schedulers report, returns the ones that are of no more use, and decides the
// states of zones.
//
// Decisions are plain code that does no I/O: Plan (what to request and return, as a pipeline: available
// kinds, capacity, bin packing of the demand, limits, requests), instanceList (which instances
// exist), requestPacer (how many requests at a time) and package zone. I/O is done by Autoscaler,
// zoneStates and CloudClient.
//
// Invariants, with the argument's number in docs/design.md, "Why the rules hold":
//   - An instance counts as gone only by what the cloud says: returned, failed, or proven absent (4, instanceList).
//   - A scale-out request's name is used once, and a machine is returned only after its partition
//     leader has drained it (12, requestScaleOut and scaleIn).
//   - Every write to the key-value store depends on the fleet's leadership (leadershipCondition).
package autoscaler

import (
	"context"
	"log/slog"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Duty names the leadership of the fleet.
const Duty = "fleet"

const (
	// stepInterval is how often the leader decides: well below the time in which an instance boots,
	// so that it adds little to the wait of a task.
	stepInterval = 400 * time.Millisecond
	// summaryInterval is how often the fleet's size and use are logged.
	summaryInterval = 10 * clock.Second
)

// ControllerClient asks all controllers for what the autoscaler needs, and notifies them.
type ControllerClient interface {
	// Demands gives what waits, of all teams.
	Demands(ctx context.Context) []peer.Demand
	// MachineViews appends the views of all machines.
	MachineViews(to []peer.MachineView) []peer.MachineView
	// Drain has the partition leaders drain machines, and gives those that hold nothing any more.
	Drain(ctx context.Context, list []peer.MachineRef) (ready []string)
	// MarkMachinesGone notifies the partition leaders of machines that are gone for certain.
	MarkMachinesGone(ctx context.Context, list []peer.MachineRef)
	// RecordedBefore gives the machines whose records were written before a time of day.
	RecordedBefore(atMS int64) []peer.MachineRef
}

// Elections knows which leaderships this controller has.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
}

// Store takes transactions.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Autoscaler scales out and in while it leads the fleet. Run's goroutine owns all fields but zones,
// which RunZones and HoldZone share under its own lock.
type Autoscaler struct {
	cloud         *CloudClient
	elections     Elections
	store         Store
	controllers   ControllerClient
	clock         clock.Clock
	wallClock     func() time.Time
	parameters    Parameters
	storedCatalog func() wire.Catalog
	log           *slog.Logger
	dutyStats     *telemetry.Duty
	zones         *zoneStates // nil: states of zones are not decided

	term           uint64 // 0: not leading
	requestCounter uint64 // of scale-out requests in this term
	list           instanceList
	pacer          requestPacer

	catalog          wire.Catalog
	catalogFetchedAt clock.Micros // 0: not in this term
	nextListAt       clock.Micros // not before, after a read that failed
	listFailures     int          // in a row
	summaryAt        clock.Micros // of the last summary logged

	// Views and their index are kept for the next step's use: all machines are looked at
	// several times a second, and copies of them were most of what this process allocated.
	views     []peer.MachineView
	viewIndex map[string]int
}

// Options of an autoscaler.
type Options struct {
	Cloud         *CloudClient
	Elections     Elections
	Store         Store
	Controllers   ControllerClient
	Clock         clock.Clock
	WallClock     func() time.Time
	Parameters    Parameters
	Backoff       clock.Micros        // how long a kind of instance that was refused is not requested
	ListLag       clock.Micros        // how old the cloud's list may be
	ClockSkew     clock.Micros        // how far clocks of the time of day may be apart
	StoredCatalog func() wire.Catalog // as the key-value store has it
	Zones         ZoneWatch           // zero: states of zones are not decided
	Log           *slog.Logger
	Telemetry     *telemetry.Reporter // nil: nothing is counted
}

// New makes an autoscaler that does nothing until it leads the fleet.
func New(o Options) *Autoscaler {
	a := &Autoscaler{
		cloud:         o.Cloud,
		elections:     o.Elections,
		store:         o.Store,
		controllers:   o.Controllers,
		clock:         o.Clock,
		wallClock:     o.WallClock,
		parameters:    o.Parameters,
		storedCatalog: o.StoredCatalog,
		log:           o.Log,
		dutyStats:     o.Telemetry.Duty("fleet"),
		zones:         newZoneStates(o),
		list:          instanceList{lag: o.ListLag, skew: o.ClockSkew},
		pacer:         requestPacer{backoff: o.Backoff, maxRequests: max(1, int(o.Cloud.rps*maxRequestsPerRPS))},
	}
	a.cloud.CountTraffic(o.Telemetry.Traffic(telemetry.Cloud))
	return a
}

// Run scales the fleet while this controller leads it, until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) error {
	leaderLoop{
		elections: a.elections,
		interval:  stepInterval,
		startTerm: func(leadership leaderelection.Leadership) {
			a.startTerm(leadership.Term)
			a.log.Info("fleet leadership acquired", "term", leadership.Term)
		},
		step: func(ctx context.Context, leadership leaderelection.Leadership) {
			began := time.Now()
			a.step(ctx, leadership)
			a.dutyStats.Round(time.Since(began))
		},
		endTerm: func() { a.term = 0 },
	}.run(ctx)
	return nil
}

// startTerm begins a term, knowing nothing of the instances.
func (a *Autoscaler) startTerm(term uint64) {
	a.term, a.requestCounter = term, 0
	a.list.reset()
	a.pacer.reset()
	a.catalogFetchedAt, a.listFailures, a.nextListAt = 0, 0, 0
}

// stillLeading reports whether the term in which this step began goes on.
func (a *Autoscaler) stillLeading() bool {
	leadership, leading := a.elections.Leading(Duty)
	return leading && leadership.Term == a.term
}

// step observes the fleet, decides, and acts.
func (a *Autoscaler) step(ctx context.Context, leadership leaderelection.Leadership) {
	now := a.clock.Now()
	if !a.refreshCatalog(ctx, leadership, now) {
		return
	}
	a.refreshInstancesIfDue(ctx, now)
	if a.list.listedAt == 0 {
		return // which instances there are is not known
	}
	in := a.observe(ctx, now)
	scaleOut, scaleIn := a.decide(&in)
	a.logStep(ctx, in, scaleOut, scaleIn, now)
	if !a.scaleOut(ctx, in, scaleOut) {
		return
	}
	a.scaleIn(ctx, scaleIn)
}

// observe collects what a plan is made from. Instances and Refused are the live maps, so that a plan made
// anew within the step sees what the requests before it brought.
func (a *Autoscaler) observe(ctx context.Context, now clock.Micros) Input {
	a.views = a.controllers.MachineViews(a.views[:0])
	a.viewIndex = indexViews(a.viewIndex, a.views)
	in := Input{
		Now:        a.clock.Now(),
		Types:      a.catalog.Types,
		Instances:  a.list.instances,
		Views:      a.views,
		Demands:    a.controllers.Demands(ctx),
		Refused:    a.pacer.refusedUntil,
		Parameters: a.parameters,
		MaxCount:   wire.MaxScaleOut * a.pacer.maxRequests,
		viewIndex:  a.viewIndex,
	}
	a.list.observeViews(in.Views, in.viewIndex, now)
	return in
}

// decide plans with the zones as they stand, and defers the return of most idle machines while one
// of them is not healthy.
func (a *Autoscaler) decide(in *Input) ([]ScaleOut, []ScaleIn) {
	closed, unsettled := a.zones.closedZones()
	in.Closed = closed
	scaleOut, scaleIn := Plan(*in)
	if unsettled {
		scaleIn = limitIdleScaleIn(scaleIn)
	}
	return scaleOut, scaleIn
}
