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
	timing             Timing
	jobs               JobLookup
	capacities         map[string]resources.Amounts
	imageCacheGB       map[string]float64 // GB by machine type
	imageSizeGB        map[string]float64 // GB by image
	terms              map[int]uint64     // partitions held, with terms
	machines           map[string]*machine
	changes            *list.List          // machines, the latest changed last: a poll costs what changed
	deliveryCandidates map[string]*machine // machines that may have something to be sent
	version            uint64
	teamTerms          map[string]uint64
	lastBatches        map[string]lastBatch
	cancellations      map[string]cancellation
	failedOn           map[string]map[string]bool // job: machines on which it failed
	arbiter            *fairshare.Arbiter         // divides contended room among teams; nil: whoever asks first has it
	zoneGates          map[string]*zoneGate       // of zones to which work returns
	history            *history.Ring              // nil: none is kept
}

// cancellation is a job of which nothing may run any more, by the word of a placer.
type cancellation struct {
	receivedAt clock.Micros
	term       uint64 // of its team, as that placer held it
}

// NewState makes an empty table.
func NewState(t Timing, j JobLookup) *State {
	return &State{imageCacheGB: map[string]float64{}, imageSizeGB: map[string]float64{}, timing: t, jobs: j, capacities: map[string]resources.Amounts{}, terms: map[int]uint64{},
		machines: map[string]*machine{}, changes: list.New(), deliveryCandidates: map[string]*machine{}, teamTerms: map[string]uint64{}, lastBatches: map[string]lastBatch{},
		cancellations: map[string]cancellation{}, failedOn: map[string]map[string]bool{}, zoneGates: map[string]*zoneGate{}}
}

// SetTypes tells what the machine types offer.
func (s *State) SetTypes(types map[string]resources.Amounts) {
	s.capacities = types
	for _, m := range s.machines {
		m.capacity = types[m.Type]
		s.markChanged(m)
	}
}

func (s *State) markChanged(m *machine) {
	s.version++
	m.version = s.version
	s.changes.MoveToBack(m.changeElement)
}

// markTaskChanged has the next views tell of a task.
func (s *State) markTaskChanged(m *machine, t *task) {
	s.markChanged(m)
	t.version = s.version
	s.deliveryCandidates[m.id] = m
}

// removeTask takes a task off its machine.
func (s *State) removeTask(m *machine, t *task) {
	delete(m.tasks, t.id)
	s.markChanged(m)
	m.departed = append(m.departed, departedTask{t.id, s.version})
	if len(m.departed) > maxDepartedTasks {
		m.completeSince = m.departed[maxDepartedTasks/2-1].version
		m.departed = slices.Delete(m.departed, 0, maxDepartedTasks/2)
	}
}

// markAllChanged has the next views tell of all tasks.
func (s *State) markAllChanged(m *machine) {
	s.markChanged(m)
	m.completeSince, m.departed = s.version, nil
	s.deliveryCandidates[m.id] = m
}

// removeMachine takes a machine out of the table.
func (s *State) removeMachine(m *machine) {
	s.changes.Remove(m.changeElement)
	delete(s.machines, m.id)
	delete(s.deliveryCandidates, m.id)
}

// termShift is where the partition's term begins in a token; below it is the sequence.
const termShift = 32

// firstToken is the lowest token of a term.
func firstToken(term uint64) uint64 { return term << termShift }

// AcquirePartition takes a partition over. Every machine registered for it may hold tasks
// of the former owner's until a report shows a token of this term, or it was
// not answered by anybody for its lease, counted from now at the latest.
func (s *State) AcquirePartition(part int, term uint64, recorded inventory.Group, now clock.Micros) {
	s.ReleasePartition(part)
	s.terms[part] = term
	for id, r := range recorded {
		m := s.addMachine(id, part, r, now)
		m.recorded = true
	}
	s.version++
}

// ReleasePartition gives a partition up.
func (s *State) ReleasePartition(part int) {
	if _, ok := s.terms[part]; !ok {
		return
	}
	delete(s.terms, part)
	for _, m := range s.machines {
		if m.partition == part {
			s.removeMachine(m)
		}
	}
	s.version++
}

func (s *State) addMachine(id string, part int, r inventory.Record, now clock.Micros) *machine {
	m := &machine{id: id, partition: part, Record: r, capacity: s.capacities[r.Type], token: firstToken(s.terms[part]) + 1,
		answeredAt: now, idleSince: now, tasks: map[peer.TaskID]*task{}, failedJobs: map[string]bool{}, incarnation: 1}
	s.machines[id] = m
	m.changeElement = s.changes.PushBack(m)
	s.markAllChanged(m)
	return m
}

// Tick lets leases lapse and machines fall silent. It gives the machines whose
// record may be dropped: nothing can be on them any more.
func (s *State) Tick(now clock.Micros) (drop []string) {
	for id, m := range s.machines {
		if !m.gone && !m.silent && now > m.answeredAt+s.timing.Lease.PlusDrift()+500*clock.Millisecond {
			// Not answered 200 by any possible owner for its whole lease:
			// the worker has killed and forgotten all that it had.
			m.silent, m.accounted = true, m.accounted && m.contacted
			clear(m.tasks)
			s.markAllChanged(m)
		}
		if quiet := s.timing.HeartbeatOverdue > 0 && now > m.answeredAt+s.timing.HeartbeatOverdue; quiet && !m.heartbeatsOverdue {
			// Long before its lease is over: what is placed there now would be
			// lost if it is gone, and others may be rented in its place.
			m.heartbeatsOverdue = true
			s.markChanged(m)
		}
		for _, t := range m.tasks {
			if !t.sent && now > s.leaseExpiry(t) {
				s.removeTask(m, t)
			}
		}
		if m.cordonedUntil != 0 && now >= m.cordonedUntil {
			m.cordonedUntil = 0
			s.markChanged(m)
		}
		if (m.silent || m.gone) && (m.recorded || m.removingRecord) {
			// Should the machine be back before this is carried out, it gets nothing
			// until it is recorded once more: that changes what a late drop is conditional on.
			m.recorded, m.removingRecord = false, true
			drop = append(drop, id)
		}
		if m.gone && now > m.answeredAt+600*clock.Second {
			s.removeMachine(m)
		}
	}
	for from, r := range s.lastBatches {
		if now > r.handledAt+3600*clock.Second {
			delete(s.lastBatches, from) // of a process long gone
		}
	}
	for job, c := range s.cancellations {
		// While the replica shows the job as active it may be behind, and this is all
		// that is known of the withdrawal, however long ago it was.
		if _, active := s.jobs.Active(job); !active && now > c.receivedAt+600*clock.Second {
			delete(s.cancellations, job)
		}
	}
	return drop
}

// HandleMachinesGone takes the word that machines are gone for certain.
func (s *State) HandleMachinesGone(list []peer.MachineRef, part func(id, zone string) int, now clock.Micros) {
	for _, x := range list {
		m := s.machines[x.ID]
		if m == nil {
			p := part(x.ID, x.Zone)
			if _, ok := s.terms[p]; !ok {
				continue
			}
			m = s.addMachine(x.ID, p, inventory.Record{Zone: x.Zone}, now)
		}
		m.gone, m.answeredAt = true, now
		clear(m.tasks)
		s.markAllChanged(m)
	}
}

// Drain keeps machines free of new tasks and names those that hold nothing.
func (s *State) Drain(list []peer.MachineRef, part func(id, zone string) int, now clock.Micros) (ready []string) {
	for _, x := range list {
		m := s.machines[x.ID]
		if m == nil {
			p := part(x.ID, x.Zone)
			if _, ok := s.terms[p]; !ok {
				continue
			}
			m = s.addMachine(x.ID, p, inventory.Record{Zone: x.Zone}, now) // not up yet
			m.draining = true
			ready = append(ready, x.ID)
			continue
		}
		if m.gone || m.silent || len(m.tasks) == 0 && (m.accounted || !m.recorded) {
			ready = append(ready, x.ID)
			m.draining = true
			s.markChanged(m)
		}
	}
	return ready
}

// HandleMachineRecord notes that a machine's record is in the state service, or gone from
// it. A record without a machine, which a late copy of an old write brings back,
// counts as a machine that nothing is known of: it falls silent, and its record goes.
func (s *State) HandleMachineRecord(id string, part int, r inventory.Record, there bool, now clock.Micros) {
	m := s.machines[id]
	if m == nil && there {
		if _, ok := s.terms[part]; !ok {
			return
		}
		m = s.addMachine(id, part, r, now)
	}
	if m != nil && (m.recorded != there || m.removingRecord) {
		m.recorded, m.removingRecord = there, false
		s.markChanged(m)
	}
}

// UnrecordedMachines lists machines that report and have no record yet.
func (s *State) UnrecordedMachines() inventory.Group {
	var out inventory.Group
	for id, m := range s.machines {
		if m.contacted && !m.recorded && !m.silent && !m.gone {
			if out == nil {
				out = inventory.Group{}
			}
			out[id] = m.Record
		}
	}
	return out
}

// PartitionTerm gives the term of a partition that is owned.
func (s *State) PartitionTerm(part int) (term uint64, ok bool) {
	term, ok = s.terms[part]
	return term, ok
}

// PartitionTerms gives the partitions that are owned, with their terms.
func (s *State) PartitionTerms() map[int]uint64 { return maps.Clone(s.terms) }

// PartitionOf gives the partition of a machine in the table.
func (s *State) PartitionOf(id string) (int, bool) {
	m := s.machines[id]
	if m == nil {
		return 0, false
	}
	return m.partition, true
}

// MachineCount is how many machines the table holds.
func (s *State) MachineCount() int { return len(s.machines) }
