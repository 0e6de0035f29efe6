package partition

import (
	"cmp"
	"container/list"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// recordState is whether a machine's record is in the key-value store (docs/design.md, argument 5).
//
//	           record seen                 removal decided
//	unrecorded ----------> recordPresent ----------------> recordRemoving
//	     ^                   |       ^                         |   |
//	     +--- record gone ---+       +---- recorded anew ------+   |
//	     +------------------------ record gone --------------------+
//
// From the decision on a machine counts as not recorded: a late removal must not follow a task's start.
type recordState uint8

const (
	unrecorded     recordState = iota
	recordPresent              // by a write that no removal of the record can follow
	recordRemoving             // a removal was decided, and may be carried out at any later time
)

// evictionNotice is a spot instance's notice that the cloud takes it back.
type evictionNotice struct {
	given bool
	at    clock.Micros // when the instance is taken back
}

// machine is a machine of a partition that this process leads.
//
// Its tasks are every attempt that may be running on it, or for which its resources are leased: a task is
// removed only when it is gone for certain (docs/design.md, argument 4) or nothing of it was ever sent.
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

	// accounted: a heartbeat showed a token of this term, so commands of former leaders change nothing any
	// more (docs/design.md, argument 6).
	accounted bool
	draining  bool
	eviction  evictionNotice
	idleSince clock.Micros
	// warmIncarnation is the worker's incarnation in which a task was last seen running.
	warmIncarnation uint64

	version       uint64 // of its last change
	departed      departedTasks
	changeElement *list.Element // its place in the State's changeList
}

// resourcesInUse sums what the machine's tasks take. started is what may be running on it; leased is what is
// promised: without the tasks that are being stopped, whose resources may be leased already (the lease waits for
// their end), and with the leases of which nothing was sent.
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

// usable reports whether the machine may get tasks now.
func (m *machine) usable(now clock.Micros) bool {
	return m.accounted && m.record == recordPresent &&
		!m.worker.lost() && !m.worker.overdue && !m.delivery.unconfirmed &&
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

// pendingStarts counts the machine's tasks that were accepted and not seen running yet.
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
