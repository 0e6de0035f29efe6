package partition

import (
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// errorResponse answers a worker with an error; retryAfterS is in seconds, 0 for none.
func errorResponse(status int, text, leader string, retryAfterS int) httpx.Response {
	r := httpx.JSON(status, wire.Error{Error: text, Leader: leader})
	r.RetryAfter = retryAfterS
	return r
}

// maxMachineName bounds a machine's name in bytes, so that it fits into a key with its prefix.
const maxMachineName = 150

// validMachineName reports whether a name can be part of a key of the key-value store.
func validMachineName(name string) bool {
	if name == "" || len(name) > maxMachineName {
		return false
	}
	for _, c := range name {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// decodeHeartbeat reads a heartbeat and reports whether it is a valid one.
func decodeHeartbeat(body []byte, r *wire.Heartbeat) bool {
	err := json.Unmarshal(body, r)
	return err == nil && validMachineName(r.Machine) && r.Incarnation != 0 && r.Tick != 0
}

// HandleHeartbeat answers a worker's heartbeat: 421 names the partition's leader, 503 asks for another try. An answer
// with 200 extends the worker's lease.
func (s *Server) HandleHeartbeat(body []byte) httpx.Response {
	began := time.Now()
	defer func() { s.heartbeatDuty.Round(time.Since(began)) }()
	var r wire.Heartbeat
	if !decodeHeartbeat(body, &r) {
		return errorResponse(400, "not a report", "", 0)
	}
	partition := s.partitioning.PartitionOf(r.Machine, r.Zone)
	l, leading := s.elections.Leading(Duty(partition))
	if !leading {
		return s.redirectHeartbeat(&r, partition)
	}
	s.mu.Lock()
	term, have := s.state.PartitionTerm(partition)
	if !have || term != l.Term {
		s.mu.Unlock()
		return errorResponse(503, "taking over", "", 1)
	}
	before := s.state.Version()
	ans, ok := s.state.HandleHeartbeat(&r, partition, s.clock.Now())
	if s.state.Version() != before {
		s.notifyChange()
	}
	s.mu.Unlock()
	if !ok {
		return errorResponse(503, "an old report", "", 0)
	}
	response := httpx.JSON(200, ans)
	if !s.leads(partition, term) {
		// What is said now may not be true any more: this process was paused in between.
		return errorResponse(503, "the partition's claim is over", "", 1)
	}
	return response
}

// redirectHeartbeat answers a heartbeat of a machine whose partition this process doesn't lead.
func (s *Server) redirectHeartbeat(r *wire.Heartbeat, partition int) httpx.Response {
	leader, ok := s.elections.Leader(Duty(partition))
	if !ok || leader == s.controller {
		return errorResponse(503, "no controller has this machine now", "", 1)
	}
	s.misdirected.add(leader, r.Machine, s.clock.Now())
	return errorResponse(421, "another controller has this machine", leader, 0)
}

// HandleBatch carries out a scheduler's batch.
func (s *Server) HandleBatch(in peer.Batch) peer.BatchResponse {
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	ans := s.state.HandleBatch(in, s.incarnation, s.clock.Now())
	s.notifyChange()
	return ans
}

// Drain keeps machines free of new tasks and names those that may be returned.
func (s *Server) Drain(list []peer.MachineRef) []string {
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := s.state.Drain(list, s.partitioning.PartitionOf, s.clock.Now())
	s.notifyChange()
	return ready
}

// HandleMachinesGone takes the word that machines are gone for certain.
func (s *Server) HandleMachinesGone(list []peer.MachineRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.HandleMachinesGone(list, s.partitioning.PartitionOf, s.clock.Now())
	s.notifyChange()
}

// SetTypes sets the capacities of the machine types, and how many GB of images they keep.
func (s *Server) SetTypes(types map[string]resources.Amounts, caches map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetCaches(caches)
	s.state.SetTypes(types)
	s.notifyChange()
}

// SetZoneState takes the state of a zone.
func (s *Server) SetZoneState(name string, r zone.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetZoneState(name, r, s.clock.Now())
}

// AdmittedStages returns the stages that this partition leader admits in zones to which work returns.
func (s *Server) AdmittedStages() map[string]recovery.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AdmittedStages(s.clock.Now())
}

// Standings returns the teams' shares of the machines that are led, the capacity that they are of, and
// how many assignments had to leave resources to other teams.
func (s *Server) Standings() (capacity resources.Amounts, list []fairshare.Standing, yielded uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.arbiter == nil {
		return resources.Amounts{}, nil, 0
	}
	capacity, list = s.state.Standings(s.clock.Now())
	return capacity, list, s.state.arbiter.YieldCount()
}
