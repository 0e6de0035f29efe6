package scheduler

import (
	"math/bits"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// machineSet is a set of machines. Its order depends only on what was added and removed.
type machineSet struct {
	machines  []*machineState
	positions map[*machineState]int
}

func (s *machineSet) add(m *machineState) {
	if s.positions == nil {
		s.positions = map[*machineState]int{}
	}
	s.positions[m] = len(s.machines)
	s.machines = append(s.machines, m)
}

func (s *machineSet) remove(m *machineState) {
	i, last := s.positions[m], len(s.machines)-1
	s.machines[i] = s.machines[last]
	s.positions[s.machines[i]] = i
	s.machines[last] = nil
	s.machines = s.machines[:last]
	delete(s.positions, m)
}

// capacityLevels are levels of available CPUs: less than 1, 1, 2 and 3, 4 to 7, and so on.
const capacityLevels = 14

func capacityLevel(cpu int64) int {
	if cpu <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(cpu/1e6)), capacityLevels-1)
}

// machinesByLevel holds machines by how many CPUs they have available.
type machinesByLevel [capacityLevels]machineSet

// walk visits the machines from a level on, those with least capacity first and of a level from any one on,
// until visit has had enough.
func (l *machinesByLevel) walk(from int, start uint64, visit func(*machineState) (enough bool)) {
	for level := from; level < capacityLevels; level++ {
		machines := l[level].machines
		if len(machines) == 0 {
			continue
		}
		first := int(start % uint64(len(machines)))
		for i := range machines {
			if visit(machines[(first+i)%len(machines)]) {
				return
			}
		}
	}
}

// hasMachines reports whether there is a machine at all; l may be nil.
func (l *machinesByLevel) hasMachines() bool {
	for level := range capacityLevels {
		if l != nil && len(l[level].machines) > 0 {
			return true
		}
	}
	return false
}

// capacityIndex finds schedulable machines by available CPUs and by image, so that a search for
// capacity costs what it finds and does not grow with the fleet.
type capacityIndex struct {
	all       machinesByLevel
	byImage   map[string]*machinesByLevel
	usableCPU int64 // micro-CPUs of all machines in the index
	machines  int
}

// withImage returns the machines that have an image; nil where none ever had it.
func (x *capacityIndex) withImage(image string) *machinesByLevel { return x.byImage[image] }

// update moves a machine to where its available CPUs and its images belong, or out of the index where it is not
// schedulable.
func (x *capacityIndex) update(m *machineState, schedulable bool) {
	level := capacityLevel(m.available.CPU)
	if schedulable == m.indexed && (!schedulable || level == m.indexedLevel && slices.Equal(m.Images, m.indexedImages)) {
		return
	}
	if m.indexed {
		x.remove(m)
	}
	m.indexed, m.indexedLevel, m.indexedImages, m.indexedCPU = schedulable, level, m.Images, m.Cap.CPU
	if schedulable {
		x.add(m)
	}
}

func (x *capacityIndex) add(m *machineState) {
	x.all[m.indexedLevel].add(m)
	for _, image := range m.indexedImages {
		if x.byImage[image] == nil {
			x.byImage[image] = &machinesByLevel{}
		}
		x.byImage[image][m.indexedLevel].add(m)
	}
	x.usableCPU += m.indexedCPU
	x.machines++
}

func (x *capacityIndex) remove(m *machineState) {
	x.all[m.indexedLevel].remove(m)
	for _, image := range m.indexedImages {
		x.byImage[image][m.indexedLevel].remove(m)
	}
	x.usableCPU -= m.indexedCPU
	x.machines--
}

// reindex updates a machine in the capacity index. It is called after every change of what its place depends on.
func (s *Scheduler) reindex(m *machineState) { s.capacity.update(m, s.isSchedulable(m)) }

// reindexLeader updates all machines of a partition leader in the capacity index.
func (s *Scheduler) reindexLeader(host string) {
	for _, m := range s.machines {
		if m.leader == host {
			s.reindex(m)
		}
	}
}

// setReachable records whether a partition leader is reachable.
func (s *Scheduler) setReachable(host string, reachable bool) {
	if session := s.sessions[host]; session.reachable != reachable {
		session.reachable = reachable
		s.reindexLeader(host)
	}
}

// rejectionBackoff is how long no task is assigned to a machine after a rejection, unless a newer view comes before.
const rejectionBackoff = 200 * clock.Millisecond

// findCapacity filters machines that have capacity for a task of a job, a few times as many
// as are sampled; for a small one many more, since it goes where its team's small tasks gather.
func (s *Scheduler) findCapacity(j *job, in *machinesByLevel, now clock.Micros) (out []*machineState) {
	if in == nil {
		return nil
	}
	limit := 4 * s.timing.Sample
	if s.isSmall(j) {
		limit *= 10
	}
	in.walk(capacityLevel(j.Need.CPU), s.rng.Uint64(), func(m *machineState) bool {
		s.counters.Looked++
		if m.hasCapacity(j) && s.mayOffer(j, m, now) && !m.recentlyRejected(now) {
			out = append(out, m)
		}
		return len(out) >= limit
	})
	return out
}

// hasCapacity reports whether a machine has capacity for a task of a job.
func (m *machineState) hasCapacity(j *job) bool {
	return j.Need.Fits(m.available) && m.available.Mem > 0
}

// recentlyRejected reports whether a machine's partition leader has rejected an assignment, and no newer view has come.
func (m *machineState) recentlyRejected(now clock.Micros) bool {
	return m.rejected && now < m.rejectedAt+rejectionBackoff
}

// findCapacityAnyImage filters machines that have capacity for a task of a job, those with its image first.
func (s *Scheduler) findCapacityAnyImage(j *job, now clock.Micros) []*machineState {
	list := s.findCapacity(j, s.capacity.withImage(j.Image), now)
	for _, m := range s.findCapacity(j, &s.capacity.all, now) {
		if !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}
