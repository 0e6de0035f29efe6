package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// batchRetention is how long the last batch of a scheduler's process is remembered. After that time the process is
// assumed to be gone, so that it can't repeat the batch.
const batchRetention = 3600 * clock.Second

// lastBatch is the latest batch of one scheduler process, with its response.
type lastBatch struct {
	seq       uint64
	response  peer.BatchResponse
	handledAt clock.Micros
}

// batchResponses holds the last batch of each scheduler process, by the ID of the process. A repeated batch
// gets the same response and changes nothing; a batch older than the last one is rejected.
type batchResponses map[string]lastBatch

func (b batchResponses) expire(now clock.Micros) {
	for from, last := range b {
		if now > last.handledAt+batchRetention {
			delete(b, from)
		}
	}
}

// HandleBatch carries out a scheduler's batch: cancellations, stops, starts, acknowledgements and reported machines
// first, then the assignments.
func (s *State) HandleBatch(in peer.Batch, processID string, now clock.Micros) peer.BatchResponse {
	last := s.batches[in.From]
	if in.Seq == last.seq && in.Seq != 0 {
		return last.response
	}
	response := peer.BatchResponse{Incarnation: processID, Refused: make([]bool, len(in.Asks)), Versions: make([]uint64, len(in.Asks))}
	if in.Seq < last.seq {
		for i := range response.Refused {
			response.Refused[i] = true
		}
		return response
	}
	s.teamTerms.fence(in.Terms)
	s.applyCancellations(in.Cancels, in.Terms, now)
	s.applyStops(in.Stops)
	for i := range in.Starts {
		s.startHeldLease(&in.Starts[i], in.Terms[in.Starts[i].Team], now)
	}
	s.applyAcknowledgements(in.Settles)
	s.quarantineReported(in.Slow)
	s.decideAssignments(&in, &response, now)
	s.batches[in.From] = lastBatch{in.Seq, response, now}
	return response
}

func (s *State) applyStops(list []peer.StopTask) {
	for _, stop := range list {
		if m, t := s.findTask(stop.Machine, stop.ID); t != nil {
			s.counters.stops[stopRequested].Inc()
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
func (s *State) decideAssignments(in *peer.Batch, response *peer.BatchResponse, now clock.Micros) {
	for i := range in.Asks {
		a := &in.Asks[i]
		outcome := s.acceptAssignment(a, in.Terms[a.Team], now)
		response.Refused[i] = outcome != accepted
		response.Versions[i] = s.changes.version
		if outcome == yielded {
			if response.Yielded == nil {
				response.Yielded = make([]bool, len(in.Asks))
			}
			response.Yielded[i] = true
		}
	}
}

// findTask returns a task and its machine. t is nil if either is not known here.
func (s *State) findTask(machineID string, id peer.TaskID) (m *machine, t *task) {
	m = s.machines[machineID]
	if m == nil {
		return nil, nil
	}
	return m, m.tasks[id]
}
