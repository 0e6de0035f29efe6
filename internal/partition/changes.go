package partition

import (
	"container/list"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// changeList numbers the changes of the machines and keeps the machines in the order of their last change. A poll
// then costs in proportion to what has changed since its cursor, not to the size of the fleet.
type changeList struct {
	version  uint64     // number of the last change
	machines *list.List // of *machine, the most recently changed last
}

func newChangeList() changeList { return changeList{machines: list.New()} }

func (l *changeList) add(m *machine)    { m.changeElement = l.machines.PushBack(m) }
func (l *changeList) remove(m *machine) { l.machines.Remove(m.changeElement) }

// mark gives a changed machine the next version.
func (l *changeList) mark(m *machine) {
	l.version++
	m.version = l.version
	l.machines.MoveToBack(m.changeElement)
}

// since lists the machines that changed after a version and whose ids follow afterID.
func (l *changeList) since(version uint64, afterID string) (changed []*machine) {
	for e := l.machines.Back(); e != nil; e = e.Prev() {
		m := e.Value.(*machine)
		if m.version <= version {
			break
		}
		if m.id > afterID {
			changed = append(changed, m)
		}
	}
	return changed
}

// maxRemovedTasks is the largest number of removed tasks that are remembered for a machine. Beyond it the older half
// is dropped, and schedulers that know an older version of the machine get all of its tasks.
const maxRemovedTasks = 256

// removedTask is a task that was removed from its machine.
type removedTask struct {
	id      peer.TaskID
	version uint64 // the machine's version at the removal
}

// removedTasks holds the tasks that were recently removed from a machine, the oldest first.
type removedTasks struct {
	tasks         []removedTask
	completeSince uint64 // a scheduler that knows only an earlier version gets all of the machine's tasks
}

func (d *removedTasks) add(id peer.TaskID, version uint64) {
	d.tasks = append(d.tasks, removedTask{id, version})
	if len(d.tasks) > maxRemovedTasks {
		d.completeSince = d.tasks[maxRemovedTasks/2-1].version
		d.tasks = slices.Delete(d.tasks, 0, maxRemovedTasks/2)
	}
}

// reset drops all removed tasks: a scheduler that knows only a version before this one gets all of the machine's
// tasks.
func (d *removedTasks) reset(version uint64) { d.tasks, d.completeSince = nil, version }

// Version returns the number of the last change.
func (s *State) Version() uint64 { return s.changes.version }

// markChanged makes the next poll return the machine.
func (s *State) markChanged(m *machine) { s.changes.mark(m) }

// markTaskChanged makes the next poll return the machine with the task, and the next delivery check its commands.
func (s *State) markTaskChanged(m *machine, t *task) {
	s.changes.mark(m)
	t.version = m.version
	s.deliveryCandidates[m.id] = m
}

// markAllChanged makes the next poll return the machine with all of its tasks, and the next delivery check its
// commands.
func (s *State) markAllChanged(m *machine) {
	s.changes.mark(m)
	m.removed.reset(m.version)
	s.deliveryCandidates[m.id] = m
}

// removeTask removes a task from its machine.
func (s *State) removeTask(m *machine, t *task) {
	delete(m.tasks, t.id)
	s.changes.mark(m)
	m.removed.add(t.id, m.version)
}
