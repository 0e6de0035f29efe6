// Package placer is the duty of holding teams: it places all tasks of their
// jobs, keeps their limits, and alone writes their jobs' records after acceptance.
//
// Desk is the decision, plain code that takes the time; Placer does the I/O.
package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/res"
	"github.com/merlinlatch/merlinlatch/wire"
)

// ChunkTasks is how many tasks one record of progress covers.
const ChunkTasks = 32768

// Timing and sizes of placing.
type Timing struct {
	Sample, Batch int
	PreemptAfter  clock.Micros
	Economy       bool
	Waits         map[string]clock.Micros // classes whose tasks should start within so long
}

// Team is a team's guarantee and limit.
type Team struct {
	Name      string
	Guarantee res.Amounts
	Limit     res.Amounts // an amount of 0 means none
}

type team struct {
	Team
	term    uint64
	stamp   uint64
	counter uint64
	used    res.Amounts
	jobs    map[string]*job
	cleared map[string]bool // machines known to hold no task unknown here
}

type job struct {
	*jobs.Job
	team       *team
	old        bool // accepted before this term
	next       int  // tasks from here on were never queued
	queue      []int
	done       []uint64 // bits
	doneCount  int
	bound      map[int]*binding
	zones      map[string]int
	cancelling bool
	uncertain  bool // its final record may have been written
	finishing  bool
	dirty      map[int]bool           // chunks to be written
	unsettled  map[peer.TaskID]ending // ended as done, not written yet
	acked      map[peer.TaskID]uint64 // ends settled with the owner of that term
	stalled    clock.Micros
	covered    bool // fits its team's guarantee together with the team's earlier jobs
	since      clock.Micros
	runs       []runTime
	errors     int
	again      int          // tasks placed once more
	lastStart  clock.Micros // when its last task was first seen running
	failedOn   map[string]clock.Micros
	backoff    clock.Micros
}

type binding struct {
	id       peer.TaskID
	job      *job
	machine  string
	host     string
	zone     string
	term     uint64 // of the machine's partition when asked
	asked    bool   // no answer yet
	version  uint64 // of the machine's view when granted
	instance string
	phase    string
	stray    bool // ran although not wanted here: only counted, and stopped
	stopping bool
	since    clock.Micros
	running  clock.Micros // when it was first seen running
}

// runTime is how long a task ran, and where.
type runTime struct {
	machine string
	took    clock.Micros
}

// ending is where a task has ended.
type ending struct{ machine string }

type mirror struct {
	peer.MachineView
	host     string
	instance string
	free     res.Amounts // what it shows, less what was asked for since
	bound    map[peer.TaskID]*binding
	seenAt   clock.Micros
	pace     float64 // sum of run times against those of the same jobs elsewhere
	paced    int
	slow     bool
}

type ownerState struct {
	instance string
	cursor   uint64
	gen      uint64 // grows with every process met
	parts    map[int]uint64
	fenced   map[string]uint64
	seq      uint64
	sending  *peer.Round
	sentTo   string // instance that the round was made for
	next     peer.Round
	up       bool
}

// SetFetch tells how fast machine types fetch images, in GB a second.
func (d *Desk) SetFetch(rates map[string]float64) { d.fetch = rates }

// Counts is what happened since the start, for the logs.
type Counts struct{ Placed, Refused, Preempted, Done, Stopped, Failed, Lost int }

// Desk holds the teams that this controller places, and mirrors all owners' machines.
type Desk struct {
	timing   Timing
	instance string
	known    map[string]Team
	teams    map[string]*team
	machines map[string]*mirror
	owners   map[string]*ownerState
	registry map[string]bool
	progress map[string]map[int][]byte
	rng      *rand.Rand
	acks     map[string]map[string]bool // job: hosts that took its cancellation
	wall     func() int64               // time of day in ms, good to the settings' bound
	fetch    map[string]float64         // GB a second by machine type
	big      int64                      // CPUs of the largest task about
	counts   Counts
}

// NewDesk makes an empty desk.
func NewDesk(t Timing, instance string, teams []Team, hosts []string, seed uint64, wall func() int64) *Desk {
	d := &Desk{timing: t, instance: instance, known: map[string]Team{}, teams: map[string]*team{}, machines: map[string]*mirror{},
		owners: map[string]*ownerState{}, registry: map[string]bool{}, progress: map[string]map[int][]byte{},
		rng: rand.New(rand.NewPCG(seed, 1)), acks: map[string]map[string]bool{}, wall: wall}
	for _, tm := range teams {
		d.known[tm.Name] = tm
	}
	for _, h := range hosts {
		d.owners[h] = &ownerState{parts: map[int]uint64{}, fenced: map[string]uint64{}}
	}
	return d
}

// Gain takes a team over, with its active jobs.
func (d *Desk) Gain(name string, term, stamp uint64, active []*jobs.Job, now clock.Micros) {
	d.Lose(name)
	tm := &team{Team: d.known[name], term: term, stamp: stamp, jobs: map[string]*job{}, cleared: map[string]bool{}}
	d.teams[name] = tm
	for _, j := range active {
		d.addJob(tm, j, now)
	}
	for _, o := range d.owners {
		delete(o.fenced, name)
	}
}

// Lose gives a team up.
func (d *Desk) Lose(name string) {
	tm := d.teams[name]
	if tm == nil {
		return
	}
	delete(d.teams, name)
	for _, m := range d.machines {
		for id, b := range m.bound {
			if b.job.team == tm {
				delete(m.bound, id)
			}
		}
		d.refree(m)
	}
	for _, o := range d.owners {
		strip(&o.next, tm)
	}
}

// strip takes a lost team's words out of a round that was not sent yet.
func strip(r *peer.Round, tm *team) {
	r.Asks = slices.DeleteFunc(r.Asks, func(a peer.Ask) bool { return a.Team == tm.Name })
	r.Stops = slices.DeleteFunc(r.Stops, func(s peer.Stop) bool { return tm.jobs[s.ID.Job] != nil })
	r.Settles = slices.DeleteFunc(r.Settles, func(s peer.Settle) bool { return tm.jobs[s.ID.Job] != nil })
	r.Cancels = slices.DeleteFunc(r.Cancels, func(id string) bool { return tm.jobs[id] != nil })
}

// Summary gives the counts, and how many tasks wait and are bound.
func (d *Desk) Summary() (c Counts, waiting, bound int) {
	for _, tm := range d.teams {
		for _, j := range tm.jobs {
			waiting += j.waiting()
			bound += len(j.bound)
		}
	}
	return d.counts, waiting, bound
}

// Terms gives the teams held and their terms.
func (d *Desk) Terms() map[string]uint64 {
	out := make(map[string]uint64, len(d.teams))
	for n, t := range d.teams {
		out[n] = t.term
	}
	return out
}

// AddJob takes an active job of a team that is held.
func (d *Desk) AddJob(j *jobs.Job, now clock.Micros) {
	if tm := d.teams[j.Team]; tm != nil && tm.jobs[j.ID] == nil {
		d.addJob(tm, j, now)
	}
}

func (d *Desk) addJob(tm *team, spec *jobs.Job, now clock.Micros) {
	j := &job{Job: spec, team: tm, old: spec.Stamp < tm.stamp, done: make([]uint64, (spec.Tasks+63)/64), bound: map[int]*binding{},
		zones: map[string]int{}, dirty: map[int]bool{}, failedOn: map[string]clock.Micros{},
		unsettled: map[peer.TaskID]ending{}, acked: map[peer.TaskID]uint64{}, since: now}
	if spec.AcceptedMS > 0 {
		j.since = now - clock.Micros(max(0, d.wall()-spec.AcceptedMS))*clock.Millisecond
	}
	for chunk, bits := range d.progress[spec.ID] {
		for i, b := range bits {
			for k := range 8 {
				if n := chunk*ChunkTasks + i*8 + k; b&(1<<k) != 0 && n < spec.Tasks {
					j.markDone(n)
				}
			}
		}
	}
	clear(j.dirty)
	tm.jobs[spec.ID] = j
}

// DropJob takes note that a job is final.
func (d *Desk) DropJob(id string) {
	delete(d.progress, id)
	for _, tm := range d.teams {
		if j := tm.jobs[id]; j != nil {
			delete(tm.jobs, id)
			d.judge(j)
			for _, b := range j.bound {
				b.stray = true
			}
		}
	}
}

// Progress takes a record of completed tasks.
func (d *Desk) Progress(id string, chunk int, bits []byte) {
	if d.progress[id] == nil {
		d.progress[id] = map[int][]byte{}
	}
	d.progress[id][chunk] = bits
}

// DropProgress takes note that a record of completed tasks is gone.
func (d *Desk) DropProgress(id string, chunk int) { delete(d.progress[id], chunk) }

// Register takes note of a machine's record.
func (d *Desk) Register(id string, there bool) {
	if there {
		d.registry[id] = true
		return
	}
	delete(d.registry, id)
	if m := d.machines[id]; m != nil {
		d.forgetSilent(m)
	}
}

// forgetSilent drops a machine that fell silent and has no record any more.
// An ask that has no answer yet stays bound: the machine may come back with a
// new session, and the ask be granted then.
func (d *Desk) forgetSilent(m *mirror) {
	if m.Silent && !d.registry[m.ID] && len(m.bound) == 0 {
		delete(d.machines, m.ID)
	}
}

// forgetMachine drops a machine that is gone for certain, with all asks for it.
func (d *Desk) forgetMachine(m *mirror) {
	for _, b := range m.inOrder() {
		d.release(b)
	}
	delete(d.machines, m.ID)
}

// inOrder lists a machine's bindings in a fixed order.
func (m *mirror) inOrder() []*binding {
	out := make([]*binding, 0, len(m.bound))
	for _, b := range m.bound {
		out = append(out, b)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id.Attempt < out[b].id.Attempt })
	return out
}

func (j *job) isDone(n int) bool { return j.done[n/64]&(1<<(n%64)) != 0 }

func (j *job) markDone(n int) {
	if !j.isDone(n) {
		j.done[n/64] |= 1 << (n % 64)
		j.doneCount++
		j.dirty[n/ChunkTasks] = true
	}
}

// chunk gives the bits of one record of progress.
func (j *job) chunk(c int) []byte {
	lo, hi := c*ChunkTasks, min((c+1)*ChunkTasks, j.Tasks)
	out := make([]byte, (hi-lo+7)/8)
	for n := lo; n < hi; n++ {
		if j.isDone(n) {
			out[(n-lo)/8] |= 1 << ((n - lo) % 8)
		}
	}
	return out
}

// waiting is how many tasks are neither done nor bound.
func (j *job) waiting() int { return max(0, j.Tasks-j.doneCount-len(j.bound)) }

// take gives the next task to place, -1 for none. Tasks that are bound or done are skipped.
func (j *job) take() int {
	for len(j.queue) > 0 {
		n := j.queue[0]
		j.queue = j.queue[1:]
		if !j.isDone(n) && j.bound[n] == nil {
			return n
		}
	}
	for j.next < j.Tasks {
		n := j.next
		j.next++
		if !j.isDone(n) && j.bound[n] == nil {
			return n
		}
	}
	return -1
}

func (d *Desk) refree(m *mirror) {
	m.free = m.Free
	for _, b := range m.bound {
		if b.asked {
			m.free = m.free.Minus(b.job.Need)
		}
	}
}

// bind counts a task as being, or possibly being, on a machine.
func (d *Desk) bind(b *binding, m *mirror) {
	m.bound[b.id] = b
	b.job.team.used = b.job.team.used.Plus(b.job.Need)
	b.job.zones[b.zone]++
	if !b.stray {
		b.job.bound[b.id.N] = b
	}
}

// release takes note that a task is gone from its machine for certain.
func (d *Desk) release(b *binding) {
	if m := d.machines[b.machine]; m != nil {
		if m.bound[b.id] != b {
			return
		}
		delete(m.bound, b.id)
	}
	j := b.job
	j.team.used = j.team.used.Minus(j.Need)
	j.zones[b.zone]--
	if j.bound[b.id.N] == b {
		delete(j.bound, b.id.N)
		if !j.isDone(b.id.N) {
			j.queue = append(j.queue, b.id.N)
		}
	}
}

// Cursor gives the next poll for an owner. When a team's term is new to it,
// everything is asked for, so that the answer is given under that term's fence.
func (d *Desk) Cursor(host string) peer.Poll {
	o := d.owners[host]
	in := peer.Poll{Incarnation: o.instance, Cursor: o.cursor, Terms: d.Terms(), Gen: o.gen}
	for t, term := range in.Terms {
		if o.fenced[t] != term {
			in.Incarnation = ""
		}
	}
	return in
}

// Hear takes an owner's answer to a poll.
func (d *Desk) Hear(host string, in peer.Poll, ans *peer.PollAnswer, now clock.Micros) {
	o := d.owners[host]
	o.up = true
	if ans.Incarnation != o.instance {
		if in.Gen != o.gen || !ans.Full {
			return // asked before the present process was met: the word of a former one
		}
		d.meet(o, ans.Incarnation)
	}
	if ans.Cursor < o.cursor {
		return // an answer older than one taken already
	}
	o.cursor, o.parts = ans.Cursor, ans.Parts
	if ans.Full {
		for t, term := range in.Terms {
			if tm := d.teams[t]; tm != nil && tm.term == term {
				o.fenced[t] = term
			}
		}
	}
	for i := range ans.Machines {
		d.see(host, o, &ans.Machines[i], now)
	}
	for _, m := range d.machines {
		switch held := o.parts[m.Part]; {
		case held > m.Term:
			// This owner took over later than the view was made, has told all
			// machines that it found registered, and this one is not among
			// them: its record was dropped, so it was gone for certain.
			d.forgetMachine(m)
		case m.host == host && held != m.Term:
			m.Usable = false
		}
	}
}

// meet notes the instance of an owner's process. A round that was on its way to
// a former process is over: what it asked for is settled by the machines' next owner.
func (d *Desk) meet(o *ownerState, instance string) {
	o.fenced = map[string]uint64{}
	o.parts = map[int]uint64{}
	o.cursor = 0
	o.instance = instance
	o.gen++
}

// Down notes that an owner can't be reached now.
func (d *Desk) Down(host string) { d.owners[host].up = false }

// see takes one machine's view and settles with it what it can.
func (d *Desk) see(host string, o *ownerState, v *peer.MachineView, now clock.Micros) {
	m := d.machines[v.ID]
	if m == nil {
		if v.Silent && !d.registry[v.ID] {
			return
		}
		m = &mirror{bound: map[peer.TaskID]*binding{}}
		d.machines[v.ID] = m
	} else if v.Term < m.Term || v.Term == m.Term && m.instance == o.instance && v.Version < m.Version {
		return
	}
	m.MachineView, m.host, m.instance, m.seenAt = *v, host, o.instance, now
	if v.Accounted {
		d.reconcile(o, m, now)
	}
	d.refree(m)
	d.forgetSilent(m)
}

// reconcile compares the tasks on an accounted machine with what is known of them.
func (d *Desk) reconcile(o *ownerState, m *mirror, now clock.Micros) {
	listed := map[peer.TaskID]bool{}
	for i := range m.Tasks {
		tv := &m.Tasks[i]
		tm := d.teams[tv.Team]
		if tm == nil {
			continue
		}
		listed[tv.ID] = true
		j := tm.jobs[tv.ID.Job]
		b := m.bound[tv.ID]
		if b == nil {
			if j == nil || o.fenced[tm.Name] != tm.term || tv.ID.N >= j.Tasks {
				continue // the owner ends what belongs to no active job
			}
			if tv.Phase != wire.TaskExited {
				b = &binding{id: tv.ID, job: j, machine: m.ID, host: m.host, zone: m.Zone, term: m.Term, version: m.Version,
					instance: m.instance, since: now - tv.Since}
				b.stray = j.isDone(tv.ID.N) || j.bound[tv.ID.N] != nil || j.cancelling
				d.bind(b, m)
				if b.stray {
					d.stop(b, 0)
				}
			}
		}
		if tv.Phase == wire.TaskExited {
			d.exited(j, b, m, tv, now)
			continue
		}
		if b != nil {
			if tv.Phase == wire.TaskRunning && b.phase != wire.TaskRunning {
				b.job.lastStart, b.running = now, now
			}
			b.phase, b.stopping = tv.Phase, tv.Stopping
		}
	}
	for _, b := range m.inOrder() {
		if listed[b.id] {
			continue
		}
		// Not there. That is certain when the view is newer than the grant, or
		// comes from a later owner, to whom the ask can't be granted any more.
		if m.Term > b.term || !b.asked && (m.instance != b.instance || m.Version >= b.version) {
			d.counts.Lost++
			b.job.again++
			d.release(b)
		}
	}
	for name, tm := range d.teams {
		if o.fenced[name] == tm.term {
			tm.cleared[m.ID] = true
		}
	}
}

// exited takes the end of a task.
func (d *Desk) exited(j *job, b *binding, m *mirror, tv *peer.TaskView, now clock.Micros) {
	if j == nil {
		if b != nil {
			d.release(b)
		}
		return
	}
	n := tv.ID.N
	if tv.Cause == wire.CauseDone {
		if !j.isDone(n) {
			d.counts.Done++
			if b != nil && b.running != 0 && len(j.runs) < 500 {
				j.runs = append(j.runs, runTime{m.ID, now - b.running})
			}
		}
		j.markDone(n)
		j.errors = 0
		if j.acked[tv.ID] != m.Term {
			j.unsettled[tv.ID] = ending{m.ID}
		}
		if other := j.bound[n]; other != nil && other != b {
			other.stray = true
			delete(j.bound, n)
			d.stop(other, 0)
		}
	} else {
		if b != nil {
			j.again++
		}
		switch {
		case b == nil:
		case tv.Cause == wire.CauseStopped:
			d.counts.Stopped++
		default:
			d.counts.Failed++
			j.fail(m.ID, now)
		}
		if j.acked[tv.ID] != m.Term {
			d.settle(j, tv.ID, m.ID)
		}
	}
	if b != nil {
		d.release(b)
	}
}

// A machine is slow when its tasks take so many times as long as others of the
// same jobs, over so many tasks. Machines differ by a tenth, tasks by more.
const (
	slowPace  = 1.6
	slowTasks = 5
)

// judge compares how long a finished job's tasks ran on each machine with how
// long they ran on the others, and has a machine set aside on which tasks take much
// longer. A job is judged only as a whole: those of its tasks that are done
// first are the short ones.
func (d *Desk) judge(j *job) {
	if len(j.runs) < 4 || j.doneCount < j.Tasks {
		return
	}
	var all clock.Micros
	sum, count := map[string]clock.Micros{}, map[string]int{}
	for _, r := range j.runs {
		all += r.took
		sum[r.machine] += r.took
		count[r.machine]++
	}
	for _, r := range j.runs {
		m := d.machines[r.machine]
		others := len(j.runs) - count[r.machine]
		if m == nil || m.slow || others < 2 {
			continue
		}
		mean := max(((all - sum[r.machine]) / clock.Micros(others)).Seconds(), 0.1)
		if m.paced == 20 { // old news fade
			m.pace, m.paced = m.pace/2, 10
		}
		m.pace += min(r.took.Seconds()/mean, 4)
		m.paced++
		if m.paced >= slowTasks && m.pace > slowPace*float64(m.paced) {
			m.slow = true
			o := d.owners[m.host]
			o.next.Slow = append(o.next.Slow, m.ID)
		}
	}
}

// fail lets a job that fails keep off the machine, and back off by itself when
// it fails on many: it must not keep drawing the room that it frees.
func (j *job) fail(machine string, now clock.Micros) {
	j.errors++
	j.failedOn[machine] = now + 20*clock.Second
	if len(j.failedOn) >= 3 || j.errors > 3*max(1, len(j.bound)) {
		j.backoff = now + min(clock.Second<<min(j.errors/2, 6), 30*clock.Second)
	}
}

// settle tells a machine's owner that the end of a task is taken note of.
func (d *Desk) settle(j *job, id peer.TaskID, machine string) {
	m := d.machines[machine]
	if m == nil {
		return
	}
	o := d.owners[m.host]
	o.next.Settles = append(o.next.Settles, peer.Settle{ID: id, Machine: machine})
	j.acked[id] = m.Term
}

func (d *Desk) stop(b *binding, grace float64) {
	if m := d.machines[b.machine]; m != nil {
		o := d.owners[m.host]
		o.next.Stops = append(o.next.Stops, peer.Stop{ID: b.id, Machine: b.machine, GraceS: grace})
	}
	b.stopping = true
}

// uncleared lists how much of a team's work machines could hold that are not accounted for.
func (d *Desk) uncleared(tm *team) (n int, room res.Amounts) {
	for id := range d.registry {
		if tm.cleared[id] {
			continue
		}
		n++
		if m := d.machines[id]; m != nil && m.Cap.CPU > 0 {
			room = room.Plus(m.Cap)
		} else {
			room = room.Plus(d.largest())
		}
	}
	return n, room
}

// largest is the most that any machine seen offers.
func (d *Desk) largest() res.Amounts {
	out := res.Amounts{CPU: 1e9, GPU: 0, Mem: 1e9} // a thousand CPUs, before any was seen
	seen := false
	for _, m := range d.machines {
		if !seen {
			out, seen = m.Cap, true
			continue
		}
		out = res.Amounts{CPU: max(out.CPU, m.Cap.CPU), GPU: max(out.GPU, m.Cap.GPU), Mem: max(out.Mem, m.Cap.Mem)}
	}
	return out
}

func within(a, limit res.Amounts) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) && (limit.GPU == 0 || a.GPU <= limit.GPU)
}

func (j *job) due() clock.Micros {
	if j.DueS == nil {
		return math.MaxInt64
	}
	return j.since + clock.FromSeconds(*j.DueS)
}

// cover marks the jobs that are within the team's guarantee: each fits there
// together with the team's earlier unfinished jobs.
func (tm *team) cover() {
	if tm.Guarantee.CPU == 0 && tm.Guarantee.GPU == 0 {
		return
	}
	list := make([]*job, 0, len(tm.jobs))
	for _, j := range tm.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Stamp < list[b].Stamp })
	var sum res.Amounts
	for _, j := range list {
		sum = sum.Plus(j.Need.Times(int64(j.Tasks)))
		j.covered = sum.CPU <= tm.Guarantee.CPU && sum.GPU <= tm.Guarantee.GPU
	}
}

// order sorts the jobs that have tasks to place: what can still meet its
// deadline first, by rank, guarantee, deadline and age; then what is late, the
// longest tasks first.
func (d *Desk) order(now clock.Micros) []*job {
	var out []*job
	for _, tm := range d.teams {
		tm.cover()
		for _, j := range tm.jobs {
			if !j.cancelling && !j.finishing && j.waiting() > 0 && now >= j.backoff {
				out = append(out, j)
			}
		}
	}
	over := d.overloaded(out, now)
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		lx, ly := x.late(now), y.late(now)
		if lx != ly {
			return ly
		}
		if lx && x.EstimateS != y.EstimateS {
			return x.EstimateS > y.EstimateS // nothing is left to be in time for but the end of all
		}
		if x.Level != y.Level {
			return x.Level > y.Level
		}
		if x.covered != y.covered {
			return x.covered
		}
		if hx, hy := d.fresh(x, now), d.fresh(y, now); over[x.Level] && hx != hy {
			return hx
		}
		if u, v := x.remaining(), y.remaining(); over[x.Level] && x.DueS != nil && y.DueS != nil && u != v {
			return u < v
		}
		if x.due() != y.due() {
			return x.due() < y.due()
		}
		return x.Stamp < y.Stamp
	})
	return out
}

// overloaded tells the ranks of which not all jobs can be in time: what waits
// is more than the machines can do in the time that is left. There, what can
// still start in time goes first and then the smallest rests, so that most
// jobs are in time. Other placers' teams are taken to wait alike.
func (d *Desk) overloaded(list []*job, now clock.Micros) (over [4]bool) {
	var work, slack [4]float64
	for _, j := range list {
		if j.DueS != nil && !j.late(now) {
			work[j.Level] += j.remaining()
			slack[j.Level] += j.remaining() * (j.due() - now).Seconds()
		}
	}
	room := 0.0
	for _, m := range d.machines {
		if m.Usable {
			room += m.Cap.CPUs()
		}
	}
	for l := range over {
		over[l] = work[l]*work[l]*float64(len(d.known)) > room*slack[l]*float64(len(d.teams))
	}
	return over
}

// fresh tells that the tasks of a job can still start within their class's time.
func (d *Desk) fresh(j *job, now clock.Micros) bool {
	within, ok := d.timing.Waits[j.Class]
	return ok && now <= j.since+within
}

// remaining is the work of a job that waits, in CPU seconds.
func (j *job) remaining() float64 {
	return float64(j.waiting()) * j.Need.CPUs() * max(j.EstimateS, 1)
}

// late tells that a job can't meet its deadline any more.
func (j *job) late(now clock.Micros) bool {
	return j.DueS != nil && now+clock.FromSeconds(j.EstimateS*0.7) > j.due()
}

// Place decides on asks for one round of decisions. What it decides waits in
// the owners' next rounds. The batch widens with what waits.
func (d *Desk) Place(now clock.Micros) (placed int) {
	list := d.order(now)
	waiting := 0
	for _, j := range list {
		waiting += j.waiting()
	}
	batch := d.timing.Batch + waiting/4
	d.big = d.largestTask(list)
	room := d.withRoom()
	for _, j := range list {
		if placed >= batch {
			break
		}
		placed += d.placeJob(j, room, batch-placed, now)
	}
	return placed
}

// withRoom lists the machines that last showed room.
func (d *Desk) withRoom() []*mirror {
	var out []*mirror
	for _, m := range d.machines {
		o := d.owners[m.host]
		if m.Usable && o.up && o.instance == m.instance && o.parts[m.Part] == m.Term && m.free.CPU >= 0 && m.free.Mem > 0 {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *mirror) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (d *Desk) placeJob(j *job, room []*mirror, most int, now clock.Micros) (placed int) {
	n, held := d.uncleared(j.team)
	if j.old && n > 0 {
		return 0 // its tasks may be on a machine that is not accounted for
	}
	for placed < most {
		if !within(j.team.used.Plus(held).Plus(j.Need), j.team.Limit) {
			d.makeWay(j, held, now)
			return placed
		}
		t := j.take()
		if t < 0 {
			return placed
		}
		m, victims, over := d.choose(j, room, now)
		if m == nil {
			j.queue = append([]int{t}, j.queue...)
			if j.stalled == 0 {
				j.stalled = now
			}
			return placed
		}
		j.stalled = 0
		j.team.counter++
		d.counts.Placed++
		d.counts.Preempted += len(victims)
		b := &binding{id: peer.TaskID{Job: j.ID, N: t, Attempt: j.team.term<<32 | j.team.counter}, job: j, machine: m.ID, host: m.host,
			zone: m.Zone, term: m.Term, asked: true, instance: m.instance, since: now}
		d.bind(b, m)
		m.free = m.free.Minus(j.Need)
		if len(victims) > 0 {
			// Room that is being made is spoken for: the mirror shows it as taken.
			for i := range m.Tasks {
				if slices.Contains(victims, m.Tasks[i].ID) {
					m.Tasks[i].Stopping = true
					m.free = m.free.Plus(m.Tasks[i].Need)
				}
			}
		}
		o := d.owners[m.host]
		o.next.Asks = append(o.next.Asks, peer.Ask{ID: b.id, Team: j.team.Name, Rank: j.Level, Need: j.Need, Image: j.Image,
			Machine: m.ID, Term: m.Term, Victims: victims, Over: over, Covered: j.covered})
		placed++
	}
	return placed
}

// makeWay stops tasks of lower rank of the job's own team, where the team's
// limit leaves no room for it. It is placed once they are gone for certain.
func (d *Desk) makeWay(j *job, held res.Amounts, now clock.Micros) {
	if j.stalled == 0 {
		j.stalled = now
	}
	if j.late(now) || now < j.stalled+d.timing.PreemptAfter {
		return
	}
	used := j.team.used.Plus(held)
	var cand []*binding
	for _, o := range j.team.jobs {
		for _, b := range o.bound {
			switch {
			case b.stopping:
				used = used.Minus(o.Need)
			case o.Level < j.Level && !b.asked:
				cand = append(cand, b)
			}
		}
	}
	sort.Slice(cand, func(a, b int) bool {
		if cand[a].since != cand[b].since {
			return cand[a].since > cand[b].since
		}
		return cand[a].id.String() < cand[b].id.String()
	})
	wanted := j.Need.Times(int64(j.waiting()))
	for _, b := range cand {
		if within(used.Plus(wanted), j.team.Limit) {
			return
		}
		used = used.Minus(b.job.Need)
		d.counts.Preempted++
		d.stop(b, b.job.grace())
	}
}

// grace is how long a task may save when it is stopped.
func (j *job) grace() float64 {
	if j.SaveEveryS > 0 {
		return j.SaveS + 0.1
	}
	return 0
}

// allowed tells whether a machine may take one more task of a job, given where
// the others are or may be.
func (j *job) allowed(m *mirror) bool {
	if m.Spot && !j.Spot || j.Zone != "" && m.Zone != j.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, m.Type) {
		return false
	}
	if j.OneZone {
		for z, n := range j.zones {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	if j.Spread && j.zones[m.Zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// choose draws a small sample of the machines that showed room and takes the
// best fit: one that has the image, then the one that is left with least room.
func (d *Desk) choose(j *job, room []*mirror, now clock.Micros) (*mirror, []peer.TaskID, bool) {
	var with, bare []*mirror
	for _, m := range room {
		if !j.Need.Fits(m.free) || now < j.failedOn[m.ID] || !j.allowed(m) {
			continue
		}
		if slices.Contains(m.Images, j.Image) {
			with = append(with, m)
		} else {
			bare = append(bare, m)
		}
	}
	if len(with)+len(bare) == 0 {
		if j.stalled != 0 && now >= j.stalled+d.timing.PreemptAfter {
			return d.preempt(j, room, now)
		}
		return nil, nil, false
	}
	if len(with) == 0 && d.hurried(j, bare[0], now) {
		// The fetch alone would make the task late: room on a machine that has
		// the image is worth a task that has hardly begun.
		if m, victims, over := d.preempt(j, imaged(room, j.Image), now); m != nil && !over {
			return m, victims, over
		}
	}
	if len(with) == 0 {
		with = bare
	}
	if h := d.harmless(j, with); len(h) > 0 {
		with = h
	}
	var best *mirror
	for _, m := range d.draw(with, d.timing.Sample) {
		if best == nil || d.better(j, m, best) {
			best = m
		}
	}
	return best, nil, false
}

// harmless picks the machines where a small task takes no place from a large
// one: as many large tasks fit there with it as without.
func (d *Desk) harmless(j *job, list []*mirror) (out []*mirror) {
	if d.big == 0 || j.Need.CPU*2 > d.big {
		return nil
	}
	for _, m := range list {
		if m.free.CPU/d.big == (m.free.CPU-j.Need.CPU)/d.big {
			out = append(out, m)
		}
	}
	return out
}

// largestTask is the most CPUs that any task takes that waits or is seen running.
func (d *Desk) largestTask(list []*job) (big int64) {
	for _, j := range list {
		big = max(big, j.Need.CPU)
	}
	for _, m := range d.machines {
		for i := range m.Tasks {
			big = max(big, m.Tasks[i].Need.CPU)
		}
	}
	return big
}

// better compares two machines for a task. Small tasks gather on the same
// machines, in a fixed order, so that the others empty as a whole and large
// tasks find them; those take what is left with least room, from the other end.
func (d *Desk) better(j *job, a, b *mirror) bool {
	if d.timing.Economy && a.Spot != b.Spot {
		return a.Spot // thrift empties the dear machines
	}
	if j.Need.CPU*2 >= a.Cap.CPU || j.Need.CPU*2 >= b.Cap.CPU {
		if x, y := a.free.Minus(j.Need).CPU, b.free.Minus(j.Need).CPU; x != y {
			return x < y
		}
		return a.ID > b.ID
	}
	if a.Spot != b.Spot {
		return b.Spot
	}
	if a.Cap.CPU != b.Cap.CPU {
		return a.Cap.CPU > b.Cap.CPU
	}
	return a.ID < b.ID
}

// hurried tells that a task can start in time on a machine that has its image,
// and not on one that must fetch it.
func (d *Desk) hurried(j *job, m *mirror, now clock.Micros) bool {
	within, ok := d.timing.Waits[j.Class]
	rate := d.fetch[m.Type]
	if !ok || rate <= 0 || now > j.since+within {
		return false
	}
	return now+clock.FromSeconds(j.ImageGB/rate) > j.since+within
}

// imaged picks the machines that have an image.
func imaged(room []*mirror, image string) (out []*mirror) {
	for _, m := range room {
		if slices.Contains(m.Images, image) {
			out = append(out, m)
		}
	}
	return out
}

func (d *Desk) draw(from []*mirror, n int) []*mirror {
	if len(from) <= n {
		return from
	}
	for i := range n {
		k := i + d.rng.IntN(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:n]
}

// preemptStep is how much lost work makes a difference: below it, small tasks
// gather where they do otherwise.
const preemptStep = 5 * clock.Second

// preempt looks for room that tasks of lower rank hold or, for a job within
// its team's guarantee, tasks that other teams run beyond theirs; the least
// work is lost. Work that is late already takes no room from others: it would
// be as late, and what it stops would be late too.
func (d *Desk) preempt(j *job, room []*mirror, now clock.Micros) (*mirror, []peer.TaskID, bool) {
	if j.late(now) {
		return nil, nil, false
	}
	var best *mirror
	var bestVictims []peer.TaskID
	var bestCost clock.Micros
	bestOver := false
	for _, m := range room {
		if now < j.failedOn[m.ID] || !j.allowed(m) {
			continue
		}
		var cand []*peer.TaskView
		for i := range m.Tasks {
			t := &m.Tasks[i]
			if t.Phase == wire.TaskExited || t.Stopping || t.Team == "" || t.Covered && !(j.covered && t.Rank < j.Level) {
				continue
			}
			if t.Rank < j.Level || j.covered && t.Team != j.team.Name {
				cand = append(cand, t)
			}
		}
		sort.Slice(cand, func(a, b int) bool {
			if cand[a].Rank != cand[b].Rank {
				return cand[a].Rank < cand[b].Rank
			}
			return cand[a].Since < cand[b].Since
		})
		free := m.free
		var victims []peer.TaskID
		var cost clock.Micros
		over := false
		for _, t := range cand {
			if j.Need.Fits(free) {
				break
			}
			free = free.Plus(t.Need)
			victims = append(victims, t.ID)
			cost += t.Since + (now - m.seenAt) + clock.Second
			over = over || t.Rank >= j.Level
		}
		if over {
			cost += 1000 * clock.Second // lower ranks first
		}
		if j.Need.Fits(free) && len(victims) > 0 && (best == nil || cost/preemptStep < bestCost/preemptStep ||
			cost/preemptStep == bestCost/preemptStep && d.better(j, m, best)) {
			best, bestVictims, bestCost, bestOver = m, victims, cost, over
		}
	}
	return best, bestVictims, bestOver
}

// Send gives the round to send to an owner now, nil for nothing. A round
// without an answer is given again as it was.
func (d *Desk) Send(host string) *peer.Round {
	o := d.owners[host]
	if o.sending != nil && o.sentTo == o.instance {
		return o.sending
	}
	d.abandon(o)
	r := o.next
	if o.instance == "" || len(r.Asks)+len(r.Stops)+len(r.Settles)+len(r.Cancels)+len(r.Slow) == 0 {
		return nil
	}
	o.seq++
	r.From, r.Seq, r.Terms = d.instance, o.seq, d.Terms()
	o.sending, o.sentTo, o.next = &r, o.instance, peer.Round{}
	return o.sending
}

// abandon gives up a round whose process is gone. Its asks stay bound: that
// process may have granted and started them, and only the next owner of their
// machines can tell. What bears repeating goes to the next process.
func (d *Desk) abandon(o *ownerState) {
	if o.sending == nil {
		return
	}
	o.next.Stops = append(o.next.Stops, o.sending.Stops...)
	o.next.Cancels = append(o.next.Cancels, o.sending.Cancels...)
	o.sending = nil
}

// Waiting tells whether there is something to send to an owner.
func (d *Desk) Waiting(host string) bool {
	o := d.owners[host]
	n := &o.next
	return o.sending != nil || len(n.Asks)+len(n.Stops)+len(n.Settles)+len(n.Cancels)+len(n.Slow) > 0
}

// Answered takes the answer to a round.
func (d *Desk) Answered(host string, r *peer.Round, ans *peer.RoundAnswer, now clock.Micros) {
	o := d.owners[host]
	if o.sending != r {
		return
	}
	if ans.Incarnation != o.sentTo || ans.Incarnation != o.instance {
		// Another process has answered than the one that may have granted.
		d.abandon(o)
		return
	}
	o.sending = nil
	o.up = true
	views := map[string]*peer.MachineView{}
	for i := range ans.Machines {
		views[ans.Machines[i].ID] = &ans.Machines[i]
	}
	for i, a := range r.Asks {
		m := d.machines[a.Machine]
		if m == nil {
			continue
		}
		b := m.bound[a.ID]
		if b == nil {
			continue
		}
		if i >= len(ans.Refused) || ans.Refused[i] {
			d.counts.Refused++
			d.release(b)
			d.refree(m)
			continue
		}
		b.asked, b.instance = false, ans.Incarnation
		if v := views[a.Machine]; v != nil {
			b.version = v.Version
		}
	}
	for i := range ans.Machines {
		d.see(host, o, &ans.Machines[i], now)
	}
	// A poll may have shown a machine already as it was after the grant, with
	// the task gone again: no newer view would come to release it.
	for _, a := range r.Asks {
		if m := d.machines[a.Machine]; m != nil && m.Accounted && m.instance == ans.Incarnation {
			d.reconcile(o, m, now)
			d.refree(m)
		}
	}
	for _, id := range r.Cancels {
		if d.acks[id] != nil {
			d.acks[id][host] = true
		}
	}
}

// Status tells what a job's user may be told.
func (d *Desk) Status(teamName, id string) peer.JobAnswer {
	tm := d.teams[teamName]
	if tm == nil {
		return peer.JobAnswer{}
	}
	j := tm.jobs[id]
	if j == nil {
		return peer.JobAnswer{Known: true}
	}
	if j.uncertain {
		return peer.JobAnswer{Known: true, Found: true, Retry: true}
	}
	s := wire.JobState{ID: id, Phase: wire.Pending, Done: j.doneCount}
	for _, b := range j.bound {
		if b.phase == wire.TaskRunning || b.phase == wire.TaskSaving {
			s.Running++
		}
	}
	if s.Running > 0 || s.Done > 0 {
		s.Phase = wire.Running
	}
	return peer.JobAnswer{Known: true, Found: true, State: s}
}

// Cancel starts the end of a job: nothing of it starts any more, and every
// owner is told. found is false when the job is not active here.
func (d *Desk) Cancel(teamName, id string) (found bool) {
	tm := d.teams[teamName]
	if tm == nil || tm.jobs[id] == nil {
		return false
	}
	j := tm.jobs[id]
	if j.cancelling {
		return true
	}
	j.cancelling = true
	d.acks[id] = map[string]bool{}
	for _, o := range d.owners {
		o.next.Asks = slices.DeleteFunc(o.next.Asks, func(a peer.Ask) bool {
			if a.ID.Job != id {
				return false
			}
			if m := d.machines[a.Machine]; m != nil && m.bound[a.ID] != nil {
				d.release(m.bound[a.ID])
			}
			return true
		})
		o.next.Cancels = append(o.next.Cancels, id)
	}
	return true
}

// Acked tells whether all the named hosts have taken a job's cancellation.
func (d *Desk) Acked(id string, hosts []string) bool {
	for _, h := range hosts {
		if !d.acks[id][h] {
			return false
		}
	}
	return true
}

// Ready lists jobs whose tasks are all done and whose end is to be written.
func (d *Desk) Ready() (out []*job) {
	for _, tm := range d.teams {
		for _, j := range tm.jobs {
			if j.doneCount == j.Tasks && !j.finishing && !j.cancelling {
				out = append(out, j)
			}
		}
	}
	return out
}

// Demands lists what waits, for the fleet.
func (d *Desk) Demands(now clock.Micros) (out []peer.Demand) {
	list := d.order(now)
	for _, tm := range d.teams {
		room := res.Amounts{CPU: math.MaxInt64 / 4, GPU: math.MaxInt64 / 4}
		if tm.Limit.CPU > 0 {
			room.CPU = tm.Limit.CPU - tm.used.CPU
		}
		if tm.Limit.GPU > 0 {
			room.GPU = tm.Limit.GPU - tm.used.GPU
		}
		for _, j := range list {
			if j.team != tm || j.errors > 6 {
				continue
			}
			n := j.waiting()
			if j.Need.CPU > 0 {
				n = min(n, int(room.CPU/j.Need.CPU))
			}
			if j.Need.GPU > 0 {
				n = min(n, int(room.GPU/j.Need.GPU))
			}
			if n <= 0 {
				continue
			}
			room = room.Minus(j.Need.Times(int64(n)))
			dm := peer.Demand{Need: j.Need, Types: j.Types, Zone: j.Zone, Spot: j.Spot, Rank: j.Level, Waiting: n,
				RunFor: clock.FromSeconds(j.EstimateS)}
			if j.DueS != nil && !j.late(now) {
				dm.Slack = max(clock.Second, j.due()-now-dm.RunFor)
			}
			out = append(out, dm)
		}
	}
	return out
}

// Views gives the mirror of all machines, for the fleet. An idle machine sends
// no news of itself, so its idle time is what it was then and what has passed since.
func (d *Desk) Views(now clock.Micros) (out []peer.MachineView) {
	for _, m := range d.machines {
		if o := d.owners[m.host]; o.parts[m.Part] == m.Term {
			v := m.MachineView
			v.Free = m.free
			if len(v.Tasks) == 0 && len(m.bound) == 0 {
				v.Idle += now - m.seenAt
			} else {
				v.Idle = 0
			}
			out = append(out, v)
		}
	}
	return out
}
