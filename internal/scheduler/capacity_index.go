package scheduler

import (
	"math/bits"
	"slices"
)

// machineSet is a set of machines. Unlike that of a map, its order depends only on the additions and removals.
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

// capacityLevels is the number of levels into which machines are sorted by available CPUs: less than 1, 1, 2 and 3, 4 to
// 7, and so on in powers of two; the last level has no upper bound.
const capacityLevels = 14

// capacityLevel returns the level of an amount in micro-CPUs.
func capacityLevel(cpu int64) int {
	if cpu <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(cpu/1e6)), capacityLevels-1)
}

// machinesByLevel holds machines by the level of their available CPUs.
type machinesByLevel [capacityLevels]machineSet

// walk visits machines until visit returns true, beginning with those of minLevel and going on to levels with more
// capacity. start determines the machine of each level that is visited first.
func (l *machinesByLevel) walk(minLevel int, start uint64, visit func(*machineState) (stop bool)) {
	for level := minLevel; level < capacityLevels; level++ {
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

// hasMachines reports whether any level has a machine; l may be nil.
func (l *machinesByLevel) hasMachines() bool {
	for level := range capacityLevels {
		if l != nil && len(l[level].machines) > 0 {
			return true
		}
	}
	return false
}

// capacityIndex finds schedulable machines by available CPUs and by image. A search for capacity visits only machines from the
// level of the request on, not the whole fleet.
type capacityIndex struct {
	all       machinesByLevel
	byImage   map[string]*machinesByLevel
	usableCPU int64 // micro-CPUs of all machines in the index
	machines  int
}

// withImage returns the machines that have an image, or nil if none ever had it.
func (x *capacityIndex) withImage(image string) *machinesByLevel { return x.byImage[image] }

// update moves a machine to its present level and images in the index, or removes it from the index if it is not
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
