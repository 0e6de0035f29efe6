package partition

import (
	"container/list"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// changeList numbers the changes of the machines and orders the machines by their last one, so that a poll costs
// what has changed since its cursor, not what there is.
type changeList struct {
	version  uint64     // number of the last change
	machines *list.List // of *machine, the latest changed last
}

func newChangeList() changeList { return changeList{machines: list.New()} }

func (l *changeList) add(m *machine)    { m.changeElement = l.machines.PushBack(m) }
func (l *changeList) remove(m *machine) { l.machines.Remove(m.changeElement) }

// mark gives a machine the next version.
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

// maxDepartedTasks bounds how many departed tasks a machine remembers: beyond it the older half is forgotten,
// and schedulers that know only an older version get all tasks.
const maxDepartedTasks = 256

// departedTask is a task that has left its machine.
type departedTask struct {
	id      peer.TaskID
	version uint64 // of the view that shows it as departed
}

// departedTasks are the tasks that left a machine lately, the oldest first.
type departedTasks struct {
	tasks         []departedTask
	completeSince uint64 // who knows the machine as of an earlier version gets all of its tasks
}

func (d *departedTasks) add(id peer.TaskID, version uint64) {
	d.tasks = append(d.tasks, departedTask{id, version})
	if len(d.tasks) > maxDepartedTasks {
		d.completeSince = d.tasks[maxDepartedTasks/2-1].version
		d.tasks = slices.Delete(d.tasks, 0, maxDepartedTasks/2)
	}
}

// reset forgets all: everybody gets all tasks as of a version.
func (d *departedTasks) reset(version uint64) { d.tasks, d.completeSince = nil, version }

// Version is the number of the last change.
func (s *State) Version() uint64 { return s.changes.version }

// markChanged has the machine's next view published.
func (s *State) markChanged(m *machine) { s.changes.mark(m) }

// markTaskChanged has the machine's next view show a task, and its commands looked at.
func (s *State) markTaskChanged(m *machine, t *task) {
	s.changes.mark(m)
	t.version = m.version
	s.deliveryCandidates[m.id] = m
}

// markAllChanged has the machine's next view show all of its tasks, and its commands looked at.
func (s *State) markAllChanged(m *machine) {
	s.changes.mark(m)
	m.departed.reset(m.version)
	s.deliveryCandidates[m.id] = m
}

// removeTask takes a task off its machine.
func (s *State) removeTask(m *machine, t *task) {
	delete(m.tasks, t.id)
	s.changes.mark(m)
	m.departed.add(t.id, m.version)
}
