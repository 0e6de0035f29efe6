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

// errorResponse returns an error response to a worker. leader names the partition's leader, "" for none. retryAfterS
// is the time in seconds after which the worker may try again, 0 for none.
func errorResponse(status int, text, leader string, retryAfterS int) httpx.Response {
	r := httpx.JSON(status, wire.Error{Error: text, Leader: leader})
	r.RetryAfter = retryAfterS
	return r
}

// maxMachineName is the longest machine name that is accepted, in bytes, so that a key with the name and its prefix
// fits into the key-value store.
const maxMachineName = 150

// validMachineName reports whether a name can be part of a key in the key-value store.
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

// decodeHeartbeat decodes a heartbeat and reports whether it is valid.
func decodeHeartbeat(body []byte, hb *wire.Heartbeat) bool {
	err := json.Unmarshal(body, hb)
	return err == nil && validMachineName(hb.Machine) && hb.Incarnation != 0 && hb.Tick != 0
}

// HandleHeartbeat answers a worker's heartbeat. A response with 200 extends the worker's lease, 421 names the
// partition's leader, 503 asks the worker to try again, and 400 rejects an invalid heartbeat.
func (s *Server) HandleHeartbeat(body []byte) httpx.Response {
	start := time.Now()
	defer func() { s.heartbeatDuty.RecordRound(time.Since(start)) }()
	var hb wire.Heartbeat
	if !decodeHeartbeat(body, &hb) {
		return errorResponse(400, "not a report", "", 0)
	}
	partition := s.partitioning.PartitionOf(hb.Machine, hb.Zone)
	leadership, leading := s.elections.Leading(Duty(partition))
	if !leading {
		return s.redirectHeartbeat(&hb, partition)
	}
	s.mu.Lock()
	term, held := s.state.PartitionTerm(partition)
	if !held || term != leadership.Term {
		s.mu.Unlock()
		return errorResponse(503, "taking over", "", 1)
	}
	before := s.state.Version()
	answer, ok := s.state.HandleHeartbeat(&hb, partition, s.clock.Now())
	if s.state.Version() != before {
		s.notifyChange()
	}
	s.mu.Unlock()
	if !ok {
		return errorResponse(503, "an old report", "", 0)
	}
	response := httpx.JSON(200, answer)
	if !s.leads(partition, term) {
		// The response may be outdated: if this process was paused since the check above, another one may lead the
		// partition now.
		return errorResponse(503, "the partition's claim is over", "", 1)
	}
	return response
}

// redirectHeartbeat answers the heartbeat of a machine whose partition this process does not lead: with 421 and the
// leader's name, or with 503 if none is known or the leader is this controller, which may not act at present.
func (s *Server) redirectHeartbeat(hb *wire.Heartbeat, partition int) httpx.Response {
	leader, ok := s.elections.Leader(Duty(partition))
	if !ok || leader == s.controller {
		return errorResponse(503, "no controller has this machine now", "", 1)
	}
	s.misdirected.add(leader, hb.Machine, s.clock.Now())
	return errorResponse(421, "another controller has this machine", leader, 0)
}

// HandleBatch carries out a scheduler's batch on the partitions that this process leads now.
func (s *Server) HandleBatch(in peer.Batch) peer.BatchResponse {
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	response := s.state.HandleBatch(in, s.processID, s.clock.Now())
	s.notifyChange()
	return response
}

// Drain marks those of the machines that can be returned to the cloud as draining and returns their ids. See
// State.Drain.
func (s *Server) Drain(list []peer.MachineRef) []string {
	s.Reconcile()
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := s.state.Drain(list, s.partitioning.PartitionOf, s.clock.Now())
	s.notifyChange()
	return ready
}

// HandleMachinesGone records that machines are gone for certain.
func (s *Server) HandleMachinesGone(list []peer.MachineRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.HandleMachinesGone(list, s.partitioning.PartitionOf, s.clock.Now())
	s.notifyChange()
}

// SetMachineTypes sets the capacity and the image cache size, in GB, of each machine type.
func (s *Server) SetMachineTypes(types map[string]resources.Amounts, caches map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetImageCacheSizes(caches)
	s.state.SetMachineTypes(types)
	s.notifyChange()
}

// SetZoneState applies the state of a zone from its record.
func (s *Server) SetZoneState(name string, r zone.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetZoneState(name, r, s.clock.Now())
}

// AdmittedStages returns, for each zone that is lost or returning, the stage that this partition leader admits now.
func (s *Server) AdmittedStages() map[string]recovery.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AdmittedStages(s.clock.Now())
}

// Standings returns the teams' fair shares of the machines that this process leads, the capacity that the shares
// refer to, and the number of assignments that had to leave resources to other teams.
func (s *Server) Standings() (capacity resources.Amounts, list []fairshare.Standing, yielded uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.arbiter == nil {
		return resources.Amounts{}, nil, 0
	}
	capacity, list = s.state.Standings(s.clock.Now())
	return capacity, list, s.state.arbiter.YieldCount()
}
