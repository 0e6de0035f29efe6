package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// HandleHeartbeat takes a worker's report and decides the answer. ok is false when the
// report is of a former session: it must not be answered with 200.
func (s *State) HandleHeartbeat(r *wire.Heartbeat, part int, now clock.Micros) (ans wire.HeartbeatResponse, ok bool) {
	m := s.machines[r.Machine]
	if m == nil {
		m = s.addMachine(r.Machine, part, inventory.Record{Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now)
	}
	if m.partition != part {
		return ans, false // it says now that it is of another zone: that is not understood
	}
	if m.gone || r.Incarnation < m.incarnation && m.contacted || m.silent && m.contacted && r.Incarnation <= m.incarnation {
		return ans, false
	}
	if r.FencingToken > m.token && r.FencingToken>>termShift > s.terms[part] {
		return ans, false // a later term than ours: not ours to command
	}
	if m.contacted && r.Incarnation == m.lastHeartbeat[0] && r.Tick <= m.lastHeartbeat[1] {
		// A copy that comes late, or a worker that began anew without telling:
		// answering it would keep a machine alive of which nothing new is known.
		return ans, false
	}
	// An answer to /orders may have overtaken this report: then it tells nothing
	// new, but its worker waits for the answer.
	fresh := !m.contacted || r.Incarnation > m.incarnation || r.Tick > m.tick
	m.lastHeartbeat = [2]uint64{r.Incarnation, r.Tick}
	if fresh {
		m.Addr = r.Addr
		s.applyHeartbeat(m, r, true, now)
		m.deliveryPausedUntil = 0
	}
	m.answeredAt = now
	if g := s.zoneGates[m.Zone]; g != nil {
		g.HeartbeatSeen(now)
	}
	if m.heartbeatsOverdue {
		m.heartbeatsOverdue = false
		s.resetIdle(m, now)
	}
	ans.FencingToken = m.token
	ans.Orders = []wire.Order{}
	if fresh && m.accounted {
		ans.Orders = s.dueCommands(m, true, now)
	}
	return ans, true
}

// applyHeartbeat takes what a worker says of itself, from a report or from the answer
// to /orders. Older words than the newest known are dropped.
func (s *State) applyHeartbeat(m *machine, r *wire.Heartbeat, isReport bool, now clock.Micros) {
	if m.contacted && (r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Tick <= m.tick) {
		return
	}
	changed := s.applyIncarnation(m, r, now)
	changed = s.applyWorkerState(m, r, now) || changed
	listed := s.applyTasks(m, r, now)
	if len(listed) < len(m.tasks) {
		s.removeUnlistedTasks(m, r, listed, isReport)
	}
	if len(m.tasks) > 0 {
		m.idleSince = now
	}
	if changed {
		s.markChanged(m)
		s.deliveryCandidates[m.id] = m
	}
}

// applyIncarnation takes a worker's session and tick; changed tells that something is different now.
func (s *State) applyIncarnation(m *machine, r *wire.Heartbeat, now clock.Micros) (changed bool) {
	changed = !m.contacted
	if !m.contacted || r.Incarnation > m.incarnation {
		// A session lasts its whole lease from its own beginning, answered or
		// not, and it may have begun as late as now.
		m.answeredAt = now
	}
	if m.contacted && r.Incarnation > m.incarnation {
		// A new session: whatever ran in an earlier one was killed, and no
		// order that names an earlier one is executed.
		for _, t := range m.tasks {
			if t.sent || t.reported {
				s.removeTask(m, t)
			}
		}
		changed = true
	}
	if m.silent {
		m.silent, changed = false, true
		s.resetIdle(m, now)
	}
	m.contacted, m.incarnation, m.tick = true, r.Incarnation, r.Tick
	return changed
}

// applyWorkerState takes which token a worker has seen, and its spot notice.
func (s *State) applyWorkerState(m *machine, r *wire.Heartbeat, now clock.Micros) (changed bool) {
	m.shownToken = max(m.shownToken, r.FencingToken)
	if m.unconfirmed && r.FencingToken >= m.token {
		m.unconfirmed, changed = false, true
		s.resetIdle(m, now)
	}
	if !m.accounted && r.FencingToken >= firstToken(s.terms[m.partition]) {
		m.accounted = true
		s.markAllChanged(m) // who did not believe its tasks so far looks at all of them now
	}
	if n := r.EvictionNoticeS != nil; n != m.evictionNoticed {
		m.evictionNoticed, changed = n, true
	}
	if r.EvictionNoticeS != nil {
		m.evictionAt = now + clock.FromSeconds(*r.EvictionNoticeS)
	}
	return changed
}

// applyTasks takes the tasks that a worker shows, and gives their ids.
func (s *State) applyTasks(m *machine, r *wire.Heartbeat, now clock.Micros) (listed map[peer.TaskID]bool) {
	listed = make(map[peer.TaskID]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		job, n, ok := wire.SplitTask(tr.Task)
		if !ok {
			continue
		}
		id := peer.TaskID{Job: job, N: n, Attempt: tr.Attempt}
		listed[id] = true
		t := m.tasks[id]
		if t == nil {
			t = s.addFoundTask(m, id, now)
		}
		if !t.reported || t.phase != tr.Phase {
			s.markTaskChanged(m, t)
			s.recordHistory(m, id, tr.Phase, tr.Cause)
			switch tr.Phase {
			case wire.TaskExited:
				s.recordExit(m, t, tr.Cause, now)
			case wire.TaskRunning:
				s.markWarm(m)
			}
		}
		t.reported, t.sent, t.phase, t.cause = true, true, tr.Phase, tr.Cause
	}
	return listed
}

// addFoundTask adds a task that a worker shows and nobody has asked for here.
func (s *State) addFoundTask(m *machine, id peer.TaskID, now clock.Micros) *task {
	t := &task{id: id, addedAt: now}
	if j, ok := s.jobs.Active(id.Job); ok {
		t.team, t.priority, t.need = j.Team, j.PriorityLevel, j.Need
		s.recordImage(m, j.Image, j.ImageGB)
	}
	m.tasks[id] = t
	return t
}

// removeUnlistedTasks takes off the tasks that a worker does not show any more, or never will.
func (s *State) removeUnlistedTasks(m *machine, r *wire.Heartbeat, listed map[peer.TaskID]bool, isReport bool) {
	for id, t := range m.tasks {
		if listed[id] || !t.sent {
			continue
		}
		switch {
		case t.reported:
			s.removeTask(m, t) // forgotten
		case t.stopping && isReport && r.Tick > t.runTick && (t.unansweredToken == 0 || m.shownToken > t.unansweredToken):
			// Never started, and no copy of its run can arrive any more.
			s.removeTask(m, t)
		}
	}
}

// resetIdle takes note that a machine may be used again: while it was cut off or hung it
// was given nothing, so it has not been idle. Without this all machines of a cut
// are returned in the moment they are resetIdle, and rented anew.
func (s *State) resetIdle(m *machine, now clock.Micros) {
	m.idleSince = now
	s.markChanged(m)
}

// recordExit keeps account of failures: a machine on which several jobs fail in a
// row is sick, unless the jobs fail everywhere.
func (s *State) recordExit(m *machine, t *task, cause string, now clock.Micros) {
	switch cause {
	case wire.CauseDone:
		m.failures = 0
		clear(m.failedJobs)
		delete(s.failedOn, t.id.Job)
	case wire.CauseError:
		f := s.failedOn[t.id.Job]
		if f == nil {
			f = map[string]bool{}
			s.failedOn[t.id.Job] = f
		}
		f[m.id] = true
		if len(f) > 2 {
			return // the job's own mistake
		}
		m.failures++
		m.failedJobs[t.id.Job] = true
		m.cordonedUntil = now + min(5*clock.Second<<min(m.failures, 4), 60*clock.Second)
		if len(m.failedJobs) >= s.timing.QuarantineErrors || m.failures >= 8 {
			m.quarantined = true
		}
	}
}
