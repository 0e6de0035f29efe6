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
	id       peer.TaskID
	team     string
	rank     int
	need     resources.Amounts
	since    clock.Micros
	sent     bool         // a run was sent, at least once
	sentTick uint64       // report whose answer carried the last run
	risk     uint64       // token of an unanswered /orders that carried a run; 0: none
	lastSend clock.Micros // by /orders; not repeated at once
	seen     bool
	made     uint64 // revision of its job's record; 0: not asked for here, but found
	phase    string
	cause    string
	stop     bool
	grace    float64
	settled  bool
	covered  bool // its job is within its team's guarantee
	held     bool // it runs elsewhere: nothing is sent before its placer's word
	hold     clock.Micros
	version  uint64 // of the view that first shows it as it is
}

func (k *task) exited() bool { return k.phase == wire.TaskExited }

type machine struct {
	id   string
	part int
	inventory.Record
	cap            resources.Amounts
	token          uint64 // what orders are sent with
	seenToken      uint64 // highest that the worker showed
	session        uint64
	tick           uint64
	heard          bool // a report of this term has come
	answered       clock.Micros
	registered     bool // on record, by a write that no drop of its record can follow
	dropping       bool // a drop of its record was decided, and may be carried out at any later time
	accounted      bool
	silent         bool
	gone           bool
	draining       bool
	noticed        bool
	takenAt        clock.Micros // by its notice
	reportsOverdue bool         // its reports have stopped: perhaps it is gone
	unconfirmed    bool         // an /orders had no answer, and no report has shown the raised token since
	reported       [2]uint64    // session and tick of the last report
	sick           bool
	probedAt       clock.Micros
	quietUntil     clock.Micros // no /orders until then: one had no answer
	inflight       bool
	orderTick      uint64 // the worker's tick when the /orders on its way was sent
	setAsideUntil  clock.Micros
	errors         int
	errJobs        map[string]bool
	images         []string // in its cache as far as is known, the latest used first
	imagesAt       uint64   // version since when they are so
	idleSince      clock.Micros
	version        uint64
	tasks          map[peer.TaskID]*task
	// warmSession is the session in which a task was seen running here last.
	warmSession uint64
	left        []departed // tasks gone lately, the oldest first
	floor       uint64     // who knows the machine as of an earlier version is told of all its tasks
	place       *list.Element
}

// departed is a task that is on its machine no more.
type departed struct {
	id      peer.TaskID
	version uint64
}

// maxLeft bounds how many departed tasks a machine remembers.
const maxLeft = 256

// inUse is what the machine's tasks take that are there, or may be, and what
// is spoken for. A task that was told to stop is still there, but its room may
// be leased already: the lease waits for its end.
func (m *machine) inUse() (started, spoken resources.Amounts) {
	for _, k := range m.tasks {
		if k.exited() {
			continue
		}
		if !k.stop {
			spoken = spoken.Plus(k.need)
		}
		if k.sent {
			started = started.Plus(k.need)
		}
	}
	return started, spoken
}

func (m *machine) usable(now clock.Micros) bool {
	return m.accounted && m.registered && !m.silent && !m.gone && !m.draining && !m.noticed && !m.reportsOverdue && !m.unconfirmed && !m.sick && now >= m.setAsideUntil
}
