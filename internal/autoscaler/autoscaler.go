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
	cloud   *CloudClient
	claims  Elections
	store   Store
	others  ControllerClient
	clock   clock.Clock
	knobs   Parameters
	backoff clock.Micros
	lag     clock.Micros
	skew    clock.Micros // the most that times of day are off
	wall    func() time.Time
	kept    func() wire.Catalog
	log     *slog.Logger
	steps   *telemetry.Duty
	zones   zones

	term      uint64
	counter   uint64
	rented    map[string]Instance
	listedAt  map[string]clock.Micros // when a machine was last on the list, or was rented
	known     map[string]clock.Micros // when a machine was first seen on the list
	gone      map[string]clock.Micros
	refused   map[InstanceKind]clock.Micros
	catalog   wire.Catalog
	fetched   clock.Micros
	listed    clock.Micros
	told      clock.Micros
	unlisted  int // lists that failed in a row
	listAgain clock.Micros
	window    map[InstanceKind]int // rental requests of a kind at a time
	atOnce    int                  // rental requests at a time
	most      int                  // machines of a kind asked for at a time

	// What a step looks at, kept for the next one's use: all machines are looked at
	// several times a second, and copies of them were most of what this process allocated.
	views  []peer.MachineView
	viewAt map[string]int
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
	f := &Autoscaler{
		atOnce: atOnce, most: wire.MaxScaleOut * atOnce, cloud: o.Cloud, claims: o.Elections, store: o.Store, others: o.Controllers,
		clock: o.Clock, knobs: o.Parameters, backoff: o.Backoff, lag: o.ListLag, skew: o.ClockSkew, wall: o.WallClock,
		kept: o.StoredCatalog, log: o.Log, steps: o.Telemetry.Duty("fleet"),
	}
	f.zones.watch = o.Zones
	f.cloud.CountTraffic(o.Telemetry.Traffic(telemetry.Cloud))
	return f
}

// Run does the duty while it is held, until ctx ends.
func (f *Autoscaler) Run(ctx context.Context) error {
	tick := time.NewTicker(400 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		h, mine := f.claims.Leading(Duty)
		if !mine {
			f.term = 0
			continue
		}
		if h.Term != f.term {
			f.begin(h.Term)
			f.log.Info("fleet taken over", "term", h.Term)
		}
		began := time.Now()
		f.step(ctx, h)
		f.steps.Round(time.Since(began))
	}
}

// begin starts the duty under a term, knowing nothing of what is rented.
func (f *Autoscaler) begin(term uint64) {
	f.term, f.counter = term, 0
	f.rented, f.listedAt = map[string]Instance{}, map[string]clock.Micros{}
	f.known, f.window = map[string]clock.Micros{}, map[InstanceKind]int{}
	f.gone, f.refused = map[string]clock.Micros{}, map[InstanceKind]clock.Micros{}
	f.fetched, f.listed, f.unlisted, f.listAgain = 0, 0, 0, 0
}

func (f *Autoscaler) step(ctx context.Context, h leaderelection.Leadership) {
	now := f.clock.Now()
	if f.fetched == 0 || now > f.fetched+30*clock.Second {
		f.fetchCatalog(ctx, h, now)
	}
	if len(f.catalog.Types) == 0 {
		// The cloud is out: the catalog kept in the state service will do.
		if f.catalog = f.kept(); len(f.catalog.Types) == 0 {
			return
		}
	}
	if (f.listed == 0 || now > f.listed+3*clock.Second) && now >= f.listAgain {
		if err := f.list(ctx); err != nil {
			if f.unlisted++; f.unlisted%20 == 1 { // once in a while: an outage lasts many tries
				f.log.Info("listing machines", "tries", f.unlisted, "err", err)
			}
			f.listAgain = now + clock.Second
		} else {
			f.unlisted = 0
		}
	}
	if f.listed == 0 {
		return // nothing is known of what is rented
	}
	f.views = f.others.MachineViews(f.views[:0])
	f.viewAt = indexViews(f.viewAt, f.views)
	in := Input{Now: f.clock.Now(), Types: f.catalog.Types, Instances: f.rented, Views: f.views, Demands: f.others.Demands(ctx),
		Refused: f.refused, Parameters: f.knobs, MaxCount: f.most, viewAt: f.viewAt}
	f.notice(in, now)
	unsettled := false
	in.Closed, unsettled = f.closedZones()
	rentals, returns := Plan(in)
	if unsettled {
		returns = limitReturns(returns)
	}
	if now > f.told+10*clock.Second {
		f.told = now
		f.tell(in)
	}
	if f.log.Enabled(ctx, slog.LevelDebug) {
		f.log.Debug("fleet", "rented", len(f.rented), "views", len(in.Views), "demands", in.Demands, "rentals", rentals, "returns", returns)
	}
	// What one kind could not give is asked of the next at once.
	for pass := 0; pass < 4 && len(rentals) > 0; pass++ {
		if got, mine := f.claims.Leading(Duty); !mine || got.Term != f.term {
			return
		}
		if !f.rent(ctx, f.some(rentals)) {
			break
		}
		in.Now = f.clock.Now()
		rentals, _ = Plan(in)
	}
	if len(returns) > 0 {
		f.giveBack(ctx, returns)
	}
}

// notice takes from the views which machines' workers have reported, and since
// when some are silent or gone.
func (f *Autoscaler) notice(in Input, now clock.Micros) {
	for id, r := range f.rented {
		was := r
		here := false
		if i, ok := in.viewAt[id]; ok {
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
			f.rented[id] = r
		}
	}
}

// tell logs how the fleet stands.
func (f *Autoscaler) tell(in Input) {
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
	if f.log.Enabled(context.Background(), slog.LevelDebug) {
		for i := range in.Views {
			v := &in.Views[i]
			f.log.Debug("machine", "id", v.ID, "type", v.Type, "spot", v.Spot, "usable", v.Usable, "silent", v.Silent, "sick", v.Sick,
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
	f.log.Info("fleet", "up", up, "rented", len(in.Instances), "spot", spot, "cpus", have/1e6, "used", used/1e6, "waiting_cpus", waiting/1e6, "pieces", pieces/1e6)
}
