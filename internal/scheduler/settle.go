package scheduler

import (
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

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
	if !b.orphan && !b.held {
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
	current := j.bound[b.id.N] == b
	if current {
		delete(j.bound, b.id.N)
	}
	if started := d.moveStep(b, current); current && !started {
		if !j.isDone(b.id.N) && !(j.parked && b.id.N < j.former) {
			j.queue = append(j.queue, b.id.N)
		}
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
				b.orphan = j.isDone(tv.ID.N) || j.bound[tv.ID.N] != nil || j.cancelling || tv.Held // a former placer's move
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
			if b.running == 0 {
				d.began(b.job, now)
			}
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
		if j.markDone(n); j.doneCount == j.Tasks && b != nil {
			d.ended(j, now)
		}
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
	o.next.Settles = append(o.next.Settles, peer.Acknowledgement{ID: id, Machine: machine})
	j.acked[id] = m.Term
}

func (d *Scheduler) stop(b *binding, grace float64) {
	if m := d.machines[b.machine]; m != nil {
		o := d.owners[m.host]
		o.next.Stops = append(o.next.Stops, peer.StopTask{ID: b.id, Machine: b.machine, GraceS: grace})
	}
	b.stopping = true
}
