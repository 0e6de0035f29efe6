// Package owner is the duty of holding a partition of the machines: their
// reports, the leases on their room, the starts and stops of tasks.
//
// Table is the decision, plain code that takes the time; Owner does the I/O.
package partition

import (
	"container/list"
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// JobLookup tells which jobs are active.
type JobLookup interface {
	Active(id string) (*jobs.Job, bool)
	Ended(id string, made uint64) bool
}

// Timing is what the table needs to know of spans.
type Timing struct {
	Lease            clock.Micros // the workers' lease
	HeartbeatOverdue clock.Micros // a machine that was not heard for so long gets no tasks for now
	RoomLeaseTTL     clock.Micros // of leases on room
	QuarantineErrors int
}

// State holds the machines of the partitions that this controller owns.
type State struct {
	timing    Timing
	jobs      JobLookup
	types     map[string]resources.Amounts
	caches    map[string]float64 // GB by machine type
	sizes     map[string]float64 // GB by image
	parts     map[int]uint64     // partitions held, with terms
	machines  map[string]*machine
	changes   *list.List          // machines, the latest changed last: a poll costs what changed
	due       map[string]*machine // machines that may have something to be sent
	version   uint64
	teamTerms map[string]uint64
	rounds    map[string]lastRound
	cancelled map[string]cancel
	failing   map[string]map[string]bool // job: machines on which it failed
	arbiter   *fairshare.Arbiter         // divides contended room among teams; nil: whoever asks first has it
	gates     map[string]*gate           // of zones to which work returns
	history   *history.Ring              // nil: none is kept
}

// cancel is a job of which nothing may run any more, by the word of a placer.
type cancel struct {
	at   clock.Micros
	term uint64 // of its team, as that placer held it
}

// NewState makes an empty table.
func NewState(t Timing, j JobLookup) *State {
	return &State{caches: map[string]float64{}, sizes: map[string]float64{}, timing: t, jobs: j, types: map[string]resources.Amounts{}, parts: map[int]uint64{},
		machines: map[string]*machine{}, changes: list.New(), due: map[string]*machine{}, teamTerms: map[string]uint64{}, rounds: map[string]lastRound{},
		cancelled: map[string]cancel{}, failing: map[string]map[string]bool{}, gates: map[string]*gate{}}
}

// SetTypes tells what the machine types offer.
func (t *State) SetTypes(types map[string]resources.Amounts) {
	t.types = types
	for _, m := range t.machines {
		m.cap = types[m.Type]
		t.touch(m)
	}
}

func (t *State) touch(m *machine) {
	t.version++
	m.version = t.version
	t.changes.MoveToBack(m.place)
}

// show has the next views tell of a task.
func (t *State) show(m *machine, k *task) {
	t.touch(m)
	k.version = t.version
	t.due[m.id] = m
}

// remove takes a task off its machine.
func (t *State) remove(m *machine, k *task) {
	delete(m.tasks, k.id)
	t.touch(m)
	m.left = append(m.left, departed{k.id, t.version})
	if len(m.left) > maxLeft {
		m.floor = m.left[maxLeft/2-1].version
		m.left = slices.Delete(m.left, 0, maxLeft/2)
	}
}

// showAll has the next views tell of all tasks.
func (t *State) showAll(m *machine) {
	t.touch(m)
	m.floor, m.left = t.version, nil
	t.due[m.id] = m
}

// drop takes a machine out of the table.
func (t *State) drop(m *machine) {
	t.changes.Remove(m.place)
	delete(t.machines, m.id)
	delete(t.due, m.id)
}

// termShift is where the partition's term begins in a token; below it is the sequence.
const termShift = 32

// baseToken is the lowest token of a term.
func baseToken(term uint64) uint64 { return term << termShift }

// AcquirePartition takes a partition over. Every machine registered for it may hold tasks
// of the former owner's until a report shows a token of this term, or it was
// not answered by anybody for its lease, counted from now at the latest.
func (t *State) AcquirePartition(part int, term uint64, recorded inventory.Group, now clock.Micros) {
	t.ReleasePartition(part)
	t.parts[part] = term
	for id, r := range recorded {
		m := t.add(id, part, r, now)
		m.registered = true
	}
	t.version++
}

// ReleasePartition gives a partition up.
func (t *State) ReleasePartition(part int) {
	if _, ok := t.parts[part]; !ok {
		return
	}
	delete(t.parts, part)
	for _, m := range t.machines {
		if m.part == part {
			t.drop(m)
		}
	}
	t.version++
}

func (t *State) add(id string, part int, r inventory.Record, now clock.Micros) *machine {
	m := &machine{id: id, part: part, Record: r, cap: t.types[r.Type], token: baseToken(t.parts[part]) + 1,
		answered: now, idleSince: now, tasks: map[peer.TaskID]*task{}, errJobs: map[string]bool{}, session: 1}
	t.machines[id] = m
	m.place = t.changes.PushBack(m)
	t.showAll(m)
	return m
}

// Tick lets leases lapse and machines fall silent. It gives the machines whose
// record may be dropped: nothing can be on them any more.
func (t *State) Tick(now clock.Micros) (drop []string) {
	for id, m := range t.machines {
		if !m.gone && !m.silent && now > m.answered+t.timing.Lease.PlusDrift()+500*clock.Millisecond {
			// Not answered 200 by any possible owner for its whole lease:
			// the worker has killed and forgotten all that it had.
			m.silent, m.accounted = true, m.accounted && m.heard
			clear(m.tasks)
			t.showAll(m)
		}
		if quiet := t.timing.HeartbeatOverdue > 0 && now > m.answered+t.timing.HeartbeatOverdue; quiet && !m.reportsOverdue {
			// Long before its lease is over: what is placed there now would be
			// lost if it is gone, and others may be rented in its place.
			m.reportsOverdue = true
			t.touch(m)
		}
		for _, k := range m.tasks {
			if !k.sent && now > t.lapses(k) {
				t.remove(m, k)
			}
		}
		if m.setAsideUntil != 0 && now >= m.setAsideUntil {
			m.setAsideUntil = 0
			t.touch(m)
		}
		if (m.silent || m.gone) && (m.registered || m.dropping) {
			// Should the machine be back before this is carried out, it gets nothing
			// until it is recorded once more: that changes what a late drop is conditional on.
			m.registered, m.dropping = false, true
			drop = append(drop, id)
		}
		if m.gone && now > m.answered+600*clock.Second {
			t.drop(m)
		}
	}
	for from, r := range t.rounds {
		if now > r.at+3600*clock.Second {
			delete(t.rounds, from) // of a process long gone
		}
	}
	for job, c := range t.cancelled {
		// While the replica shows the job as active it may be behind, and this is all
		// that is known of the withdrawal, however long ago it was.
		if _, active := t.jobs.Active(job); !active && now > c.at+600*clock.Second {
			delete(t.cancelled, job)
		}
	}
	return drop
}

// HandleMachinesGone takes the word that machines are gone for certain.
func (t *State) HandleMachinesGone(list []peer.MachineRef, part func(id, zone string) int, now clock.Micros) {
	for _, x := range list {
		m := t.machines[x.ID]
		if m == nil {
			p := part(x.ID, x.Zone)
			if _, ok := t.parts[p]; !ok {
				continue
			}
			m = t.add(x.ID, p, inventory.Record{Zone: x.Zone}, now)
		}
		m.gone, m.answered = true, now
		clear(m.tasks)
		t.showAll(m)
	}
}

// Drain keeps machines free of new tasks and names those that hold nothing.
func (t *State) Drain(list []peer.MachineRef, part func(id, zone string) int, now clock.Micros) (ready []string) {
	for _, x := range list {
		m := t.machines[x.ID]
		if m == nil {
			p := part(x.ID, x.Zone)
			if _, ok := t.parts[p]; !ok {
				continue
			}
			m = t.add(x.ID, p, inventory.Record{Zone: x.Zone}, now) // not up yet
			m.draining = true
			ready = append(ready, x.ID)
			continue
		}
		if m.gone || m.silent || len(m.tasks) == 0 && (m.accounted || !m.registered) {
			ready = append(ready, x.ID)
			m.draining = true
			t.touch(m)
		}
	}
	return ready
}

// HandleMachineRecord notes that a machine's record is in the state service, or gone from
// it. A record without a machine, which a late copy of an old write brings back,
// counts as a machine that nothing is known of: it falls silent, and its record goes.
func (t *State) HandleMachineRecord(id string, part int, r inventory.Record, there bool, now clock.Micros) {
	m := t.machines[id]
	if m == nil && there {
		if _, ok := t.parts[part]; !ok {
			return
		}
		m = t.add(id, part, r, now)
	}
	if m != nil && (m.registered != there || m.dropping) {
		m.registered, m.dropping = there, false
		t.touch(m)
	}
}

// UnrecordedMachines lists machines that report and have no record yet.
func (t *State) UnrecordedMachines() inventory.Group {
	var out inventory.Group
	for id, m := range t.machines {
		if m.heard && !m.registered && !m.silent && !m.gone {
			if out == nil {
				out = inventory.Group{}
			}
			out[id] = m.Record
		}
	}
	return out
}

// PartitionTerm gives the term of a partition that is owned.
func (t *State) PartitionTerm(part int) (term uint64, ok bool) {
	term, ok = t.parts[part]
	return term, ok
}

// PartitionTerms gives the partitions that are owned, with their terms.
func (t *State) PartitionTerms() map[int]uint64 { return maps.Clone(t.parts) }

// PartitionOf gives the partition of a machine in the table.
func (t *State) PartitionOf(id string) (int, bool) {
	m := t.machines[id]
	if m == nil {
		return 0, false
	}
	return m.part, true
}

// MachineCount is how many machines the table holds.
func (t *State) MachineCount() int { return len(t.machines) }
