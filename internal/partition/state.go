// Package partition implements the leader of machine partitions. The leader processes the heartbeats of its machines'
// workers, grants or rejects schedulers' assignments of tasks to machines, and sends workers the commands that run,
// stop and forget tasks.
//
// State makes all decisions. It does no I/O, starts no goroutines and takes no locks; callers pass it the current
// time. Server carries the decisions out: it answers heartbeats and RPCs, delivers commands to the workers' own
// addresses, publishes machine views to schedulers' polls and writes machine records to the key-value store.
// Server.mu guards the State.
//
// The inputs of State are its Handle and Set methods, Tick, Drain, AcquirePartition and ReleasePartition. NextDelivery,
// UnrecordedMachines and Tick return commands to send and machine records to add or remove. The server reports their
// results with HandleDeliveryResponse, HandleDeliveryTimeout and HandleMachineRecord.
//
// The following invariants are numbered as in docs/design.md, "Why the rules hold", which gives the reasons. Each line
// ends with the types and methods that maintain the invariant.
//
//   - 1: workers reject commands of former partition leaders, by the fencing token: deliveryState
//   - 2: an attempt whose run command may still reach the worker is not given up: task.unanswered,
//     deliveryState.runMayArrive. It is forgotten only under a token above those that carried the command:
//     task.deliveredToken, deliveryState.raiseTokenAbove
//   - 4: a task counts as gone only when its worker must have ended it: workerState, State.expireWorkerLease,
//     State.applyIncarnation
//   - 5: a machine gets tasks only while its record is stored, so that a later leader knows of it: recordState,
//     Server.writeMachineRecords
//   - 6: a new partition leader assumes tasks of former leaders on a machine until the machine is accounted for:
//     machine.accounted, State.AcquirePartition
//   - 7: requests of former team leaders are rejected: teamTerms
//   - 11: no task of a cancelled job starts, even while this controller's replica is behind: cancellations,
//     State.jobEnded. No worker's lease is extended without stopping the tasks of ended jobs: State.dueCommands
//   - 13: copies of heartbeats extend no worker lease: workerState.isCopy
package partition

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// JobLookup reports which jobs are active, as of this controller's replica of the key-value store.
type JobLookup interface {
	Active(id string) (*jobs.Job, bool)
	// Ended reports whether a job has certainly ended. modRevision is the mod revision of the job's record, as the
	// caller knows it: a replica older than that revision proves nothing by not showing the job.
	Ended(id string, modRevision uint64) bool
}

// Timing holds the intervals and limits that State's decisions use.
type Timing struct {
	WorkerLease          clock.Micros // duration of the worker lease
	HeartbeatOverdue     clock.Micros // a machine gets no tasks after this long without an answered heartbeat; 0: no limit
	ResourceLeaseTTL     clock.Micros // how long a resource lease that is not held lasts while no run command has been sent for it
	QuarantineFailedJobs int          // number of different jobs that fail on a machine, with no success in between, to quarantine it
}

// State is the decision logic of a partition leader, with the machines of all partitions that this process leads. It
// is not safe for concurrent use: its Server's lock guards it.
type State struct {
	timing   Timing
	jobs     JobLookup
	arbiter  *fairshare.Arbiter // divides contended resources among teams; nil: the first assignment gets them
	history  *history.Ring      // nil: no history is kept
	terms    map[int]uint64     // terms of the partitions that this process leads, by partition
	machines map[string]*machine
	changes  changeList
	// deliveryCandidates are the machines that may have commands to deliver to the worker's own address.
	deliveryCandidates map[string]*machine

	capacities    map[string]resources.Amounts // by machine type
	images        imageCatalog
	teamTerms     teamTerms
	batches       batchResponses
	cancellations cancellations
	failingJobs   failingJobs
	zoneGates     map[string]*zoneGate // gates of the zones that are lost or returning, by zone

	counters   counters
	notices    []notice
	acquiredAt map[int]clock.Micros // by partition; when it was acquired, until its machines are accounted for
}

// NewState returns a State that leads no partition.
func NewState(timing Timing, lookup JobLookup) *State {
	return &State{
		timing:             timing,
		jobs:               lookup,
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
		acquiredAt:         map[int]clock.Micros{},
	}
}

// SetMachineTypes sets the capacity of each machine type.
func (s *State) SetMachineTypes(types map[string]resources.Amounts) {
	s.capacities = types
	for _, m := range s.machines {
		m.capacity = types[m.Type]
		s.markChanged(m)
	}
}

// PartitionTerm returns the term of a partition, if this process leads it.
func (s *State) PartitionTerm(partition int) (term uint64, ok bool) {
	term, ok = s.terms[partition]
	return term, ok
}

// PartitionTerms returns the terms of the partitions that this process leads, by partition.
func (s *State) PartitionTerms() map[int]uint64 { return maps.Clone(s.terms) }

// PartitionOf returns the partition of a machine, if State knows the machine.
func (s *State) PartitionOf(id string) (int, bool) {
	m := s.machines[id]
	if m == nil {
		return 0, false
	}
	return m.partition, true
}

// MachineCount returns the number of machines that State knows.
func (s *State) MachineCount() int { return len(s.machines) }
