// Package autoscaler scales the fleet out and in. The controller that leads the fleet requests instances
// from the cloud to meet the demand that the schedulers report, returns instances that are no longer needed,
// and decides the states of zones.
//
// Decisions are made by code without I/O. Plan decides what to request and what to return: it finds the kinds of
// instances that may be requested, collects the capacity there is and will be, packs the demand into it, applies
// limits, and makes the requests. instanceList tracks which instances exist, requestPacer limits how many requests
// are sent at a time, and package zone decides the states of zones. Autoscaler, zoneStates and CloudClient do the I/O.
//
// Invariants; the numbers are those in docs/design.md, "Why the rules hold":
//   - An instance counts as gone only on evidence from the cloud: it was returned, is listed as failed, or is
//     proven absent from the list (4, instanceList).
//   - The name of a scale-out request is used only once, and a machine is returned only after its partition
//     leader has drained it (12, requestScaleOut and scaleIn).
//   - Every write to the key-value store is conditional on the fleet's leadership (leadershipCondition).
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

// Duty is the name under which controllers elect the fleet's leader.
const Duty = "fleet"

const (
	// stepInterval is the time between two scaling decisions. It is well below an instance's boot time,
	// so that it adds little to the time that tasks wait for a new instance.
	stepInterval = 400 * time.Millisecond
	// summaryInterval is the least time between two log events with the fleet's size and utilization.
	summaryInterval = 10 * clock.Second
)

// ControllerClient reads the state that the autoscaler needs from all controllers, and notifies them.
type ControllerClient interface {
	// Demands returns the waiting tasks of all teams whose leaders can be reached.
	Demands(ctx context.Context) []peer.Demand
	// MachineViews appends the views of all machines.
	MachineViews(to []peer.MachineView) []peer.MachineView
	// Drain asks the partition leaders to drain machines, and returns the ids of those that hold no tasks or
	// leases any more.
	Drain(ctx context.Context, list []peer.MachineRef) (ready []string)
	// MarkMachinesGone notifies the partition leaders of machines on which certainly nothing runs any more: they are
	// gone, returned or failed.
	MarkMachinesGone(ctx context.Context, list []peer.MachineRef)
	// RecordedBefore returns the machines that have a record in the key-value store and were recorded before a wall
	// clock time, in Unix milliseconds.
	RecordedBefore(atMS int64) []peer.MachineRef
}

// Elections reports which leaderships this controller holds.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
}

// Store commits transactions to the key-value store.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Autoscaler scales the fleet out and in while its controller leads the fleet. The goroutine of Run owns all
// fields except zones, which RunZones and HoldZone use too and which has its own lock.
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
	zones         *zoneStates // nil if the states of zones are not decided

	term           uint64 // 0: not leading
	requestCounter uint64 // number of scale-out requests in this term
	instanceList   instanceList
	pacer          requestPacer

	catalog          wire.Catalog
	catalogFetchedAt clock.Micros // 0: not fetched in this term
	nextListAt       clock.Micros // earliest time of the next read of the list, after one that failed
	listFailures     int          // consecutive failed reads of the list
	lastSummaryAt    clock.Micros // time of the last logged summary

	// views and viewIndex are reused by the next step. Each step reads the views of all machines, several
	// times a second, and fresh copies of them used to be most of what this process allocated.
	views     []peer.MachineView
	viewIndex map[string]int
}

// Options are the dependencies and settings of an Autoscaler.
type Options struct {
	Cloud         *CloudClient
	Elections     Elections
	Store         Store
	Controllers   ControllerClient
	Clock         clock.Clock
	WallClock     func() time.Time
	Parameters    Parameters
	Backoff       clock.Micros        // how long a kind of instance is not requested after a refusal
	ListLag       clock.Micros        // bound on how far the cloud's list lags behind
	ClockSkew     clock.Micros        // bound on the difference between the wall clocks of two controllers
	StoredCatalog func() wire.Catalog // returns the catalog from the key-value store
	Zones         ZoneWatch           // zero value: the states of zones are not decided
	Log           *slog.Logger
	Telemetry     *telemetry.Reporter // nil: nothing is counted
}

// New returns an autoscaler that does nothing until its controller leads the fleet.
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
		instanceList:  instanceList{maxLag: o.ListLag, maxSkew: o.ClockSkew},
		pacer:         requestPacer{backoff: o.Backoff, maxRequests: max(1, int(o.Cloud.rps*maxRequestsPerRPS))},
	}
	a.cloud.CountTraffic(o.Telemetry.Traffic(telemetry.Cloud))
	return a
}

// Run scales the fleet while this controller leads it, and returns when ctx is done.
func (a *Autoscaler) Run(ctx context.Context) error {
	leaderLoop{
		elections: a.elections,
		interval:  stepInterval,
		startTerm: func(leadership leaderelection.Leadership) {
			a.startTerm(leadership.Term)
			a.log.Info("fleet leadership acquired", "term", leadership.Term)
		},
		step: func(ctx context.Context, leadership leaderelection.Leadership) {
			start := time.Now()
			a.step(ctx, leadership)
			a.dutyStats.RecordRound(time.Since(start))
		},
		endTerm: func() { a.term = 0 },
	}.run(ctx)
	return nil
}

// startTerm discards what is known of instances, requests and the age of the catalog, at the start of a term.
func (a *Autoscaler) startTerm(term uint64) {
	a.term, a.requestCounter = term, 0
	a.instanceList.reset()
	a.pacer.reset()
	a.catalogFetchedAt, a.listFailures, a.nextListAt = 0, 0, 0
}

// stillLeading reports whether this controller still leads the fleet in the term in which the step began.
func (a *Autoscaler) stillLeading() bool {
	leadership, leading := a.elections.Leading(Duty)
	return leading && leadership.Term == a.term
}

// step reads the state of the fleet, plans, and sends the scale-out and scale-in requests.
func (a *Autoscaler) step(ctx context.Context, leadership leaderelection.Leadership) {
	now := a.clock.Now()
	if !a.refreshCatalog(ctx, leadership, now) {
		return
	}
	a.refreshInstancesIfDue(ctx, now)
	if a.instanceList.listedAt == 0 {
		return // it is not known yet which instances exist
	}
	in := a.observe(ctx, now)
	scaleOut, scaleIn := a.decide(&in)
	a.logStep(ctx, in, scaleOut, scaleIn, now)
	if !a.scaleOut(ctx, in, scaleOut) {
		return
	}
	a.scaleIn(ctx, scaleIn)
}

// observe collects the input of a plan. Its fields Instances and RefusedUntil are the live maps, so that another
// plan within the same step sees the responses to the requests sent before it.
func (a *Autoscaler) observe(ctx context.Context, now clock.Micros) Input {
	a.views = a.controllers.MachineViews(a.views[:0])
	a.viewIndex = indexViews(a.viewIndex, a.views)
	in := Input{
		Now:          a.clock.Now(),
		Types:        a.catalog.Types,
		Instances:    a.instanceList.instances,
		Views:        a.views,
		Demands:      a.controllers.Demands(ctx),
		RefusedUntil: a.pacer.refusedUntil,
		Parameters:   a.parameters,
		MaxPerKind:   wire.MaxScaleOut * a.pacer.maxRequests,
		viewIndex:    a.viewIndex,
	}
	a.instanceList.observeViews(in.Views, in.viewIndex, now)
	return in
}

// decide plans with the present states of zones. While a zone is not healthy, it defers the return of all
// idle machines but maxIdleScaleIn.
func (a *Autoscaler) decide(in *Input) ([]ScaleOut, []ScaleIn) {
	closed, anyUnhealthy := a.zones.closedZones()
	in.ClosedZones = closed
	scaleOut, scaleIn := Plan(*in)
	if anyUnhealthy {
		scaleIn = limitIdleScaleIn(scaleIn)
	}
	return scaleOut, scaleIn
}
