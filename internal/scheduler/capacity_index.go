package scheduler

import (
	"math/bits"
	"slices"
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
