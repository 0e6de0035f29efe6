package partition

import (
	"container/list"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// task is one attempt on a machine: a lease (nothing sent), sent, or seen.
type task struct {
	id              peer.TaskID
	team            string
	priority        int
	need            resources.Amounts
	addedAt         clock.Micros
	sent            bool         // a run was sent, at least once
	runTick         uint64       // report whose answer carried the last run
	unansweredToken uint64       // token of an unanswered /orders that carried a run; 0: none
	deliveredAt     clock.Micros // by /orders; not repeated at once
	reported        bool
	jobRevision     uint64 // revision of its job's record; 0: not asked for here, but found
	phase           string
	cause           string
	stopping        bool
	stopGraceS      float64
	acknowledged    bool
	withinGuarantee bool // its job is within its team's guarantee
	reserved        bool // it runs elsewhere: nothing is sent before its placer's word
	reservedFor     clock.Micros
	version         uint64 // of the view that first shows it as it is
}

func (t *task) exited() bool { return t.phase == wire.TaskExited }

type machine struct {
	id        string
	partition int
	inventory.Record
	capacity            resources.Amounts
	token               uint64 // what orders are sent with
	shownToken          uint64 // highest that the worker showed
	incarnation         uint64
	tick                uint64
	contacted           bool // a report of this term has come
	answeredAt          clock.Micros
	recorded            bool // on record, by a write that no drop of its record can follow
	removingRecord      bool // a drop of its record was decided, and may be carried out at any later time
	accounted           bool
	silent              bool
	gone                bool
	draining            bool
	evictionNoticed     bool
	evictionAt          clock.Micros // by its notice
	heartbeatsOverdue   bool         // its reports have stopped: perhaps it is gone
	unconfirmed         bool         // an /orders had no answer, and no report has shown the raised token since
	lastHeartbeat       [2]uint64    // session and tick of the last report
	quarantined         bool
	probedAt            clock.Micros
	deliveryPausedUntil clock.Micros // no /orders until then: one had no answer
	deliveryInFlight    bool
	deliveryTick        uint64 // the worker's tick when the /orders on its way was sent
	cordonedUntil       clock.Micros
	failures            int
	failedJobs          map[string]bool
	images              []string // in its cache as far as is known, the latest used first
	imagesVersion       uint64   // version since when they are so
	idleSince           clock.Micros
	version             uint64
	tasks               map[peer.TaskID]*task
	// warmIncarnation is the session in which a task was seen running here last.
	warmIncarnation uint64
	departed        []departedTask // tasks gone lately, the oldest first
	completeSince   uint64         // who knows the machine as of an earlier version is told of all its tasks
	changeElement   *list.Element
}

// departedTask is a task that is on its machine no more.
type departedTask struct {
	id      peer.TaskID
	version uint64
}

// maxDepartedTasks bounds how many departed tasks a machine remembers.
const maxDepartedTasks = 256

// resourcesInUse is what the machine's tasks take that are there, or may be, and what
// is spoken for. A task that was told to stop is still there, but its room may
// be leased already: the lease waits for its end.
func (m *machine) resourcesInUse() (started, spoken resources.Amounts) {
	for _, t := range m.tasks {
		if t.exited() {
			continue
		}
		if !t.stopping {
			spoken = spoken.Plus(t.need)
		}
		if t.sent {
			started = started.Plus(t.need)
		}
	}
	return started, spoken
}

func (m *machine) usable(now clock.Micros) bool {
	return m.accounted && m.recorded && !m.silent && !m.gone && !m.draining && !m.evictionNoticed && !m.heartbeatsOverdue && !m.unconfirmed && !m.quarantined && now >= m.cordonedUntil
}
