package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// AcquirePartition starts leading a partition under a term. Every recorded machine may hold tasks of former leaders
// until its worker reports a token of this term, or until no leader has answered a heartbeat for a whole worker lease,
// which may have started as late as now (docs/design.md, "Why the rules hold", number 6).
func (s *State) AcquirePartition(partition int, term uint64, recorded inventory.Group, now clock.Micros) {
	s.ReleasePartition(partition)
	s.terms[partition] = term
	s.acquiredAt[partition] = now
	for id, r := range recorded {
		s.addMachine(id, partition, r, now).record = recordPresent
	}
	s.changes.version++
}

// ReleasePartition stops leading a partition and forgets its machines.
func (s *State) ReleasePartition(partition int) {
	if _, ok := s.terms[partition]; !ok {
		return
	}
	delete(s.terms, partition)
	delete(s.acquiredAt, partition)
	for _, m := range s.machines {
		if m.partition == partition {
			s.removeMachine(m)
		}
	}
	s.changes.version++
}

// addMachine adds a machine. Nothing is known yet of its worker's state and its tasks.
func (s *State) addMachine(id string, partition int, r inventory.Record, now clock.Micros) *machine {
	m := &machine{
		id:        id,
		partition: partition,
		Record:    r,
		capacity:  s.capacities[r.Type],
		tasks:     map[peer.TaskID]*task{},
		worker:    workerState{incarnation: 1, answeredAt: now},
		delivery:  deliveryState{token: firstToken(s.terms[partition]) + 1},
		failures:  failureRecord{jobs: map[string]bool{}},
		idleSince: now,
	}
	s.machines[id] = m
	s.changes.add(m)
	s.markAllChanged(m)
	return m
}

// removeMachine removes a machine and all that is known of it.
func (s *State) removeMachine(m *machine) {
	s.changes.remove(m)
	delete(s.machines, m.id)
	delete(s.deliveryCandidates, m.id)
}

// findOrAdd returns the machine that another component names. An unknown machine is added if this process leads its
// partition; otherwise m is nil.
func (s *State) findOrAdd(ref peer.MachineRef, partitionOf func(id, zone string) int, now clock.Micros) (m *machine, added bool) {
	if m := s.machines[ref.ID]; m != nil {
		return m, false
	}
	partition := partitionOf(ref.ID, ref.Zone)
	if _, ok := s.terms[partition]; !ok {
		return nil, false
	}
	return s.addMachine(ref.ID, partition, inventory.Record{Zone: ref.Zone}, now), true
}

// HandleMachinesGone records that machines are gone for certain, as the autoscaler reports: no attempt can run on
// them any more.
func (s *State) HandleMachinesGone(list []peer.MachineRef, partitionOf func(id, zone string) int, now clock.Micros) {
	for _, ref := range list {
		m, _ := s.findOrAdd(ref, partitionOf, now)
		if m == nil {
			continue
		}
		m.worker.gone, m.worker.answeredAt = true, now
		clear(m.tasks)
		s.markAllChanged(m)
	}
}

// Drain returns the ids of the machines that can be returned to the cloud: those that hold neither tasks nor leases,
// and those that are lost. It marks them as draining, so that they get no new tasks. Other machines stay as they are.
// They include recorded machines that are not accounted for, which may hold tasks of former leaders.
func (s *State) Drain(list []peer.MachineRef, partitionOf func(id, zone string) int, now clock.Micros) (ready []string) {
	for _, ref := range list {
		m, added := s.findOrAdd(ref, partitionOf, now)
		switch {
		case m == nil:
		case added: // neither a heartbeat nor a record of it has arrived, so it has no tasks
			m.draining = true
			ready = append(ready, ref.ID)
		case m.worker.lost() || len(m.tasks) == 0 && (m.accounted || m.record != recordPresent):
			m.draining = true
			ready = append(ready, ref.ID)
			s.markChanged(m)
		}
	}
	return ready
}

// HandleMachineRecord records whether a machine's record is in the key-value store. A late copy of an old write can
// bring back the record of a machine that does not exist any more. Such a machine is added like any other, becomes
// silent, and has its record removed (docs/design.md, "Why the rules hold", number 5).
func (s *State) HandleMachineRecord(id string, partition int, r inventory.Record, exists bool, now clock.Micros) {
	m := s.machines[id]
	if m == nil && exists {
		if _, ok := s.terms[partition]; !ok {
			return
		}
		m = s.addMachine(id, partition, r, now)
	}
	state := recordAbsent
	if exists {
		state = recordPresent
	}
	if m != nil && m.record != state {
		m.record = state
		s.markChanged(m)
	}
}

// UnrecordedMachines returns the machines that are not lost, whose workers this leader has been in contact with, and
// whose records have yet to be written.
func (s *State) UnrecordedMachines() inventory.Group {
	var out inventory.Group
	for id, m := range s.machines {
		if m.worker.contacted && m.record != recordPresent && !m.worker.lost() {
			if out == nil {
				out = inventory.Group{}
			}
			out[id] = m.Record
		}
	}
	return out
}
