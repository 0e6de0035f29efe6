package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// HasBatch reports whether there is a batch to send to a partition leader now.
func (s *Scheduler) HasBatch(host string, now clock.Micros) bool { return s.sessions[host].isDue(now) }

// NextBatch returns the batch to send to a partition leader now, or nil if there is none. It returns the same batch until the
// batch is answered or the partition leader's process has been replaced.
func (s *Scheduler) NextBatch(host string) *peer.Batch {
	session := s.sessions[host]
	return session.next(s.processID, session.processID, s.TeamTerms)
}

// HandleBatchResponse applies the response to a batch. ok is false if the response is not from the process for which the batch was
// made, or that process has been replaced since. A response to a batch that is no longer in flight changes nothing.
func (s *Scheduler) HandleBatchResponse(host string, batch *peer.Batch, response *peer.BatchResponse, now clock.Micros) (ok bool) {
	session := s.sessions[host]
	if session.inFlight != batch {
		return true
	}
	if response.Incarnation != session.inFlightProcess || response.Incarnation != session.processID {
		// The process that was to get the batch may have accepted its assignments; a response from another does not tell.
		session.abandonInFlight()
		return false
	}
	session.inFlight = nil
	s.setReachable(host, true)
	for i := range batch.Asks {
		if m := s.machines[batch.Asks[i].Machine]; m != nil {
			if a := m.assignments[batch.Asks[i].ID]; a != nil {
				s.handleAssignmentResponse(a, m, assignmentResponseAt(i, host, response), now)
			}
		}
	}
	s.recordCancelAcknowledgements(batch, response.Incarnation)
	return true
}

// assignmentResponse is the response of a partition leader to one assignment.
type assignmentResponse struct {
	accepted  bool
	yielded   bool   // rejected in favour of other teams
	leader    string // controller that has responded, which may have lost the machine's partition since
	processID string // its process
	version   uint64 // version of the machine's view from which on it shows the assignment
}

// assignmentResponseAt returns the response to the assignment with index i of a batch. An assignment that the response does not
// contain counts as rejected.
func assignmentResponseAt(i int, leader string, response *peer.BatchResponse) assignmentResponse {
	out := assignmentResponse{yielded: i < len(response.Yielded) && response.Yielded[i], leader: leader, processID: response.Incarnation}
	if i < len(response.Refused) && i < len(response.Versions) && !response.Refused[i] {
		out.accepted, out.version = true, response.Versions[i]
	}
	return out
}

// handleAssignmentResponse applies the response to one assignment.
func (s *Scheduler) handleAssignmentResponse(a *assignment, m *machineState, response assignmentResponse, now clock.Micros) {
	mv := s.moves.byDestination[a]
	if mv != nil && !response.accepted {
		s.applyMoveAction(mv, mv.LeaseRejected())
	}
	switch {
	case response.yielded:
		s.counters.Yielded++
		s.releaseAssignment(a)
		s.recomputeAvailable(m)
		a.job.team.recordYield(response.leader, a.job.PriorityLevel, now)
	case !response.accepted:
		s.counters.Rejected++
		s.releaseAssignment(a)
		// No task is assigned to the machine's free capacity for rejectionBackoff, unless a newer view arrives that shows it.
		m.rejectedAt, m.rejected = now, true
		s.recomputeAvailable(m)
	default:
		s.handleAcceptance(a, m, response)
	}
}

// handleAcceptance marks an assignment as accepted, and releases it if its task is gone again already.
func (s *Scheduler) handleAcceptance(a *assignment, m *machineState, response assignmentResponse) {
	a.unanswered, a.processID, a.viewVersion = false, response.processID, response.version
	delete(a.job.team.yieldBackoffs, response.leader)
	if mv := s.moves.byDestination[a]; mv != nil {
		s.applyMoveAction(mv, mv.LeaseAccepted())
	}
	if m.Accounted && m.processID == response.processID {
		// A poll may have shown the machine after the acceptance already, with the task gone again. No newer view would
		// release the assignment then.
		s.releaseIfGone(a, m)
	}
	s.recomputeAvailable(m)
}

// recordCancelAcknowledgements records that a process has the cancellations of a batch in memory. If a task of the job may have
// been assigned, the cancellation is only confirmed when that holds for every partition leader: otherwise one could still start
// the task (docs/design.md, "Why the rules hold", number 11).
func (s *Scheduler) recordCancelAcknowledgements(batch *peer.Batch, processID string) {
	for _, c := range batch.Cancels {
		tm := s.teams[c.Team]
		if tm == nil || tm.term != batch.Terms[c.Team] {
			continue // an acknowledgement under a former term does not count under the present one
		}
		if j := tm.jobs[c.Job]; j != nil && j.cancelling {
			j.cancelAcknowledged[processID] = true
		}
	}
}
