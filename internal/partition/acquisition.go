package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// AcquirePartition takes the leadership of a partition. Every recorded machine may hold tasks of former
// leaders until a heartbeat shows a token of this term, or until nobody has answered it for its worker lease, counted
// from now at the latest (docs/design.md, argument 6).
func (s *State) AcquirePartition(partition int, term uint64, recorded inventory.Group, now clock.Micros) {
	s.ReleasePartition(partition)
	s.terms[partition] = term
	for id, r := range recorded {
		s.addMachine(id, partition, r, now).record = recordPresent
	}
	s.changes.version++
}

// ReleasePartition gives the leadership of a partition up, with all that is known of its machines.
func (s *State) ReleasePartition(partition int) {
	if _, ok := s.terms[partition]; !ok {
		return
	}
	delete(s.terms, partition)
	for _, m := range s.machines {
		if m.partition == partition {
			s.removeMachine(m)
		}
	}
	s.changes.version++
}

// addMachine adds a machine of which nothing is known but its record.
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

// removeMachine removes a machine from the state.
func (s *State) removeMachine(m *machine) {
	s.changes.remove(m)
	delete(s.machines, m.id)
	delete(s.deliveryCandidates, m.id)
}

// findOrAdd returns a machine that another duty names, adding it where its partition is led here; nil where it is not.
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

// HandleMachinesGone takes the word that machines are gone for certain: no attempt can run on them any more.
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

// Drain keeps machines free of new tasks and names those that hold neither task nor lease: they may be returned.
func (s *State) Drain(list []peer.MachineRef, partitionOf func(id, zone string) int, now clock.Micros) (ready []string) {
	for _, ref := range list {
		m, added := s.findOrAdd(ref, partitionOf, now)
		switch {
		case m == nil:
		case added: // it has not reported yet
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

// HandleMachineRecord notes that a machine's record is in the key-value store, or gone from it. A record without a
// machine, which a late copy of an old write brings back, counts as a machine that nothing is known of: it falls
// silent, and its record is removed (docs/design.md, argument 5).
func (s *State) HandleMachineRecord(id string, partition int, r inventory.Record, there bool, now clock.Micros) {
	m := s.machines[id]
	if m == nil && there {
		if _, ok := s.terms[partition]; !ok {
			return
		}
		m = s.addMachine(id, partition, r, now)
	}
	state := unrecorded
	if there {
		state = recordPresent
	}
	if m != nil && m.record != state {
		m.record = state
		s.markChanged(m)
	}
}

// UnrecordedMachines lists machines that report and are to be recorded.
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
