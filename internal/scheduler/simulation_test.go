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

// controller is a controller's owner part: a table that a crash replaces.
type controller struct {
	name     string
	instance string
	partitionState    *partition.State
}

type lateCommands struct {
	machine string
	commands  wire.Orders
}

type lateBatch struct {
	controller     *controller
	sentTo *partition.State // the process it was sent to
	batch peer.Batch
}

// simulation is a small cluster without I/O: owners, one placer, workers, and a
// network that loses, holds up and repeats what the test tells it to.
type simulation struct {
	t             *testing.T
	now           clock.Micros
	rng           *rand.Rand
	cache          *jobs.Cache
	revision         uint64
	active        map[string]*jobs.Job
	controllers         []*controller
	leaderOf      []int
	termOf      []uint64
	machineRecords      map[string]inventory.Record
	workers       map[string]*fakes.Worker
	machineIDs         []string
	scheduler     *Scheduler
	term          uint64
	restarts       int
	lateCommands        []lateCommands
	lateBatches        []lateBatch
	heartbeatCopies        []wire.Heartbeat // of reports, that may come once more
	ended         map[string]bool
	limit         float64                   // CPUs; 0: none
	watermarks    map[string]WatermarkWrite // on record, with their stamps
	legacyRecords bool                      // an earlier release has recorded machines
	moves         *Moves                    // nil: off
	leadersWithoutReservations     bool                      // they hold no room for tasks that are to move
}

func (w *simulation) Active(id string) (*jobs.Job, bool) { j, ok := w.active[id]; return j, ok }

func (w *simulation) Ended(id string, made uint64) bool {
	_, final := w.cache.Final(id)
	return final || w.active[id] == nil && w.revision >= made
}

func newSimulation(t *testing.T, seed uint64, count int) *simulation {
	return newSimulationWithLimit(t, seed, count, limitCPU)
}

func newSimulationWithLimit(t *testing.T, seed uint64, count int, limit float64) *simulation {
	w := &simulation{t: t, limit: limit, now: 100 * sec, rng: fakes.Rand(seed), cache: jobs.NewCache(), revision: 10, active: map[string]*jobs.Job{},
		machineRecords: map[string]inventory.Record{}, workers: map[string]*fakes.Worker{}, ended: map[string]bool{}, watermarks: map[string]WatermarkWrite{}}
	for i := range 2 {
		w.controllers = append(w.controllers, &controller{name: fmt.Sprintf("h%d", i)})
		w.boot(w.controllers[i])
		w.leaderOf, w.termOf = append(w.leaderOf, i), append(w.termOf, 0)
	}
	for i := range count {
		id := fmt.Sprintf("m-%d", i)
		w.machineIDs = append(w.machineIDs, id)
		w.workers[id] = fakes.NewWorker(id, lease, w.now)
		w.workers[id].Zone = []string{"a", "b"}[i/2%2]
	}
	for p := range w.leaderOf {
		w.acquirePartition(p, p)
	}
	w.newScheduler()
	return w
}

func (w *simulation) boot(h *controller) {
	w.restarts++
	h.instance = fmt.Sprintf("%s-%d", h.name, w.restarts)
	h.partitionState = partition.NewState(partition.Timing{Lease: lease, RoomLeaseTTL: 4 * sec, QuarantineErrors: 2}, w)
	h.partitionState.SetTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)})
}

func (w *simulation) partitionOf(id string) int { return int(id[2]-'0') % len(w.leaderOf) }

// acquirePartition moves a partition to a host: the former holder's authority is over.
func (w *simulation) acquirePartition(p, to int) {
	w.controllers[w.leaderOf[p]].partitionState.ReleasePartition(p)
	w.leaderOf[p] = to
	w.termOf[p]++
	w.revision++
	found := map[string]inventory.Record{}
	for id, r := range w.machineRecords {
		if w.partitionOf(id) == p {
			found[id] = r
		}
	}
	w.controllers[to].partitionState.AcquirePartition(p, w.termOf[p], found, w.now)
}

// restart ends a host's process. The next one takes its partitions anew.
func (w *simulation) restart(h *controller) {
	w.boot(h)
	for p, at := range w.leaderOf {
		if w.controllers[at] == h {
			w.acquirePartition(p, at)
		}
	}
}

// newScheduler replaces the placer: the former one is gone, and with it its memory.
func (w *simulation) newScheduler() {
	w.term++
	w.revision++
	w.scheduler = NewScheduler(Config{Timing: Timing{Sample: 3, Batch: 10, PreemptAfter: sec, Moves: w.moves}, Instance: fmt.Sprintf("scheduler-%d", w.term),
		Teams: []Team{{Name: red, Limit: resources.Capacity(w.limit, 0, 0)}}, Hosts: []string{"h0", "h1"}, Seed: w.term,
		WallMS: func() int64 { return 0 }})
	w.scheduler.legacyRecords = w.legacyRecords
	for id := range w.machineRecords {
		w.scheduler.HandleMachineRecord(id, true)
	}
	for key, m := range w.watermarks {
		w.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
	}
	var list []*jobs.Job
	for _, j := range w.active {
		list = append(list, j)
	}
	w.scheduler.AcquireTeam(red, w.term, w.revision, list, w.now)
}

// writeWatermarks has the placer's watermarks written down; the answer may be lost, or the write.
func (w *simulation) writeWatermarks(written, answered bool) {
	for _, m := range w.scheduler.PlanWatermarks(w.now, 4000) {
		if !written || m.ModRevision != w.watermarks[m.Key].ModRevision {
			continue
		}
		w.revision++
		m.ModRevision = w.revision
		w.watermarks[m.Key] = m
		if answered {
			w.scheduler.HandleWatermarkRecord(m.Key, m.Watermarks, m.ModRevision)
		}
	}
}

// partitionLeaderships are the claims of the partitions, as the placer knows them.
func (w *simulation) partitionLeaderships() (out []PartitionLeadership) {
	for p, h := range w.leaderOf {
		out = append(out, PartitionLeadership{Partition: p, Term: w.termOf[p], Host: w.controllers[h].name})
	}
	return out
}

// schedule lets the placer decide, with watermarks written at once.
func (w *simulation) schedule() {
	w.writeWatermarks(true, true)
	w.scheduler.Schedule(w.now)
}

func (w *simulation) addJob(id string, tasks int, change func(*wire.Job)) {
	w.revision++
	spec := wire.Job{ID: id, Team: red, Priority: "normal", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if change != nil {
		change(&spec)
	}
	w.active[id] = jobs.New(jobs.Record{Job: spec}, w.revision)
	w.scheduler.AddJob(w.active[id], w.now)
}

// poll lets the placer hear an owner.
func (w *simulation) poll(h *controller, lost bool) {
	in := w.scheduler.NextPoll(h.name)
	ans := h.partitionState.HandlePoll(in, h.instance, w.now)
	ans.Holds = ans.Holds && !w.leadersWithoutReservations
	if lost {
		w.scheduler.MarkUnreachable(h.name)
		return
	}
	w.scheduler.HandlePollResponse(h.name, in, &ans, w.now)
}

// sendBatch lets the placer's next round reach an owner.
func (w *simulation) sendBatch(h *controller, reached, answered bool) {
	r := w.scheduler.NextBatch(h.name)
	if r == nil {
		return
	}
	if !reached {
		w.lateBatches = append(w.lateBatches, lateBatch{h, h.partitionState, *r})
		return
	}
	ans := h.partitionState.HandleBatch(*r, h.instance, w.now)
	if answered {
		w.scheduler.HandleBatchResponse(h.name, r, &ans, w.now)
	}
}

// heartbeat lets a worker heartbeat to its owner.
func (w *simulation) heartbeat(id string, answered bool) {
	k, p := w.workers[id], w.partitionOf(id)
	r := k.Report(w.now)
	if w.heartbeatCopies = append(w.heartbeatCopies, r); len(w.heartbeatCopies) > 40 {
		w.heartbeatCopies = w.heartbeatCopies[1:]
	}
	ans, ok := w.controllers[w.leaderOf[p]].partitionState.HandleHeartbeat(&r, p, w.now)
	if ok && answered {
		k.Take(ans, w.now)
	}
}

// deliverCommands carries /orders: in time, late, or without the answer.
func (w *simulation) deliverCommands(id string, late, answered bool) {
	t := w.controllers[w.leaderOf[w.partitionOf(id)]].partitionState
	_, o := t.NextDelivery(id, w.now)
	if o == nil {
		return
	}
	if late {
		w.lateCommands = append(w.lateCommands, lateCommands{id, *o})
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

// advance lets time do its work: lapses, records of machines, ends of jobs.
func (w *simulation) advance() {
	for _, h := range w.controllers {
		for _, id := range h.partitionState.Tick(w.now) {
			delete(w.machineRecords, id)
			w.handleMachineRecord(id, false)
		}
		for id, r := range h.partitionState.UnrecordedMachines() {
			w.machineRecords[id] = r
			w.handleMachineRecord(id, true)
		}
	}
	for _, j := range w.scheduler.CompletedJobs(w.scheduler.teams[red]) {
		w.endJob(j.ID, wire.Done)
	}
	for id := range w.active {
		if j := w.scheduler.teams[red].jobs[id]; j != nil && j.cancelling && w.scheduler.CancellationConfirmed(j, w.partitionLeaderships()) {
			w.endJob(id, wire.Cancelled)
		}
	}
}

func (w *simulation) endJob(id, phase string) {
	w.cache.AddFinal(id, jobs.Final{Phase: phase, Team: red})
	w.ended[id] = true
	delete(w.active, id)
	w.scheduler.DropJob(id)
}

func (w *simulation) handleMachineRecord(id string, there bool) {
	w.scheduler.HandleMachineRecord(id, there)
	for _, h := range w.controllers {
		h.partitionState.HandleMachineRecord(id, w.partitionOf(id), w.machineRecords[id], there, w.now)
	}
}

// runSteps runs the cluster without losses for a while.
func (w *simulation) runSteps(steps int) {
	for range steps {
		w.now += 250 * clock.Millisecond
		for _, id := range w.machineIDs {
			w.heartbeat(id, true)
			w.deliverCommands(id, false, true)
		}
		w.advance()
		for _, h := range w.controllers {
			w.poll(h, false)
			w.sendBatch(h, true, true)
		}
		w.schedule()
		for _, h := range w.controllers {
			w.sendBatch(h, true, true)
		}
		w.checkInvariants("settling")
	}
}

// checkInvariants holds the rules against what the workers really run.
func (w *simulation) checkInvariants(when string) {
	for _, h := range w.controllers {
		require.False(w.t, w.scheduler.sessions[h.name].resync, "%s: what changed did not fit what was known", when)
	}
	on := map[string]string{}
	cpus := 0.0
	for _, id := range w.machineIDs {
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
func (w *simulation) exitAll(cause string) (n int) {
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

func (w *simulation) runningTasks() (n int) {
	for _, k := range w.workers {
		for _, t := range k.Tasks {
			if t.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}
