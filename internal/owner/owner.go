package owner

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/claim"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/machines"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/res"
	"github.com/merlinlatch/merlinlatch/internal/state"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Claims tells which duties this process holds.
type Claims interface {
	Mine(duty string) (claim.Held, bool)
	Holder(duty string) (string, bool)
}

// Store takes transactions.
type Store interface {
	Commit(ctx context.Context, m wire.Multi) (uint64, error)
}

// Duty names the claim of a partition.
func Duty(part int) string { return fmt.Sprintf("part-%03d", part) }

// Split tells which partition a machine belongs to. Those of a zone belong to
// partitions whose preferred controllers are in that zone: when it is cut off from
// the others, its machines stay with a controller that reaches them, and no other
// machines lose theirs. Machines of a zone without controllers go anywhere.
type Split struct {
	all    []int
	byZone map[string][]int
}

// NewSplit splits the machines; zones holds the zone of each partition's preferred controller.
func NewSplit(zones []string) Split {
	s := Split{byZone: map[string][]int{}}
	for p, z := range zones {
		s.all = append(s.all, p)
		s.byZone[z] = append(s.byZone[z], p)
	}
	return s
}

// Of gives the partition of a machine.
func (s Split) Of(machine, zone string) int {
	list := s.byZone[zone]
	if len(list) == 0 {
		list = s.all
	}
	h := fnv.New32a()
	h.Write([]byte(machine))
	return list[h.Sum32()%uint32(len(list))]
}

// Owner serves the partitions that this process holds.
type Owner struct {
	host        string
	instance    string
	split       Split
	txnOps      int
	valueMost   int // bytes of a record
	claims      Claims
	store       Store
	clock       clock.Clock
	log         *slog.Logger
	ctx         context.Context
	wall        func() time.Time
	misdirected misdirected
	reports     *telemetry.Duty // reports answered
	polls       *telemetry.Duty // polls answered, without their waits
	ticks       *telemetry.Duty // the loop's own rounds

	mu      sync.Mutex
	table   *Table
	records *machines.Book
	lines   *lines
	feed    feed
	wake    chan struct{}
}

// New makes an owner.
func New(ctx context.Context, host, instance string, split Split, txnOps, valueMost, mostLines int, t Timing, jobs Jobs, claims Claims, store Store, c clock.Clock, wall func() time.Time, log *slog.Logger) *Owner {
	o := &Owner{ctx: ctx, wall: wall, host: host, instance: instance, split: split, txnOps: txnOps, valueMost: valueMost, claims: claims, store: store, clock: c, log: log,
		table: NewTable(t, jobs), records: machines.NewBook(), lines: newLines(mostLines), misdirected: misdirected{of: map[string]map[string]clock.Micros{}},
		wake: make(chan struct{}, 1)}
	o.feed = newFeed(&o.mu, o.table.Version, c)
	return o
}

// Measure has the owner count its rounds and its traffic. It is called before Run.
func (o *Owner) Measure(r *telemetry.Reporter) {
	o.reports, o.polls, o.ticks = r.Duty("owner_report"), r.Duty("owner_poll"), r.Duty("owner_tick")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines.traffic = r.Traffic(telemetry.WorkerOrders)
}

// SetTypes tells what the machine types offer, and how many GB of images they keep.
func (o *Owner) SetTypes(types map[string]res.Amounts, caches map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetCaches(caches)
	o.table.SetTypes(types)
	o.notify()
}

// notify has waiting polls and the loop that sends orders take note of a change. The lock is held.
func (o *Owner) notify() {
	o.feed.changed(o.table.Version(), pollGap(o.table.Len(), o.feed.waiting))
	o.poke()
}

// poke has the loop that sends orders look for machines that want some.
func (o *Owner) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Apply takes events of the replica: the records of machines.
func (o *Owner) Apply(evs []state.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range evs {
		o.recorded(o.records.Apply(e))
	}
	o.notify()
}

// recorded tells the table which machines are on record. The lock is held.
func (o *Owner) recorded(came machines.Group, went []string) {
	now := o.clock.Now()
	for _, id := range went {
		o.table.Registered(id, 0, Registered{}, false, now)
	}
	for id, r := range came {
		o.table.Registered(id, o.split.Of(id, r.Zone), r, true, now)
	}
}

// Reconcile takes over and gives up partitions as the claims now say.
func (o *Owner) Reconcile() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	changed := false
	for _, p := range o.split.all {
		h, mine := o.claims.Mine(Duty(p))
		term, have := o.table.Part(p)
		switch {
		case mine && (!have || term != h.Term):
			found := machines.Group{}
			o.records.Each(func(id string, r Registered) {
				if o.split.Of(id, r.Zone) == p {
					found[id] = r
				}
			})
			o.table.Gain(p, h.Term, found, now)
			o.log.Info("partition taken over", "part", p, "term", h.Term, "machines", len(found))
			changed = true
		case !mine && have:
			o.table.Lose(p)
			o.log.Info("partition given up", "part", p, "term", term)
			changed = true
		}
	}
	if changed {
		o.notify()
	}
}

func refuse(status int, text, steward string, retry int) httpx.Response {
	r := httpx.JSON(status, wire.Error{Error: text, Steward: steward})
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

// HandleReport answers a worker's report.
func (o *Owner) HandleReport(body []byte) httpx.Response {
	began := time.Now()
	defer func() { o.reports.Round(time.Since(began)) }()
	var r wire.Report
	if err := json.Unmarshal(body, &r); err != nil || !validMachine(r.Machine) || r.Session == 0 || r.Tick == 0 {
		return refuse(400, "not a report", "", 0)
	}
	part := o.split.Of(r.Machine, r.Zone)
	h, mine := o.claims.Mine(Duty(part))
	if !mine {
		if holder, ok := o.claims.Holder(Duty(part)); ok && holder != o.host {
			o.misdirected.note(holder, r.Machine, o.clock.Now())
			return refuse(421, "another controller has this machine", holder, 0)
		}
		return refuse(503, "no controller has this machine now", "", 1)
	}
	o.mu.Lock()
	term, have := o.table.Part(part)
	if !have || term != h.Term {
		o.mu.Unlock()
		return refuse(503, "taking over", "", 1)
	}
	before := o.table.Version()
	ans, ok := o.table.Report(&r, part, o.clock.Now())
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
func (o *Owner) holds(part int, term uint64) bool {
	h, mine := o.claims.Mine(Duty(part))
	return mine && h.Term == term
}

// Round carries out a placing controller's round.
func (o *Owner) Round(in peer.Round) peer.RoundAnswer {
	o.Reconcile()
	o.mu.Lock()
	defer o.mu.Unlock()
	ans := o.table.Round(in, o.instance, o.clock.Now())
	o.notify()
	return ans
}

// Drain keeps machines free for their return.
func (o *Owner) Drain(list []peer.Machine) []string {
	o.Reconcile()
	o.mu.Lock()
	defer o.mu.Unlock()
	ready := o.table.Drain(list, o.split.Of, o.clock.Now())
	o.notify()
	return ready
}

// RecordedBefore lists the machines that were recorded by a time of day, and are on record still.
func (o *Owner) RecordedBefore(atMS int64) (out []peer.Machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Each(func(id string, r Registered) {
		if r.AtMS > 0 && r.AtMS < atMS {
			out = append(out, peer.Machine{ID: id, Zone: r.Zone})
		}
	})
	return out
}

// Gone takes the word that machines are gone for certain.
func (o *Owner) Gone(list []peer.Machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Gone(list, o.split.Of, o.clock.Now())
	o.notify()
}

// Run does what is due until ctx ends: lapses, records of machines, orders.
func (o *Owner) Run(ctx context.Context) error {
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
			o.lines.keep(func(id string) bool { _, here := o.table.PartOf(id); return here })
			if o.table.Version() != before {
				o.notify()
			}
			fresh := o.table.Unregistered()
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

// record writes the records of new machines, and drops those of machines that
// are gone, each on the condition that the partition is still held.
func (o *Owner) record(ctx context.Context, fresh machines.Group, drop []string) {
	came, went := map[int]machines.Group{}, map[int][]string{}
	parts := map[int]bool{}
	for id, r := range fresh {
		r.AtMS = o.wall().UnixMilli()
		p := o.split.Of(id, r.Zone)
		if came[p] == nil {
			came[p] = machines.Group{}
		}
		came[p][id], parts[p] = r, true
	}
	o.mu.Lock()
	for _, id := range drop {
		r, ok := o.records.Find(id)
		if !ok {
			continue
		}
		p := o.split.Of(id, r.Zone)
		went[p], parts[p] = append(went[p], id), true
	}
	o.mu.Unlock()
	for p := range parts {
		h, mine := o.claims.Mine(Duty(p))
		if !mine {
			continue
		}
		o.mu.Lock()
		list := o.records.Plan(p, came[p], went[p], o.valueMost)
		o.mu.Unlock()
		for len(list) > 0 {
			n, size := 0, 0
			for n < min(len(list), o.txnOps) && (n == 0 || size+list[n].Size() < wire.MaxMulti) {
				size += list[n].Size()
				n++
			}
			if err := o.write(ctx, p, h, list[:n]); err != nil {
				o.log.Debug("recording machines", "part", p, "err", err)
				break
			}
			list = list[n:]
		}
	}
}

func (o *Owner) write(ctx context.Context, part int, h claim.Held, list []machines.Write) error {
	m := wire.Multi{When: []wire.Cond{{Key: state.Claims + Duty(part), Stamp: h.Stamp}}}
	for _, w := range list {
		w.Into(&m)
	}
	rev, err := o.store.Commit(ctx, m)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range list {
		o.recorded(o.records.Set(w.Key, w.Group, rev))
	}
	o.notify()
	return nil
}

// send starts a delivery for each machine that has something to be sent.
func (o *Owner) send(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, id := range o.table.Pending(now) {
		part, _ := o.table.PartOf(id)
		if term, _ := o.table.Part(part); !o.holds(part, term) {
			continue
		}
		if !o.lines.room(id) {
			return // they are looked at again when a delivery is over
		}
		addr, orders := o.table.TakeOrders(id, now)
		if orders == nil {
			continue
		}
		go o.deliver(ctx, id, part, o.lines.take(id, addr), orders)
	}
}

const orderTimeout = 1200 * time.Millisecond

// deliver sends orders to one worker's own address and takes its answer.
func (o *Owner) deliver(ctx context.Context, id string, part int, c *httpx.Client, orders *wire.Orders) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := o.post(ctx, part, c, orders)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lines.put(id, c) {
		o.poke()
	}
	now := o.clock.Now()
	if err != nil {
		o.log.Debug("orders had no answer", "machine", id, "err", err)
		o.table.Unanswered(id, orders, now)
		return
	}
	o.table.Answered(id, orders, r, now)
	o.notify()
}

var (
	errOdd     = errors.New("odd answer")
	errNotHeld = errors.New("the partition's claim is over")
)

// post sends orders while their partition is held under the term of their token.
func (o *Owner) post(ctx context.Context, part int, c *httpx.Client, orders *wire.Orders) (*wire.Report, error) {
	b, err := json.Marshal(orders)
	if err != nil {
		return nil, err
	}
	if !o.holds(part, orders.Token>>termShift) {
		return nil, errNotHeld
	}
	resp, err := c.Do(ctx, "POST", wire.PathOrders, b)
	if err != nil {
		return nil, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return nil, fmt.Errorf("%w: status %d", errOdd, resp.Status)
	}
	var r wire.Report
	if err := json.Unmarshal(resp.Body, &r); err != nil || r.Machine == "" {
		return nil, fmt.Errorf("%w: %.80s", errOdd, resp.Body)
	}
	return &r, nil
}
