package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// machineState is the cached state of a machine: its newest view, and what was assigned since.
type machineState struct {
	peer.MachineView
	leader          string            // controller that sent the view
	instance        string            // its process
	available       resources.Amounts // free by the view, less what was assigned since
	nameHash        uint64
	assignments     map[peer.TaskID]*assignment
	updatedAt       clock.Micros
	tasks           map[peer.TaskID]*observedTask
	tasksByPriority [priorities]int // observed tasks that have not exited
	fetchingJobs    map[string]int  // jobs with tasks there that wait for their image
	imageFetchUntil clock.Micros    // until then an assignment of this scheduler makes it fetch
	imageFetched    string
	paceSum         float64 // sum of the ratios of run times here to those of the same jobs elsewhere
	paceSamples     int
	slow            bool

	rejected   bool // an assignment was rejected, and no newer view has come
	rejectedAt clock.Micros

	indexed       bool // position in the capacity index, see capacityIndex.update
	indexedLevel  int
	indexedImages []string
	indexedCPU    int64
}

func newMachineState(id string) *machineState {
	return &machineState{
		nameHash:     nameHash(id),
		assignments:  map[peer.TaskID]*assignment{},
		tasks:        map[peer.TaskID]*observedTask{},
		fetchingJobs: map[string]int{},
	}
}

// assignmentsByAttempt lists a machine's assignments in a fixed order.
func (m *machineState) assignmentsByAttempt() []*assignment {
	out := make([]*assignment, 0, len(m.assignments))
	for _, a := range m.assignments {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *assignment) int { return cmp.Compare(a.id.Attempt, b.id.Attempt) })
	return out
}

// hasUnidentifiedTask reports whether something is on a machine of which its partition leader knows neither the
// team nor what it takes: it was found there, and its job is over. Any team may have started it (argument 8).
func (m *machineState) hasUnidentifiedTask() bool {
	for _, t := range m.tasks {
		if t.Team == "" && t.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// hasImage reports whether the view lists a job's image.
func (m *machineState) hasImage(j *job) bool { return slices.Contains(m.Images, j.Image) }

// knownPace is how long tasks take on a machine as a multiple of elsewhere, 0 while too few have ended there.
func (m *machineState) knownPace() float64 {
	if m.paceSamples < minPaceSamples {
		return 0
	}
	return m.paceSum / float64(m.paceSamples)
}

// heat is the share of a machine that is in use when so many CPUs are free, times its pace. One
// that is to be taken away has more than any other.
func (m *machineState) heat(free int64) float64 {
	const takenAway = 1000
	if m.Cap.CPU == 0 || m.Noticed {
		return takenAway
	}
	heat := 1 - float64(free)/float64(m.Cap.CPU)
	if pace := m.knownPace(); pace > 0 {
		heat *= pace
	}
	return heat
}

// HandleMachineRecord applies a change of a machine's record in the key-value store.
func (s *Scheduler) HandleMachineRecord(id string, exists bool) {
	if exists {
		s.recordedMachines[id] = true
		for _, tm := range s.teams {
			if !tm.accounted[id] {
				tm.unaccounted[id] = true
			}
		}
		return
	}
	delete(s.recordedMachines, id)
	for _, tm := range s.teams {
		delete(tm.unaccounted, id)
	}
	if m := s.machines[id]; m != nil {
		s.forgetSilent(m)
	}
}

// forgetMachine drops a machine that is gone for certain, with all its assignments.
func (s *Scheduler) forgetMachine(m *machineState) {
	for _, a := range m.assignmentsByAttempt() {
		s.releaseAssignment(a)
	}
	s.removeMachine(m)
}

// MachineViews appends the cached state of all machines, for the autoscaler. An idle machine sends
// no news of itself, so its idle time is what it was then and what has passed since.
func (s *Scheduler) MachineViews(to []peer.MachineView, now clock.Micros) []peer.MachineView {
	to = slices.Grow(to, len(s.machines))
	for _, m := range s.machines {
		if s.sessions[m.leader].partitionTerms[m.Part] != m.Term {
			continue
		}
		view := m.MachineView
		view.Free = m.available
		if view.Count == 0 && len(m.assignments) == 0 {
			view.Idle += now - m.updatedAt
		} else {
			view.Idle = 0
		}
		to = append(to, view)
	}
	return to
}
