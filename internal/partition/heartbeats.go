package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// route is the way by which commands reach a worker and its status comes back.
type route int

const (
	viaHeartbeat route = iota // the worker's heartbeat, and commands in its answer
	viaDelivery               // commands delivered to the worker's own address, and its status in the answer
)

// HandleHeartbeat takes a worker's heartbeat and decides the answer. ok is false when it must not be answered
// with 200.
func (s *State) HandleHeartbeat(r *wire.Heartbeat, partition int, now clock.Micros) (ans wire.HeartbeatResponse, ok bool) {
	m := s.machines[r.Machine]
	if m == nil {
		m = s.addMachine(r.Machine, partition, inventory.Record{Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now)
	}
	if !s.mayAnswer(m, r, partition) {
		return ans, false
	}
	// The answer to a delivery may have overtaken this heartbeat: then it says nothing new, but its worker waits
	// for an answer.
	fresh := m.worker.isNewer(r)
	m.worker.lastHeartbeat = heartbeatID{r.Incarnation, r.Tick}
	if fresh {
		m.Addr = r.Addr
		s.applyHeartbeat(m, r, viaHeartbeat, now)
		m.delivery.pausedUntil = 0
	}
	m.worker.answeredAt = now
	if g := s.zoneGates[m.Zone]; g != nil {
		g.HeartbeatSeen(now)
	}
	if m.worker.overdue {
		m.worker.overdue = false
		s.resetIdle(m, now)
	}
	ans.FencingToken = m.delivery.token
	ans.Orders = []wire.Order{}
	if fresh && m.accounted {
		ans.Orders = s.dueCommands(m, viaHeartbeat, now)
	}
	return ans, true
}

// mayAnswer reports whether a heartbeat may be answered with 200, which extends its worker's lease.
func (s *State) mayAnswer(m *machine, r *wire.Heartbeat, partition int) bool {
	switch {
	case m.partition != partition:
		return false // it says now that it is in another zone: that is not understood
	case m.worker.gone, m.worker.isFormerIncarnation(r):
		return false
	case r.FencingToken > m.delivery.token && r.FencingToken>>termShift > s.terms[partition]:
		return false // it has seen a later term: this process leads it no more
	}
	return !m.worker.isCopy(r)
}

// applyHeartbeat takes what a worker says of itself. Statuses that are older than the newest known change nothing.
func (s *State) applyHeartbeat(m *machine, r *wire.Heartbeat, by route, now clock.Micros) {
	if !m.worker.isNewer(r) {
		return
	}
	changed := s.applyIncarnation(m, r, now)
	changed = s.applyWorkerState(m, r, now) || changed
	listed := s.applyTasks(m, r, now)
	if len(listed) < len(m.tasks) {
		s.removeUnlistedTasks(m, r, listed, by)
	}
	if len(m.tasks) > 0 {
		m.idleSince = now
	}
	if changed {
		s.markChanged(m)
		s.deliveryCandidates[m.id] = m
	}
}

// applyIncarnation takes a worker's incarnation and tick. A later incarnation ends all attempts of earlier ones
// (docs/design.md, argument 4).
func (s *State) applyIncarnation(m *machine, r *wire.Heartbeat, now clock.Micros) (changed bool) {
	changed = !m.worker.contacted
	if !m.worker.contacted || r.Incarnation > m.worker.incarnation {
		// An incarnation lasts its whole worker lease from its own beginning, answered or not, and it may have
		// begun as late as now.
		m.worker.answeredAt = now
	}
	if m.worker.contacted && r.Incarnation > m.worker.incarnation {
		// Whatever ran in an earlier incarnation was killed, and no command that names an earlier one is executed.
		for _, t := range m.tasks {
			if t.state != taskLeased {
				s.removeTask(m, t)
			}
		}
		changed = true
	}
	if m.worker.silent {
		m.worker.silent, changed = false, true
		s.resetIdle(m, now)
	}
	m.worker.contacted, m.worker.incarnation, m.worker.tick = true, r.Incarnation, r.Tick
	return changed
}

// applyWorkerState takes the token that a worker shows, and its eviction notice. The first token of this term makes
// the machine accounted (docs/design.md, argument 6).
func (s *State) applyWorkerState(m *machine, r *wire.Heartbeat, now clock.Micros) (changed bool) {
	m.delivery.shownToken = max(m.delivery.shownToken, r.FencingToken)
	if m.delivery.unconfirmed && r.FencingToken >= m.delivery.token {
		m.delivery.unconfirmed, changed = false, true
		s.resetIdle(m, now)
	}
	if !m.accounted && r.FencingToken >= firstToken(s.terms[m.partition]) {
		m.accounted = true
		s.markAllChanged(m) // schedulers that did not rely on its tasks so far look at all of them now
	}
	if given := r.EvictionNoticeS != nil; given != m.eviction.given {
		m.eviction.given, changed = given, true
	}
	if r.EvictionNoticeS != nil {
		m.eviction.at = now + clock.FromSeconds(*r.EvictionNoticeS)
	}
	return changed
}

// applyTasks takes the tasks that a worker lists, and gives their ids.
func (s *State) applyTasks(m *machine, r *wire.Heartbeat, now clock.Micros) (listed map[peer.TaskID]bool) {
	listed = make(map[peer.TaskID]bool, len(r.Tasks))
	for _, status := range r.Tasks {
		job, n, ok := wire.SplitTask(status.Task)
		if !ok {
			continue
		}
		id := peer.TaskID{Job: job, N: n, Attempt: status.Attempt}
		listed[id] = true
		t := m.tasks[id]
		if t == nil {
			t = s.addFoundTask(m, id, now)
		}
		if t.state < taskReported || t.phase != status.Phase {
			s.markTaskChanged(m, t)
			s.recordHistory(m, id, status.Phase, status.Cause)
			switch status.Phase {
			case wire.TaskExited:
				s.recordExit(m, t, status.Cause, now)
			case wire.TaskRunning:
				s.markWarm(m)
			}
		}
		t.state, t.phase, t.cause = reportedState(status.Phase), status.Phase, status.Cause
	}
	return listed
}

// addFoundTask adds a task that a worker lists and that was not assigned here.
func (s *State) addFoundTask(m *machine, id peer.TaskID, now clock.Micros) *task {
	t := &task{id: id, addedAt: now}
	if j, ok := s.jobs.Active(id.Job); ok {
		t.team, t.priority, t.need = j.Team, j.PriorityLevel, j.Need
		s.recordImage(m, j.Image, j.ImageGB)
	}
	m.tasks[id] = t
	return t
}

// removeUnlistedTasks removes the tasks that a worker lists no more, or never will.
func (s *State) removeUnlistedTasks(m *machine, r *wire.Heartbeat, listed map[peer.TaskID]bool, by route) {
	for id, t := range m.tasks {
		if listed[id] || t.state == taskLeased {
			continue
		}
		switch {
		case t.state >= taskReported:
			s.removeTask(m, t) // forgotten
		case t.stopping && by == viaHeartbeat && r.Tick > t.runTick && !m.delivery.runMayArrive(t):
			s.removeTask(m, t) // never started
		}
	}
}

// resetIdle notes that a machine may be used again: while it was cut off or hung it was given nothing, so it has not
// been idle. Otherwise all machines of a network partition would be scaled in the moment they are back, and scaled
// out anew.
func (s *State) resetIdle(m *machine, now clock.Micros) {
	m.idleSince = now
	s.markChanged(m)
}
