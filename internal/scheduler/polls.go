package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// NextPoll returns the next poll for a partition leader. It asks for all machines if the partition leader has not fenced the
// present term of some team: only views made after that show all tasks that former leaders of the team may have assigned
// (docs/design.md, "Why the rules hold", number 7). It also does so after a view that was inconsistent with the cached state.
func (s *Scheduler) NextPoll(host string) peer.PollRequest {
	session := s.sessions[host]
	request := peer.PollRequest{Incarnation: session.processID, Cursor: session.cursor, Terms: s.TeamTerms(), Gen: session.generation}
	for team, term := range request.Terms {
		if session.fencedTerms[team] != term {
			request.Incarnation = ""
		}
	}
	if session.resync {
		request.Incarnation = ""
	}
	return request
}

// partitionCheckInterval is how often the partitions of a partition leader are compared with all cached machines, even if they
// have not changed: a late response of a former leader may have brought back a machine that is gone.
const partitionCheckInterval = 2 * clock.Second

// MarkUnreachable records that a partition leader can't be reached at present.
func (s *Scheduler) MarkUnreachable(host string) { s.setReachable(host, false) }

// HandlePollResponse applies a partition leader's response to a poll.
func (s *Scheduler) HandlePollResponse(host string, request peer.PollRequest, response *peer.PollResponse, now clock.Micros) {
	session := s.sessions[host]
	s.setReachable(host, true)
	if response.Incarnation != session.processID {
		if request.Gen != session.generation || !response.Full {
			return // a former process has responded, to a poll sent before the present one was seen, or machines are missing
		}
		session.start(response.Incarnation)
	}
	if response.Cursor < session.cursor {
		return // a later response has been applied already
	}
	termsChanged := !maps.Equal(session.partitionTerms, response.Parts)
	s.applyPollHeader(session, request.Terms, response, now)
	for i := range response.Machines {
		s.updateMachine(host, session, &response.Machines[i], now)
	}
	if termsChanged || response.Full || now >= session.partitionsCheckedAt+partitionCheckInterval {
		s.checkPartitions(host, session, now)
	}
}

// applyPollHeader applies the part of a response that concerns the partition leader as a whole. The partition leader fences the
// terms of a poll before it responds. A full response has only views made after that, so the terms count as fenced.
func (s *Scheduler) applyPollHeader(session *leaderSession, terms map[string]uint64, response *peer.PollResponse, now clock.Micros) {
	session.cursor, session.partitionTerms = response.Cursor, response.Parts
	session.polledAt, session.supportsHeldLeases = now, response.Holds
	if len(response.Standings) > 0 {
		session.shares = leaderShares{response.Capacity, response.Standings, now}
	}
	if !response.Full {
		return
	}
	session.resync = false
	for name, term := range terms {
		if tm := s.teams[name]; tm != nil && tm.term == term {
			session.fencedTerms[name] = term
		}
	}
}

// checkPartitions compares the partitions of a leader with all cached machines: it releases machines that are gone, and marks
// machines as unusable if the leader has lost their partition.
func (s *Scheduler) checkPartitions(host string, session *leaderSession, now clock.Micros) {
	session.partitionsCheckedAt = now
	for _, m := range s.machines {
		switch term := session.partitionTerms[m.Part]; {
		case term > m.Term:
			// The leader acquired the partition after the view was made, and has reported every machine that it found on
			// record. This machine was not among them, so its record had been removed, which happens only when the machine
			// is gone for certain (docs/design.md, "Why the rules hold", numbers 5 and 6).
			s.releaseMachine(m)
		case m.leader == host && term != m.Term:
			m.Usable = false
		}
	}
	s.reindexLeader(host)
}

// updateMachine applies the view of one machine, and reconciles its assignments if the view is Accounted, so that no task that may
// be on the machine is unknown to its partition leader.
func (s *Scheduler) updateMachine(host string, session *leaderSession, view *peer.MachineView, now clock.Micros) {
	m := s.machines[view.ID]
	if m == nil {
		if view.Silent && !s.recordedMachines[view.ID] {
			return
		}
		m = newMachineState(view.ID)
		s.machines[view.ID] = m
	} else if view.Term < m.Term || view.Term == m.Term && m.processID == session.processID && view.Version < m.Version {
		return // the cached state is newer
	}
	images := m.Images
	m.MachineView, m.leader, m.processID, m.updatedAt = *view, host, session.processID, now
	if view.Images == nil && !view.Whole {
		m.Images = images
	}
	m.Tasks, m.Left, m.rejected = nil, nil, false
	removed := s.updateObservedTasks(m, view, now)
	if len(m.tasks) != view.Count {
		session.resync = true // views and cached tasks should never differ; a full response corrects them
	}
	if view.Accounted {
		s.reconcileMachine(session, m, view, removed, now)
	}
	s.recomputeAvailable(m)
	s.removeIfObsolete(m)
}
