package placer

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/owner"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/res"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	sec      = clock.Second
	lease    = 10 * sec
	red      = "red"
	limitCPU = 12 // of the team, where it has one
)

// host is a controller's owner part: a table that a crash replaces.
type host struct {
	name     string
	instance string
	table    *owner.Table
}

type lateOrders struct {
	machine string
	orders  wire.Orders
}

type lateRound struct {
	h     *host
	table *owner.Table // the process it was sent to
	round peer.Round
}

// world is a small cluster without I/O: owners, one placer, workers, and a
// network that loses, holds up and repeats what the test tells it to.
type world struct {
	t        *testing.T
	now      clock.Micros
	rng      *rand.Rand
	book     *jobs.Book
	stamp    uint64
	active   map[string]*jobs.Job
	hosts    []*host
	partHost []int
	partTerm []uint64
	registry map[string]owner.Registered
	workers  map[string]*fakes.Worker
	names    []string
	desk     *Desk
	term     uint64
	crashes  int
	orders   []lateOrders
	rounds   []lateRound
	copies   []wire.Report // of reports, that may come once more
	ended    map[string]bool
	limit    float64              // CPUs; 0: none
	marks    map[string]MarkWrite // on record, with their stamps
	elder    bool                 // an earlier release has recorded machines
}

func (w *world) Find(id string) (*jobs.Job, bool) { j, ok := w.active[id]; return j, ok }

func (w *world) Final(id string) (jobs.Final, bool) { return w.book.Final(id) }

func newWorld(t *testing.T, seed uint64, machines int) *world {
	return newWorldOf(t, seed, machines, limitCPU)
}

func newWorldOf(t *testing.T, seed uint64, machines int, limit float64) *world {
	w := &world{t: t, limit: limit, now: 100 * sec, rng: fakes.Rand(seed), book: jobs.NewBook(), stamp: 10, active: map[string]*jobs.Job{},
		registry: map[string]owner.Registered{}, workers: map[string]*fakes.Worker{}, ended: map[string]bool{}, marks: map[string]MarkWrite{}}
	for i := range 2 {
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("h%d", i)})
		w.boot(w.hosts[i])
		w.partHost, w.partTerm = append(w.partHost, i), append(w.partTerm, 0)
	}
	for i := range machines {
		id := fmt.Sprintf("m-%d", i)
		w.names = append(w.names, id)
		w.workers[id] = fakes.NewWorker(id, lease, w.now)
		w.workers[id].Zone = []string{"a", "b"}[i/2%2]
	}
	for p := range w.partHost {
		w.gain(p, p)
	}
	w.newDesk()
	return w
}

func (w *world) boot(h *host) {
	w.crashes++
	h.instance = fmt.Sprintf("%s-%d", h.name, w.crashes)
	h.table = owner.NewTable(owner.Timing{Lease: lease, LeaseTTL: 4 * sec, SickErrors: 2}, w)
	h.table.SetTypes(map[string]res.Amounts{"big": res.Have(8, 0, 32)})
}

func (w *world) part(id string) int { return int(id[2]-'0') % len(w.partHost) }

// gain moves a partition to a host: the former holder's authority is over.
func (w *world) gain(p, to int) {
	w.hosts[w.partHost[p]].table.Lose(p)
	w.partHost[p] = to
	w.partTerm[p]++
	w.stamp++
	found := map[string]owner.Registered{}
	for id, r := range w.registry {
		if w.part(id) == p {
			found[id] = r
		}
	}
	w.hosts[to].table.Gain(p, w.partTerm[p], found, w.now)
}

// newDesk replaces the placer: the former one is gone, and with it its memory.
func (w *world) newDesk() {
	w.term++
	w.stamp++
	w.desk = NewDesk(Timing{Sample: 3, Batch: 10, PreemptAfter: sec}, fmt.Sprintf("desk-%d", w.term),
		[]Team{{Name: red, Limit: res.Have(w.limit, 0, 0)}}, []string{"h0", "h1"}, w.term, func() int64 { return 0 })
	w.desk.elder = w.elder
	for id := range w.registry {
		w.desk.Register(id, true)
	}
	for key, m := range w.marks {
		w.desk.Marks(key, m.Marks, m.Stamp)
	}
	var list []*jobs.Job
	for _, j := range w.active {
		list = append(list, j)
	}
	w.desk.Gain(red, w.term, w.stamp, list, w.now)
}

// mark has the placer's marks written down; the answer may be lost, or the write.
func (w *world) mark(written, answered bool) {
	for _, m := range w.desk.PlanMarks(w.now, 4000) {
		if !written || m.Stamp != w.marks[m.Key].Stamp {
			continue
		}
		w.stamp++
		m.Stamp = w.stamp
		w.marks[m.Key] = m
		if answered {
			w.desk.Marks(m.Key, m.Marks, m.Stamp)
		}
	}
}

// place lets the placer decide, with marks written at once.
func (w *world) place() {
	w.mark(true, true)
	w.desk.Place(w.now)
}

func (w *world) addJob(id string, tasks int, change func(*wire.Job)) {
	w.stamp++
	spec := wire.Job{ID: id, Team: red, Rank: "normal", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if change != nil {
		change(&spec)
	}
	w.active[id] = jobs.New(jobs.Record{Job: spec}, w.stamp)
	w.desk.AddJob(w.active[id], w.now)
}

// poll lets the placer hear an owner.
func (w *world) poll(h *host, lost bool) {
	in := w.desk.Cursor(h.name)
	ans := h.table.Poll(in, h.instance, w.now)
	if lost {
		w.desk.Down(h.name)
		return
	}
	w.desk.Hear(h.name, in, &ans, w.now)
}

// send lets the placer's next round reach an owner.
func (w *world) send(h *host, reached, answered bool) {
	r := w.desk.Send(h.name)
	if r == nil {
		return
	}
	if !reached {
		w.rounds = append(w.rounds, lateRound{h, h.table, *r})
		return
	}
	ans := h.table.Round(*r, h.instance, w.now)
	if answered {
		w.desk.Answered(h.name, r, &ans, w.now)
	}
}

// report lets a worker report to its owner.
func (w *world) report(id string, answered bool) {
	k, p := w.workers[id], w.part(id)
	r := k.Report(w.now)
	if w.copies = append(w.copies, r); len(w.copies) > 40 {
		w.copies = w.copies[1:]
	}
	ans, ok := w.hosts[w.partHost[p]].table.Report(&r, p, w.now)
	if ok && answered {
		k.Take(ans, w.now)
	}
}

// courier carries /orders: in time, late, or without the answer.
func (w *world) courier(id string, late, answered bool) {
	t := w.hosts[w.partHost[w.part(id)]].table
	_, o := t.TakeOrders(id, w.now)
	if o == nil {
		return
	}
	if late {
		w.orders = append(w.orders, lateOrders{id, *o})
		t.Unanswered(id, o, w.now)
		return
	}
	r, _ := w.workers[id].Orders(*o, w.now)
	if answered {
		t.Answered(id, o, &r, w.now)
	} else {
		t.Unanswered(id, o, w.now)
	}
}

// tick lets time do its work: lapses, records of machines, ends of jobs.
func (w *world) tick() {
	for _, h := range w.hosts {
		for _, id := range h.table.Tick(w.now) {
			delete(w.registry, id)
			w.record(id, false)
		}
		for id, r := range h.table.Unregistered() {
			w.registry[id] = r
			w.record(id, true)
		}
	}
	for _, j := range w.desk.Ready(w.desk.teams[red]) {
		w.end(j.ID, wire.Done)
	}
	for id := range w.active {
		if j := w.desk.teams[red].jobs[id]; j != nil && j.cancelling && w.desk.Acked(id, []string{"h0", "h1"}) {
			w.end(id, wire.Cancelled)
		}
	}
}

func (w *world) end(id, phase string) {
	w.book.Keep(id, jobs.Final{Phase: phase, Team: red})
	w.ended[id] = true
	delete(w.active, id)
	w.desk.DropJob(id)
}

func (w *world) record(id string, there bool) {
	w.desk.Register(id, there)
	for _, h := range w.hosts {
		h.table.Registered(id, w.part(id), w.registry[id], there, w.now)
	}
}

// settle runs the cluster without losses for a while.
func (w *world) settle(steps int) {
	for range steps {
		w.now += 250 * clock.Millisecond
		for _, id := range w.names {
			w.report(id, true)
			w.courier(id, false, true)
		}
		w.tick()
		for _, h := range w.hosts {
			w.poll(h, false)
			w.send(h, true, true)
		}
		w.place()
		for _, h := range w.hosts {
			w.send(h, true, true)
		}
		w.check("settling")
	}
}

// check holds the rules against what the workers really run.
func (w *world) check(when string) {
	for _, h := range w.hosts {
		require.False(w.t, w.desk.owners[h.name].resync, "%s: what changed did not fit what was known", when)
	}
	on := map[string]string{}
	cpus := 0.0
	for _, id := range w.names {
		k := w.workers[id]
		k.Check(w.now)
		for _, t := range k.Tasks {
			if t.Phase == wire.TaskExited {
				continue
			}
			require.Empty(w.t, on[t.Task], "%s: %s runs on two machines", when, t.Task)
			on[t.Task] = id
			job, _, _ := wire.SplitTask(t.Task)
			if j := w.active[job]; j != nil {
				cpus += j.CPUs
			} else {
				cpus += 2
			}
		}
	}
	if w.limit == 0 {
		return
	}
	require.LessOrEqual(w.t, cpus, w.limit, "%s: the team is over its limit", when)
}

func (w *world) running() (n int) {
	for _, k := range w.workers {
		for _, t := range k.Tasks {
			if t.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

// Whatever is lost, late or repeated, and whoever crashes: no task on two
// machines, no team over its limit, and in the end every job is done.
func TestRulesHoldWhateverFails(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 20
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		w := newWorldOf(t, seed, 4, []float64{0, limitCPU}[seed%2])
		rng := w.rng
		w.settle(8)
		jobsMade := 0
		for step := range 500 {
			w.now += clock.Micros(rng.IntN(200)) * clock.Millisecond
			h := w.hosts[rng.IntN(2)]
			id := w.names[rng.IntN(len(w.names))]
			switch rng.IntN(18) {
			case 0, 1:
				w.poll(h, rng.IntN(4) == 0)
			case 2, 3:
				w.mark(rng.IntN(4) > 0, rng.IntN(4) > 0)
				w.desk.Place(w.now)
				for key, m := range w.marks { // the replica tells in the end
					w.desk.Marks(key, m.Marks, m.Stamp)
				}
			case 4, 5:
				w.send(h, rng.IntN(5) > 0, rng.IntN(4) > 0)
			case 6, 7:
				w.report(id, rng.IntN(4) > 0)
			case 8, 9:
				w.courier(id, rng.IntN(3) == 0, rng.IntN(3) > 0)
			case 10:
				if len(w.orders) > 0 {
					o := w.orders[rng.IntN(len(w.orders))]
					w.workers[o.machine].Orders(o.orders, w.now)
				}
			case 11:
				if len(w.rounds) > 0 { // a late round reaches the process it was sent to, if that lives
					if r := w.rounds[rng.IntN(len(w.rounds))]; r.h.table == r.table {
						r.table.Round(r.round, r.h.instance, w.now)
					}
				}
			case 12:
				for _, k := range w.workers[id].InOrder() {
					if k.Phase != wire.TaskExited && rng.IntN(2) == 0 {
						k.Phase, k.Cause = wire.TaskExited, []string{wire.CauseDone, wire.CauseDone, wire.CauseError}[rng.IntN(3)]
					}
				}
			case 13:
				if jobsMade < 6 {
					jobsMade++
					w.addJob(fmt.Sprintf("job-%d", jobsMade), 3+rng.IntN(8), nil)
				}
			case 14:
				switch rng.IntN(12) {
				case 0: // a controller's owner part crashes and takes its partitions anew
					w.boot(h)
					for p, at := range w.partHost {
						if w.hosts[at] == h {
							w.gain(p, at)
						}
					}
				case 1: // a partition moves
					w.gain(rng.IntN(2), rng.IntN(2))
				case 2:
					w.newDesk()
				}
			case 15:
				w.tick()
			case 16: // a copy of a report comes late, also of an earlier session
				if len(w.copies) > 0 {
					r := w.copies[rng.IntN(len(w.copies))]
					p := w.part(r.Machine)
					w.hosts[w.partHost[p]].table.Report(&r, p, w.now)
				}
			case 17:
				switch rng.IntN(20) {
				case 0: // all controllers stand still, and go on as though no time had passed
					w.now += clock.Micros(3+rng.IntN(40)) * sec
				case 1:
					if id := fmt.Sprintf("job-%d", 1+rng.IntN(6)); w.active[id] != nil {
						w.desk.Cancel(red, id)
					}
				}
			}
			w.check(fmt.Sprintf("seed %d step %d", seed, step))
		}
		for range 60 {
			w.settle(4)
			for _, k := range w.workers {
				for _, r := range k.Tasks {
					if r.Phase != wire.TaskExited {
						r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
					}
				}
			}
		}
		require.Empty(t, w.active, "seed %d: some job never ended", seed)
	}
}

// The answer to a round comes late, after a poll that shows the machine without
// the task again. The task must not stay bound for ever.
func TestAGrantThatIsOverAlreadyIsReleased(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	h := w.hosts[0]
	r := w.desk.Send(h.name)
	ans := h.table.Round(*r, h.instance, w.now)
	w.now += 5 * sec
	h.table.Tick(w.now) // the lease lapses unused
	w.poll(h, false)
	w.desk.Answered(h.name, r, &ans, w.now)
	require.Empty(t, w.desk.teams[red].jobs["job-1"].bound)
	w.settle(8)
	require.Equal(t, 1, w.running())
}

// An ask has no answer, and its machine falls silent for a lease. The machine
// may come back, and the repeated round be granted then.
func TestSilenceDoesNotReleaseAnUnansweredAsk(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	w.send(w.hosts[0], false, false)
	w.now += 2 * lease
	w.tick()
	w.poll(w.hosts[0], false)
	require.Empty(t, w.registry)
	require.Len(t, w.desk.teams[red].jobs["job-1"].bound, 1)
	w.settle(12)
	require.Equal(t, 1, w.running())
}

// A task is on a machine whose controller crashes with its start under way:
// its place is not given to another machine until that one is accounted for.
func TestAnAskWithoutAnswerIsNotMadeElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	var at *host
	for _, h := range w.hosts {
		if r := w.desk.Send(h.name); r != nil {
			at = h
			h.table.Round(*r, h.instance, w.now)
		}
	}
	p := 0
	for i, x := range w.partHost {
		if w.hosts[x] == at {
			p = i
		}
	}
	for _, id := range w.names {
		if w.part(id) == p {
			w.courier(id, true, false)
		}
	}
	w.boot(at) // the answer is lost, the process too
	w.gain(p, w.partHost[p])
	for range 4 {
		for _, h := range w.hosts {
			w.poll(h, false)
		}
		w.place()
		for _, h := range w.hosts {
			w.send(h, true, true)
		}
		for _, id := range w.names {
			if w.part(id) != p {
				w.report(id, true)
				w.courier(id, false, true)
			}
		}
		w.check("waiting")
	}
	require.Zero(t, w.running(), "it may still arrive at the first machine")
	w.settle(20)
	require.Equal(t, 1, w.running())
}

// Another process than the one that may have granted answers a round: its
// refusal proves nothing.
func TestARefusalByAnotherProcessReleasesNothing(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	for _, h := range w.hosts {
		r := w.desk.Send(h.name)
		if r == nil {
			continue
		}
		ans := peer.RoundAnswer{Incarnation: "someone else", Refused: []bool{true}}
		w.desk.Answered(h.name, r, &ans, w.now)
	}
	require.Len(t, w.desk.teams[red].jobs["job-1"].bound, 1)
	require.NotZero(t, w.desk.teams[red].used.CPU, "it counts against the limit")
}

// A new placer takes over while a machine can't be reached: old jobs wait for
// it, new ones start, and the limit counts all that it could hold.
func TestTakeOverOfATeamWaitsForUnaccountedMachines(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.settle(8)
	w.addJob("job-1", 2, nil)
	w.settle(2)
	require.Equal(t, 2, w.running())
	w.boot(w.hosts[0])
	w.newDesk()
	w.gain(0, 0) // and the machines of partition 0 are silent for now
	w.addJob("job-2", 2, nil)
	for range 5 {
		w.now += 100 * clock.Millisecond
		for _, h := range w.hosts {
			w.poll(h, false)
		}
		w.place()
		for _, h := range w.hosts {
			w.send(h, true, true)
		}
		for _, id := range []string{"m-1", "m-3"} {
			w.report(id, true)
			w.courier(id, false, true)
		}
		w.check("unaccounted")
	}
	n, held := w.desk.uncleared(w.desk.teams[red])
	require.Equal(t, 2, n)
	require.GreaterOrEqual(t, held.CPUs(), 16.0)
	require.Equal(t, 2, w.running(), "two machines of 8 CPUs may hold more than the limit of 12 leaves")
	w.settle(8)
	require.Equal(t, 4, w.running())
}

// takeOverWithoutPartition0 has a new placer take over while the first controller
// begins anew and its machines are silent. All tasks on the others, m-1 and m-3,
// are done, so that there is room, and a second goes by.
func (w *world) takeOverWithoutPartition0() {
	w.boot(w.hosts[0])
	w.newDesk()
	w.gain(0, 0)
	others := []string{"m-1", "m-3"}
	for _, id := range others {
		for _, r := range w.workers[id].InOrder() {
			r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
		}
	}
	for range 12 {
		w.now += 100 * clock.Millisecond
		for _, id := range others {
			w.report(id, true)
			w.courier(id, false, true)
		}
		for _, h := range w.hosts {
			w.poll(h, false)
		}
		w.place()
		for _, h := range w.hosts {
			w.send(h, true, true)
		}
		w.check("unaccounted")
	}
}

// A new placer takes over while a machine can't be reached. What was never
// asked for starts at once; what may have been waits.
func TestTakeOverStartsWhatWasNeverAskedFor(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.settle(8)
	w.addJob("job-1", 40, nil) // more than there is room for
	w.settle(4)
	require.Equal(t, 16, w.running())
	w.addJob("job-2", 3, nil)
	w.takeOverWithoutPartition0()
	started := map[string]int{}
	for _, id := range []string{"m-1", "m-3"} {
		for _, r := range w.workers[id].Tasks {
			if r.Phase != wire.TaskExited {
				job, _, _ := wire.SplitTask(r.Task)
				started[job]++
			}
		}
	}
	require.Equal(t, map[string]int{"job-2": 3}, started)
	w.now += 2 * lease
	w.settle(30)
	require.Greater(t, w.running(), 8, "the rest of the first job goes on once the machines are accounted for")
}

// The release before left no marks. What its placer may have asked for waits until
// all machines are accounted for, and is marked before it is asked for again.
func TestTakeOverFromAnEarlierRelease(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.settle(8)
	w.addJob("job-1", 16, nil)
	w.settle(4)
	require.Equal(t, 16, w.running())
	clear(w.marks)
	w.elder = true
	w.takeOverWithoutPartition0()
	require.Equal(t, 8, w.running(), "those of the machines that are silent, and no more")
	w.now += 2 * lease
	w.settle(30)
	require.Equal(t, 8, w.running(), "those that were lost")
	require.Equal(t, 16, w.desk.markOf(red, w.active["job-1"]))
}

// A partition moves; the former owner's last answer comes late and shows a
// machine that the new owner has never heard of, for it is gone. It does not stay.
func TestALateWordOfAFormerOwnerBringsNoMachineBack(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.settle(8)
	w.addJob("job-1", 16, nil)
	w.settle(4)
	in := peer.Poll{Gen: w.desk.owners["h0"].gen, Terms: w.desk.Terms()}
	late := w.hosts[0].table.Poll(in, w.hosts[0].instance, w.now)
	delete(w.registry, "m-0")
	w.gain(0, 1)
	w.record("m-0", false)
	w.poll(w.hosts[1], false)
	require.NotContains(t, w.desk.machines, "m-0")
	w.desk.Hear("h0", in, &late, w.now)
	for range 4 {
		w.now += sec
		w.poll(w.hosts[0], false)
		w.poll(w.hosts[1], false)
	}
	require.NotContains(t, w.desk.machines, "m-0")
	require.Len(t, w.desk.teams[red].jobs["job-1"].bound, 12)
}

// Attempt numbers of two placers never meet.
func TestAttemptsAreUniqueAcrossTakeOvers(t *testing.T) {
	w := newWorld(t, 1, 2)
	seen := map[uint64]bool{}
	for range 3 {
		w.settle(8)
		w.addJob(fmt.Sprintf("job-%d", w.term), 2, nil)
		w.place()
		for _, h := range w.hosts {
			for _, a := range w.desk.owners[h.name].next.Asks {
				require.False(t, seen[a.ID.Attempt])
				seen[a.ID.Attempt] = true
			}
		}
		w.newDesk()
	}
	require.Len(t, seen, 6)
}

// Spread and one_zone count every task that may be somewhere.
func TestZonesCountWhatMayRun(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.settle(8)
	w.addJob("job-1", 4, func(j *wire.Job) { j.Spread = true })
	w.addJob("job-2", 2, func(j *wire.Job) { j.OneZone = true })
	w.place() // nothing is sent yet: all are only asked for
	zones := map[string]int{}
	for n, b := range w.desk.teams[red].jobs["job-1"].bound {
		require.NotNil(t, b, n)
		zones[b.zone]++
	}
	require.LessOrEqual(t, zones["a"], 2)
	require.LessOrEqual(t, zones["b"], 2)
	zones = map[string]int{}
	for _, b := range w.desk.teams[red].jobs["job-2"].bound {
		zones[b.zone]++
	}
	require.Len(t, zones, 1)
}

// A withdrawal counts as taken only by owners that have it.
func TestCancelIsToldOnlyWhenOwnersHaveIt(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settle(8)
	w.addJob("job-1", 2, nil)
	w.settle(2)
	require.Equal(t, 2, w.running())
	require.True(t, w.desk.Cancel(red, "job-1"))
	hosts := []string{"h0", "h1"}
	require.False(t, w.desk.Acked("job-1", hosts))
	w.send(w.hosts[0], true, true)
	w.send(w.hosts[1], true, false) // taken, but the answer is lost
	require.False(t, w.desk.Acked("job-1", hosts))
	w.send(w.hosts[1], true, true)
	require.True(t, w.desk.Acked("job-1", hosts))
	w.settle(4)
	require.Zero(t, w.running())
}

// A job that fails everywhere backs off by itself.
func TestAFailingJobBacksOff(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.settle(8)
	w.addJob("job-1", 4, nil)
	starts := 0
	for range 40 {
		w.settle(1)
		for _, k := range w.workers {
			for _, r := range k.Tasks {
				if r.Phase != wire.TaskExited {
					r.Phase, r.Cause = wire.TaskExited, wire.CauseError
					starts++
				}
			}
		}
	}
	require.Positive(t, starts)
	require.Less(t, starts, 40, "ten seconds of failures")
	require.NotZero(t, w.desk.teams[red].jobs["job-1"].backoff)
}

// High rank takes the least work from lower rank; late work takes nothing.
func TestPreemptionTakesFromLowerRanks(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settle(8)
	w.addJob("job-1", 4, nil)
	w.settle(4)
	require.Equal(t, 4, w.running())
	due := 0.5
	w.addJob("job-2", 1, func(j *wire.Job) { j.Rank, j.DueS, j.EstimateS = "high", &due, 60 })
	w.settle(12)
	require.False(t, w.workers["m-0"].Running("job-2/0"), "it is late already")
	w.addJob("job-3", 1, func(j *wire.Job) { j.Rank = "high" })
	w.settle(12)
	require.True(t, w.workers["m-0"].Running("job-3/0"))
	require.Equal(t, 4, w.running())
}

// A job that has missed its deadline, but not yet by the longer measure that an
// objective sets, goes before one that has missed both, and after one in time.
func TestLatenessDecidesWhoseTurnItIs(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.desk.timing.Times = map[string]float64{"sweep": 1.5}
	for i, due := range []float64{10, 70, 200} { // hopeless, overdue, in time
		w.addJob(fmt.Sprintf("job-%d", i), 1, func(j *wire.Job) { j.Class, j.DueS, j.EstimateS = "sweep", &due, 10 })
	}
	w.now += 80 * sec
	var ids []string
	for _, j := range w.desk.order(w.now) {
		ids = append(ids, j.ID)
	}
	require.Equal(t, []string{"job-2", "job-1", "job-0"}, ids)
}

// The smaller rest goes first, of equal ones the earlier deadline.
func TestSmallestRestsFirst(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.settle(8)
	for i, due := range []float64{900, 1000, 800} {
		w.addJob(fmt.Sprintf("job-%d", i), []int{20, 2, 20}[i], func(j *wire.Job) { j.DueS, j.EstimateS = &due, 10 })
	}
	var ids []string
	for _, j := range w.desk.order(w.now) {
		ids = append(ids, j.ID)
	}
	require.Equal(t, []string{"job-1", "job-2", "job-0"}, ids)
}

// Guaranteed work of low rank that is placed bit by bit takes nothing from work
// of higher rank; only when nothing of it finds room for most of the
// guarantee's time it does.
func TestATrickleOfRoomKeepsAGuarantee(t *testing.T) {
	for _, trickle := range []bool{true, false} {
		w := newWorldOf(t, 1, 2, 0)
		w.desk.timing.Guarantee = 5 * sec
		blue := &team{Team: Team{Name: "blue", Guarantee: res.Have(100, 0, 0)}, term: 1, jobs: map[string]*job{},
			cleared: map[string]bool{}, strange: map[string]bool{}}
		j := &job{Job: jobs.New(jobs.Record{Job: wire.Job{ID: "job-9", Team: "blue", Rank: "normal", Tasks: 50, CPUs: 2, MemGB: 1, Spot: true}}, 1),
			team: blue, covered: true, mark: 50, since: w.now, bound: map[int]*binding{}, zones: map[string]int{}, done: make([]uint64, 1)}
		w.settle(8)
		w.addJob("job-1", 8, func(j *wire.Job) { j.Rank = "high" })
		w.settle(4)
		require.Equal(t, 8, w.running())
		taken := false
		for step := range 40 {
			w.now += 250 * clock.Millisecond
			w.desk.full = full{}
			if trickle && step%4 == 0 {
				m := w.desk.machines["m-0"]
				m.free = j.Need // a task of others has ended
				w.desk.index(m)
			}
			w.desk.placeJob(j, 1, w.now)
			for _, o := range w.desk.owners {
				for _, a := range o.next.Asks {
					taken = taken || a.Over
				}
				o.next = peer.Round{}
			}
		}
		require.Equal(t, !trickle, taken)
	}
}

// Two jobs with an image each come to machines that have neither: each machine
// fetches one image, and the tasks of a job stay together.
func TestImagesAreFetchedApart(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.settle(8)
	w.desk.SetFetch(map[string]float64{"big": 0.25})
	w.desk.timing.Waits = map[string]clock.Micros{"rescore": 4 * sec}
	for i := range 2 {
		w.addJob(fmt.Sprintf("job-%d", i), 3, func(j *wire.Job) { j.Class, j.Image, j.ImageGB = "rescore", fmt.Sprintf("img-%d", i), 2 })
	}
	w.addJob("job-9", 1, func(j *wire.Job) { j.CPUs, j.Zone = 8, "nowhere" }) // something large is about
	w.place()
	images := map[string]map[string]bool{}
	for id, m := range w.desk.machines {
		for _, b := range m.bound {
			if images[id] == nil {
				images[id] = map[string]bool{}
			}
			images[id][b.job.Image] = true
		}
	}
	require.Len(t, images, 2)
	for _, i := range images {
		require.Len(t, i, 1)
	}
}

// Where thrift is in order, a job leaves the last bit of room that lacks its
// image to others for as long as a fetch would take; then it takes it.
func TestThriftWaitsForAnImage(t *testing.T) {
	w := newWorldOf(t, 1, 10, 0)
	w.desk.timing.Economy = true
	w.desk.SetFetch(map[string]float64{"big": 0.5})
	w.settle(8)
	image := func(j *wire.Job) { j.Image, j.ImageGB = "img-1", 2 }
	w.addJob("job-1", 1, func(j *wire.Job) { image(j); j.CPUs = 8 }) // one machine has the image, and is full
	w.settle(4)
	w.addJob("job-2", 35, nil) // the others have room for one task
	w.settle(4)
	require.Equal(t, 36, w.running())
	w.addJob("job-3", 1, image)
	began := w.now
	for len(w.desk.teams[red].jobs["job-3"].bound) == 0 && w.now < began+20*sec {
		w.settle(1)
	}
	require.InDelta(t, 4, (w.now - began).Seconds(), 0.6)
}

// Jobs that could not be in time if a machine were taken from them keep to those
// that are not taken; the others leave those to them.
func TestFragileJobsKeepToOrdinaryMachines(t *testing.T) {
	for _, thrift := range []bool{false, true} {
		w := newWorldOf(t, 1, 4, 0)
		w.desk.timing.Economy, w.desk.timing.Lease = thrift, 20*sec
		w.desk.timing.Finishes = map[string]clock.Micros{"refit": 30 * sec}
		w.workers["m-0"].Spot, w.workers["m-3"].Spot = true, true
		w.settle(8)
		due := 500.0
		w.addJob("job-1", 1, func(j *wire.Job) { j.CPUs, j.EstimateS, j.DueS = 8, 10, &due })
		w.addJob("job-2", 4, func(j *wire.Job) { j.Class, j.EstimateS, j.CPUs = "refit", 10, 1 })
		w.settle(4)
		for _, id := range w.names {
			for _, r := range w.workers[id].Tasks {
				job, _, _ := wire.SplitTask(r.Task)
				require.Equal(t, job == "job-1", w.workers[id].Spot, "%s on %s", r.Task, id)
			}
		}
		require.Equal(t, 5, w.running())
	}
}

// Urgent work takes all room there is, for as long as it likes; a large job of
// low rank begins all the same.
func TestNoJobWaitsForEverToBegin(t *testing.T) {
	w := newWorldOf(t, 1, 2, 0)
	w.settle(8)
	w.addJob("job-1", 500, func(j *wire.Job) { j.Rank = "high" })
	w.settle(4)
	w.addJob("job-2", 100, nil)
	begun := func() bool { return w.desk.teams[red].jobs["job-2"].begun() }
	for range 4 * 160 {
		if begun() {
			break
		}
		w.settle(1)
		for _, id := range w.names { // a task ends now and then
			for _, r := range w.workers[id].InOrder() {
				if r.Phase != wire.TaskExited && w.rng.IntN(80) == 0 {
					r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
				}
			}
		}
	}
	require.True(t, begun())
	require.Less(t, w.now-w.desk.teams[red].jobs["job-2"].since, 240*sec)
}

// Room for a large job of high rank comes up bit by bit. It does not wait for
// that: it takes room from lower rank as soon as it has waited its time.
func TestATrickleOfRoomDoesNotPutPreemptionOff(t *testing.T) {
	w := newWorldOf(t, 1, 4, 0)
	w.settle(8)
	w.addJob("job-1", 16, nil)
	w.settle(4)
	require.Equal(t, 16, w.running())
	w.addJob("job-2", 12, func(j *wire.Job) { j.Rank = "high" })
	for step := range 8 {
		for _, r := range w.workers[w.names[step%4]].InOrder() { // a task ends in every round
			if r.Phase != wire.TaskExited {
				r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
				break
			}
		}
		w.settle(1)
	}
	high := 0
	for _, k := range w.workers {
		for _, r := range k.Tasks {
			if job, _, _ := wire.SplitTask(r.Task); job == "job-2" {
				high++
			}
		}
	}
	require.Equal(t, 12, high)
}

// Tasks take twice as long on one machine as on others: it is set aside. Where
// run times only vary, none is.
func TestSlowMachinesAreSetAside(t *testing.T) {
	for _, slow := range []bool{true, false} {
		w := newWorldOf(t, 1, 2, 0)
		w.settle(8)
		for i := range 6 {
			w.addJob(fmt.Sprintf("job-%d", i), 12, nil)
		}
		began := map[string]int{}
		for step := range 200 {
			w.settle(1)
			for _, id := range w.names {
				for _, k := range w.workers[id].InOrder() {
					if _, ok := began[k.Task]; !ok {
						began[k.Task] = step
					}
					lasts := 7 + step%4
					if slow && id == "m-1" {
						lasts = 18
					}
					if k.Phase != wire.TaskExited && step-began[k.Task] >= lasts {
						k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
					}
				}
			}
		}
		require.Equal(t, slow, w.desk.machines["m-1"].Sick)
		require.False(t, w.desk.machines["m-0"].Sick)
	}
}

// Records of progress cover as many tasks as fit; each is read by the size it names.
func TestRecordsOfProgressNameTheirSize(t *testing.T) {
	require.Equal(t, ChunkTasks, chunkTasks(7372))
	require.Zero(t, chunkTasks(100)%64)
	require.LessOrEqual(t, base64.StdEncoding.EncodedLen(chunkTasks(700)/8)+2, 700)
	for _, c := range []chunkID{{0, ChunkTasks}, {3, ChunkTasks}, {7, 4096}} {
		got, ok := parseChunk(c.String())
		require.True(t, ok)
		require.Equal(t, c, got)
	}
	require.Equal(t, "3", chunkID{3, ChunkTasks}.String(), "as ever")
	for _, odd := range []string{"", "x", "1.", "1.7", "-1", "1.-8"} {
		_, ok := parseChunk(odd)
		require.False(t, ok, odd)
	}
	w := newWorldOf(t, 1, 4, 0)
	w.desk.Progress("job-1", chunkID{1, 8}, []byte{0b101}, 1)
	w.addJob("job-1", 20, nil)
	j := w.desk.teams[red].jobs["job-1"]
	require.Equal(t, 2, j.doneCount)
	require.True(t, j.isDone(8) && j.isDone(10))
}

// What a round of decisions and a poll cost does not grow with machines that are
// not touched: neither those with room nor those without.
func TestTheWorkOfARoundDoesNotGrowWithTheFleet(t *testing.T) {
	work := func(machines int) (looked, told int) {
		w := newWorldOf(t, 9, machines, 0)
		w.settle(8)
		w.addJob("job-1", 6, nil)
		before := w.desk.counts.Looked
		w.place()
		looked = w.desk.counts.Looked - before
		require.Len(t, w.desk.teams[red].jobs["job-1"].bound, 6)
		for _, h := range w.hosts {
			w.send(h, true, true)
			in := w.desk.Cursor(h.name)
			ans := h.table.Poll(in, h.instance, w.now)
			told += len(ans.Machines)
			w.desk.Hear(h.name, in, &ans, w.now)
		}
		// A job for which no machine is large enough searches none of them.
		w.addJob("job-2", 1, func(j *wire.Job) { j.CPUs = 64 })
		before = w.desk.counts.Looked
		w.place()
		require.Equal(t, before, w.desk.counts.Looked)
		return looked, told
	}
	smallLooked, smallTold := work(60)
	largeLooked, largeTold := work(1800)
	require.LessOrEqual(t, largeLooked, smallLooked+12, "machines looked at")
	require.LessOrEqual(t, largeTold, 6, "machines told of")
	require.LessOrEqual(t, smallTold, 6)
}
