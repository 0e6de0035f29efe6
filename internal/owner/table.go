// Package owner is the duty of holding a partition of the machines: their
// reports, the leases on their room, the starts and stops of tasks.
//
// Table is the decision, plain code that takes the time; Owner does the I/O.
package owner

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/machines"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/res"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Registered is the record of a machine that may hold tasks.
type Registered = machines.Record

// Jobs tells which jobs are active.
type Jobs interface {
	Find(id string) (*jobs.Job, bool)
	Final(id string) (jobs.Final, bool)
}

// Timing is what the table needs to know of spans.
type Timing struct {
	Lease      clock.Micros // the workers' lease
	Quiet      clock.Micros // a machine that was not heard for so long gets no tasks for now
	LeaseTTL   clock.Micros // of leases on room
	SickErrors int
}

// task is one attempt on a machine: a lease (nothing sent), sent, or seen.
type task struct {
	id       peer.TaskID
	team     string
	rank     int
	need     res.Amounts
	since    clock.Micros
	sent     bool         // a run was sent, at least once
	sentTick uint64       // report whose answer carried the last run
	risk     uint64       // token of an unanswered /orders that carried a run; 0: none
	lastSend clock.Micros // by /orders; not repeated at once
	seen     bool
	found    bool // not asked for here: a former owner's
	phase    string
	cause    string
	stop     bool
	grace    float64
	settled  bool
	covered  bool   // its job is within its team's guarantee
	version  uint64 // of the view that first shows it as it is
}

func (t *task) exited() bool { return t.phase == wire.TaskExited }

type machine struct {
	id   string
	part int
	Registered
	cap        res.Amounts
	token      uint64 // what orders are sent with
	seenToken  uint64 // highest that the worker showed
	session    uint64
	tick       uint64
	heard      bool // a report of this term has come
	answered   clock.Micros
	registered bool
	accounted  bool
	silent     bool
	gone       bool
	draining   bool
	noticed    bool
	quiet      bool      // its reports have stopped: perhaps it is gone
	doubt      bool      // an /orders had no answer, and no report has shown the raised token since
	reported   [2]uint64 // session and tick of the last report
	sick       bool
	probedAt   clock.Micros
	quietUntil clock.Micros // no /orders until then: one had no answer
	inflight   bool
	orderTick  uint64 // the worker's tick when the /orders on its way was sent
	shunUntil  clock.Micros
	errors     int
	errJobs    map[string]bool
	images     []string // in its cache as far as is known, the latest used first
	imagesAt   uint64   // version since when they are so
	idleSince  clock.Micros
	version    uint64
	tasks      map[peer.TaskID]*task
	left       []departed // tasks gone lately, the oldest first
	floor      uint64     // who knows the machine as of an earlier version is told of all its tasks
	place      *list.Element
}

// departed is a task that is on its machine no more.
type departed struct {
	id      peer.TaskID
	version uint64
}

// maxLeft bounds how many departed tasks a machine remembers.
const maxLeft = 256

// Table holds the machines of the partitions that this controller owns.
type Table struct {
	timing    Timing
	jobs      Jobs
	types     map[string]res.Amounts
	caches    map[string]float64 // GB by machine type
	sizes     map[string]float64 // GB by image
	parts     map[int]uint64     // partitions held, with terms
	machines  map[string]*machine
	changes   *list.List          // machines, the latest changed last: a poll costs what changed
	due       map[string]*machine // machines that may have something to be sent
	version   uint64
	teamTerms map[string]uint64
	rounds    map[string]lastRound
	cancelled map[string]clock.Micros
	failing   map[string]map[string]bool // job: machines on which it failed
}

type lastRound struct {
	seq    uint64
	answer peer.RoundAnswer
	at     clock.Micros
}

// NewTable makes an empty table.
func NewTable(t Timing, j Jobs) *Table {
	return &Table{caches: map[string]float64{}, sizes: map[string]float64{}, timing: t, jobs: j, types: map[string]res.Amounts{}, parts: map[int]uint64{},
		machines: map[string]*machine{}, changes: list.New(), due: map[string]*machine{}, teamTerms: map[string]uint64{}, rounds: map[string]lastRound{},
		cancelled: map[string]clock.Micros{}, failing: map[string]map[string]bool{}}
}

// SetTypes tells what the machine types offer.
func (t *Table) SetTypes(types map[string]res.Amounts) {
	t.types = types
	for _, m := range t.machines {
		m.cap = types[m.Type]
		t.touch(m)
	}
}

func (t *Table) touch(m *machine) {
	t.version++
	m.version = t.version
	t.changes.MoveToBack(m.place)
}

// show has the next views tell of a task.
func (t *Table) show(m *machine, k *task) {
	t.touch(m)
	k.version = t.version
	t.due[m.id] = m
}

// remove takes a task off its machine.
func (t *Table) remove(m *machine, k *task) {
	delete(m.tasks, k.id)
	t.touch(m)
	m.left = append(m.left, departed{k.id, t.version})
	if len(m.left) > maxLeft {
		m.floor = m.left[maxLeft/2-1].version
		m.left = slices.Delete(m.left, 0, maxLeft/2)
	}
}

// showAll has the next views tell of all tasks.
func (t *Table) showAll(m *machine) {
	t.touch(m)
	m.floor, m.left = t.version, nil
	t.due[m.id] = m
}

// drop takes a machine out of the table.
func (t *Table) drop(m *machine) {
	t.changes.Remove(m.place)
	delete(t.machines, m.id)
	delete(t.due, m.id)
}

// baseToken is the lowest token of a term.
func baseToken(term uint64) uint64 { return term << 32 }

// Gain takes a partition over. Every machine registered for it may hold tasks
// of the former owner's until a report shows a token of this term, or it was
// not answered by anybody for its lease, counted from now at the latest.
func (t *Table) Gain(part int, term uint64, recorded machines.Group, now clock.Micros) {
	t.Lose(part)
	t.parts[part] = term
	for id, r := range recorded {
		m := t.add(id, part, r, now)
		m.registered = true
	}
	t.version++
}

// Lose gives a partition up.
func (t *Table) Lose(part int) {
	if _, ok := t.parts[part]; !ok {
		return
	}
	delete(t.parts, part)
	for _, m := range t.machines {
		if m.part == part {
			t.drop(m)
		}
	}
	t.version++
}

func (t *Table) add(id string, part int, r Registered, now clock.Micros) *machine {
	m := &machine{id: id, part: part, Registered: r, cap: t.types[r.Type], token: baseToken(t.parts[part]) + 1,
		answered: now, idleSince: now, tasks: map[peer.TaskID]*task{}, errJobs: map[string]bool{}, session: 1}
	t.machines[id] = m
	m.place = t.changes.PushBack(m)
	t.showAll(m)
	return m
}

// Report takes a worker's report and decides the answer. ok is false when the
// report is of a former session: it must not be answered with 200.
func (t *Table) Report(r *wire.Report, part int, now clock.Micros) (ans wire.ReportAnswer, ok bool) {
	m := t.machines[r.Machine]
	if m == nil {
		m = t.add(r.Machine, part, Registered{Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now)
	}
	if m.part != part {
		return ans, false // it says now that it is of another zone: that is not understood
	}
	if m.gone || r.Session < m.session && m.heard || m.silent && m.heard && r.Session <= m.session {
		return ans, false
	}
	if r.Token > m.token && r.Token>>32 > t.parts[part] {
		return ans, false // a later term than ours: not ours to command
	}
	if m.heard && r.Session == m.reported[0] && r.Tick <= m.reported[1] {
		// A copy that comes late, or a worker that began anew without telling:
		// answering it would keep a machine alive of which nothing new is known.
		return ans, false
	}
	// An answer to /orders may have overtaken this report: then it tells nothing
	// new, but its worker waits for the answer.
	fresh := !m.heard || r.Session > m.session || r.Tick > m.tick
	m.reported = [2]uint64{r.Session, r.Tick}
	if fresh {
		m.Addr = r.Addr
		t.absorb(m, r, true, now)
		m.quietUntil = 0
	}
	m.answered = now
	if m.quiet {
		m.quiet = false
		t.touch(m)
	}
	ans.Token = m.token
	ans.Orders = []wire.Order{}
	if fresh && m.accounted {
		ans.Orders = t.orders(m, true, now)
	}
	return ans, true
}

// absorb takes what a worker says of itself, from a report or from the answer
// to /orders. Older words than the newest known are dropped.
func (t *Table) absorb(m *machine, r *wire.Report, isReport bool, now clock.Micros) {
	if m.heard && (r.Session < m.session || r.Session == m.session && r.Tick <= m.tick) {
		return
	}
	changed := !m.heard
	if !m.heard || r.Session > m.session {
		// A session lasts its whole lease from its own beginning, answered or
		// not, and it may have begun as late as now.
		m.answered = now
	}
	if m.heard && r.Session > m.session {
		// A new session: whatever ran in an earlier one was killed, and no
		// order that names an earlier one is executed.
		for _, k := range m.tasks {
			if k.sent || k.seen {
				t.remove(m, k)
			}
		}
		changed = true
	}
	if m.silent {
		m.silent, changed = false, true
	}
	m.heard, m.session, m.tick = true, r.Session, r.Tick
	m.seenToken = max(m.seenToken, r.Token)
	if m.doubt && r.Token >= m.token {
		m.doubt, changed = false, true
	}
	if !m.accounted && r.Token >= baseToken(t.parts[m.part]) {
		m.accounted = true
		t.showAll(m) // who did not believe its tasks so far looks at all of them now
	}
	if n := r.NoticeS != nil; n != m.noticed {
		m.noticed, changed = n, true
	}
	listed := make(map[peer.TaskID]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		job, n, ok := wire.SplitTask(tr.Task)
		if !ok {
			continue
		}
		id := peer.TaskID{Job: job, N: n, Attempt: tr.Attempt}
		listed[id] = true
		k := m.tasks[id]
		if k == nil {
			k = &task{id: id, since: now, found: true}
			if j, ok := t.jobs.Find(job); ok {
				k.team, k.rank, k.need = j.Team, j.Level, j.Need
				t.note(m, j.Image, j.ImageGB)
			}
			m.tasks[id] = k
		}
		if !k.seen || k.phase != tr.Phase {
			t.show(m, k)
			if tr.Phase == wire.TaskExited {
				t.exit(m, k, tr.Cause, now)
			}
		}
		k.seen, k.sent, k.phase, k.cause = true, true, tr.Phase, tr.Cause
	}
	if len(listed) < len(m.tasks) {
		for id, k := range m.tasks {
			if listed[id] || !k.sent {
				continue
			}
			switch {
			case k.seen:
				t.remove(m, k) // forgotten
			case k.stop && isReport && r.Tick > k.sentTick && (k.risk == 0 || m.seenToken > k.risk):
				// Never started, and no copy of its run can arrive any more.
				t.remove(m, k)
			}
		}
	}
	if len(m.tasks) > 0 {
		m.idleSince = now
	}
	if changed {
		t.touch(m)
		t.due[m.id] = m
	}
}

// exit keeps account of failures: a machine on which several jobs fail in a
// row is sick, unless the jobs fail everywhere.
func (t *Table) exit(m *machine, k *task, cause string, now clock.Micros) {
	switch cause {
	case wire.CauseDone:
		m.errors = 0
		clear(m.errJobs)
		delete(t.failing, k.id.Job)
	case wire.CauseError:
		f := t.failing[k.id.Job]
		if f == nil {
			f = map[string]bool{}
			t.failing[k.id.Job] = f
		}
		f[m.id] = true
		if len(f) > 2 {
			return // the job's own mistake
		}
		m.errors++
		m.errJobs[k.id.Job] = true
		m.shunUntil = now + min(5*clock.Second<<min(m.errors, 4), 60*clock.Second)
		if len(m.errJobs) >= t.timing.SickErrors || m.errors >= 8 {
			m.sick = true
		}
	}
}

// inUse is what the machine's tasks take that are there, or may be, and what
// is spoken for. A task that was told to stop is still there, but its room may
// be leased already: the lease waits for its end.
func (m *machine) inUse() (started, spoken res.Amounts) {
	for _, k := range m.tasks {
		if k.exited() {
			continue
		}
		if !k.stop {
			spoken = spoken.Plus(k.need)
		}
		if k.sent {
			started = started.Plus(k.need)
		}
	}
	return started, spoken
}

func (m *machine) usable(now clock.Micros) bool {
	return m.accounted && m.registered && !m.silent && !m.gone && !m.draining && !m.noticed && !m.quiet && !m.doubt && !m.sick && now >= m.shunUntil
}

// inOrder lists by age those of a machine's tasks that changed after a version.
func (m *machine) inOrder(after uint64) []*task {
	out := make([]*task, 0, len(m.tasks))
	for _, k := range m.tasks {
		if k.version > after {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id.Attempt, b.id.Attempt),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.N, b.id.N))
	})
	return out
}

// over tells that nothing of a task's job may run any more. For a task that
// was found, its job not being active is proof: the record was there before
// the task's start, and the replica is as new as this owner's claim. For one that was
// asked for, the replica may be older than the job, so only its end is proof.
func (t *Table) over(k *task) bool {
	if t.cancelled[k.id.Job] > 0 {
		return true
	}
	if _, final := t.jobs.Final(k.id.Job); final {
		return true
	}
	_, active := t.jobs.Find(k.id.Job)
	return k.found && !active
}

// maxOrders keeps an answer's line below the protocol's 64 KiB.
const maxOrders = 400

// resend tells whether an order may go to the worker's own address once more.
func (k *task) resend(now clock.Micros) bool {
	return k.lastSend == 0 || now > k.lastSend+clock.Second
}

// orders collects what the worker should do now. Forgets go only into answers
// to reports: the worker takes those in sequence, so no run that was sent in an
// earlier answer can arrive after the forget and start the attempt once more.
func (t *Table) orders(m *machine, inReport bool, now clock.Micros) []wire.Order {
	out := []wire.Order{}
	ids := m.inOrder(0)
	for _, k := range ids {
		if len(out) >= maxOrders {
			return out
		}
		name := wire.TaskName(k.id.Job, k.id.N)
		if t.over(k) {
			k.settled = true
			if !k.exited() && !k.stop {
				k.stop, k.grace = true, 0
				t.show(m, k)
			}
		}
		switch {
		case k.exited() && k.settled:
			if inReport && (k.risk == 0 || m.seenToken > k.risk) {
				out = append(out, wire.Order{Verb: wire.VerbForget, Task: name, Attempt: k.id.Attempt})
			}
		case k.stop && !k.exited():
			g := k.grace
			if k.phase == wire.TaskSaving && g > 0 || !inReport && !k.resend(now) {
				continue
			}
			if !inReport {
				k.lastSend = now
			}
			out = append(out, wire.Order{Verb: wire.VerbStop, Task: name, Attempt: k.id.Attempt, GraceS: &g})
		}
	}
	if m.silent || m.gone || !m.registered {
		return out
	}
	started, _ := m.inUse()
	for _, k := range ids {
		if len(out) >= maxOrders {
			return out
		}
		if k.seen || k.stop || k.exited() {
			continue
		}
		if !k.sent {
			if m.draining || !k.need.Fits(m.cap.Minus(started)) {
				continue
			}
			started = started.Plus(k.need)
			k.sent = true
		}
		if inReport {
			k.sentTick = m.tick
		} else if k.resend(now) {
			k.lastSend = now
		} else {
			continue
		}
		out = append(out, wire.Order{Verb: wire.VerbRun, Task: wire.TaskName(k.id.Job, k.id.N), Attempt: k.id.Attempt})
	}
	return out
}

// TakeOrders gives what to send to a worker's own address now, nil for nothing.
// Until it is answered, its runs count as possibly still on their way.
func (t *Table) TakeOrders(id string, now clock.Micros) (addr string, o *wire.Orders) {
	m := t.machines[id]
	if m == nil || m.inflight || m.gone || m.silent || m.Addr == "" || now < m.quietUntil {
		return "", nil
	}
	o = &wire.Orders{Token: m.token, Session: m.session, Orders: []wire.Order{}}
	if m.accounted {
		o.Orders = t.orders(m, false, now)
		if len(o.Orders) == 0 {
			return "", nil
		}
		for _, or := range o.Orders {
			if or.Verb != wire.VerbRun {
				continue
			}
			job, n, _ := wire.SplitTask(or.Task)
			m.tasks[peer.TaskID{Job: job, N: n, Attempt: or.Attempt}].risk = m.token
		}
	} else {
		if now < m.probedAt+500*clock.Millisecond {
			return "", nil
		}
		m.probedAt = now
	}
	m.inflight, m.orderTick = true, m.tick
	return m.Addr, o
}

// Answered takes the answer to /orders: the worker's report after it.
func (t *Table) Answered(id string, sent *wire.Orders, r *wire.Report, now clock.Micros) {
	m := t.machines[id]
	if m == nil || !m.inflight || sent.Token>>32 != t.parts[m.part] {
		return
	}
	m.inflight = false
	for _, k := range m.tasks {
		if k.risk == sent.Token {
			k.risk = 0
		}
	}
	if r.Machine != id {
		m.quietUntil = now + 5*clock.Second
		return
	}
	if m.heard && r.Session == m.session && r.Tick <= m.orderTick {
		// This answer is no copy, and yet its tick is none that can follow those
		// seen: the worker has begun anew without a new session. What it was just
		// told may run there, for a lease from now at most, since its reports are
		// taken for copies and not answered. It is told nothing more.
		m.answered, m.doubt = now, true
		m.quietUntil = now + t.timing.Lease.PlusDrift() + clock.Second
		t.touch(m)
		return
	}
	if !m.heard {
		if m.session != r.Session {
			m.session, m.probedAt = r.Session, 0 // the next try names the right one
		}
		if r.Token < baseToken(t.parts[m.part]) {
			return
		}
	}
	t.absorb(m, r, false, now)
}

// Unanswered notes that /orders had no answer: it may still be executed, until
// the worker shows a higher token. Orders go with reports for a while.
func (t *Table) Unanswered(id string, sent *wire.Orders, now clock.Micros) {
	m := t.machines[id]
	if m == nil || sent.Token>>32 != t.parts[m.part] {
		return
	}
	m.inflight = false
	m.token++
	m.quietUntil = now + 2*clock.Second
	// Reports may come from a machine that no answer and no order reaches. It
	// gets no more tasks until it shows that it has heard.
	m.doubt = true
	t.touch(m)
}

// Round carries out what a placing controller has for this owner.
func (t *Table) Round(in peer.Round, incarnation string, now clock.Micros) peer.RoundAnswer {
	last := t.rounds[in.From]
	if in.Seq == last.seq && in.Seq != 0 {
		return last.answer
	}
	ans := peer.RoundAnswer{Incarnation: incarnation, Refused: make([]bool, len(in.Asks)), Versions: make([]uint64, len(in.Asks))}
	if in.Seq < last.seq {
		for i := range ans.Refused {
			ans.Refused[i] = true
		}
		return ans
	}
	t.fence(in.Terms)
	for _, job := range in.Cancels {
		t.cancelled[job] = now
		for _, m := range t.machines {
			for id, k := range m.tasks {
				if id.Job == job {
					t.end(m, k, 0)
				}
			}
		}
	}
	for _, s := range in.Stops {
		if m := t.machines[s.Machine]; m != nil {
			if k := m.tasks[s.ID]; k != nil {
				t.end(m, k, s.GraceS)
			}
		}
	}
	for _, s := range in.Settles {
		if m := t.machines[s.Machine]; m != nil {
			if k := m.tasks[s.ID]; k != nil && k.exited() {
				k.settled = true
			}
		}
	}
	for _, id := range in.Slow {
		if m := t.machines[id]; m != nil && !m.sick {
			m.sick = true
			t.touch(m)
		}
	}
	for i, a := range in.Asks {
		ans.Refused[i] = !t.lease(a, in.Terms[a.Team], now)
		ans.Versions[i] = t.version
	}
	t.rounds[in.From] = lastRound{in.Seq, ans, now}
	return ans
}

// fence refuses, from now on, what comes under lower terms of these teams.
func (t *Table) fence(terms map[string]uint64) {
	for team, term := range terms {
		t.teamTerms[team] = max(t.teamTerms[team], term)
	}
}

// lease grants room for one task, or refuses. A second start of a task that is
// on the machine already is refused.
func (t *Table) lease(a peer.Ask, term uint64, now clock.Micros) bool {
	m := t.machines[a.Machine]
	if m == nil || term == 0 || term < t.teamTerms[a.Team] || a.ID.Attempt>>32 != term ||
		t.parts[m.part] != a.Term || !m.usable(now) || t.cancelled[a.ID.Job] > 0 {
		return false
	}
	for id, k := range m.tasks {
		if id.Job == a.ID.Job && id.N == a.ID.N && !k.exited() {
			return false
		}
	}
	_, all := m.inUse()
	free := m.cap.Minus(all)
	var victims []*task
	for _, v := range a.Victims {
		k := m.tasks[v]
		if k == nil || k.exited() || k.stop || (k.rank >= a.Rank && !a.Over) {
			continue
		}
		if a.Need.Fits(free) {
			break // room enough by now: nobody else need be stopped
		}
		victims = append(victims, k)
		free = free.Plus(k.need)
	}
	if !a.Need.Fits(free) {
		return false
	}
	for _, v := range victims {
		t.end(m, v, t.graceOf(v))
	}
	k := &task{id: a.ID, team: a.Team, rank: a.Rank, need: a.Need, covered: a.Covered, since: now}
	m.tasks[a.ID] = k
	t.note(m, a.Image, a.ImageGB)
	m.idleSince = now
	t.show(m, k)
	return true
}

func (t *Table) graceOf(k *task) float64 {
	if j, ok := t.jobs.Find(k.id.Job); ok {
		return j.Grace()
	}
	return 0
}

// SetCaches tells how many GB of images the machine types keep.
func (t *Table) SetCaches(gb map[string]float64) { t.caches = gb }

// maxImages bounds what is known of a machine's cache.
const maxImages = 48

// note takes an image that a machine has or is to fetch: it keeps the latest
// used, as many as its cache holds.
func (t *Table) note(m *machine, image string, gb float64) {
	t.sizes[image] = gb
	if len(m.images) > 0 && m.images[0] == image {
		return
	}
	out := []string{image}
	room := t.caches[m.Type] - gb
	for _, i := range m.images {
		if i == image {
			continue
		}
		if room -= t.sizes[i]; room < 0 || len(out) == maxImages {
			break
		}
		out = append(out, i)
	}
	m.images = out
	t.touch(m)
	m.imagesAt = t.version
}

// end stops a task; a lease of which nothing was sent just ends.
func (t *Table) end(m *machine, k *task, grace float64) {
	switch {
	case !k.sent:
		t.remove(m, k)
	case k.exited():
	case !k.stop || grace < k.grace:
		k.stop, k.grace, k.lastSend = true, grace, 0
		t.show(m, k)
	}
}

// Tick lets leases lapse and machines fall silent. It gives the machines whose
// record may be dropped: nothing can be on them any more.
func (t *Table) Tick(now clock.Micros) (drop []string) {
	for id, m := range t.machines {
		if !m.gone && !m.silent && now > m.answered+t.timing.Lease.PlusDrift()+500*clock.Millisecond {
			// Not answered 200 by any possible owner for its whole lease:
			// the worker has killed and forgotten all that it had.
			m.silent, m.accounted = true, m.accounted && m.heard
			clear(m.tasks)
			t.showAll(m)
		}
		if quiet := t.timing.Quiet > 0 && now > m.answered+t.timing.Quiet; quiet && !m.quiet {
			// Long before its lease is over: what is placed there now would be
			// lost if it is gone, and others may be rented in its place.
			m.quiet = true
			t.touch(m)
		}
		for _, k := range m.tasks {
			if !k.sent && now > k.since+t.timing.LeaseTTL {
				t.remove(m, k)
			}
		}
		if m.shunUntil != 0 && now >= m.shunUntil {
			m.shunUntil = 0
			t.touch(m)
		}
		if (m.silent || m.gone) && m.registered {
			drop = append(drop, id)
		}
		if m.gone && now > m.answered+600*clock.Second {
			t.drop(m)
		}
	}
	for from, r := range t.rounds {
		if now > r.at+3600*clock.Second {
			delete(t.rounds, from) // of a process long gone
		}
	}
	for job, at := range t.cancelled {
		if now > at+600*clock.Second {
			delete(t.cancelled, job)
		}
	}
	return drop
}

// Gone takes the word that machines are gone for certain.
func (t *Table) Gone(list []peer.Machine, part func(id, zone string) int, now clock.Micros) {
	for _, x := range list {
		m := t.machines[x.ID]
		if m == nil {
			p := part(x.ID, x.Zone)
			if _, ok := t.parts[p]; !ok {
				continue
			}
			m = t.add(x.ID, p, Registered{Zone: x.Zone}, now)
		}
		m.gone, m.answered = true, now
		clear(m.tasks)
		t.showAll(m)
	}
}

// Drain keeps machines free of new tasks and names those that hold nothing.
func (t *Table) Drain(list []peer.Machine, part func(id, zone string) int, now clock.Micros) (ready []string) {
	for _, x := range list {
		m := t.machines[x.ID]
		if m == nil {
			p := part(x.ID, x.Zone)
			if _, ok := t.parts[p]; !ok {
				continue
			}
			m = t.add(x.ID, p, Registered{Zone: x.Zone}, now) // not up yet
			m.draining = true
			ready = append(ready, x.ID)
			continue
		}
		if m.gone || m.silent || len(m.tasks) == 0 && (m.accounted || !m.registered) {
			ready = append(ready, x.ID)
			m.draining = true
			t.touch(m)
		}
	}
	return ready
}

// Registered notes that a machine's record is in the state service, or gone from
// it. A record without a machine, which a late copy of an old write brings back,
// counts as a machine that nothing is known of: it falls silent, and its record goes.
func (t *Table) Registered(id string, part int, r Registered, there bool, now clock.Micros) {
	m := t.machines[id]
	if m == nil && there {
		if _, ok := t.parts[part]; !ok {
			return
		}
		m = t.add(id, part, r, now)
	}
	if m != nil && m.registered != there {
		m.registered = there
		t.touch(m)
	}
}

// Unregistered lists machines that report and have no record yet.
func (t *Table) Unregistered() machines.Group {
	var out machines.Group
	for id, m := range t.machines {
		if m.heard && !m.registered && !m.silent && !m.gone {
			if out == nil {
				out = machines.Group{}
			}
			out[id] = m.Registered
		}
	}
	return out
}

// Part gives the term of a partition that is owned.
func (t *Table) Part(part int) (term uint64, ok bool) {
	term, ok = t.parts[part]
	return term, ok
}

// PartOf gives the partition of a machine in the table.
func (t *Table) PartOf(id string) (int, bool) {
	m := t.machines[id]
	if m == nil {
		return 0, false
	}
	return m.part, true
}

// Pending lists machines that should be sent to now, or probed. Those that want
// nothing any more are looked at again when something about them changes.
func (t *Table) Pending(now clock.Micros) []string {
	var out []string
	for id, m := range t.due {
		if m.inflight || now < m.quietUntil {
			continue
		}
		if m.silent || m.gone || m.Addr == "" || !m.wants() {
			delete(t.due, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// wants tells that a machine is to be probed, or has a task whose start or stop
// its worker has not shown yet.
func (m *machine) wants() bool {
	if !m.accounted && !m.draining {
		return true
	}
	for _, k := range m.tasks {
		if !k.seen || k.stop && !k.exited() && k.phase != wire.TaskSaving {
			return true
		}
	}
	return false
}

// view shows a machine to who knows it as of a version.
func (t *Table) view(m *machine, after uint64, now clock.Micros) peer.MachineView {
	_, all := m.inUse()
	v := peer.MachineView{ID: m.id, Part: m.part, Term: t.parts[m.part], Version: m.version, Type: m.Type, Zone: m.Zone,
		Spot: m.Spot, Cap: m.cap, Free: m.cap.Minus(all), Accounted: m.accounted || m.silent || m.gone, Usable: m.usable(now),
		Draining: m.draining, Silent: m.silent || m.gone, Noticed: m.noticed, Sick: m.sick,
		Count: len(m.tasks), Whole: after < m.floor}
	if len(m.tasks) == 0 {
		v.Idle = now - m.idleSince
	}
	if v.Whole || m.imagesAt > after {
		v.Images = m.images
	}
	shown := after
	if v.Whole {
		shown = 0
	}
	for _, k := range m.inOrder(shown) {
		v.Tasks = append(v.Tasks, peer.TaskView{ID: k.id, Team: k.team, Rank: k.rank, Need: k.need, Phase: k.phase,
			Cause: k.cause, Stopping: k.stop, Covered: k.covered, Since: now - k.since})
	}
	for _, d := range m.left {
		if !v.Whole && d.version > after {
			v.Left = append(v.Left, d.id)
		}
	}
	return v
}

// Poll gives what changed after a cursor.
func (t *Table) Poll(in peer.Poll, incarnation string, now clock.Micros) peer.PollAnswer {
	t.fence(in.Terms)
	out := peer.PollAnswer{Incarnation: incarnation, Cursor: t.version, Parts: maps.Clone(t.parts)}
	after := in.Cursor
	if in.Incarnation != incarnation {
		after, out.Full = 0, true
	}
	for e := t.changes.Back(); e != nil; e = e.Prev() {
		m := e.Value.(*machine)
		if m.version <= after {
			break
		}
		out.Machines = append(out.Machines, t.view(m, after, now))
	}
	slices.SortFunc(out.Machines, func(a, b peer.MachineView) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Version is the table's present version.
func (t *Table) Version() uint64 { return t.version }

// Len is how many machines the table holds.
func (t *Table) Len() int { return len(t.machines) }
