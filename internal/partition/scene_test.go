package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	sec         = clock.Second
	workerLease = 10 * sec
	team        = "red"
	jobRevision = 5 // revision of the job's record
)

// jobList is a JobLookup whose replica is as of a revision.
type jobList struct {
	active map[string]*jobs.Job
	final  map[string]jobs.Final
	rev    uint64
}

func (j *jobList) Active(id string) (*jobs.Job, bool) { x, ok := j.active[id]; return x, ok }

func (j *jobList) Ended(id string, made uint64) bool {
	_, final := j.final[id]
	return final || j.active[id] == nil && j.rev >= made
}

// newJobList makes a replica that shows one active job.
func newJobList(spec wire.Job) *jobList {
	active := map[string]*jobs.Job{spec.ID: jobs.New(jobs.Record{Job: spec}, jobRevision)}
	return &jobList{active: active, final: map[string]jobs.Final{}, rev: jobRevision}
}

// scene is one partition leader and one machine that it has accounted for.
type scene struct {
	now    clock.Micros
	jobs   *jobList
	state  *State
	worker *fakes.Worker
	seq    uint64
}

// newTestState makes a state that leads no partition, with one machine type.
func newTestState(j *jobList) *State {
	s := NewState(Timing{Lease: workerLease, RoomLeaseTTL: 5 * sec, QuarantineErrors: 2}, j)
	s.SetTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)})
	return s
}

// newScene makes a scene whose machine is recorded, accounted and usable.
func newScene(t *testing.T) *scene {
	t.Helper()
	spec := wire.Job{ID: "job-1", Team: team, Priority: "normal", Tasks: 10, CPUs: 2, MemGB: 1}
	s := &scene{now: 100 * sec, jobs: newJobList(spec)}
	s.state = newTestState(s.jobs)
	s.worker = fakes.NewWorker("m-1", workerLease, s.now)
	s.state.AcquirePartition(0, 1, nil, s.now)
	s.heartbeat()
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.heartbeat()
	return s
}

// heartbeat lets the worker report to the leader a second later, and take the answer.
func (s *scene) heartbeat() wire.HeartbeatResponse {
	s.now += sec
	return s.heartbeatTo(s.state)
}

// heartbeatTo lets the worker report to a leader, and take the answer.
func (s *scene) heartbeatTo(leader *State) wire.HeartbeatResponse {
	r := s.worker.Heartbeat(s.now)
	ans, ok := leader.HandleHeartbeat(&r, 0, s.now)
	if ok {
		s.worker.HandleHeartbeatResponse(ans, s.now)
	}
	return ans
}

// assignment is one of the job's tasks, assigned to the machine.
func assignment(n int, attempt uint64) peer.Assignment {
	return peer.Assignment{ID: peer.TaskID{Job: "job-1", N: n, Attempt: 1<<32 | attempt}, Made: jobRevision, Team: team, Rank: 1,
		Need: resources.Request(2, 0, 1), Machine: "m-1", Term: 1}
}

// sendBatch has the team's leader send its next batch.
func (s *scene) sendBatch(r peer.Batch) peer.BatchResponse {
	s.seq++
	r.From, r.Seq, r.Terms = "scheduler", s.seq, map[string]uint64{team: 1}
	return s.state.HandleBatch(r, "me", s.now)
}

// acquireLease assigns a task and reports whether it was accepted.
func (s *scene) acquireLease(n int, attempt uint64) bool {
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{assignment(n, attempt)}}).Refused[0]
}

// tasks lists what the machine's view shows.
func (s *scene) tasks() []peer.TaskView {
	return s.state.view(s.state.machines["m-1"], 0, s.now).Tasks
}

// reserve assigns a task with a held lease and reports whether it was accepted.
func (s *scene) reserve(n int, attempt uint64) bool {
	a := assignment(n, attempt)
	a.Hold = 20 * sec
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

// startTask starts the first task, attempt 1, on its held lease.
func startTask() peer.StartTask {
	return peer.StartTask{ID: assignment(0, 1).ID, Machine: "m-1", Team: team}
}

// cancelJob has the leader learn that nothing of the job may run any more.
func (s *scene) cancelJob() {
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}})
}

// deliver delivers what is due to the worker's own address and brings the answer back.
func (s *scene) deliver() {
	_, sent := s.state.NextDelivery("m-1", s.now)
	if sent == nil {
		return
	}
	r, _ := s.worker.HandleCommands(*sent, s.now)
	s.state.HandleDeliveryResponse("m-1", sent, &r, s.now)
}

// newRunningScene starts the job's first task on the machine.
func newRunningScene(t *testing.T) *scene {
	t.Helper()
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	return s
}

// acquireLeaseAt assigns a task that is admitted at a stage, and reports whether it was accepted.
func (s *scene) acquireLeaseAt(n int, attempt uint64, stage recovery.Stage) bool {
	a := assignment(n, attempt)
	a.Stage = int(stage) + 1
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

// returnZoneAt has work return to the machine's zone, at a stage.
func (s *scene) returnZoneAt(stage recovery.Stage) {
	s.state.SetZoneState("a", zone.Record{State: zone.Returning, Stage: stage}, s.now)
}
