package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/tasklist"
)

// checkListRoom does what hasListRoom does, and records that a list limits the choice.
func (s *selector) checkListRoom(j *job, m *machineState) bool {
	if m.hasListRoom(j) {
		return true
	}
	s.limitedByList = true
	return false
}

// hasListRoom reports whether the list that the machine's worker reports has room for a task of a job. Stopping tasks makes no room:
// they stay on the list until they are forgotten.
func (m *machineState) hasListRoom(j *job) bool {
	if len(m.tasks)+len(m.assignments) <= tasklist.AmpleTasks {
		return true
	}
	isFirst := func() bool { return !tasklist.HasJob(m.tasks, j.ID) && !tasklist.HasJob(m.assignments, j.ID) }
	longest := peer.TaskID{Job: j.ID, N: j.Tasks - 1, Attempt: j.team.maxAttempt()}
	return tasklist.Admits(m.computeListedBytes(), tasklist.EntryBytes(longest), j.Need, m.available, isFirst)
}

// computeListedBytes returns the most bytes that the tasks of the machine take in a heartbeat of its worker, with the assignments that no
// view shows yet. It adds them up only if that has changed.
func (m *machineState) computeListedBytes() int {
	if m.listedBytes == 0 {
		m.listedBytes = tasklist.Bytes(m.tasks)
		for id := range m.assignments {
			if m.tasks[id] == nil {
				m.listedBytes += tasklist.EntryBytes(id)
			}
		}
	}
	return m.listedBytes
}

// extendList adds a new assignment to what is known of the machine's list.
func (m *machineState) extendList(a *assignment) {
	if m.listedBytes > 0 {
		m.listedBytes += tasklist.EntryBytes(a.id)
	}
}
