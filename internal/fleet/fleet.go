package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/time/rate"

	"github.com/merlinlatch/merlinlatch/internal/claim"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/state"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Duty is the fleet's claim.
const Duty = "fleet"

// Cloud calls the cloud's API within its budget.
type Cloud struct {
	http  *httpx.Client
	limit *rate.Limiter
	rps   float64
}

// NewCloud makes a client for the cloud; answers over limit bytes are refused.
func NewCloud(addr string, rps float64, limit int) *Cloud {
	return &Cloud{rps: rps, http: httpx.NewClient(addr, 4, limit), limit: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps)))}
}

// Count has the client count its traffic.
func (c *Cloud) Count(t *telemetry.Traffic) { c.http.Count(t) }

// errNoCapacity is the cloud's refusal to rent.
var errNoCapacity = errors.New("no capacity")

func (c *Cloud) call(ctx context.Context, method, target string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return err
	}
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	r, err := c.http.Do(ctx, method, target, b)
	if err != nil {
		return err
	}
	if r.Status == 503 {
		var e wire.Error
		if json.Unmarshal(r.Body, &e) == nil && e.Error == "no capacity" {
			return errNoCapacity
		}
	}
	if r.Status != 200 {
		return fmt.Errorf("the cloud answered %d %.80s", r.Status, r.Body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(r.Body, into)
}

// Controllers asks all controllers for what the fleet needs.
type Controllers interface {
	Demands(ctx context.Context) []peer.Demand
	// Views appends the views of all machines.
	Views(to []peer.MachineView) []peer.MachineView
	Drain(ctx context.Context, list []peer.Machine) (ready []string)
	Gone(ctx context.Context, list []peer.Machine)
	RecordedBefore(atMS int64) []peer.Machine
}

// Claims tells whether the fleet is held.
type Claims interface {
	Mine(duty string) (claim.Held, bool)
}

// Store takes transactions.
type Store interface {
	Commit(ctx context.Context, m wire.Multi) (uint64, error)
}

// Fleet rents and returns machines while it holds the claim.
type Fleet struct {
	cloud   *Cloud
	claims  Claims
	store   Store
	others  Controllers
	clock   clock.Clock
	knobs   Knobs
	backoff clock.Micros
	lag     clock.Micros
	skew    clock.Micros // the most that times of day are off
	wall    func() time.Time
	kept    func() wire.Catalog
	log     *slog.Logger
	steps   *telemetry.Duty

	term      uint64
	counter   uint64
	rented    map[string]Rented
	listedAt  map[string]clock.Micros // when a machine was last on the list, or was rented
	known     map[string]clock.Micros // when a machine was first seen on the list
	gone      map[string]clock.Micros
	refused   map[Kind]clock.Micros
	catalog   wire.Catalog
	fetched   clock.Micros
	listed    clock.Micros
	told      clock.Micros
	unlisted  int // lists that failed in a row
	listAgain clock.Micros
	window    map[Kind]int // rental requests of a kind at a time
	atOnce    int          // rental requests at a time
	most      int          // machines of a kind asked for at a time

	// What a step looks at, kept for the next one's use: all machines are looked at
	// several times a second, and copies of them were most of what this process allocated.
	views  []peer.MachineView
	viewAt map[string]int
}

// New makes a fleet.
func New(cloud *Cloud, claims Claims, store Store, others Controllers, c clock.Clock, k Knobs, backoff, lag, skew clock.Micros, wall func() time.Time, kept func() wire.Catalog, log *slog.Logger) *Fleet {
	atOnce := max(1, int(cloud.rps*1.6))
	return &Fleet{atOnce: atOnce, most: wire.MaxRental * atOnce, cloud: cloud, claims: claims, store: store, others: others, clock: c, knobs: k, backoff: backoff, lag: lag, skew: skew, wall: wall, kept: kept, log: log}
}

// Measure has the fleet count its rounds and its traffic. It is called before Run.
func (f *Fleet) Measure(r *telemetry.Reporter) {
	f.steps = r.Duty("fleet")
	f.cloud.Count(r.Traffic(telemetry.Cloud))
}

// Run does the duty while it is held, until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	tick := time.NewTicker(400 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		h, mine := f.claims.Mine(Duty)
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
func (f *Fleet) begin(term uint64) {
	f.term, f.counter = term, 0
	f.rented, f.listedAt = map[string]Rented{}, map[string]clock.Micros{}
	f.known, f.window = map[string]clock.Micros{}, map[Kind]int{}
	f.gone, f.refused = map[string]clock.Micros{}, map[Kind]clock.Micros{}
	f.fetched, f.listed, f.unlisted, f.listAgain = 0, 0, 0, 0
}

func (f *Fleet) step(ctx context.Context, h claim.Held) {
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
	f.views = f.others.Views(f.views[:0])
	f.viewAt = indexViews(f.viewAt, f.views)
	in := Input{Now: f.clock.Now(), Types: f.catalog.Types, Rented: f.rented, Views: f.views, Demands: f.others.Demands(ctx),
		Refused: f.refused, Knobs: f.knobs, MaxCount: f.most, viewAt: f.viewAt}
	f.notice(in, now)
	rentals, returns := Plan(in)
	if now > f.told+10*clock.Second {
		f.told = now
		f.tell(in)
	}
	if f.log.Enabled(ctx, slog.LevelDebug) {
		f.log.Debug("fleet", "rented", len(f.rented), "views", len(in.Views), "demands", in.Demands, "rentals", rentals, "returns", returns)
	}
	// What one kind could not give is asked of the next at once.
	for pass := 0; pass < 4 && len(rentals) > 0; pass++ {
		if got, mine := f.claims.Mine(Duty); !mine || got.Term != f.term {
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
func (f *Fleet) notice(in Input, now clock.Micros) {
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
func (f *Fleet) tell(in Input) {
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
	for _, r := range in.Rented {
		if r.Spot {
			spot++
		}
	}
	for _, d := range in.Demands {
		waiting += d.Need.CPU * int64(d.Waiting)
	}
	f.log.Info("fleet", "up", up, "rented", len(in.Rented), "spot", spot, "cpus", have/1e6, "used", used/1e6, "waiting_cpus", waiting/1e6, "pieces", pieces/1e6)
}

// fetchCatalog reads the catalog, and keeps it in the state service so that a
// controller that starts while the cloud is out can decide.
func (f *Fleet) fetchCatalog(ctx context.Context, h claim.Held, now clock.Micros) {
	var c wire.Catalog
	if err := f.cloud.call(ctx, "GET", wire.PathCatalog, nil, &c); err != nil || len(c.Types) == 0 {
		f.log.Info("reading the catalog", "err", err)
		return
	}
	f.catalog, f.fetched = c, now
	if _, err := f.store.Commit(ctx, wire.Multi{When: []wire.Cond{{Key: state.Claims + Duty, Stamp: h.Stamp}},
		Then: []wire.Op{{Put: state.Catalog, Value: c}}}); err != nil {
		f.log.Info("keeping the catalog", "err", err)
		f.fetched = now - 27*clock.Second
	}
}

// list reads the cloud's list. Absence proves nothing at once: the list lags. But
// a machine that was on it once stays on it until it is gone. A list that
// describes a later moment than that first sight, though it may be twice the lag
// old, and lacks the machine is the cloud's word that it is gone with all that was
// on it: nobody need wait for its worker's lease to run out.
func (f *Fleet) list(ctx context.Context) error {
	after, began, wall := "", f.clock.Now(), f.wall()
	for {
		var page wire.Rentals
		if err := f.cloud.call(ctx, "GET", fmt.Sprintf("%s?after=%s&most=%d", wire.PathRentals, after, wire.MaxList), nil, &page); err != nil {
			return err
		}
		for _, r := range page.Hosts {
			after = r.ID
			if f.gone[r.ID] != 0 {
				continue
			}
			since := began - clock.FromSeconds(r.AgeS)
			old, ok := f.rented[r.ID]
			if ok {
				since = min(old.Since, since)
			}
			f.rented[r.ID] = Rented{Kind: Kind{r.Type, r.Zone, r.Spot}, ID: r.ID, Phase: r.Phase, Since: since, Up: old.Up, Lost: old.Lost}
			f.listedAt[r.ID] = began
			if f.known[r.ID] == 0 {
				f.known[r.ID] = f.clock.Now()
			}
		}
		if !page.More || len(page.Hosts) == 0 {
			break
		}
	}
	f.listed = began
	for id, at := range f.gone {
		if began > at+600*clock.Second {
			delete(f.gone, id) // no list is as old as that
		}
	}
	var gone []peer.Machine
	lost := func(id, zone string) {
		gone = append(gone, peer.Machine{ID: id, Zone: zone})
		f.gone[id] = began // an older list may still show it
		f.drop(id)
	}
	// The same holds of a machine that was recorded, and so was there, before
	// the moment that the list describes, by the time of day. A new holder, to
	// whom every machine is new, tells by that which ones the owners need not wait for.
	for _, m := range f.others.RecordedBefore(wall.UnixMilli() - (2*f.lag + 2*f.skew + 2*clock.Second).Duration().Milliseconds()) {
		if f.listedAt[m.ID] < began && f.gone[m.ID] == 0 {
			lost(m.ID, m.Zone)
		}
	}
	for id, r := range f.rented {
		absent := f.listedAt[id] < began
		if first := f.known[id]; absent && first != 0 && began > (first+2*f.lag).PlusDrift()+clock.Second {
			lost(id, r.Zone)
		} else if began > f.listedAt[id]+3*f.lag+2*clock.Second {
			f.drop(id)
		}
	}
	if len(gone) > 0 {
		slices.SortFunc(gone, func(a, b peer.Machine) int { return strings.Compare(a.ID, b.ID) })
		f.log.Info("machines are on the cloud's list no more", "machines", gone)
		f.others.Gone(ctx, gone)
	}
	return nil
}

// drop takes a machine off what is known to be rented.
func (f *Fleet) drop(id string) {
	delete(f.rented, id)
	delete(f.listedAt, id)
	delete(f.known, id)
}

// some picks the requests to send now: of a kind that gave less than it was
// asked for, one; of one that gave all, twice as many as the last time. So what
// the cloud has not got costs few calls, and what it has comes in a few steps.
func (f *Fleet) some(rentals []RentalRequest) (out []RentalRequest) {
	n := map[Kind]int{}
	for _, h := range rentals {
		if f.window[h.Kind] == 0 {
			f.window[h.Kind] = 2
		}
		if n[h.Kind] < f.window[h.Kind] && len(out) < f.atOnce {
			n[h.Kind]++
			out = append(out, h)
		}
	}
	return out
}

// rent sends rental requests, all kinds at once, and tells whether fewer came than were asked
// for. A request's name is never used again: the term and a counter.
func (f *Fleet) rent(ctx context.Context, list []RentalRequest) (short bool) {
	sent := f.clock.Now()
	got := make([]wire.Hosts, len(list))
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, h := range list {
		f.counter++
		req := wire.RentalRequest{Name: fmt.Sprintf("r-%d-%d", f.term, f.counter), Type: h.Type, Zone: h.Zone, Spot: h.Spot, Count: h.Count}
		wg.Go(func() { errs[i] = f.cloud.call(ctx, "POST", wire.PathRentals, req, &got[i]) })
	}
	wg.Wait()
	grown := map[Kind]bool{}
	for _, h := range list {
		if !grown[h.Kind] {
			grown[h.Kind] = true
			f.window[h.Kind] = min(2*f.window[h.Kind], f.atOnce)
		}
	}
	for i, h := range list {
		hosts, err := got[i].Hosts, errs[i]
		f.log.Info("renting", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(hosts), "err", err)
		if errors.Is(err, errNoCapacity) || err == nil && len(hosts) < h.Count {
			f.refused[h.Kind], f.window[h.Kind] = sent+f.backoff, 1
		} else if err != nil && f.refused[h.Kind] < sent {
			f.refused[h.Kind] = sent + 3*clock.Second // perhaps rented all the same: the list will tell
		}
		for _, id := range hosts {
			f.rented[id] = Rented{Kind: h.Kind, ID: id, Phase: wire.MachineBooting, Since: sent}
			f.listedAt[id] = sent
		}
		short = short || len(hosts) < h.Count
	}
	return short
}

// giveBack returns machines that their owners have set aside.
func (f *Fleet) giveBack(ctx context.Context, list []Return) {
	why := map[string]string{}
	zone := map[string]string{}
	var some, failed []peer.Machine
	for _, r := range list {
		if f.rented[r.ID].Phase == wire.MachineFailed {
			failed = append(failed, peer.Machine{ID: r.ID, Zone: r.Zone})
		}
		if len(some) < 100 {
			some = append(some, peer.Machine{ID: r.ID, Zone: r.Zone})
			why[r.ID], zone[r.ID] = r.Why, r.Zone
		}
	}
	if len(failed) > 0 {
		f.others.Gone(ctx, failed) // the cloud's own word that they have stopped
	}
	ready := f.others.Drain(ctx, some)
	if len(ready) == 0 {
		return
	}
	if got, mine := f.claims.Mine(Duty); !mine || got.Term != f.term {
		return
	}
	if err := f.cloud.call(ctx, "POST", wire.PathReturn, wire.Hosts{Hosts: ready}, nil); err != nil {
		f.log.Info("returning machines", "hosts", ready, "err", err)
		return
	}
	now := f.clock.Now()
	var gone []peer.Machine
	for _, id := range ready {
		gone = append(gone, peer.Machine{ID: id, Zone: zone[id]})
		f.log.Info("returned a machine", "machine", id, "why", why[id])
		f.gone[id] = now
		f.drop(id)
	}
	f.others.Gone(ctx, gone)
}
