package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// machineCache is the cached state of all machines and of the partition leaders that report it, and what is derived from
// it: the capacity index and the counts of observed tasks. It changes neither teams nor jobs.
//
// Invariant: the capacity index and the counts are updated with every change of a machine's state, see reindex.
type machineCache struct {
	machines         map[string]*machineState  // by id, of all partitions
	sessions         map[string]*leaderSession // by controller
	recordedMachines map[string]bool           // ids of machines with a record in the key-value store
	capacity         capacityIndex             // schedulable machines
	observedTasks    observedTaskCounts
	examined         int // machines examined in searches for capacity, victims and the largest machine, since the start
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

// isSchedulable reports whether a machine may get tasks: it is usable and its cached state is current.
func (c *machineCache) isSchedulable(m *machineState) bool {
	return m.Usable && c.isCurrent(m) && c.machines[m.ID] == m
}

// isCurrent reports whether a machine's state comes from its present partition leader and that leader is reachable.
func (c *machineCache) isCurrent(m *machineState) bool {
	session := c.sessions[m.leader]
	return session.reachable && session.processID == m.processID && session.partitionTerms[m.Part] == m.Term
}

// recomputeAvailable updates a machine's available capacity: what its view shows as free, less the assignments that the
// view does not show yet. The list of its worker is added up again when needed.
func (c *machineCache) recomputeAvailable(m *machineState) {
	m.available, m.listedBytes = m.Free, 0
	for _, a := range m.assignments {
		if a.unanswered || a.processID == m.processID && a.term == m.Term && a.viewVersion > m.Version {
			m.available = m.available.Minus(a.job.Need)
		}
	}
	c.reindex(m)
}

// removeIfObsolete removes a machine that is silent, has no record and has no assignments. It keeps a machine with an
// unanswered assignment: the machine may return with a new worker incarnation, and its partition leader may accept the
// assignment then.
func (c *machineCache) removeIfObsolete(m *machineState) {
	if m.Silent && !c.recordedMachines[m.ID] && len(m.assignments) == 0 {
		c.removeMachine(m)
	}
}

// removeMachine removes a machine and its observed tasks from the cache.
func (c *machineCache) removeMachine(m *machineState) {
	for id := range m.tasks {
		c.removeObservedTask(m, id)
	}
	delete(c.machines, m.ID)
	c.reindex(m)
}

// reindex updates a machine's position in the capacity index. It has to be called after every change of the machine's
// available capacity, images or schedulability.
func (c *machineCache) reindex(m *machineState) { c.capacity.update(m, c.isSchedulable(m)) }

// reindexLeader updates the position of all machines of a partition leader in the capacity index.
func (c *machineCache) reindexLeader(host string) {
	for _, m := range c.machines {
		if m.leader == host {
			c.reindex(m)
		}
	}
}

// setReachable records whether a partition leader is reachable; machines are schedulable only while it is.
func (c *machineCache) setReachable(host string, reachable bool) {
	if session := c.sessions[host]; session.reachable != reachable {
		session.reachable = reachable
		c.reindexLeader(host)
	}
}

// addObservedTask adds a task to a machine's state or replaces the task's earlier state.
func (c *machineCache) addObservedTask(m *machineState, t *observedTask, now clock.Micros) {
	if t.Cause == wire.CauseDone {
		if earlier := m.tasks[t.ID]; earlier == nil || earlier.Cause != wire.CauseDone {
			m.lastCompletionAt = now
		}
	}
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

// removeObservedTask removes a task from a machine's state, if it is there.
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

// updateObservedTasks applies the tasks of a view and returns those that are no longer on the machine. A view that is not
// whole lists only tasks that have changed and tasks that have been removed.
func (c *machineCache) updateObservedTasks(m *machineState, view *peer.MachineView, now clock.Micros) (removed []peer.TaskID) {
	listed := make(map[peer.TaskID]bool, len(view.Tasks))
	for i := range view.Tasks {
		c.addObservedTask(m, &observedTask{TaskView: view.Tasks[i], startedAt: now - view.Tasks[i].Since}, now)
		listed[view.Tasks[i].ID] = true
	}
	removed = view.Left
	if view.Whole {
		removed = nil
		for id := range m.tasks {
			if !listed[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if !listed[id] {
			c.removeObservedTask(m, id)
		}
	}
	return removed
}

// viewAge returns how old the information about a machine may be. A partition leader sends news of changed machines only,
// and answers polls at least once per second; a machine without news is unchanged up to the last answered poll.
func (c *machineCache) viewAge(m *machineState, now clock.Micros) clock.Micros {
	return now - max(m.updatedAt, c.sessions[m.leader].polledAt)
}

// largestMachine returns the largest amount of each resource that any known machine has. Before any is known it returns a
// thousand CPUs, so that unknown machines are not underestimated.
func (c *machineCache) largestMachine() resources.Amounts {
	out := resources.Amounts{CPU: 1e9, GPU: 0, Mem: 1e9}
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
