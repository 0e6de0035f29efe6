package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// HasBatch reports whether there is something to send to a partition leader now.
func (s *Scheduler) HasBatch(host string, now clock.Micros) bool { return s.sessions[host].isDue(now) }

// NextBatch returns the batch to send to a partition leader now, nil for nothing. A batch
// without an answer is returned again as it was.
func (s *Scheduler) NextBatch(host string) *peer.Batch {
	session := s.sessions[host]
	return session.next(s.instance, session.instance, s.TeamTerms)
}

// HandleBatchResponse applies the answer to a batch; ok is false when another process has
// answered than the one that the batch was for.
func (s *Scheduler) HandleBatchResponse(host string, batch *peer.Batch, ans *peer.BatchResponse, now clock.Micros) (ok bool) {
	session := s.sessions[host]
	if session.inFlight != batch {
		return true
	}
	if ans.Incarnation != session.inFlightInstance || ans.Incarnation != session.instance {
		// The process that may have accepted assignments is not the one that has answered.
		session.abandon()
		return false
	}
	session.inFlight = nil
	s.setReachable(host, true)
	for i := range batch.Asks {
		if m := s.machines[batch.Asks[i].Machine]; m != nil {
			if a := m.assignments[batch.Asks[i].ID]; a != nil {
				s.handleAnswer(a, m, answerTo(i, host, ans), now)
			}
		}
	}
	s.recordCancelAcknowledgements(batch, ans.Incarnation)
	return true
}

// answer is what a partition leader has decided on an assignment.
type answer struct {
	accepted bool
	yielded  bool   // rejected since other teams have a better right
	leader   string // controller that has decided: perhaps not the machine's present leader
	instance string // its process
	version  uint64 // of the machine's view with the assignment
}

// answerTo returns the answer to the assignment at a place of a batch. What is not in the answer was rejected.
func answerTo(i int, leader string, ans *peer.BatchResponse) answer {
	out := answer{yielded: i < len(ans.Yielded) && ans.Yielded[i], leader: leader, instance: ans.Incarnation}
	if i < len(ans.Refused) && i < len(ans.Versions) && !ans.Refused[i] {
		out.accepted, out.version = true, ans.Versions[i]
	}
	return out
}

// handleAnswer applies the answer to one assignment.
func (s *Scheduler) handleAnswer(a *assignment, m *machineState, ans answer, now clock.Micros) {
	mv := s.moves.byDestination[a]
	if mv != nil && !ans.accepted {
		s.applyMoveAction(mv, mv.LeaseRejected())
	}
	switch {
	case ans.yielded:
		s.counters.Yielded++
		s.releaseAssignment(a)
		s.recomputeAvailable(m)
		a.job.team.recordYielding(ans.leader, a.job.PriorityLevel, now)
	case !ans.accepted:
		s.counters.Rejected++
		s.releaseAssignment(a)
		// A newer view will show why; until it is here no task is assigned to the machine.
		m.rejectedAt, m.rejected = now, true
		s.recomputeAvailable(m)
	default:
		s.handleAcceptance(a, m, ans)
	}
}

// handleAcceptance marks an assignment as accepted.
func (s *Scheduler) handleAcceptance(a *assignment, m *machineState, ans answer) {
	a.unanswered, a.instance, a.viewVersion = false, ans.instance, ans.version
	delete(a.job.team.yielding, ans.leader)
	if mv := s.moves.byDestination[a]; mv != nil {
		s.applyMoveAction(mv, mv.LeaseAccepted())
	}
	if m.Accounted && m.instance == ans.instance {
		// A poll may have shown the machine already as it was after the acceptance, with the
		// task gone again: no newer view would come to release it.
		s.releaseIfGone(a, m)
	}
	s.recomputeAvailable(m)
}

// recordCancelAcknowledgements records that a process has a batch's cancellations in memory (argument 11).
func (s *Scheduler) recordCancelAcknowledgements(batch *peer.Batch, instance string) {
	for _, c := range batch.Cancels {
		tm := s.teams[c.Team]
		if tm == nil || tm.term != batch.Terms[c.Team] {
			continue // acknowledged for a former term, which counts for nothing in this one
		}
		if j := tm.jobs[c.Job]; j != nil && j.cancelling {
			j.cancelAcknowledged[instance] = true
		}
	}
}
