package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// NextPoll gives the next poll for an owner. When a team's term is new to it,
// everything is asked for, so that the answer is given under that term's fence.
func (s *Scheduler) NextPoll(host string) peer.PollRequest {
	o := s.sessions[host]
	in := peer.PollRequest{Incarnation: o.instance, Cursor: o.cursor, Terms: s.TeamTerms(), Gen: o.generation}
	for t, term := range in.Terms {
		if o.fencedTerms[t] != term {
			in.Incarnation = ""
		}
	}
	if o.resync {
		in.Incarnation = ""
	}
	return in
}

// partitionCheckInterval is how often an owner's partitions are held against all machines: a
// late word of a former owner may have brought one back that is gone.
const partitionCheckInterval = 2 * clock.Second

// HandlePollResponse takes an owner's answer to a poll.
func (s *Scheduler) HandlePollResponse(host string, in peer.PollRequest, ans *peer.PollResponse, now clock.Micros) {
	o := s.sessions[host]
	s.setReachable(host, true)
	if ans.Incarnation != o.instance {
		if in.Gen != o.generation || !ans.Full {
			return // asked before the present process was met: the word of a former one
		}
		s.startSession(o, ans.Incarnation)
	}
	if ans.Cursor < o.cursor {
		return // an answer older than one taken already
	}
	moved := !maps.Equal(o.partitionTerms, ans.Parts)
	o.cursor, o.partitionTerms = ans.Cursor, ans.Parts
	o.polledAt, o.supportsReservations = now, ans.Holds
	if len(ans.Standings) > 0 {
		o.shares = leaderShares{ans.Capacity, ans.Standings, now}
	}
	if ans.Full {
		o.resync = false
		for t, term := range in.Terms {
			if tm := s.teams[t]; tm != nil && tm.term == term {
				o.fencedTerms[t] = term
			}
		}
	}
	for i := range ans.Machines {
		s.updateMachine(host, o, &ans.Machines[i], now)
	}
	if !moved && !ans.Full && now < o.partitionsCheckedAt+partitionCheckInterval {
		return
	}
	o.partitionsCheckedAt = now
	for _, m := range s.machines {
		switch held := o.partitionTerms[m.Part]; {
		case held > m.Term:
			// This owner took over later than the view was made, has told all
			// machines that it found registered, and this one is not among
			// them: its record was dropped, so it was gone for certain.
			s.forgetMachine(m)
		case m.leader == host && held != m.Term:
			m.Usable = false
		}
	}
	s.reindexLeader(host)
}

// startSession notes the instance of an owner's process. A round that was on its way to
// a former process is over: what it asked for is settled by the machines' next owner.
func (s *Scheduler) startSession(o *leaderSession, instance string) {
	o.fencedTerms = map[string]uint64{}
	o.partitionTerms = map[int]uint64{}
	o.cursor = 0
	o.instance = instance
	o.generation++
}

// MarkUnreachable notes that an owner can't be reached now.
func (s *Scheduler) MarkUnreachable(host string) { s.setReachable(host, false) }

// updateMachine takes one machine's view and settles with it what it can.
func (s *Scheduler) updateMachine(host string, o *leaderSession, v *peer.MachineView, now clock.Micros) {
	m := s.machines[v.ID]
	if m == nil {
		if v.Silent && !s.recordedMachines[v.ID] {
			return
		}
		m = &machineState{nameHash: nameHash(v.ID), assignments: map[peer.TaskID]*assignment{}, tasks: map[peer.TaskID]*observedTask{}, fetchingJobs: map[string]int{}}
		s.machines[v.ID] = m
	} else if v.Term < m.Term || v.Term == m.Term && m.instance == o.instance && v.Version < m.Version {
		return
	}
	images := m.Images
	m.MachineView, m.leader, m.instance, m.updatedAt = *v, host, o.instance, now
	if v.Images == nil && !v.Whole {
		m.Images = images
	}
	m.Tasks, m.Left, m.rejected = nil, nil, false
	listed := make(map[peer.TaskID]bool, len(v.Tasks))
	for i := range v.Tasks {
		s.addObservedTask(m, &observedTask{TaskView: v.Tasks[i], startedAt: now - v.Tasks[i].Since})
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
			s.removeObservedTask(m, id)
		}
	}
	if len(m.tasks) != v.Count {
		o.resync = true // should not be; a whole view puts it right
	}
	if v.Accounted {
		s.reconcileMachine(o, m, v, gone, now)
	}
	s.recomputeAvailable(m)
	s.forgetSilent(m)
}

// reconcileMachine compares what a view tells of an accounted machine's tasks with
// what is known of them.
func (s *Scheduler) reconcileMachine(o *leaderSession, m *machineState, v *peer.MachineView, gone []peer.TaskID, now clock.Micros) {
	for i := range v.Tasks {
		s.reconcileTask(o, m, &v.Tasks[i], now)
	}
	if v.Whole {
		for _, b := range m.assignmentsByAttempt() {
			s.releaseIfGone(b, m)
		}
	} else {
		for _, id := range gone {
			if b := m.assignments[id]; b != nil {
				s.releaseIfGone(b, m)
			}
		}
	}
	for name, tm := range s.teams {
		if o.fencedTerms[name] == tm.term && !tm.accounted[m.ID] && !m.hasUnidentifiedTask() {
			tm.accounted[m.ID] = true
			delete(tm.unaccounted, m.ID)
		}
	}
}

// hasUnidentifiedTask tells that something is on a machine of which its owner knows neither the team
// nor what it takes: it was found, and its job is over. Any team may have it.
func (m *machineState) hasUnidentifiedTask() bool {
	for _, s := range m.tasks {
		if s.Team == "" && s.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// releaseIfGone releases a binding whose task is not on its accounted machine. That
// is certain when the view is newer than the grant, or comes from a later
// owner, to whom the ask can't be granted any more.
func (s *Scheduler) releaseIfGone(b *assignment, m *machineState) {
	if m.tasks[b.id] != nil {
		return
	}
	if m.Term > b.term || !b.unanswered && (m.instance != b.instance || m.Version >= b.viewVersion) {
		if !b.reserved {
			s.counters.Lost++
			b.job.retries++
		}
		s.releaseAssignment(b)
	}
}
