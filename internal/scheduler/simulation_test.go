package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	sec      = clock.Second
	lease    = 10 * sec
	red      = "red"
	limitCPU = 12 // of the team, where it has one
)

// host is a controller's owner part: a table that a crash replaces.
type host struct {
	name     string
	instance string
	table    *partition.State
}

type lateOrders struct {
	machine string
	orders  wire.Orders
}

type lateRound struct {
	h     *host
	table *partition.State // the process it was sent to
	round peer.Batch
}

// world is a small cluster without I/O: owners, one placer, workers, and a
// network that loses, holds up and repeats what the test tells it to.
type world struct {
	t             *testing.T
	now           clock.Micros
	rng           *rand.Rand
	book          *jobs.Cache
	stamp         uint64
	active        map[string]*jobs.Job
	hosts         []*host
	partHost      []int
	partTerm      []uint64
	registry      map[string]inventory.Record
	workers       map[string]*fakes.Worker
	names         []string
	scheduler     *Scheduler
	term          uint64
	crashes       int
	orders        []lateOrders
	rounds        []lateRound
	copies        []wire.Heartbeat // of reports, that may come once more
	ended         map[string]bool
	limit         float64                   // CPUs; 0: none
	watermarks    map[string]WatermarkWrite // on record, with their stamps
	legacyRecords bool                      // an earlier release has recorded machines
	moves         *Moves                    // nil: off
	oldOwners     bool                      // they hold no room for tasks that are to move
}

func (w *world) Active(id string) (*jobs.Job, bool) { j, ok := w.active[id]; return j, ok }

func (w *world) Ended(id string, made uint64) bool {
	_, final := w.book.Final(id)
	return final || w.active[id] == nil && w.stamp >= made
}

func newWorld(t *testing.T, seed uint64, count int) *world {
	return newWorldOf(t, seed, count, limitCPU)
}

func newWorldOf(t *testing.T, seed uint64, count int, limit float64) *world {
	w := &world{t: t, limit: limit, now: 100 * sec, rng: fakes.Rand(seed), book: jobs.NewCache(), stamp: 10, active: map[string]*jobs.Job{},
		registry: map[string]inventory.Record{}, workers: map[string]*fakes.Worker{}, ended: map[string]bool{}, watermarks: map[string]WatermarkWrite{}}
	for i := range 2 {
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("h%d", i)})
		w.boot(w.hosts[i])
		w.partHost, w.partTerm = append(w.partHost, i), append(w.partTerm, 0)
	}
	for i := range count {
		id := fmt.Sprintf("m-%d", i)
		w.names = append(w.names, id)
		w.workers[id] = fakes.NewWorker(id, lease, w.now)
		w.workers[id].Zone = []string{"a", "b"}[i/2%2]
	}
	for p := range w.partHost {
		w.gain(p, p)
	}
	w.newScheduler()
	return w
}

func (w *world) boot(h *host) {
	w.crashes++
	h.instance = fmt.Sprintf("%s-%d", h.name, w.crashes)
	h.table = partition.NewState(partition.Timing{Lease: lease, RoomLeaseTTL: 4 * sec, QuarantineErrors: 2}, w)
	h.table.SetTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)})
}

func (w *world) part(id string) int { return int(id[2]-'0') % len(w.partHost) }

// gain moves a partition to a host: the former holder's authority is over.
func (w *world) gain(p, to int) {
	w.hosts[w.partHost[p]].table.ReleasePartition(p)
	w.partHost[p] = to
	w.partTerm[p]++
	w.stamp++
	found := map[string]inventory.Record{}
	for id, r := range w.registry {
		if w.part(id) == p {
			found[id] = r
		}
	}
	w.hosts[to].table.AcquirePartition(p, w.partTerm[p], found, w.now)
}

// restart ends a host's process. The next one takes its partitions anew.
func (w *world) restart(h *host) {
	w.boot(h)
	for p, at := range w.partHost {
		if w.hosts[at] == h {
			w.gain(p, at)
		}
	}
}

// newScheduler replaces the placer: the former one is gone, and with it its memory.
func (w *world) newScheduler() {
	w.term++
	w.stamp++
	w.scheduler = NewScheduler(Config{Timing: Timing{Sample: 3, Batch: 10, PreemptAfter: sec, Moves: w.moves}, Instance: fmt.Sprintf("scheduler-%d", w.term),
		Teams: []Team{{Name: red, Limit: resources.Capacity(w.limit, 0, 0)}}, Hosts: []string{"h0", "h1"}, Seed: w.term,
		WallMS: func() int64 { return 0 }})
	w.scheduler.legacyRecords = w.legacyRecords
	for id := range w.registry {
		w.scheduler.HandleMachineRecord(id, true)
	}
	for key, m := range w.watermarks {
		w.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
	}
	var list []*jobs.Job
	for _, j := range w.active {
		list = append(list, j)
	}
	w.scheduler.AcquireTeam(red, w.term, w.stamp, list, w.now)
}

// watermark has the placer's watermarks written down; the answer may be lost, or the write.
func (w *world) watermark(written, answered bool) {
	for _, m := range w.scheduler.PlanWatermarks(w.now, 4000) {
		if !written || m.ModRevision != w.watermarks[m.Key].ModRevision {
			continue
		}
		w.stamp++
		m.ModRevision = w.stamp
		w.watermarks[m.Key] = m
		if answered {
			w.scheduler.HandleWatermarkRecord(m.Key, m.Watermarks, m.ModRevision)
		}
	}
}

// parts are the claims of the partitions, as the placer knows them.
func (w *world) parts() (out []PartitionLeadership) {
	for p, h := range w.partHost {
		out = append(out, PartitionLeadership{Partition: p, Term: w.partTerm[p], Host: w.hosts[h].name})
	}
	return out
}

// place lets the placer decide, with watermarks written at once.
func (w *world) place() {
	w.watermark(true, true)
	w.scheduler.Schedule(w.now)
}

func (w *world) addJob(id string, tasks int, change func(*wire.Job)) {
	w.stamp++
	spec := wire.Job{ID: id, Team: red, Priority: "normal", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if change != nil {
		change(&spec)
	}
	w.active[id] = jobs.New(jobs.Record{Job: spec}, w.stamp)
	w.scheduler.AddJob(w.active[id], w.now)
}

// poll lets the placer hear an owner.
func (w *world) poll(h *host, lost bool) {
	in := w.scheduler.NextPoll(h.name)
	ans := h.table.HandlePoll(in, h.instance, w.now)
	ans.Holds = ans.Holds && !w.oldOwners
	if lost {
		w.scheduler.MarkUnreachable(h.name)
		return
	}
	w.scheduler.HandlePollResponse(h.name, in, &ans, w.now)
}

// send lets the placer's next round reach an owner.
func (w *world) send(h *host, reached, answered bool) {
	r := w.scheduler.NextBatch(h.name)
	if r == nil {
		return
	}
	if !reached {
		w.rounds = append(w.rounds, lateRound{h, h.table, *r})
		return
	}
	ans := h.table.HandleBatch(*r, h.instance, w.now)
	if answered {
		w.scheduler.HandleBatchResponse(h.name, r, &ans, w.now)
	}
}

// report lets a worker report to its owner.
func (w *world) report(id string, answered bool) {
	k, p := w.workers[id], w.part(id)
	r := k.Report(w.now)
	if w.copies = append(w.copies, r); len(w.copies) > 40 {
		w.copies = w.copies[1:]
	}
	ans, ok := w.hosts[w.partHost[p]].table.HandleHeartbeat(&r, p, w.now)
	if ok && answered {
		k.Take(ans, w.now)
	}
}

// deliver carries /orders: in time, late, or without the answer.
func (w *world) deliver(id string, late, answered bool) {
	t := w.hosts[w.partHost[w.part(id)]].table
	_, o := t.NextDelivery(id, w.now)
	if o == nil {
		return
	}
	if late {
		w.orders = append(w.orders, lateOrders{id, *o})
		t.HandleDeliveryTimeout(id, o, w.now)
		return
	}
	r, _ := w.workers[id].Orders(*o, w.now)
	if answered {
		t.HandleDeliveryResponse(id, o, &r, w.now)
	} else {
		t.HandleDeliveryTimeout(id, o, w.now)
	}
}

// tick lets time do its work: lapses, records of machines, ends of jobs.
func (w *world) tick() {
	for _, h := range w.hosts {
		for _, id := range h.table.Tick(w.now) {
			delete(w.registry, id)
			w.record(id, false)
		}
		for id, r := range h.table.UnrecordedMachines() {
			w.registry[id] = r
			w.record(id, true)
		}
	}
	for _, j := range w.scheduler.CompletedJobs(w.scheduler.teams[red]) {
		w.end(j.ID, wire.Done)
	}
	for id := range w.active {
		if j := w.scheduler.teams[red].jobs[id]; j != nil && j.cancelling && w.scheduler.CancellationConfirmed(j, w.parts()) {
			w.end(id, wire.Cancelled)
		}
	}
}

func (w *world) end(id, phase string) {
	w.book.AddFinal(id, jobs.Final{Phase: phase, Team: red})
	w.ended[id] = true
	delete(w.active, id)
	w.scheduler.DropJob(id)
}

func (w *world) record(id string, there bool) {
	w.scheduler.HandleMachineRecord(id, there)
	for _, h := range w.hosts {
		h.table.HandleMachineRecord(id, w.part(id), w.registry[id], there, w.now)
	}
}

// settle runs the cluster without losses for a while.
func (w *world) settle(steps int) {
	for range steps {
		w.now += 250 * clock.Millisecond
		for _, id := range w.names {
			w.report(id, true)
			w.deliver(id, false, true)
		}
		w.tick()
		for _, h := range w.hosts {
			w.poll(h, false)
			w.send(h, true, true)
		}
		w.place()
		for _, h := range w.hosts {
			w.send(h, true, true)
		}
		w.check("settling")
	}
}

// check holds the rules against what the workers really run.
func (w *world) check(when string) {
	for _, h := range w.hosts {
		require.False(w.t, w.scheduler.sessions[h.name].resync, "%s: what changed did not fit what was known", when)
	}
	on := map[string]string{}
	cpus := 0.0
	for _, id := range w.names {
		k := w.workers[id]
		k.Check(w.now)
		for _, t := range k.Tasks {
			if t.Phase == wire.TaskExited {
				continue
			}
			require.Empty(w.t, on[t.Task], "%s: %s runs on two machines", when, t.Task)
			on[t.Task] = id
			job, _, _ := wire.SplitTask(t.Task)
			if j := w.active[job]; j != nil {
				cpus += j.CPUs
			} else {
				cpus += 2
			}
		}
	}
	if w.limit == 0 {
		return
	}
	require.LessOrEqual(w.t, cpus, w.limit, "%s: the team is over its limit", when)
}

// exitAll ends all tasks that run, and tells how many they were.
func (w *world) exitAll(cause string) (n int) {
	for _, k := range w.workers {
		for _, t := range k.Tasks {
			if t.Phase != wire.TaskExited {
				t.Phase, t.Cause = wire.TaskExited, cause
				n++
			}
		}
	}
	return n
}

func (w *world) running() (n int) {
	for _, k := range w.workers {
		for _, t := range k.Tasks {
			if t.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}
