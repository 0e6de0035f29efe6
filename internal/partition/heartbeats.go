package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// HandleHeartbeat takes a worker's report and decides the answer. ok is false when the
// report is of a former session: it must not be answered with 200.
func (t *State) HandleHeartbeat(r *wire.Heartbeat, part int, now clock.Micros) (ans wire.HeartbeatResponse, ok bool) {
	m := t.machines[r.Machine]
	if m == nil {
		m = t.add(r.Machine, part, inventory.Record{Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now)
	}
	if m.part != part {
		return ans, false // it says now that it is of another zone: that is not understood
	}
	if m.gone || r.Incarnation < m.session && m.heard || m.silent && m.heard && r.Incarnation <= m.session {
		return ans, false
	}
	if r.FencingToken > m.token && r.FencingToken>>termShift > t.parts[part] {
		return ans, false // a later term than ours: not ours to command
	}
	if m.heard && r.Incarnation == m.reported[0] && r.Tick <= m.reported[1] {
		// A copy that comes late, or a worker that began anew without telling:
		// answering it would keep a machine alive of which nothing new is known.
		return ans, false
	}
	// An answer to /orders may have overtaken this report: then it tells nothing
	// new, but its worker waits for the answer.
	fresh := !m.heard || r.Incarnation > m.session || r.Tick > m.tick
	m.reported = [2]uint64{r.Incarnation, r.Tick}
	if fresh {
		m.Addr = r.Addr
		t.absorb(m, r, true, now)
		m.quietUntil = 0
	}
	m.answered = now
	if g := t.gates[m.Zone]; g != nil {
		g.HeartbeatSeen(now)
	}
	if m.reportsOverdue {
		m.reportsOverdue = false
		t.back(m, now)
	}
	ans.FencingToken = m.token
	ans.Orders = []wire.Order{}
	if fresh && m.accounted {
		ans.Orders = t.orders(m, true, now)
	}
	return ans, true
}

// absorb takes what a worker says of itself, from a report or from the answer
// to /orders. Older words than the newest known are dropped.
func (t *State) absorb(m *machine, r *wire.Heartbeat, isReport bool, now clock.Micros) {
	if m.heard && (r.Incarnation < m.session || r.Incarnation == m.session && r.Tick <= m.tick) {
		return
	}
	changed := t.absorbSession(m, r, now)
	changed = t.absorbState(m, r, now) || changed
	listed := t.absorbTasks(m, r, now)
	if len(listed) < len(m.tasks) {
		t.removeUnlisted(m, r, listed, isReport)
	}
	if len(m.tasks) > 0 {
		m.idleSince = now
	}
	if changed {
		t.touch(m)
		t.due[m.id] = m
	}
}

// absorbSession takes a worker's session and tick; changed tells that something is different now.
func (t *State) absorbSession(m *machine, r *wire.Heartbeat, now clock.Micros) (changed bool) {
	changed = !m.heard
	if !m.heard || r.Incarnation > m.session {
		// A session lasts its whole lease from its own beginning, answered or
		// not, and it may have begun as late as now.
		m.answered = now
	}
	if m.heard && r.Incarnation > m.session {
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
		t.back(m, now)
	}
	m.heard, m.session, m.tick = true, r.Incarnation, r.Tick
	return changed
}

// absorbState takes which token a worker has seen, and its spot notice.
func (t *State) absorbState(m *machine, r *wire.Heartbeat, now clock.Micros) (changed bool) {
	m.seenToken = max(m.seenToken, r.FencingToken)
	if m.unconfirmed && r.FencingToken >= m.token {
		m.unconfirmed, changed = false, true
		t.back(m, now)
	}
	if !m.accounted && r.FencingToken >= baseToken(t.parts[m.part]) {
		m.accounted = true
		t.showAll(m) // who did not believe its tasks so far looks at all of them now
	}
	if n := r.EvictionNoticeS != nil; n != m.noticed {
		m.noticed, changed = n, true
	}
	if r.EvictionNoticeS != nil {
		m.takenAt = now + clock.FromSeconds(*r.EvictionNoticeS)
	}
	return changed
}

// absorbTasks takes the tasks that a worker shows, and gives their ids.
func (t *State) absorbTasks(m *machine, r *wire.Heartbeat, now clock.Micros) (listed map[peer.TaskID]bool) {
	listed = make(map[peer.TaskID]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		job, n, ok := wire.SplitTask(tr.Task)
		if !ok {
			continue
		}
		id := peer.TaskID{Job: job, N: n, Attempt: tr.Attempt}
		listed[id] = true
		k := m.tasks[id]
		if k == nil {
			k = t.foundTask(m, id, now)
		}
		if !k.seen || k.phase != tr.Phase {
			t.show(m, k)
			t.noteEvent(m, id, tr.Phase, tr.Cause)
			switch tr.Phase {
			case wire.TaskExited:
				t.exit(m, k, tr.Cause, now)
			case wire.TaskRunning:
				t.warmed(m)
			}
		}
		k.seen, k.sent, k.phase, k.cause = true, true, tr.Phase, tr.Cause
	}
	return listed
}

// foundTask adds a task that a worker shows and nobody has asked for here.
func (t *State) foundTask(m *machine, id peer.TaskID, now clock.Micros) *task {
	k := &task{id: id, since: now}
	if j, ok := t.jobs.Active(id.Job); ok {
		k.team, k.rank, k.need = j.Team, j.PriorityLevel, j.Need
		t.note(m, j.Image, j.ImageGB)
	}
	m.tasks[id] = k
	return k
}

// removeUnlisted takes off the tasks that a worker does not show any more, or never will.
func (t *State) removeUnlisted(m *machine, r *wire.Heartbeat, listed map[peer.TaskID]bool, isReport bool) {
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

// back takes note that a machine may be used again: while it was cut off or hung it
// was given nothing, so it has not been idle. Without this all machines of a cut
// are returned in the moment they are back, and rented anew.
func (t *State) back(m *machine, now clock.Micros) {
	m.idleSince = now
	t.touch(m)
}

// exit keeps account of failures: a machine on which several jobs fail in a
// row is sick, unless the jobs fail everywhere.
func (t *State) exit(m *machine, k *task, cause string, now clock.Micros) {
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
		m.setAsideUntil = now + min(5*clock.Second<<min(m.errors, 4), 60*clock.Second)
		if len(m.errJobs) >= t.timing.QuarantineErrors || m.errors >= 8 {
			m.sick = true
		}
	}
}
