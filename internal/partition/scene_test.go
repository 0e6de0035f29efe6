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
	jobRevision = 5 // mod revision of the job's record
)

// fakeJobLookup is a JobLookup with a replica as of a revision.
type fakeJobLookup struct {
	active   map[string]*jobs.Job
	final    map[string]jobs.Final
	revision uint64
}

func (j *fakeJobLookup) Active(id string) (*jobs.Job, bool) { job, ok := j.active[id]; return job, ok }

func (j *fakeJobLookup) Ended(id string, modRevision uint64) bool {
	_, final := j.final[id]
	return final || j.active[id] == nil && j.revision >= modRevision
}

// newFakeJobLookup returns a replica that shows one active job.
func newFakeJobLookup(spec wire.Job) *fakeJobLookup {
	active := map[string]*jobs.Job{spec.ID: jobs.New(jobs.Record{Job: spec}, jobRevision)}
	return &fakeJobLookup{active: active, final: map[string]jobs.Final{}, revision: jobRevision}
}

// fixture is one partition leader with one machine that is accounted for.
type fixture struct {
	now    clock.Micros
	jobs   *fakeJobLookup
	state  *State
	worker *fakes.Worker
	seq    uint64
}

// newTestState returns a state that leads no partition and knows one machine type.
func newTestState(lookup *fakeJobLookup) *State {
	s := NewState(Timing{WorkerLease: workerLease, ResourceLeaseTTL: 5 * sec, QuarantineFailedJobs: 2}, lookup)
	s.SetMachineTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)})
	return s
}

// newFixture returns a fixture whose machine is recorded, accounted for and usable.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	spec := wire.Job{ID: "job-1", Team: team, Priority: "normal", Tasks: 10, CPUs: 2, MemGB: 1}
	s := &fixture{now: 100 * sec, jobs: newFakeJobLookup(spec)}
	s.state = newTestState(s.jobs)
	s.worker = fakes.NewWorker("m-1", workerLease, s.now)
	s.state.AcquirePartition(0, 1, nil, s.now)
	s.heartbeat()
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.heartbeat()
	return s
}

// heartbeat advances the time by a second, sends the worker's heartbeat to the leader and passes the response to the
// worker.
func (s *fixture) heartbeat() wire.HeartbeatResponse {
	s.now += sec
	return s.heartbeatTo(s.state)
}

// heartbeatTo sends the worker's heartbeat to a leader and passes the response to the worker.
func (s *fixture) heartbeatTo(leader *State) wire.HeartbeatResponse {
	hb := s.worker.Heartbeat(s.now)
	response, ok := leader.HandleHeartbeat(&hb, 0, s.now)
	if ok {
		s.worker.HandleHeartbeatResponse(response, s.now)
	}
	return response
}

// assignment returns an assignment of one of the job's tasks to the machine.
func assignment(n int, attempt uint64) peer.Assignment {
	return peer.Assignment{ID: peer.TaskID{Job: "job-1", N: n, Attempt: 1<<32 | attempt}, Made: jobRevision, Team: team, Rank: 1,
		Need: resources.Request(2, 0, 1), Machine: "m-1", Term: 1}
}

// sendBatch sends the next batch of the team's leader.
func (s *fixture) sendBatch(batch peer.Batch) peer.BatchResponse {
	s.seq++
	batch.From, batch.Seq, batch.Terms = "scheduler", s.seq, map[string]uint64{team: 1}
	return s.state.HandleBatch(batch, "me", s.now)
}

// assign sends an assignment of a task and reports whether it was accepted.
func (s *fixture) assign(n int, attempt uint64) bool { return s.assignMessage(assignment(n, attempt)) }

// assignMessage sends an assignment and reports whether it was accepted.
func (s *fixture) assignMessage(a peer.Assignment) bool {
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

// tasks returns the tasks in the leader's view of the machine.
func (s *fixture) tasks() []peer.TaskView {
	return s.state.view(s.state.machines["m-1"], 0, s.now).Tasks
}

// assignWithHeldLease sends an assignment with a held lease and reports whether it was accepted.
func (s *fixture) assignWithHeldLease(n int, attempt uint64) bool {
	a := assignment(n, attempt)
	a.Hold = 20 * sec
	return s.assignMessage(a)
}

// startFirstTask returns the message that starts the job's first task, attempt 1, on its held lease.
func startFirstTask() peer.StartTask {
	return peer.StartTask{ID: assignment(0, 1).ID, Machine: "m-1", Team: team}
}

// cancelJob sends the cancellation of the job to the leader.
func (s *fixture) cancelJob() {
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}})
}

// deliver delivers the commands that are due to the worker's own address and passes the response to the leader.
func (s *fixture) deliver() {
	_, sent := s.state.NextDelivery("m-1", s.now)
	if sent == nil {
		return
	}
	hb, _ := s.worker.HandleCommands(*sent, s.now)
	s.state.HandleDeliveryResponse("m-1", sent, &hb, s.now)
}

// newFixtureWithRunningTask returns a fixture whose machine runs the job's first task.
func newFixtureWithRunningTask(t *testing.T) *fixture {
	t.Helper()
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	return s
}

// assignAtStage sends an assignment of a task that is admitted at a stage, and reports whether it was accepted.
func (s *fixture) assignAtStage(n int, attempt uint64, stage recovery.Stage) bool {
	a := assignment(n, attempt)
	a.Stage = int(stage) + 1
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

// setReturningStage sets the machine's zone to returning, at a stage.
func (s *fixture) setReturningStage(stage recovery.Stage) {
	s.state.SetZoneState("a", zone.Record{State: zone.Returning, Stage: stage}, s.now)
}
