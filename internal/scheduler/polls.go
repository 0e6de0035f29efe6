package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// NextPoll returns the next poll for a partition leader. When a team's term is new to it,
// everything is asked for, so that the answer is given under that term's fence (argument 7).
func (s *Scheduler) NextPoll(host string) peer.PollRequest {
	session := s.sessions[host]
	in := peer.PollRequest{Incarnation: session.instance, Cursor: session.cursor, Terms: s.TeamTerms(), Gen: session.generation}
	for team, term := range in.Terms {
		if session.fencedTerms[team] != term {
			in.Incarnation = ""
		}
	}
	if session.resync {
		in.Incarnation = ""
	}
	return in
}

// partitionCheckInterval is how often a partition leader's terms are compared with all machines: a
// late answer of a former leader may have brought one back that is gone.
const partitionCheckInterval = 2 * clock.Second

// MarkUnreachable records that a partition leader is not reachable now.
func (s *Scheduler) MarkUnreachable(host string) { s.setReachable(host, false) }

// HandlePollResponse applies a partition leader's answer to a poll.
func (s *Scheduler) HandlePollResponse(host string, in peer.PollRequest, ans *peer.PollResponse, now clock.Micros) {
	session := s.sessions[host]
	s.setReachable(host, true)
	if ans.Incarnation != session.instance {
		if in.Gen != session.generation || !ans.Full {
			return // asked before the present process was seen: the answer of a former one
		}
		session.start(ans.Incarnation)
	}
	if ans.Cursor < session.cursor {
		return // older than an answer that was applied already
	}
	termsChanged := !maps.Equal(session.partitionTerms, ans.Parts)
	s.applyPollHeader(session, in.Terms, ans, now)
	for i := range ans.Machines {
		s.updateMachine(host, session, &ans.Machines[i], now)
	}
	if termsChanged || ans.Full || now >= session.partitionsCheckedAt+partitionCheckInterval {
		s.checkPartitions(host, session, now)
	}
}

// applyPollHeader applies what an answer says of the partition leader itself. A full answer was given under the fence of
// the terms that the poll named.
func (s *Scheduler) applyPollHeader(session *leaderSession, terms map[string]uint64, ans *peer.PollResponse, now clock.Micros) {
	session.cursor, session.partitionTerms = ans.Cursor, ans.Parts
	session.polledAt, session.supportsReservations = now, ans.Holds
	if len(ans.Standings) > 0 {
		session.shares = leaderShares{ans.Capacity, ans.Standings, now}
	}
	if !ans.Full {
		return
	}
	session.resync = false
	for name, term := range terms {
		if tm := s.teams[name]; tm != nil && tm.term == term {
			session.fencedTerms[name] = term
		}
	}
}

// checkPartitions compares the partitions that a leader leads with all machines.
func (s *Scheduler) checkPartitions(host string, session *leaderSession, now clock.Micros) {
	session.partitionsCheckedAt = now
	for _, m := range s.machines {
		switch term := session.partitionTerms[m.Part]; {
		case term > m.Term:
			// This leader took over later than the view was made, has reported all
			// machines that it found on record, and this one is not among
			// them: its record was dropped, so it was gone for certain (arguments 5 and 6).
			s.forgetMachine(m)
		case m.leader == host && term != m.Term:
			m.Usable = false
		}
	}
	s.reindexLeader(host)
}

// updateMachine applies one machine's view, and reconciles its assignments where the machine is accounted for.
func (s *Scheduler) updateMachine(host string, session *leaderSession, view *peer.MachineView, now clock.Micros) {
	m := s.machines[view.ID]
	if m == nil {
		if view.Silent && !s.recordedMachines[view.ID] {
			return
		}
		m = newMachineState(view.ID)
		s.machines[view.ID] = m
	} else if view.Term < m.Term || view.Term == m.Term && m.instance == session.instance && view.Version < m.Version {
		return // older than the cached state
	}
	images := m.Images
	m.MachineView, m.leader, m.instance, m.updatedAt = *view, host, session.instance, now
	if view.Images == nil && !view.Whole {
		m.Images = images
	}
	m.Tasks, m.Left, m.rejected = nil, nil, false
	left := s.updateObservedTasks(m, view, now)
	if len(m.tasks) != view.Count {
		session.resync = true // should not be; a whole view puts it right
	}
	if view.Accounted {
		s.reconcileMachine(session, m, view, left, now)
	}
	s.recomputeAvailable(m)
	s.forgetSilent(m)
}
