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
	limitCPU = 12 // CPU limit of the team in tests that set one
)

// controller is a controller in its role as partition leader. A crash replaces its process and state.
type controller struct {
	name           string
	processID      string
	partitionState *partition.State
}

// lateCommands are commands that the network has delayed.
type lateCommands struct {
	machine  string
	commands wire.Orders
}

// lateBatch is a batch that the network has delayed.
type lateBatch struct {
	controller *controller
	sentTo     *partition.State // state of the process to which the batch was sent
	batch      peer.Batch
}

// simulation is a small cluster without I/O: partition leaders, one scheduler, workers, and a network that loses, delays and
// duplicates messages as the test demands.
type simulation struct {
	t                        *testing.T
	now                      clock.Micros
	rng                      *rand.Rand
	cache                    *jobs.Cache
	revision                 uint64
	active                   map[string]*jobs.Job
	controllers              []*controller
	leaderOf                 []int
	termOf                   []uint64
	machineRecords           map[string]inventory.Record
	workers                  map[string]*fakes.Worker
	machineIDs               []string
	scheduler                *Scheduler
	term                     uint64
	restarts                 int
	lateCommands             []lateCommands
	lateBatches              []lateBatch
	heartbeatCopies          []wire.Heartbeat // sent heartbeats that may arrive again
	ended                    map[string]bool
	limit                    float64                   // CPU limit of the team; 0: none
	watermarks               map[string]WatermarkWrite // stored watermark records, with their mod revisions
	legacyRecords            bool                      // an earlier release has recorded machines
	moves                    *MoveSettings             // nil: running tasks are not moved
	leadersWithoutHeldLeases bool                      // partition leaders grant no held leases, like those of earlier releases
}

// Active returns an active job. With Active and Ended the simulation serves as the partition leaders' job cache.
func (s *simulation) Active(id string) (*jobs.Job, bool) { j, ok := s.active[id]; return j, ok }

// Ended reports whether the job whose record has this mod revision is over.
func (s *simulation) Ended(id string, modRevision uint64) bool {
	_, final := s.cache.Final(id)
	return final || s.active[id] == nil && s.revision >= modRevision
}

// newSimulation returns a cluster with a number of machines and a team that is limited to limitCPU.
func newSimulation(t *testing.T, machines int) *simulation {
	t.Helper()
	return newSimulationWithLimit(t, 1, machines, limitCPU)
}

// newSimulationWithLimit returns a cluster with a number of machines and a team with a CPU limit; 0 is no limit.
func newSimulationWithLimit(t *testing.T, seed uint64, machines int, limit float64) *simulation {
	t.Helper()
	sim := &simulation{
		t:              t,
		limit:          limit,
		now:            100 * sec,
		rng:            fakes.Rand(seed),
		cache:          jobs.NewCache(),
		revision:       10,
		active:         map[string]*jobs.Job{},
		machineRecords: map[string]inventory.Record{},
		workers:        map[string]*fakes.Worker{},
		ended:          map[string]bool{},
		watermarks:     map[string]WatermarkWrite{},
	}
	for i := range 2 {
		sim.controllers = append(sim.controllers, &controller{name: fmt.Sprintf("h%d", i)})
		sim.boot(sim.controllers[i])
		sim.leaderOf, sim.termOf = append(sim.leaderOf, i), append(sim.termOf, 0)
	}
	for i := range machines {
		id := fmt.Sprintf("m-%d", i)
		sim.machineIDs = append(sim.machineIDs, id)
		sim.workers[id] = fakes.NewWorker(id, lease, sim.now)
		sim.workers[id].Zone = []string{"a", "b"}[i/2%2]
	}
	for p := range sim.leaderOf {
		sim.acquirePartition(p, p)
	}
	sim.newScheduler()
	return sim
}

// boot starts a new process of a controller, which leads no partition yet.
func (s *simulation) boot(c *controller) {
	s.restarts++
	c.processID = fmt.Sprintf("%s-%d", c.name, s.restarts)
	c.partitionState = partition.NewState(partition.Timing{WorkerLease: lease, ResourceLeaseTTL: 4 * sec, QuarantineFailedJobs: 2}, s)
	c.partitionState.SetMachineTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)})
}

func (s *simulation) partitionOf(id string) int { return int(id[2]-'0') % len(s.leaderOf) }

// acquirePartition moves the leadership of a partition to a controller, under a new term.
func (s *simulation) acquirePartition(p, to int) {
	s.controllers[s.leaderOf[p]].partitionState.ReleasePartition(p)
	s.leaderOf[p] = to
	s.termOf[p]++
	s.revision++
	found := map[string]inventory.Record{}
	for id, r := range s.machineRecords {
		if s.partitionOf(id) == p {
			found[id] = r
		}
	}
	s.controllers[to].partitionState.AcquirePartition(p, s.termOf[p], found, s.now)
}

// restart replaces a controller's process. The new one acquires the partitions of the old one.
func (s *simulation) restart(c *controller) {
	s.boot(c)
	for p, leader := range s.leaderOf {
		if s.controllers[leader] == c {
			s.acquirePartition(p, leader)
		}
	}
}

// newScheduler replaces the scheduler by one without its memory, which leads the team under the next term.
func (s *simulation) newScheduler() {
	s.term++
	s.revision++
	s.scheduler = NewScheduler(Config{
		Parameters:  Parameters{SampleSize: 3, BaseAssignmentsPerCycle: 10, PreemptAfter: sec, Moves: s.moves},
		ProcessID:   fmt.Sprintf("scheduler-%d", s.term),
		Teams:       []Team{{Name: red, Limit: resources.Capacity(s.limit, 0, 0)}},
		Hosts:       []string{"h0", "h1"},
		Seed:        s.term,
		WallClockMS: func() int64 { return 0 },
	})
	s.scheduler.legacyRecords = s.legacyRecords
	for id := range s.machineRecords {
		s.scheduler.HandleMachineRecord(id, true)
	}
	for key, m := range s.watermarks {
		s.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
	}
	var list []*jobs.Job
	for _, j := range s.active {
		list = append(list, j)
	}
	s.scheduler.AcquireTeam(red, s.term, s.revision, list, s.now)
}

// writeWatermarks writes the scheduler's watermarks. The write may be lost, or only its response.
func (s *simulation) writeWatermarks(written, answered bool) {
	for _, m := range s.scheduler.PlanWatermarks(s.now, 4000) {
		if !written || m.ModRevision != s.watermarks[m.Key].ModRevision {
			continue
		}
		s.revision++
		m.ModRevision = s.revision
		s.watermarks[m.Key] = m
		if answered {
			s.scheduler.HandleWatermarkRecord(m.Key, m.Watermarks, m.ModRevision)
		}
	}
}

// partitionLeaderships returns the leaderships of the partitions as the scheduler's replica shows them.
func (s *simulation) partitionLeaderships() (out []PartitionLeadership) {
	for p, c := range s.leaderOf {
		out = append(out, PartitionLeadership{Partition: p, Term: s.termOf[p], Host: s.controllers[c].name})
	}
	return out
}

// schedule writes watermarks and then runs a scheduling cycle.
func (s *simulation) schedule() {
	s.writeWatermarks(true, true)
	s.scheduler.Schedule(s.now)
}

// addJob submits a job that is accepted immediately. change, if not nil, modifies its specification.
func (s *simulation) addJob(id string, tasks int, change func(*wire.Job)) {
	s.revision++
	spec := wire.Job{ID: id, Team: red, Priority: "normal", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if change != nil {
		change(&spec)
	}
	s.active[id] = jobs.New(jobs.Record{Job: spec}, s.revision)
	s.scheduler.AddJob(s.active[id], s.now)
}

// poll makes the scheduler poll a partition leader. The response may be lost.
func (s *simulation) poll(c *controller, lost bool) {
	request := s.scheduler.NextPoll(c.name)
	response := c.partitionState.HandlePoll(request, c.processID, s.now)
	response.Holds = response.Holds && !s.leadersWithoutHeldLeases
	if lost {
		s.scheduler.MarkUnreachable(c.name)
		return
	}
	s.scheduler.HandlePollResponse(c.name, request, &response, s.now)
}

// sendBatch sends the scheduler's next batch to a partition leader. The batch may be delayed, or its response lost.
func (s *simulation) sendBatch(c *controller, reached, answered bool) {
	batch := s.scheduler.NextBatch(c.name)
	if batch == nil {
		return
	}
	if !reached {
		s.lateBatches = append(s.lateBatches, lateBatch{c, c.partitionState, *batch})
		return
	}
	response := c.partitionState.HandleBatch(*batch, c.processID, s.now)
	if answered {
		s.scheduler.HandleBatchResponse(c.name, batch, &response, s.now)
	}
}

// heartbeat makes a worker send a heartbeat to its partition leader. The response may be lost.
func (s *simulation) heartbeat(id string, answered bool) {
	worker, p := s.workers[id], s.partitionOf(id)
	heartbeat := worker.Heartbeat(s.now)
	if s.heartbeatCopies = append(s.heartbeatCopies, heartbeat); len(s.heartbeatCopies) > 40 {
		s.heartbeatCopies = s.heartbeatCopies[1:]
	}
	response, ok := s.stateOf(id).HandleHeartbeat(&heartbeat, p, s.now)
	if ok && answered {
		worker.HandleHeartbeatResponse(response, s.now)
	}
}

// deliverCommands sends pending commands to a worker. They may be delayed, or the worker's response lost.
func (s *simulation) deliverCommands(id string, late, answered bool) {
	state := s.stateOf(id)
	_, commands := state.NextDelivery(id, s.now)
	if commands == nil {
		return
	}
	if late {
		s.lateCommands = append(s.lateCommands, lateCommands{id, *commands})
		state.HandleDeliveryTimeout(id, commands, s.now)
		return
	}
	response, _ := s.workers[id].HandleCommands(*commands, s.now)
	if answered {
		state.HandleDeliveryResponse(id, commands, &response, s.now)
	} else {
		state.HandleDeliveryTimeout(id, commands, s.now)
	}
}

// leaderOfMachine returns a machine's partition leader.
func (s *simulation) leaderOfMachine(id string) *controller {
	return s.controllers[s.leaderOf[s.partitionOf(id)]]
}

// stateOf returns the state of a machine's partition leader.
func (s *simulation) stateOf(id string) *partition.State { return s.leaderOfMachine(id).partitionState }

// advance processes expired leases, changes of machine records, and the final states of jobs.
func (s *simulation) advance() {
	for _, c := range s.controllers {
		for _, id := range c.partitionState.Tick(s.now) {
			delete(s.machineRecords, id)
			s.handleMachineRecord(id, false)
		}
		for id, r := range c.partitionState.UnrecordedMachines() {
			s.machineRecords[id] = r
			s.handleMachineRecord(id, true)
		}
	}
	for _, j := range s.scheduler.CompletedJobs(s.scheduler.teams[red]) {
		s.endJob(j.ID, wire.Done)
	}
	for id := range s.active {
		j := s.scheduler.teams[red].jobs[id]
		if j != nil && j.cancelling && s.scheduler.CancellationConfirmed(j, s.partitionLeaderships()) {
			s.endJob(id, wire.Cancelled)
		}
	}
}

// endJob writes the final state of a job.
func (s *simulation) endJob(id, phase string) {
	s.cache.AddFinal(id, jobs.Final{Phase: phase, Team: red})
	s.ended[id] = true
	delete(s.active, id)
	s.scheduler.DropJob(id)
}

// handleMachineRecord notifies the scheduler and all partition leaders of a change of a machine's record.
func (s *simulation) handleMachineRecord(id string, exists bool) {
	s.scheduler.HandleMachineRecord(id, exists)
	for _, c := range s.controllers {
		c.partitionState.HandleMachineRecord(id, s.partitionOf(id), s.machineRecords[id], exists, s.now)
	}
}

// runSteps simulates a number of steps of 250 ms in which no message is lost or delayed.
func (s *simulation) runSteps(steps int) {
	s.t.Helper()
	for range steps {
		s.now += 250 * clock.Millisecond
		for _, id := range s.machineIDs {
			s.heartbeat(id, true)
			s.deliverCommands(id, false, true)
		}
		s.advance()
		for _, c := range s.controllers {
			s.poll(c, false)
			s.sendBatch(c, true, true)
		}
		s.schedule()
		for _, c := range s.controllers {
			s.sendBatch(c, true, true)
		}
		s.checkInvariants("without losses")
	}
}

// checkInvariants checks, against the tasks that the workers really run, that no task runs on two machines and that the team
// is within its limit. It also checks that no view was inconsistent with the scheduler's cached state.
func (s *simulation) checkInvariants(when string) {
	s.t.Helper()
	for _, c := range s.controllers {
		require.False(s.t, s.scheduler.sessions[c.name].resync, "%s: a view is inconsistent with the cached state", when)
	}
	on := map[string]string{}
	cpus := 0.0
	for _, id := range s.machineIDs {
		worker := s.workers[id]
		worker.ExpireLease(s.now)
		for _, t := range worker.Tasks {
			if t.Phase == wire.TaskExited {
				continue
			}
			require.Empty(s.t, on[t.Task], "%s: %s runs on two machines", when, t.Task)
			on[t.Task] = id
			job, _, _ := wire.SplitTask(t.Task)
			if j := s.active[job]; j != nil {
				cpus += j.CPUs
			} else {
				cpus += 2
			}
		}
	}
	if s.limit == 0 {
		return
	}
	require.LessOrEqual(s.t, cpus, s.limit, "%s: the team exceeds its limit", when)
}

// exitAll makes all running tasks exit and returns their number.
func (s *simulation) exitAll(cause string) (n int) {
	for _, worker := range s.workers {
		for _, t := range worker.Tasks {
			if t.Phase != wire.TaskExited {
				t.Phase, t.Cause = wire.TaskExited, cause
				n++
			}
		}
	}
	return n
}

// runningTasks returns the number of tasks that have not exited on the workers.
func (s *simulation) runningTasks() (n int) {
	for _, worker := range s.workers {
		for _, t := range worker.Tasks {
			if t.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}
