package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// machineCache is the cached state of all machines, of the partition leaders that it comes from, and what is derived of it:
// the capacity index and the counts of observed tasks. It changes neither teams nor jobs.
//
// Invariant: a machine's place in the index and the counts follow every change of its state; see reindex.
type machineCache struct {
	machines         map[string]*machineState  // of all partitions
	sessions         map[string]*leaderSession // by controller
	recordedMachines map[string]bool           // in the key-value store
	capacity         capacityIndex             // machines that may get tasks
	observedTasks    observedTaskCounts
	examined         int // machines examined in search of capacity since the start
}

func newMachineCache(hosts []string) machineCache {
	c := machineCache{
		machines:         map[string]*machineState{},
		sessions:         map[string]*leaderSession{},
		recordedMachines: map[string]bool{},
		capacity:         capacityIndex{byImage: map[string]*machinesByLevel{}},
		observedTasks:    observedTaskCounts{byCPU: map[int64]int{}},
	}
	for _, host := range hosts {
		c.sessions[host] = newLeaderSession()
	}
	return c
}

// isSchedulable reports whether a machine may get tasks, as far as it and its partition leader are known.
func (c *machineCache) isSchedulable(m *machineState) bool {
	return m.Usable && c.isCurrent(m) && c.machines[m.ID] == m
}

// isCurrent reports whether a machine's state comes from its present partition leader, and that one is reachable.
func (c *machineCache) isCurrent(m *machineState) bool {
	session := c.sessions[m.leader]
	return session.reachable && session.instance == m.instance && session.partitionTerms[m.Part] == m.Term
}

// recomputeAvailable derives what a machine has available from its view and the assignments that it does not show yet.
func (c *machineCache) recomputeAvailable(m *machineState) {
	m.available = m.Free
	for _, a := range m.assignments {
		if a.unanswered || a.instance == m.instance && a.term == m.Term && a.viewVersion > m.Version {
			m.available = m.available.Minus(a.job.Need)
		}
	}
	c.reindex(m)
}

// forgetSilent drops a machine that is silent, has no record and no assignments. An assignment without an answer
// keeps it: the machine may come back with a new incarnation, and the assignment be accepted then.
func (c *machineCache) forgetSilent(m *machineState) {
	if m.Silent && !c.recordedMachines[m.ID] && len(m.assignments) == 0 {
		c.removeMachine(m)
	}
}

// removeMachine removes a machine from the cache.
func (c *machineCache) removeMachine(m *machineState) {
	for id := range m.tasks {
		c.removeObservedTask(m, id)
	}
	delete(c.machines, m.ID)
	c.reindex(m)
}

// reindex updates a machine in the capacity index. It is called after every change of what its place depends on.
func (c *machineCache) reindex(m *machineState) { c.capacity.update(m, c.isSchedulable(m)) }

// reindexLeader updates all machines of a partition leader in the capacity index.
func (c *machineCache) reindexLeader(host string) {
	for _, m := range c.machines {
		if m.leader == host {
			c.reindex(m)
		}
	}
}

// setReachable records whether a partition leader is reachable.
func (c *machineCache) setReachable(host string, reachable bool) {
	if session := c.sessions[host]; session.reachable != reachable {
		session.reachable = reachable
		c.reindexLeader(host)
	}
}

// addObservedTask adds a task to a machine's state, or replaces it there.
func (c *machineCache) addObservedTask(m *machineState, t *observedTask) {
	c.removeObservedTask(m, t.ID)
	m.tasks[t.ID] = t
	if t.isFetching() {
		m.fetchingJobs[t.ID.Job]++
	}
	if t.counted = t.Phase != wire.TaskExited; t.counted {
		m.tasksByPriority[t.Rank]++
		c.observedTasks.add(t)
	}
}

// removeObservedTask removes a task from a machine's state; it need not be there.
func (c *machineCache) removeObservedTask(m *machineState, id peer.TaskID) {
	t := m.tasks[id]
	if t == nil {
		return
	}
	delete(m.tasks, id)
	if t.isFetching() {
		if m.fetchingJobs[id.Job]--; m.fetchingJobs[id.Job] == 0 {
			delete(m.fetchingJobs, id.Job)
		}
	}
	if t.counted {
		m.tasksByPriority[t.Rank]--
		c.observedTasks.remove(t)
	}
}

// updateObservedTasks applies a view's tasks, and returns those that are not on the machine any more. A view that is not
// whole lists only changed tasks and those that left.
func (c *machineCache) updateObservedTasks(m *machineState, view *peer.MachineView, now clock.Micros) (left []peer.TaskID) {
	listed := make(map[peer.TaskID]bool, len(view.Tasks))
	for i := range view.Tasks {
		c.addObservedTask(m, &observedTask{TaskView: view.Tasks[i], startedAt: now - view.Tasks[i].Since})
		listed[view.Tasks[i].ID] = true
	}
	left = view.Left
	if view.Whole {
		left = nil
		for id := range m.tasks {
			if !listed[id] {
				left = append(left, id)
			}
		}
	}
	for _, id := range left {
		if !listed[id] {
			c.removeObservedTask(m, id)
		}
	}
	return left
}

// viewAge is how old what is known of a machine may be. A machine of which there is no news
// is as it was for as long as its partition leader answers polls, which it does at least once a second.
func (c *machineCache) viewAge(m *machineState, now clock.Micros) clock.Micros {
	return now - max(m.updatedAt, c.sessions[m.leader].polledAt)
}

// largestMachine is the most that any machine seen offers.
func (c *machineCache) largestMachine() resources.Amounts {
	out := resources.Amounts{CPU: 1e9, GPU: 0, Mem: 1e9} // a thousand CPUs, before any was seen
	c.examined += len(c.machines)
	seen := false
	for _, m := range c.machines {
		if !seen {
			out, seen = m.Cap, true
			continue
		}
		out = resources.Amounts{CPU: max(out.CPU, m.Cap.CPU), GPU: max(out.GPU, m.Cap.GPU), Mem: max(out.Mem, m.Cap.Mem)}
	}
	return out
}
