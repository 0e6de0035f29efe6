package placer

import (
	"maps"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// runTime is how long a task ran, and where.
type runTime struct {
	machine string
	took    clock.Micros
}

// forgetSilent drops a machine that fell silent and has no record any more.
// An ask that has no answer yet stays bound: the machine may come back with a
// new session, and the ask be granted then.
func (d *Scheduler) forgetSilent(m *mirror) {
	if m.Silent && !d.registry[m.ID] && len(m.bound) == 0 {
		d.drop(m)
	}
}

// forgetMachine drops a machine that is gone for certain, with all asks for it.
func (d *Scheduler) forgetMachine(m *mirror) {
	for _, b := range m.inOrder() {
		d.release(b)
	}
	d.drop(m)
}

// drop takes a machine out of the mirror.
func (d *Scheduler) drop(m *mirror) {
	for id := range m.tasks {
		d.unsetTask(m, id)
	}
	delete(d.machines, m.ID)
	d.index(m)
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

func (d *Scheduler) refree(m *mirror) {
	m.free = m.Free
	for _, b := range m.bound {
		if b.asked || b.instance == m.instance && b.term == m.Term && b.version > m.Version {
			m.free = m.free.Minus(b.job.Need) // the view does not show it yet
		}
	}
	d.index(m)
}

// bind counts a task as being, or possibly being, on a machine.
func (d *Scheduler) bind(b *binding, m *mirror) {
	m.bound[b.id] = b
	b.job.team.used = b.job.team.used.Plus(b.job.Need)
	b.job.zones[b.zone]++
	if !b.orphan {
		b.job.bound[b.id.N] = b
	}
}

// release takes note that a task is gone from its machine for certain.
func (d *Scheduler) release(b *binding) {
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
		if !j.isDone(b.id.N) && !(j.parked && b.id.N < j.former) {
			j.queue = append(j.queue, b.id.N)
		}
	}
}

// Cursor gives the next poll for an owner. When a team's term is new to it,
// everything is asked for, so that the answer is given under that term's fence.
func (d *Scheduler) Cursor(host string) peer.Poll {
	o := d.owners[host]
	in := peer.Poll{Incarnation: o.instance, Cursor: o.cursor, Terms: d.Terms(), Gen: o.gen}
	for t, term := range in.Terms {
		if o.fenced[t] != term {
			in.Incarnation = ""
		}
	}
	if o.resync {
		in.Incarnation = ""
	}
	return in
}

// sweepEvery is how often an owner's partitions are held against all machines: a
// late word of a former owner may have brought one back that is gone.
const sweepEvery = 2 * clock.Second

// Hear takes an owner's answer to a poll.
func (d *Scheduler) Hear(host string, in peer.Poll, ans *peer.PollAnswer, now clock.Micros) {
	o := d.owners[host]
	d.up(host, true)
	if ans.Incarnation != o.instance {
		if in.Gen != o.gen || !ans.Full {
			return // asked before the present process was met: the word of a former one
		}
		d.meet(o, ans.Incarnation)
	}
	if ans.Cursor < o.cursor {
		return // an answer older than one taken already
	}
	moved := !maps.Equal(o.parts, ans.Parts)
	o.cursor, o.parts = ans.Cursor, ans.Parts
	if ans.Full {
		o.resync = false
		for t, term := range in.Terms {
			if tm := d.teams[t]; tm != nil && tm.term == term {
				o.fenced[t] = term
			}
		}
	}
	for i := range ans.Machines {
		d.see(host, o, &ans.Machines[i], now)
	}
	if !moved && !ans.Full && now < o.swept+sweepEvery {
		return
	}
	o.swept = now
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
	d.indexOf(host)
}

// meet notes the instance of an owner's process. A round that was on its way to
// a former process is over: what it asked for is settled by the machines' next owner.
func (d *Scheduler) meet(o *ownerState, instance string) {
	o.fenced = map[string]uint64{}
	o.parts = map[int]uint64{}
	o.cursor = 0
	o.instance = instance
	o.gen++
}

// Down notes that an owner can't be reached now.
func (d *Scheduler) Down(host string) { d.up(host, false) }

// see takes one machine's view and settles with it what it can.
func (d *Scheduler) see(host string, o *ownerState, v *peer.MachineView, now clock.Micros) {
	m := d.machines[v.ID]
	if m == nil {
		if v.Silent && !d.registry[v.ID] {
			return
		}
		m = &mirror{hash: hashOf(v.ID), bound: map[peer.TaskID]*binding{}, tasks: map[peer.TaskID]*seen{}, fetching: map[string]int{}}
		d.machines[v.ID] = m
	} else if v.Term < m.Term || v.Term == m.Term && m.instance == o.instance && v.Version < m.Version {
		return
	}
	images := m.Images
	m.MachineView, m.host, m.instance, m.seenAt = *v, host, o.instance, now
	if v.Images == nil && !v.Whole {
		m.Images = images
	}
	m.Tasks, m.Left, m.refused = nil, nil, false
	listed := make(map[peer.TaskID]bool, len(v.Tasks))
	for i := range v.Tasks {
		d.setTask(m, &seen{TaskView: v.Tasks[i], began: now - v.Tasks[i].Since})
		listed[v.Tasks[i].ID] = true
	}
	gone := v.Left
	if v.Whole {
		gone = nil
		for id := range m.tasks {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if !listed[id] {
			d.unsetTask(m, id)
		}
	}
	if len(m.tasks) != v.Count {
		o.resync = true // should not be; a whole view puts it right
	}
	if v.Accounted {
		d.reconcile(o, m, v, gone, now)
	}
	d.refree(m)
	d.forgetSilent(m)
}

// reconcile compares what a view tells of an accounted machine's tasks with
// what is known of them.
func (d *Scheduler) reconcile(o *ownerState, m *mirror, v *peer.MachineView, gone []peer.TaskID, now clock.Micros) {
	for i := range v.Tasks {
		d.compare(o, m, &v.Tasks[i], now)
	}
	if v.Whole {
		for _, b := range m.inOrder() {
			d.checkGone(b, m)
		}
	} else {
		for _, id := range gone {
			if b := m.bound[id]; b != nil {
				d.checkGone(b, m)
			}
		}
	}
	for name, tm := range d.teams {
		if o.fenced[name] == tm.term && !tm.cleared[m.ID] && !m.foreign() {
			tm.cleared[m.ID] = true
			delete(tm.strange, m.ID)
		}
	}
}

// foreign tells that something is on a machine of which its owner knows neither the team
// nor what it takes: it was found, and its job is over. Any team may have it.
func (m *mirror) foreign() bool {
	for _, s := range m.tasks {
		if s.Team == "" && s.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// checkGone releases a binding whose task is not on its accounted machine. That
// is certain when the view is newer than the grant, or comes from a later
// owner, to whom the ask can't be granted any more.
func (d *Scheduler) checkGone(b *binding, m *mirror) {
	if m.tasks[b.id] != nil {
		return
	}
	if m.Term > b.term || !b.asked && (m.instance != b.instance || m.Version >= b.version) {
		d.counts.Lost++
		b.job.again++
		d.release(b)
	}
}

// compare takes a task that an accounted machine shows.
func (d *Scheduler) compare(o *ownerState, m *mirror, tv *peer.TaskView, now clock.Micros) {
	b := m.bound[tv.ID]
	tm := d.teams[tv.Team]
	if b != nil {
		tm = b.job.team // its owner may not know: the job is over
	}
	if tm == nil {
		return
	}
	j := tm.jobs[tv.ID.Job]
	if j != nil && tv.ID.N >= j.Tasks {
		j = nil
	}
	if b == nil {
		if o.fenced[tm.Name] != tm.term {
			return
		}
		if tv.Phase != wire.TaskExited {
			b = &binding{id: tv.ID, job: j, machine: m.ID, zone: m.Zone, term: m.Term, version: m.Version,
				instance: m.instance, since: now - tv.Since}
			if j == nil {
				// Its owner ends what belongs to no active job, but may not reach it: until
				// it is gone it counts against the limit.
				b.job, b.orphan = &job{Job: &jobs.Job{Need: tv.Need}, team: tm, zones: map[string]int{}}, true
			} else {
				b.orphan = j.isDone(tv.ID.N) || j.bound[tv.ID.N] != nil || j.cancelling
			}
			d.bind(b, m)
			if b.orphan {
				d.stop(b, 0)
			}
		}
	}
	if tv.Phase == wire.TaskExited {
		d.exited(j, b, m, tv, now)
		return
	}
	if b != nil {
		if tv.Phase == wire.TaskRunning && b.phase != wire.TaskRunning {
			b.job.lastStart, b.running = now, now
			// Its job may be over already: cancelled while the start was on its way.
			d.counts.FetchCPUs += (now - b.since) * clock.Micros(b.job.Need.CPU/1e6)
		}
		b.phase, b.stopping = tv.Phase, tv.Stopping
	}
}

// exited takes the end of a task.
func (d *Scheduler) exited(j *job, b *binding, m *mirror, tv *peer.TaskView, now clock.Micros) {
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
			j.unsettled[tv.ID] = m.ID
		}
		if other := j.bound[n]; other != nil && other != b {
			other.orphan = true
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
func (d *Scheduler) judge(j *job) {
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
func (d *Scheduler) settle(j *job, id peer.TaskID, machine string) {
	m := d.machines[machine]
	if m == nil {
		return
	}
	o := d.owners[m.host]
	o.next.Settles = append(o.next.Settles, peer.Settle{ID: id, Machine: machine})
	j.acked[id] = m.Term
}

func (d *Scheduler) stop(b *binding, grace float64) {
	if m := d.machines[b.machine]; m != nil {
		o := d.owners[m.host]
		o.next.Stops = append(o.next.Stops, peer.Stop{ID: b.id, Machine: b.machine, GraceS: grace})
	}
	b.stopping = true
}
