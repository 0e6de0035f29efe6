package partition

import (
	"cmp"
	"container/list"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/tasklist"
	"github.com/merlinlatch/merlinlatch/wire"
)

// recordState is the state of a machine's record in the key-value store (docs/design.md,
// "Why the rules hold", number 5).
//
//	             record seen                 removal decided
//	recordAbsent -----------> recordPresent ----------------> recordRemoving
//	     ^                     |       ^                         |   |
//	     +---- record gone ----+       +---- recorded again -----+   |
//	     +------------------------- record gone ---------------------+
//
// From the decision on a machine counts as not recorded, and gets no tasks: if a task started before a late removal
// is carried out, a later leader would not know of the machine.
type recordState uint8

const (
	recordAbsent   recordState = iota
	recordPresent              // it is stored, and no removal that was decided earlier can remove it
	recordRemoving             // its removal was decided, and may be carried out at any later time
)

// evictionNotice is the cloud's notice that it will take a spot instance back.
type evictionNotice struct {
	given bool
	at    clock.Micros // when the cloud takes the instance back
}

// machine is a machine of a partition that this process leads.
//
// Its tasks are all known attempts that may be running on it or have its resources leased, and those that have exited
// and are still listed. Until the machine is accounted for, there may be others. A task is removed only when it is gone
// for certain (docs/design.md, "Why the rules hold", number 4) or when no run command was ever sent for it.
type machine struct {
	id        string
	partition int
	inventory.Record
	capacity resources.Amounts
	tasks    map[peer.TaskID]*task

	worker   workerState
	delivery deliveryState
	failures failureRecord
	images   imageCache
	record   recordState

	// accounted is set when the worker has reported a token of this term: it rejects commands of former leaders from
	// then on, so its task list is complete (docs/design.md, "Why the rules hold", number 6).
	accounted bool
	draining  bool
	eviction  evictionNotice
	idleSince clock.Micros
	// provenIncarnation is the worker's incarnation in which a task was last seen running on the machine.
	provenIncarnation uint64

	version       uint64 // version of the State at the machine's last change
	removed       removedTasks
	changeElement *list.Element // its place in the State's changeList
}

// resourcesInUse sums the resource requests of the machine's tasks. started covers the tasks that may be running.
// leased covers the resources that are promised: it includes leases for which no run command was sent, and leaves out
// tasks that are being stopped. Resources of a stopping task can be leased again at once; the new task then starts
// after the old one has exited.
func (m *machine) resourcesInUse() (started, leased resources.Amounts) {
	for _, t := range m.tasks {
		if t.exited() {
			continue
		}
		if !t.stopping {
			leased = leased.Plus(t.need)
		}
		if t.state != taskLeased {
			started = started.Plus(t.need)
		}
	}
	return started, leased
}

// hasListRoom reports whether the list that the worker sends in heartbeats has room for one more task, with the resources that are free.
// All tasks count, also those that are not on the worker's list yet, and exited ones until the worker has forgotten them.
func (m *machine) hasListRoom(a *peer.Assignment, free resources.Amounts) bool {
	if len(m.tasks) <= tasklist.AmpleTasks {
		return true
	}
	isFirst := func() bool { return !tasklist.HasJob(m.tasks, a.ID.Job) }
	return tasklist.Admits(tasklist.Bytes(m.tasks), tasklist.EntryBytes(a.ID), a.Need, free, isFirst)
}

// usable reports whether the machine may get tasks now.
func (m *machine) usable(now clock.Micros) bool {
	return m.accounted && m.record == recordPresent &&
		!m.worker.lost() && !m.worker.overdue && m.delivery.confirmToken == 0 &&
		!m.draining && !m.eviction.given &&
		!m.failures.quarantined && now >= m.failures.cordonedUntil
}

// tasksByAge lists the machine's tasks that changed after a version, the oldest first.
func (m *machine) tasksByAge(changedAfter uint64) []*task {
	out := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		if t.version > changedAfter {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.addedAt, b.addedAt), cmp.Compare(a.id.Attempt, b.id.Attempt),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.N, b.id.N))
	})
	return out
}

// pendingStarts counts the machine's tasks that have neither been reported as started nor been stopped.
func (m *machine) pendingStarts() (n int) {
	for _, t := range m.tasks {
		if !t.stopping && (t.phase == "" || t.phase == wire.TaskFetching) {
			n++
		}
	}
	return n
}

// hasAttempt reports whether an attempt of a task is on the machine and has not exited.
func (m *machine) hasAttempt(job string, n int) bool {
	for id, t := range m.tasks {
		if id.Job == job && id.N == n && !t.exited() {
			return true
		}
	}
	return false
}
