package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// machineState is the cached state of a machine: its latest view, the assignments on it, and what is derived from them.
type machineState struct {
	peer.MachineView
	leader             string            // controller that sent the view
	processID          string            // process of that controller
	available          resources.Amounts // free by the view, less assignments that the view does not show
	nameHash           uint64
	listedBytes        int // see computeListedBytes; 0: to be added up again
	assignments        map[peer.TaskID]*assignment
	updatedAt          clock.Micros
	tasks              map[peer.TaskID]*observedTask
	tasksByPriority    [priorityLevels]int // number of observed tasks that have not exited
	fetchingJobs       map[string]int      // number of tasks that wait for their image, by job id
	assignedFetchUntil clock.Micros        // estimated end of the image fetch for an assignment of this scheduler
	assignedFetchImage string              // image of that fetch
	slowdownSum        float64             // sum of the ratios of run times here to those of the same jobs elsewhere
	slowdownSamples    int                 // number of these ratios
	slow               bool
	lastCompletionAt   clock.Micros // when a task of any team was last seen to have completed on the machine

	rejected   bool // an assignment was rejected, other than by yielding, and no newer view has arrived since
	rejectedAt clock.Micros

	indexed       bool // the machine is in the capacity index, under the three values below; see capacityIndex.update
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

// assignmentsByAttempt returns the machine's assignments sorted by attempt.
func (m *machineState) assignmentsByAttempt() []*assignment {
	out := make([]*assignment, 0, len(m.assignments))
	for _, a := range m.assignments {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *assignment) int { return cmp.Compare(a.id.Attempt, b.id.Attempt) })
	return out
}

// hasUnidentifiedTask reports whether the machine has a task whose team and resource request its partition leader doesn't
// know: the leader found the task there after its job was over. The task may belong to any team, so that the machine can't
// be accounted for under any team's term (docs/design.md, "Why the rules hold", number 8).
func (m *machineState) hasUnidentifiedTask() bool {
	for _, t := range m.tasks {
		if t.Team == "" && t.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// hasUnfinishedTask reports whether the machine has a task that has not exited.
func (m *machineState) hasUnfinishedTask() bool {
	for _, t := range m.tasks {
		if t.counted {
			return true
		}
	}
	return false
}

// hasImage reports whether the machine's view lists the job's image.
func (m *machineState) hasImage(j *job) bool { return slices.Contains(m.Images, j.Image) }

// slowdown returns how long tasks take on the machine relative to the same jobs' tasks elsewhere (2: twice as long), or 0
// while too few tasks have ended there.
func (m *machineState) slowdown() float64 {
	if m.slowdownSamples < minSlowdownSamples {
		return 0
	}
	return m.slowdownSum / float64(m.slowdownSamples)
}

// load returns the load of the machine if it has free micro-CPUs left: the share of its CPUs in use, times its slowdown. Tasks
// are moved only to machines with less load than their own. A machine under an eviction notice, or without known capacity,
// has more than any other.
func (m *machineState) load(free int64) float64 {
	const maxLoad = 1000
	if m.Cap.CPU == 0 || m.Noticed {
		return maxLoad
	}
	load := 1 - float64(free)/float64(m.Cap.CPU)
	if slowdown := m.slowdown(); slowdown > 0 {
		load *= slowdown
	}
	return load
}

// HandleMachineRecord applies a change of a machine's record in the key-value store; exists is false if the record was
// removed. A machine is gone for certain when its record is removed, so it no longer counts as unaccounted for.
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
		s.removeIfObsolete(m)
	}
}

// releaseMachine removes a machine that is known to be gone, and releases all its assignments.
func (s *Scheduler) releaseMachine(m *machineState) {
	for _, a := range m.assignmentsByAttempt() {
		s.releaseAssignment(a)
	}
	s.removeMachine(m)
}

// MachineViews appends the cached views of all machines to a list, for the autoscaler. It leaves out machines whose
// partition leader has changed. Partition leaders send no new views of a machine that stays idle, so its idle time is that of
// the latest view plus the time since then.
func (s *Scheduler) MachineViews(views []peer.MachineView, now clock.Micros) []peer.MachineView {
	views = slices.Grow(views, len(s.machines))
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
		views = append(views, view)
	}
	return views
}
