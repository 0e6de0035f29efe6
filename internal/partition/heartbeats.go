package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// route is the path by which commands reach a worker and the worker's status comes back.
type route int

const (
	viaHeartbeat route = iota // the status is a heartbeat, and the commands are in its response
	viaDelivery               // the commands are delivered to the worker's own address, and the status is in its response
)

// HandleHeartbeat processes a worker's heartbeat and returns the response. ok is false when the heartbeat must not be
// answered with 200, because that would extend the worker's lease. A response that extends it stops every task whose job
// has ended (docs/design.md, "Why the rules hold", number 11).
func (s *State) HandleHeartbeat(hb *wire.Heartbeat, partition int, now clock.Micros) (response wire.HeartbeatResponse, ok bool) {
	m := s.machines[hb.Machine]
	if m == nil {
		m = s.addMachine(hb.Machine, partition, inventory.Record{Addr: hb.Addr, Type: hb.Type, Zone: hb.Zone, Spot: hb.Spot}, now)
	}
	response, outcome := s.answerHeartbeat(m, hb, partition, now)
	s.counters.heartbeats[outcome].Inc()
	return response, outcome.extendsLease()
}

// answerHeartbeat decides whether a heartbeat is answered, applies it if it may be, and returns the response.
func (s *State) answerHeartbeat(
	m *machine, hb *wire.Heartbeat, partition int, now clock.Micros,
) (response wire.HeartbeatResponse, outcome heartbeatOutcome) {
	outcome = s.classifyHeartbeat(m, hb, partition)
	s.suspectRestart(m, outcome, now)
	if !outcome.extendsLease() {
		return response, outcome
	}
	// The response to a delivery can overtake a heartbeat that was sent before it. The heartbeat then carries no
	// news, but is answered so that the worker's lease is extended.
	m.worker.lastHeartbeat = heartbeatID{hb.Incarnation, hb.Tick}
	if outcome != outcomeOvertaken {
		m.Addr = hb.Addr
		s.applyHeartbeat(m, hb, viaHeartbeat, now)
		m.delivery.pausedUntil = 0
	}
	commands, complete := s.dueCommands(m, outcome == outcomeAnswered, viaHeartbeat, now)
	if !complete {
		return response, outcomeStopsPending
	}
	s.recordAnswer(m, now)
	return wire.HeartbeatResponse{FencingToken: m.delivery.token, Orders: commands}, outcome
}

// recordAnswer records that a heartbeat is answered with 200, so that the worker's lease is extended.
func (s *State) recordAnswer(m *machine, now clock.Micros) {
	m.worker.answeredAt = now
	if gate := s.zoneGates[m.Zone]; gate != nil {
		gate.RecordHeartbeat(now)
	}
	if m.worker.overdue {
		m.worker.overdue = false
		s.resetIdle(m, now)
	}
}

// classifyHeartbeat decides whether a heartbeat is answered with 200, which extends the worker's lease.
func (s *State) classifyHeartbeat(m *machine, hb *wire.Heartbeat, partition int) heartbeatOutcome {
	switch {
	case m.partition != partition:
		return outcomeOtherPartition
	case m.worker.gone:
		return outcomeGone
	case m.worker.isFormerIncarnation(hb):
		return outcomeFormerIncarnation
	case hb.FencingToken > m.delivery.token && hb.FencingToken>>termShift > s.terms[partition]:
		return outcomeLaterTerm
	case m.worker.isCopy(hb):
		return outcomeCopy
	case !m.worker.isNewer(hb):
		return outcomeOvertaken
	case !m.accounted && hb.FencingToken < firstToken(s.terms[partition]), m.delivery.hasLostToken(hb):
		return outcomeUnaccounted
	}
	return outcomeAnswered
}

// applyHeartbeat applies a worker's status to its machine. A status that is not newer than the newest one known
// changes nothing.
func (s *State) applyHeartbeat(m *machine, hb *wire.Heartbeat, via route, now clock.Micros) {
	if !m.worker.isNewer(hb) {
		return
	}
	wasAccounted := m.accounted
	changed := s.applyIncarnation(m, hb, now)
	changed = s.applyWorkerState(m, hb, now) || changed
	listed := s.applyTasks(m, hb, wasAccounted, now)
	if len(listed) < len(m.tasks) {
		s.removeUnlistedTasks(m, hb, listed, via)
	}
	if len(m.tasks) > 0 {
		m.idleSince = now
	}
	if changed {
		s.markChanged(m)
		s.deliveryCandidates[m.id] = m
	}
}

// applyIncarnation records the incarnation and tick of a status. When a worker begins a later incarnation it has killed
// the tasks of the earlier ones, so all attempts past taskLeased are removed (docs/design.md, "Why the rules hold",
// number 4).
func (s *State) applyIncarnation(m *machine, hb *wire.Heartbeat, now clock.Micros) (changed bool) {
	changed = !m.worker.contacted
	if !m.worker.contacted || hb.Incarnation > m.worker.incarnation {
		// The worker's lease runs for its whole duration from the start of the incarnation, whether or not a
		// heartbeat is answered, and the incarnation may have started as late as now.
		m.worker.answeredAt = now
	}
	if m.worker.contacted && hb.Incarnation > m.worker.incarnation {
		// The worker has killed the tasks of earlier incarnations, and it executes no command that is addressed to
		// one.
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
	m.worker.contacted, m.worker.incarnation, m.worker.tick = true, hb.Incarnation, hb.Tick
	return changed
}

// applyWorkerState records the highest fencing token that the worker has seen, and its eviction notice. The first token
// of this term makes the machine accounted for: the worker rejects all commands of former leaders from then on
// (docs/design.md, "Why the rules hold", number 6).
func (s *State) applyWorkerState(m *machine, hb *wire.Heartbeat, now clock.Micros) (changed bool) {
	if m.delivery.hasLostToken(hb) {
		m.accounted, changed = false, true
	}
	m.delivery.reportedToken = hb.FencingToken
	if m.delivery.confirmToken != 0 && hb.FencingToken >= m.delivery.confirmToken {
		m.delivery.confirmToken, changed = 0, true
		s.resetIdle(m, now)
	}
	if !m.accounted && hb.FencingToken >= firstToken(s.terms[m.partition]) {
		m.accounted = true
		s.markAllChanged(m) // schedulers have not relied on the list of its tasks until now and need all of it
	}
	if given := hb.EvictionNoticeS != nil; given != m.eviction.given {
		m.eviction.given, changed = given, true
	}
	if hb.EvictionNoticeS != nil {
		m.eviction.at = now + clock.FromSeconds(*hb.EvictionNoticeS)
	}
	return changed
}

// applyTasks records the phases of the tasks that a worker lists, and returns their ids. wasAccounted says whether the
// machine was accounted for before this status.
func (s *State) applyTasks(m *machine, hb *wire.Heartbeat, wasAccounted bool, now clock.Micros) (listed map[peer.TaskID]bool) {
	listed = make(map[peer.TaskID]bool, len(hb.Tasks))
	for _, status := range hb.Tasks {
		id, ok := attemptID(status.Task, status.Attempt)
		if !ok {
			continue
		}
		listed[id] = true
		t := m.tasks[id]
		if t == nil {
			t = s.addFoundTask(m, id, now)
			s.reportFoundTask(m, t, status.Phase, wasAccounted)
		}
		if t.state == taskSent {
			s.counters.leaseToStart.Record(now - t.addedAt)
		}
		if t.state < taskReported || t.phase != status.Phase {
			s.markTaskChanged(m, t)
			s.recordHistory(m, id, status.Phase, status.Cause)
			switch status.Phase {
			case wire.TaskExited:
				s.recordExit(m, t, status.Cause, now)
			case wire.TaskRunning:
				s.markProven(m)
			}
		}
		t.setReported(status)
	}
	return listed
}

// addFoundTask adds a task that a worker lists and that this leader has not assigned: a former leader did.
func (s *State) addFoundTask(m *machine, id peer.TaskID, now clock.Micros) *task {
	t := &task{id: id, addedAt: now}
	if j, ok := s.jobs.Active(id.Job); ok {
		t.team, t.priority, t.need = j.Team, j.PriorityLevel, j.Need
		s.recordImage(m, j.Image, j.ImageGB)
	}
	m.tasks[id] = t
	return t
}

// reportFoundTask counts an attempt that this leader has not assigned. On a machine that was accounted for it is unexpected:
// all commands of former leaders are rejected there, and this leader's attempts are known.
func (s *State) reportFoundTask(m *machine, t *task, phase string, wasAccounted bool) {
	if !wasAccounted {
		s.counters.found[foundUnaccounted].Inc()
		return
	}
	s.counters.found[foundAccounted].Inc()
	s.addNotice("unassigned attempt found", "machine", m.id, "task", wire.TaskName(t.id.Job, t.id.N), "attempt", t.id.Attempt,
		"phase", phase, "token", m.delivery.token, "reported_token", m.delivery.reportedToken,
		"incarnation", m.worker.incarnation, "tick", m.worker.tick)
}

// removeUnlistedTasks removes the tasks that a worker has listed before and does not list any more, and those that were
// stopped before they started and can't start any more. The latter is certain only from a heartbeat that was sent after
// the one whose response carried the last run command, and when no unanswered delivery can still bring a run command
// (docs/design.md, "Why the rules hold", number 2).
func (s *State) removeUnlistedTasks(m *machine, hb *wire.Heartbeat, listed map[peer.TaskID]bool, via route) {
	for id, t := range m.tasks {
		if listed[id] || t.state == taskLeased {
			continue
		}
		switch {
		case t.state >= taskReported:
			s.removeTask(m, t) // the worker has forgotten it
		case t.stopping && via == viaHeartbeat && hb.Tick > t.runTick && !m.delivery.runMayArrive(t):
			s.removeTask(m, t) // it has not started, and no run command for it can arrive any more
		}
	}
}

// resetIdle restarts a machine's idle time when the machine becomes usable again. A machine that was cut off or hung
// could get no tasks, so it was not idle. Otherwise the autoscaler would return all machines of a network partition
// the moment they are reachable, and rent new ones.
func (s *State) resetIdle(m *machine, now clock.Micros) {
	m.idleSince = now
	s.markChanged(m)
}
