package scheduler

import (
	"math/bits"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// machineSet is a set of machines. Its order depends only on what was put in and taken out.
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

// capacityLevels of free CPUs: less than 1, 1, 2 and 3, 4 to 7, and so on.
const capacityLevels = 14

func capacityLevel(cpu int64) int {
	if cpu <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(cpu/1e6)), capacityLevels-1)
}

// capacityIndex keeps machines by how many CPUs they show free, so that a search for
// room costs what it finds and not the fleet.
type capacityIndex [capacityLevels]machineSet

// walk visits the machines that show at least so many CPUs free, those with
// least room first and of a level from any one on, until visit has had enough.
func (r *capacityIndex) walk(from int, start uint64, visit func(*machineState) (enough bool)) {
	for l := from; l < capacityLevels; l++ {
		list := r[l].machines
		if len(list) == 0 {
			continue
		}
		first := int(start % uint64(len(list)))
		for i := range list {
			if visit(list[(first+i)%len(list)]) {
				return
			}
		}
	}
}

// hasMachines tells that there is a machine at all.
func (r *capacityIndex) hasMachines() bool {
	for l := range capacityLevels {
		if r != nil && len(r[l].machines) > 0 {
			return true
		}
	}
	return false
}

// isSchedulable tells that a machine may get tasks, as far as it and its owner are known.
func (s *Scheduler) isSchedulable(m *machineState) bool {
	return m.Usable && s.isCurrent(m) && s.machines[m.ID] == m
}

// isCurrent tells that what is known of a machine is the word of its present owner, and that this
// one can be reached.
func (s *Scheduler) isCurrent(m *machineState) bool {
	o := s.sessions[m.leader]
	return o.reachable && o.instance == m.instance && o.partitionTerms[m.Part] == m.Term
}

// reindex puts a machine where its room and images belong. It is called after
// every change of what they depend on.
func (s *Scheduler) reindex(m *machineState) {
	on, level := s.isSchedulable(m), capacityLevel(m.available.CPU)
	if on == m.indexed && (!on || level == m.indexedLevel && slices.Equal(m.Images, m.indexedImages)) {
		return
	}
	if m.indexed {
		s.capacity[m.indexedLevel].remove(m)
		for _, i := range m.indexedImages {
			s.capacityByImage[i][m.indexedLevel].remove(m)
		}
		s.usableCPU -= m.indexedCPU
		s.indexedMachines--
	}
	m.indexed, m.indexedLevel, m.indexedImages, m.indexedCPU = on, level, m.Images, m.Cap.CPU
	if !on {
		return
	}
	s.capacity[level].add(m)
	for _, i := range m.Images {
		if s.capacityByImage[i] == nil {
			s.capacityByImage[i] = &capacityIndex{}
		}
		s.capacityByImage[i][level].add(m)
	}
	s.usableCPU += m.indexedCPU
	s.indexedMachines++
}

// reindexLeader puts all of an owner's machines where they belong.
func (s *Scheduler) reindexLeader(host string) {
	for _, m := range s.machines {
		if m.leader == host {
			s.reindex(m)
		}
	}
}

// setReachable notes whether an owner can be reached.
func (s *Scheduler) setReachable(host string, up bool) {
	if o := s.sessions[host]; o.reachable != up {
		o.reachable = up
		s.reindexLeader(host)
	}
}

// addObservedTask takes a task into a machine's mirror, unset takes it out.
func (s *Scheduler) addObservedTask(m *machineState, t *observedTask) {
	s.removeObservedTask(m, t.ID)
	m.tasks[t.ID] = t
	if t.Phase == "" || t.Phase == wire.TaskFetching {
		m.fetchingJobs[t.ID.Job]++
	}
	if t.counted = t.Phase != wire.TaskExited; t.counted {
		m.tasksByPriority[t.Rank]++
		s.tasksByPriority[t.Rank]++
		s.tasksByCPU[t.Need.CPU]++
	}
}

func (s *Scheduler) removeObservedTask(m *machineState, id peer.TaskID) {
	t := m.tasks[id]
	if t == nil {
		return
	}
	delete(m.tasks, id)
	if t.Phase == "" || t.Phase == wire.TaskFetching {
		if m.fetchingJobs[id.Job]--; m.fetchingJobs[id.Job] == 0 {
			delete(m.fetchingJobs, id.Job)
		}
	}
	if t.counted {
		m.tasksByPriority[t.Rank]--
		s.tasksByPriority[t.Rank]--
		if s.tasksByCPU[t.Need.CPU]--; s.tasksByCPU[t.Need.CPU] == 0 {
			delete(s.tasksByCPU, t.Need.CPU)
		}
	}
}

// withoutOtherFetches picks the machines that fetch nothing now but the job's own image, as far
// as is known: images that are fetched side by side share a machine's rate, and
// all their tasks wait.
func withoutOtherFetches(j *job, list []*machineState, now clock.Micros) (out []*machineState) {
	for _, m := range list {
		others := len(m.fetchingJobs)
		if m.fetchingJobs[j.ID] > 0 {
			others--
		}
		if others == 0 && (now >= m.imageFetchUntil || m.imageFetched == j.Image) {
			out = append(out, m)
		}
	}
	return out
}

// exhaustedDemand remembers in a round of decisions what found no room: what asks for as
// much or more, and is as choosy or choosier, need not search again.
type exhaustedDemand struct {
	needs   []resources.Amounts // of jobs that go anywhere
	jobs    map[*job]bool
	staged  bool                 // work returns to a zone: what one job may not have another may
	victims map[victimClass]bool // whose room was looked for in vain: of lower ranks, of other teams
}

// victimClass is what decides, beside the room that a task needs, whose room it may take.
type victimClass struct {
	need            resources.Amounts
	team            string
	level           int
	withinGuarantee bool
	guaranteeDue    bool
}

func (j *job) victimClass(owed bool) victimClass {
	return victimClass{j.Need, j.team.Name, j.PriorityLevel, j.withinGuarantee, owed}
}

func (f *exhaustedDemand) hasNoVictims(j *job, owed bool) bool { return f.victims[j.victimClass(owed)] }

func (f *exhaustedDemand) markNoVictims(j *job, owed bool) {
	if !j.unconstrained() || f.staged {
		return
	}
	if f.victims == nil {
		f.victims = map[victimClass]bool{}
	}
	f.victims[j.victimClass(owed)] = true
}

// unconstrained tells that nothing but room decides where the tasks of a job may go.
func (j *job) unconstrained() bool {
	return j.Spot && j.Zone == "" && len(j.Types) == 0 && !j.OneZone && !j.Spread && len(j.avoidUntil) == 0
}

func (f *exhaustedDemand) isExhausted(j *job) bool {
	for _, n := range f.needs {
		if n.Fits(j.Need) {
			return true
		}
	}
	return f.jobs[j]
}

func (f *exhaustedDemand) markExhausted(j *job) {
	if j.unconstrained() && len(j.team.yielding) == 0 && !f.staged {
		f.needs = append(f.needs, j.Need)
	}
	if f.jobs == nil {
		f.jobs = map[*job]bool{}
	}
	f.jobs[j] = true
}

// rejectionBackoff is how long a machine whose owner refused is kept from, unless news of it come before.
const rejectionBackoff = 200 * clock.Millisecond

// findCapacity collects machines that have room for a task of a job, a few times as many
// as are drawn; for a small one many more, since it goes where its team gathers.
func (s *Scheduler) findCapacity(j *job, in *capacityIndex, now clock.Micros) (out []*machineState) {
	if in == nil {
		return nil
	}
	most := 4 * s.timing.Sample
	if s.isSmall(j) {
		most *= 10
	}
	in.walk(capacityLevel(j.Need.CPU), s.rng.Uint64(), func(m *machineState) bool {
		s.counters.Looked++
		if j.Need.Fits(m.available) && m.available.Mem > 0 && s.mayOffer(j, m, now) && !(m.rejected && now < m.rejectedAt+rejectionBackoff) {
			out = append(out, m)
		}
		return len(out) >= most
	})
	return out
}

// findCapacityAnyImage collects machines that have room for a task of a job, those with its image first.
func (s *Scheduler) findCapacityAnyImage(j *job, now clock.Micros) []*machineState {
	list := s.findCapacity(j, s.capacityByImage[j.Image], now)
	for _, m := range s.findCapacity(j, &s.capacity, now) {
		if !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}
