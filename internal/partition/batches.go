package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// batchRetention is how long the last batch of a scheduler's process is remembered: by then the process is gone.
const batchRetention = 3600 * clock.Second

// lastBatch is the latest batch of one process, with its response.
type lastBatch struct {
	seq       uint64
	response  peer.BatchResponse
	handledAt clock.Micros
}

// batchResponses are the last batches by the incarnation of the sending process: a repeat is answered alike and
// changes nothing, and what is older than the last is rejected.
type batchResponses map[string]lastBatch

func (b batchResponses) expire(now clock.Micros) {
	for from, last := range b {
		if now > last.handledAt+batchRetention {
			delete(b, from)
		}
	}
}

// HandleBatch carries out what a scheduler has for this partition leader.
func (s *State) HandleBatch(in peer.Batch, incarnation string, now clock.Micros) peer.BatchResponse {
	last := s.batches[in.From]
	if in.Seq == last.seq && in.Seq != 0 {
		return last.response
	}
	ans := peer.BatchResponse{Incarnation: incarnation, Refused: make([]bool, len(in.Asks)), Versions: make([]uint64, len(in.Asks))}
	if in.Seq < last.seq {
		for i := range ans.Refused {
			ans.Refused[i] = true
		}
		return ans
	}
	s.teamTerms.fence(in.Terms)
	s.applyCancellations(in.Cancels, in.Terms, now)
	s.applyStops(in.Stops)
	for i := range in.Starts {
		s.startReserved(&in.Starts[i], in.Terms[in.Starts[i].Team], now)
	}
	s.applyAcknowledgements(in.Settles)
	s.quarantineSlow(in.Slow)
	s.decideAssignments(&in, &ans, now)
	s.batches[in.From] = lastBatch{in.Seq, ans, now}
	return ans
}

func (s *State) applyStops(list []peer.StopTask) {
	for _, stop := range list {
		if m, t := s.findTask(stop.Machine, stop.ID); t != nil {
			s.stopTask(m, t, stop.GraceS)
		}
	}
}

func (s *State) applyAcknowledgements(list []peer.Acknowledgement) {
	for _, a := range list {
		if _, t := s.findTask(a.Machine, a.ID); t != nil && t.exited() {
			t.acknowledged = true
		}
	}
}

// decideAssignments accepts or rejects the assignments of a batch, one after the other.
func (s *State) decideAssignments(in *peer.Batch, ans *peer.BatchResponse, now clock.Micros) {
	for i := range in.Asks {
		a := &in.Asks[i]
		decision := s.acceptAssignment(a, in.Terms[a.Team], now)
		ans.Refused[i] = decision != accepted
		ans.Versions[i] = s.changes.version
		if decision == yielded {
			if ans.Yielded == nil {
				ans.Yielded = make([]bool, len(in.Asks))
			}
			ans.Yielded[i] = true
		}
	}
}

// findTask finds a task on a machine; t is nil where either is not known here.
func (s *State) findTask(machineID string, id peer.TaskID) (m *machine, t *task) {
	m = s.machines[machineID]
	if m == nil {
		return nil, nil
	}
	return m, m.tasks[id]
}
