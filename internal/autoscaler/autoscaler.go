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

// Duty is the fleet's claim.
const Duty = "fleet"

// ControllerClient asks all controllers for what the fleet needs.
type ControllerClient interface {
	Demands(ctx context.Context) []peer.Demand
	// Views appends the views of all machines.
	MachineViews(to []peer.MachineView) []peer.MachineView
	Drain(ctx context.Context, list []peer.MachineRef) (ready []string)
	MarkMachinesGone(ctx context.Context, list []peer.MachineRef)
	RecordedBefore(atMS int64) []peer.MachineRef
}

// Elections tells whether the fleet is held.
type Elections interface {
	Leading(duty string) (leaderelection.Leadership, bool)
}

// Store takes transactions.
type Store interface {
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Autoscaler rents and returns machines while it holds the claim.
type Autoscaler struct {
	cloud         *CloudClient
	elections     Elections
	store         Store
	controllers   ControllerClient
	clock         clock.Clock
	parameters    Parameters
	backoff       clock.Micros
	listLag       clock.Micros
	clockSkew     clock.Micros // the most that times of day are off
	wallClock     func() time.Time
	storedCatalog func() wire.Catalog
	log           *slog.Logger
	dutyStats     *telemetry.Duty
	zones         zoneStates

	term             uint64
	requestCounter   uint64
	instances        map[string]Instance
	lastSeen         map[string]clock.Micros // when a machine was last on the list, or was rented
	firstListed      map[string]clock.Micros // when a machine was first seen on the list
	goneSince        map[string]clock.Micros
	refusedUntil     map[InstanceKind]clock.Micros
	catalog          wire.Catalog
	catalogFetchedAt clock.Micros
	listedAt         clock.Micros
	summaryAt        clock.Micros
	listFailures     int // lists that failed in a row
	nextListAt       clock.Micros
	requestWindow    map[InstanceKind]int // rental requests of a kind at a time
	maxRequests      int                  // rental requests at a time
	maxPerKind       int                  // machines of a kind asked for at a time

	// What a step looks at, kept for the next one's use: all machines are looked at
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
	Backoff       clock.Micros        // how long a kind of instance that was refused is not asked for
	ListLag       clock.Micros        // how old the cloud's list may be
	ClockSkew     clock.Micros        // the most that times of day are off
	StoredCatalog func() wire.Catalog // as the key-value store has it
	Zones         ZoneWatch           // zero: states of zones are not decided
	Log           *slog.Logger
	Telemetry     *telemetry.Reporter // nil: nothing is counted
}

// New makes an autoscaler that does nothing until it leads the fleet.
func New(o Options) *Autoscaler {
	atOnce := max(1, int(o.Cloud.rps*1.6))
	a := &Autoscaler{
		maxRequests: atOnce, maxPerKind: wire.MaxScaleOut * atOnce, cloud: o.Cloud, elections: o.Elections, store: o.Store, controllers: o.Controllers,
		clock: o.Clock, parameters: o.Parameters, backoff: o.Backoff, listLag: o.ListLag, clockSkew: o.ClockSkew, wallClock: o.WallClock,
		storedCatalog: o.StoredCatalog, log: o.Log, dutyStats: o.Telemetry.Duty("fleet"),
	}
	a.zones.watch = o.Zones
	a.cloud.CountTraffic(o.Telemetry.Traffic(telemetry.Cloud))
	return a
}

// Run does the duty while it is held, until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) error {
	tick := time.NewTicker(400 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		h, mine := a.elections.Leading(Duty)
		if !mine {
			a.term = 0
			continue
		}
		if h.Term != a.term {
			a.startTerm(h.Term)
			a.log.Info("fleet taken over", "term", h.Term)
		}
		began := time.Now()
		a.step(ctx, h)
		a.dutyStats.Round(time.Since(began))
	}
}

// startTerm starts the duty under a term, knowing nothing of what is rented.
func (a *Autoscaler) startTerm(term uint64) {
	a.term, a.requestCounter = term, 0
	a.instances, a.lastSeen = map[string]Instance{}, map[string]clock.Micros{}
	a.firstListed, a.requestWindow = map[string]clock.Micros{}, map[InstanceKind]int{}
	a.goneSince, a.refusedUntil = map[string]clock.Micros{}, map[InstanceKind]clock.Micros{}
	a.catalogFetchedAt, a.listedAt, a.listFailures, a.nextListAt = 0, 0, 0, 0
}

func (a *Autoscaler) step(ctx context.Context, h leaderelection.Leadership) {
	now := a.clock.Now()
	if a.catalogFetchedAt == 0 || now > a.catalogFetchedAt+30*clock.Second {
		a.fetchCatalog(ctx, h, now)
	}
	if len(a.catalog.Types) == 0 {
		// The cloud is out: the catalog kept in the state service will do.
		if a.catalog = a.storedCatalog(); len(a.catalog.Types) == 0 {
			return
		}
	}
	if (a.listedAt == 0 || now > a.listedAt+3*clock.Second) && now >= a.nextListAt {
		if err := a.refreshInstances(ctx); err != nil {
			if a.listFailures++; a.listFailures%20 == 1 { // once in a while: an outage lasts many tries
				a.log.Info("listing machines", "tries", a.listFailures, "err", err)
			}
			a.nextListAt = now + clock.Second
		} else {
			a.listFailures = 0
		}
	}
	if a.listedAt == 0 {
		return // nothing is known of what is rented
	}
	a.views = a.controllers.MachineViews(a.views[:0])
	a.viewIndex = indexViews(a.viewIndex, a.views)
	in := Input{Now: a.clock.Now(), Types: a.catalog.Types, Instances: a.instances, Views: a.views, Demands: a.controllers.Demands(ctx),
		Refused: a.refusedUntil, Parameters: a.parameters, MaxCount: a.maxPerKind, viewIndex: a.viewIndex}
	a.observeViews(in, now)
	unsettled := false
	in.Closed, unsettled = a.closedZones()
	rentals, returns := Plan(in)
	if unsettled {
		returns = limitIdleScaleIn(returns)
	}
	if now > a.summaryAt+10*clock.Second {
		a.summaryAt = now
		a.logSummary(in)
	}
	if a.log.Enabled(ctx, slog.LevelDebug) {
		a.log.Debug("fleet", "rented", len(a.instances), "views", len(in.Views), "demands", in.Demands, "rentals", rentals, "returns", returns)
	}
	// What one kind could not give is asked of the next at once.
	for pass := 0; pass < 4 && len(rentals) > 0; pass++ {
		if got, mine := a.elections.Leading(Duty); !mine || got.Term != a.term {
			return
		}
		if !a.requestScaleOut(ctx, a.selectRequests(rentals)) {
			break
		}
		in.Now = a.clock.Now()
		rentals, _ = Plan(in)
	}
	if len(returns) > 0 {
		a.requestScaleIn(ctx, returns)
	}
}

// observeViews takes from the views which machines' workers have reported, and since
// when some are silent or gone.
func (a *Autoscaler) observeViews(in Input, now clock.Micros) {
	for id, r := range a.instances {
		was := r
		here := false
		if i, ok := in.viewIndex[id]; ok {
			here = !in.Views[i].Silent
			r.Up = r.Up || in.Views[i].Accounted
		}
		switch {
		case here:
			r.Lost = 0
		case r.Up && r.Lost == 0:
			r.Lost = now
		}
		if r != was {
			a.instances[id] = r
		}
	}
}

// logSummary logs how the fleet stands.
func (a *Autoscaler) logSummary(in Input) {
	var have, used, waiting, large, pieces int64
	for _, d := range in.Demands {
		large = max(large, d.Need.CPU)
	}
	up, spot := 0, 0
	for i := range in.Views {
		v := &in.Views[i]
		if !v.Silent {
			up++
			have += v.Cap.CPU
			used += v.Cap.CPU - v.Free.CPU
			if large > 0 && v.Free.CPU > 0 {
				pieces += v.Free.CPU % large // of no use to the largest that waits
			}
		}
	}
	if a.log.Enabled(context.Background(), slog.LevelDebug) {
		for i := range in.Views {
			v := &in.Views[i]
			a.log.Debug("machine", "id", v.ID, "type", v.Type, "spot", v.Spot, "usable", v.Usable, "silent", v.Silent, "sick", v.Sick,
				"noticed", v.Noticed, "free_cpus", v.Free.CPUs(), "free_gb", float64(v.Free.Mem)/1e6, "tasks", v.Count, "idle_s", v.Idle.Seconds())
		}
	}
	for _, r := range in.Instances {
		if r.Spot {
			spot++
		}
	}
	for _, d := range in.Demands {
		waiting += d.Need.CPU * int64(d.Waiting)
	}
	a.log.Info("fleet", "up", up, "rented", len(in.Instances), "spot", spot, "cpus", have/1e6, "used", used/1e6, "waiting_cpus", waiting/1e6, "pieces", pieces/1e6)
}
