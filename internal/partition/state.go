// Package partition is the leadership of partitions of the machines: it takes the heartbeats of their workers,
// leases their resources to schedulers' assignments, and sends workers the commands that run, stop and forget tasks.
//
// State is the decision: plain code without I/O, goroutines or locks, which takes the time as a parameter. Server
// carries it out: it answers heartbeats and RPCs, delivers commands to workers' own addresses, publishes views to
// schedulers' polls and writes machine records. Server.mu guards the State.
//
// An input of State is a Handle method, Tick, or AcquirePartition and ReleasePartition; NextDelivery,
// UnrecordedMachines and what Tick returns are commands for the server to carry out, and their results come back as
// HandleDeliveryResponse, HandleDeliveryTimeout and HandleMachineRecord.
//
// Invariants, by the numbers of the arguments in docs/design.md, "Why the rules hold", and where they are kept:
//
//   - 1, fencing tokens: deliveryState
//   - 2, run commands that may still arrive: task.unansweredToken, deliveryState.runMayArrive
//   - 4, gone for certain: workerState, State.expireWorkerLease, State.applyIncarnation
//   - 5, machine records: recordState, Server.writeMachineRecords
//   - 6, a new partition leader: machine.accounted, State.AcquirePartition
//   - 7, fencing of former team leaders: teamTerms
//   - 11, cancellations: cancellations, State.jobEnded
//   - 13, copies of heartbeats: workerState.isCopy
package partition

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// JobLookup answers which jobs are active, from this controller's replica.
type JobLookup interface {
	Active(id string) (*jobs.Job, bool)
	// Ended reports whether a job whose record has a revision is over for certain.
	Ended(id string, made uint64) bool
}

// Timing is the intervals and limits that the decision uses.
type Timing struct {
	Lease            clock.Micros // the worker lease
	HeartbeatOverdue clock.Micros // without an answered heartbeat for so long a machine gets no tasks for now; 0: never
	RoomLeaseTTL     clock.Micros // of resource leases
	QuarantineErrors int          // jobs that fail in a row on a machine before it is quarantined
}

// State is the decision of a partition leader: the machines of all partitions that this process leads. It is
// guarded by its Server's lock.
type State struct {
	timing   Timing
	jobs     JobLookup
	arbiter  *fairshare.Arbiter // divides contended resources among teams; nil: the first assignment gets them
	history  *history.Ring      // nil: none is kept
	terms    map[int]uint64     // of the partitions that are led
	machines map[string]*machine
	changes  changeList
	// deliveryCandidates are machines that may have commands to be delivered.
	deliveryCandidates map[string]*machine

	capacities    map[string]resources.Amounts // by machine type
	images        imageCatalog
	teamTerms     teamTerms
	batches       batchResponses
	cancellations cancellations
	failingJobs   failingJobs
	zoneGates     map[string]*zoneGate // of zones to which work returns
}

// NewState makes a state without partitions.
func NewState(t Timing, j JobLookup) *State {
	return &State{
		timing:             t,
		jobs:               j,
		terms:              map[int]uint64{},
		machines:           map[string]*machine{},
		changes:            newChangeList(),
		deliveryCandidates: map[string]*machine{},
		capacities:         map[string]resources.Amounts{},
		images:             imageCatalog{cacheGB: map[string]float64{}, imageGB: map[string]float64{}},
		teamTerms:          teamTerms{},
		batches:            batchResponses{},
		cancellations:      cancellations{},
		failingJobs:        failingJobs{},
		zoneGates:          map[string]*zoneGate{},
	}
}

// SetTypes sets the capacities of the machine types.
func (s *State) SetTypes(types map[string]resources.Amounts) {
	s.capacities = types
	for _, m := range s.machines {
		m.capacity = types[m.Type]
		s.markChanged(m)
	}
}

// PartitionTerm returns the term of a partition that is led.
func (s *State) PartitionTerm(partition int) (term uint64, ok bool) {
	term, ok = s.terms[partition]
	return term, ok
}

// PartitionTerms returns the partitions that are led, with their terms.
func (s *State) PartitionTerms() map[int]uint64 { return maps.Clone(s.terms) }

// PartitionOf returns the partition of a machine that is known here.
func (s *State) PartitionOf(id string) (int, bool) {
	m := s.machines[id]
	if m == nil {
		return 0, false
	}
	return m.partition, true
}

// MachineCount is how many machines are known here.
func (s *State) MachineCount() int { return len(s.machines) }
