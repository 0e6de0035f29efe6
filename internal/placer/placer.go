package placer

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/sync/errgroup"

	"github.com/merlinlatch/merlinlatch/internal/claim"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/machines"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/state"
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
	Spare(n int) bool
}

// OwnerCaller speaks with the owner part of a controller, this one's or a peer's.
type OwnerCaller interface {
	Round(in peer.Round) (peer.RoundAnswer, error)
	Poll(in peer.Poll) (peer.PollAnswer, error)
}

// Duty names the claim of a team.
func Duty(team string) string { return "team-" + url.PathEscape(team) }

// Placer places the jobs of the teams that this process holds.
type Placer struct {
	teams     []Team
	parts     []string // duties of the partitions
	owners    map[string]OwnerCaller
	claims    Claims
	store     Store
	book      *jobs.Book
	clock     clock.Clock
	txnOps    int
	valueMost int
	urgent    Store // for what starts wait for
	progress  clock.Micros
	log       *slog.Logger

	mu      sync.Mutex
	desk    *Desk
	records *machines.Book
	wake    chan struct{}
	senders map[string]chan struct{}
	writes  chan struct{}
	acked   chan struct{} // closed and made anew with every round's answer
	running context.Context
}

// Options of a placer.
type Options struct {
	Teams         []Team
	PartDuties    []string
	Owners        map[string]OwnerCaller
	TxnOps        int
	ValueMost     int // bytes of a record
	ProgressEvery clock.Micros
}

// New makes a placer around a desk.
func New(desk *Desk, o Options, claims Claims, store, urgent Store, book *jobs.Book, c clock.Clock, log *slog.Logger) *Placer {
	p := &Placer{teams: o.Teams, parts: o.PartDuties, owners: o.Owners, claims: claims, store: store, book: book, clock: c,
		txnOps: o.TxnOps, valueMost: o.ValueMost, urgent: urgent, progress: o.ProgressEvery, log: log, desk: desk, records: machines.NewBook(), wake: make(chan struct{}, 1),
		senders: map[string]chan struct{}{}, writes: make(chan struct{}, 1), acked: make(chan struct{}), running: context.Background()}
	desk.chunk = chunkTasks(o.ValueMost)
	for h := range o.Owners {
		p.senders[h] = make(chan struct{}, 1)
	}
	return p
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetFetch tells how fast machine types fetch images, in GB a second.
func (p *Placer) SetFetch(rates map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.desk.SetFetch(rates)
}

// Apply takes events of the replica: jobs, progress and machines' records.
func (p *Placer) Apply(evs []state.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range evs {
		switch {
		case strings.HasPrefix(e.Key, state.Active):
			id := strings.TrimPrefix(e.Key, state.Active)
			if j, ok := p.book.Find(id); ok && e.Value != nil {
				p.desk.AddJob(j, now)
			} else {
				p.desk.DropJob(id)
			}
		case strings.HasPrefix(e.Key, state.Progress):
			id, c, _ := strings.Cut(strings.TrimPrefix(e.Key, state.Progress), "/")
			n, ok := parseChunk(c)
			var text string
			switch {
			case !ok:
			case e.Value == nil:
				p.desk.DropProgress(id, n)
			case json.Unmarshal(e.Value, &text) == nil:
				if bits, err := base64.StdEncoding.DecodeString(text); err == nil {
					p.desk.Progress(id, n, bits)
				}
			}
		case strings.HasPrefix(e.Key, state.Marks):
			var jobs map[string]int
			if e.Value != nil && json.Unmarshal(e.Value, &jobs) != nil {
				continue
			}
			p.desk.Marks(e.Key, jobs, e.Stamp)
		case strings.HasPrefix(e.Key, state.Machines):
			came, went := p.records.Apply(e)
			p.desk.elder = p.records.Elder()
			for _, id := range went {
				p.desk.Register(id, false)
			}
			for id := range came {
				p.desk.Register(id, true)
			}
		}
	}
	poke(p.wake)
}

// Reconcile takes over and gives up teams as the claims now say.
func (p *Placer) Reconcile() {
	p.mu.Lock()
	defer p.mu.Unlock()
	terms := p.desk.Terms()
	gained := false
	for _, t := range p.teams {
		h, mine := p.claims.Mine(Duty(t.Name))
		term, have := terms[t.Name]
		switch {
		case mine && (!have || term != h.Term):
			active := p.book.OfTeam(t.Name)
			p.desk.Gain(t.Name, h.Term, h.Stamp, active, p.clock.Now())
			p.log.Info("team taken over", "team", t.Name, "term", h.Term, "jobs", len(active))
			gained = true
		case !mine && have:
			p.desk.Lose(t.Name)
			p.log.Info("team given up", "team", t.Name, "term", term)
		}
	}
	if gained {
		for h := range p.owners {
			go p.poll(h, 0) //nolint:errcheck // the loop polls again
		}
		poke(p.wake)
	}
}

// Run places until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	p.mu.Lock()
	p.running = ctx
	p.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for h := range p.owners {
		g.Go(func() error { return p.pollLoop(ctx, h) })
		g.Go(func() error { return p.sendLoop(ctx, h) })
	}
	g.Go(func() error { return p.placeLoop(ctx) })
	g.Go(func() error { return p.writeLoop(ctx) })
	g.Go(func() error { return p.markLoop(ctx) })
	g.Go(func() error { return p.tellLoop(ctx) })
	return g.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Placer) pollLoop(ctx context.Context, host string) error {
	for ctx.Err() == nil {
		if err := p.poll(host, clock.Second); err != nil {
			p.mu.Lock()
			p.desk.Down(host)
			p.mu.Unlock()
			pause(ctx, 150*time.Millisecond)
		}
	}
	return nil
}

// poll asks an owner for what changed; for everything when a team's term is
// new to it, so that its answer is given under the fence of that term.
func (p *Placer) poll(host string, wait clock.Micros) error {
	p.mu.Lock()
	in := p.desk.Cursor(host)
	in.Wait = wait
	p.mu.Unlock()
	ans, err := p.owners[host].Poll(in)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.desk.Hear(host, in, &ans, p.clock.Now())
	poke(p.wake)
	poke(p.writes)
	return nil
}

func (p *Placer) sendLoop(ctx context.Context, host string) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.senders[host]:
		}
		for ctx.Err() == nil {
			p.mu.Lock()
			r := p.desk.Send(host)
			p.mu.Unlock()
			if r == nil {
				break
			}
			ans, err := p.owners[host].Round(*r)
			p.mu.Lock()
			if err != nil {
				p.desk.Down(host)
				p.mu.Unlock()
				p.log.Debug("round had no answer", "owner", host, "err", err)
				pause(ctx, 150*time.Millisecond)
				continue
			}
			p.desk.Answered(host, r, &ans, p.clock.Now())
			close(p.acked)
			p.acked = make(chan struct{})
			poke(p.wake)
			poke(p.writes)
			p.mu.Unlock()
		}
	}
}

// tellLoop logs now and then how placing stands.
func (p *Placer) tellLoop(ctx context.Context) error {
	var last Counts
	for ctx.Err() == nil {
		pause(ctx, 10*time.Second)
		p.mu.Lock()
		c, waiting, bound := p.desk.Summary()
		p.mu.Unlock()
		if c != last {
			p.log.Info("placing", "waiting", waiting, "bound", bound, "placed", c.Placed-last.Placed, "refused", c.Refused-last.Refused,
				"preempted", c.Preempted-last.Preempted, "done", c.Done-last.Done, "stopped", c.Stopped-last.Stopped,
				"failed", c.Failed-last.Failed, "lost", c.Lost-last.Lost, "fetch_cpu_s", int((c.FetchCPUs - last.FetchCPUs).Seconds()))
		}
		last = c
	}
	return nil
}

// roundGap gathers what comes close together into one round of decisions. It
// widens with the tasks about and with what the last round took, so that a
// controller that is short of time decides on more at once.
func roundGap(bound int, took time.Duration) time.Duration {
	return max(min(8*time.Millisecond+time.Duration(bound)*20*time.Microsecond, 50*time.Millisecond), 3*took)
}

func (p *Placer) placeLoop(ctx context.Context) error {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.Reconcile()
		case <-p.wake:
		}
		p.mu.Lock()
		began := p.clock.Now()
		p.desk.Place(began)
		for h, c := range p.senders {
			if p.desk.Waiting(h, began) {
				poke(c)
			}
		}
		_, _, bound := p.desk.Summary()
		gap := roundGap(bound, (p.clock.Now() - began).Duration())
		p.mu.Unlock()
		pause(ctx, gap)
	}
}

// markGap gathers raised marks into one write.
const markGap = 150 * time.Millisecond

// markLoop writes which tasks may be asked for, ahead of their turn.
func (p *Placer) markLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, markGap)
		p.mu.Lock()
		list := p.desk.PlanMarks(p.clock.Now(), p.valueMost)
		p.mu.Unlock()
		for _, w := range list {
			h, ok := p.claims.Mine(Duty(w.Team))
			if !ok {
				continue
			}
			rev, err := p.urgent.Commit(ctx, wire.Multi{
				When: []wire.Cond{{Key: state.Claims + Duty(w.Team), Stamp: h.Stamp}, {Key: w.Key, Stamp: w.Stamp}},
				Then: []wire.Op{{Put: w.Key, Value: w.Marks}}})
			if err != nil {
				p.log.Debug("writing marks", "team", w.Team, "err", err)
				continue
			}
			p.mu.Lock()
			p.desk.Marks(w.Key, w.Marks, rev)
			p.mu.Unlock()
			poke(p.wake)
		}
	}
	return nil
}

// writeLoop writes the ends of jobs at once and progress now and then.
func (p *Placer) writeLoop(ctx context.Context) error {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	var last clock.Micros
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-p.writes:
		}
		p.mu.Lock()
		ready := p.desk.Ready()
		for _, j := range ready {
			j.finishing = true
		}
		p.mu.Unlock()
		for _, j := range ready {
			go p.finish(ctx, j, wire.Done) //nolint:errcheck // tried until it is written or the team is lost
		}
		if now := p.clock.Now(); now >= last+p.progress {
			last = now
			p.writeProgress(ctx)
		}
	}
}

var errLost = errors.New("the team is held no more")

// mine gives the condition that a team is still held under a term.
func (p *Placer) mine(t *team) (wire.Cond, error) {
	h, ok := p.claims.Mine(Duty(t.Name))
	if !ok || h.Term != t.term {
		return wire.Cond{}, errLost
	}
	return wire.Cond{Key: state.Claims + Duty(t.Name), Stamp: h.Stamp}, nil
}

// finish writes a job's final state, on the condition that the team is held
// and the job's record is as it was accepted. While it may have been written
// without this process knowing, the job's user is told nothing from here.
func (p *Placer) finish(ctx context.Context, j *job, phase string) error {
	unknown := false
	for try := 0; ctx.Err() == nil; try++ {
		cond, err := p.mine(j.team)
		if err != nil {
			return err
		}
		p.mu.Lock()
		gone := j.team.jobs[j.ID] != j || p.desk.teams[j.team.Name] != j.team
		j.uncertain = true
		m := wire.Multi{When: []wire.Cond{cond, {Key: state.Active + j.ID, Stamp: j.Stamp}}, Then: []wire.Op{
			{Put: state.Final + j.ID, Value: jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks}}, {Drop: state.Active + j.ID}}}
		if p.txnOps < len(m.Then) {
			over := j.Record
			over.Over = phase
			m.Then = []wire.Op{{Put: state.Active + j.ID, Value: over}}
		}
		var rest []wire.Op // more records of progress than the transaction takes
		for c := range p.desk.progress[j.ID] {
			if op := (wire.Op{Drop: progressKey(j.ID, c)}); len(m.Then) < p.txnOps {
				m.Then = append(m.Then, op)
			} else {
				rest = append(rest, op)
			}
		}
		p.mu.Unlock()
		if gone {
			return nil
		}
		_, err = p.store.Commit(ctx, m)
		if err == nil {
			p.book.Keep(j.ID, jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks})
			p.mu.Lock()
			p.desk.DropJob(j.ID)
			p.mu.Unlock()
			for some := range slices.Chunk(rest, p.txnOps) {
				if _, err := p.store.Commit(ctx, wire.Multi{When: []wire.Cond{cond}, Then: some}); err != nil {
					p.log.Info("dropping progress", "job", j.ID, "err", err)
				}
			}
			p.log.Info("job is over", "job", j.ID, "class", j.Class, "phase", phase, "tasks", j.Tasks,
				"after_s", (p.clock.Now() - j.since).Seconds(), "last_start_s", (j.lastStart - j.since).Seconds(), "again", j.again)
			return nil
		}
		if try%32 == 0 { // once in a while: an outage lasts many tries
			p.log.Info("writing the end of a job", "job", j.ID, "tries", try+1, "err", err)
		}
		if unknown = unknown || !errors.Is(err, state.ErrRefused); !unknown {
			p.mu.Lock()
			j.uncertain = false
			p.mu.Unlock()
		}
		if phase == wire.Cancelled && (!unknown || try >= 2) {
			return err // its user asks again
		}
		pause(ctx, 300*time.Millisecond)
	}
	return ctx.Err()
}

func progressKey(id string, chunk chunkID) string {
	return fmt.Sprintf("%s%s/%s", state.Progress, id, chunk)
}

// progressWrite is a record of a job's progress that is to be written.
type progressWrite struct {
	j     *job
	chunk int
	ends  map[peer.TaskID]string // that are settled with it
}

// size is about how many bytes it takes of a transaction.
func (w *progressWrite) size() int { return min(w.j.per, w.j.Tasks)/6 + 300 }

// writeProgress writes down which tasks are done, and then lets their machines forget them.
func (p *Placer) writeProgress(ctx context.Context) {
	p.mu.Lock()
	byTeam := map[*team][]progressWrite{}
	for _, tm := range p.desk.teams {
		for _, j := range tm.jobs {
			if j.finishing {
				continue
			}
			for c := range j.dirty {
				byTeam[tm] = append(byTeam[tm], progressWrite{j: j, chunk: c})
			}
			if len(j.dirty) == 0 {
				for id, e := range j.unsettled {
					p.desk.settle(j, id, e)
				}
				clear(j.unsettled)
			}
		}
	}
	p.mu.Unlock()
	for tm, list := range byTeam {
		for len(list) > 0 {
			n := 1
			for size := list[0].size(); n < min(len(list), p.txnOps) && size+list[n].size() < wire.MaxMulti; n++ {
				size += list[n].size()
			}
			if !p.store.Spare(n) {
				n = 1
				if !p.store.Spare(1) {
					return
				}
			}
			cond, err := p.mine(tm)
			if err != nil {
				break
			}
			m := wire.Multi{When: []wire.Cond{cond}}
			p.mu.Lock()
			for i := range list[:n] {
				w := &list[i]
				m.When = append(m.When, wire.Cond{Key: state.Active + w.j.ID, Stamp: w.j.Stamp})
				m.Then = append(m.Then, wire.Op{Put: progressKey(w.j.ID, chunkID{w.chunk, w.j.per}), Value: base64.StdEncoding.EncodeToString(w.j.chunk(w.chunk))})
				delete(w.j.dirty, w.chunk)
				w.ends = map[peer.TaskID]string{}
				for id, e := range w.j.unsettled {
					if id.N/w.j.per == w.chunk {
						w.ends[id] = e
					}
				}
			}
			p.mu.Unlock()
			_, err = p.store.Commit(ctx, m)
			p.mu.Lock()
			for _, w := range list[:n] {
				if err != nil {
					w.j.dirty[w.chunk] = true
					continue
				}
				for id, e := range w.ends {
					delete(w.j.unsettled, id)
					p.desk.settle(w.j, id, e)
				}
			}
			p.mu.Unlock()
			if err != nil {
				p.log.Debug("writing progress", "err", err)
				return
			}
			list = list[n:]
		}
	}
	poke(p.wake)
}

// Status tells what a job's user may be told; only while the team is held.
func (p *Placer) Status(q peer.JobQuery) peer.JobAnswer {
	if _, ok := p.claims.Mine(Duty(q.Team)); !ok {
		return peer.JobAnswer{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.book.Final(q.ID); ok {
		return peer.JobAnswer{Known: true, Found: true, State: f.State(q.ID)}
	}
	return p.desk.Status(q.Team, q.ID)
}

// withdrawWait bounds how long a withdrawal is tried before its user is told to come back.
const withdrawWait = 1500 * time.Millisecond

// Withdraw ends a job: no task of it starts from now on; once every owner has
// taken that, the end is written, and only then told.
func (p *Placer) Withdraw(q peer.JobQuery) peer.JobAnswer {
	retry := peer.JobAnswer{Known: true, Found: true, Retry: true}
	if _, ok := p.claims.Mine(Duty(q.Team)); !ok {
		return peer.JobAnswer{}
	}
	deadline := time.NewTimer(withdrawWait)
	defer deadline.Stop()
	for {
		if f, ok := p.book.Final(q.ID); ok {
			return peer.JobAnswer{Known: true, Found: true, State: f.State(q.ID)}
		}
		hosts, ok := p.ownerHosts()
		p.mu.Lock()
		ctx := p.running
		tm := p.desk.teams[q.Team]
		if tm == nil || tm.jobs[q.ID] == nil {
			p.mu.Unlock()
			return peer.JobAnswer{Known: tm != nil}
		}
		j := tm.jobs[q.ID]
		if j.finishing && !j.cancelling {
			p.mu.Unlock()
			return retry // its end as done is being written
		}
		p.desk.Cancel(q.Team, q.ID)
		ready := ok && p.desk.Acked(q.ID, hosts) && !j.finishing
		if ready {
			j.finishing = true
		}
		acked := p.acked
		p.mu.Unlock()
		poke(p.wake)
		if ready {
			err := p.finish(ctx, j, wire.Cancelled)
			p.mu.Lock()
			j.finishing = false
			p.mu.Unlock()
			if err != nil {
				return retry
			}
			continue
		}
		select {
		case <-acked:
		case <-deadline.C:
			return retry
		case <-ctx.Done():
			return retry
		}
	}
}

// ownerHosts names the controllers that hold partitions; ok is false while some has no holder.
func (p *Placer) ownerHosts() ([]string, bool) {
	seen := map[string]bool{}
	var out []string
	for _, d := range p.parts {
		h, ok := p.claims.Holder(d)
		if !ok {
			return nil, false
		}
		if !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out, true
}

// Demands lists what waits, for the fleet.
func (p *Placer) Demands() []peer.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.desk.Demands(p.clock.Now())
}

// Views gives the mirror of all machines, for the fleet.
func (p *Placer) Views() []peer.MachineView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.desk.Views(p.clock.Now())
}
