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

// jobList is a view of jobs for the table.
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

// scene is one owner and one machine that it has accounted for.
type scene struct {
	t      *testing.T
	now    clock.Micros
	jobs   *jobList
	state  *State
	worker *fakes.Worker
	seq    uint64
}

func newTestState(j *jobList) *State {
	tb := NewState(Timing{Lease: workerLease, RoomLeaseTTL: 5 * sec, QuarantineErrors: 2}, j)
	tb.SetTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)})
	return tb
}

func newScene(t *testing.T) *scene {
	spec := wire.Job{ID: "job-1", Team: team, Priority: "normal", Tasks: 10, CPUs: 2, MemGB: 1}
	s := &scene{t: t, now: 100 * sec, jobs: &jobList{map[string]*jobs.Job{"job-1": jobs.New(jobs.Record{Job: spec}, jobRevision)}, map[string]jobs.Final{}, jobRevision}}
	s.state = newTestState(s.jobs)
	s.worker = fakes.NewWorker("m-1", workerLease, s.now)
	s.state.AcquirePartition(0, 1, nil, s.now)
	s.heartbeat()
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.heartbeat()
	return s
}

// heartbeat lets the worker heartbeat to the owner and take the answer.
func (s *scene) heartbeat() wire.HeartbeatResponse {
	s.now += sec
	return s.heartbeatTo(s.state)
}

func (s *scene) heartbeatTo(tb *State) wire.HeartbeatResponse {
	r := s.worker.Report(s.now)
	ans, ok := tb.HandleHeartbeat(&r, 0, s.now)
	if ok {
		s.worker.Take(ans, s.now)
	}
	return ans
}

func assignment(n int, attempt uint64) peer.Assignment {
	return peer.Assignment{ID: peer.TaskID{Job: "job-1", N: n, Attempt: 1<<32 | attempt}, Made: jobRevision, Team: team, Rank: 1,
		Need: resources.Request(2, 0, 1), Machine: "m-1", Term: 1}
}

func (s *scene) sendBatch(r peer.Batch) peer.BatchResponse {
	s.seq++
	r.From, r.Seq, r.Terms = "placer", s.seq, map[string]uint64{team: 1}
	return s.state.HandleBatch(r, "me", s.now)
}

func (s *scene) acquireLease(n int, attempt uint64) bool {
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{assignment(n, attempt)}}).Refused[0]
}

func (s *scene) tasks() []peer.TaskView {
	return s.state.view(s.state.machines["m-1"], 0, s.now).Tasks
}

func (s *scene) reserve(n int, attempt uint64) bool {
	a := assignment(n, attempt)
	a.Hold = 20 * sec
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

func startTask(n int, attempt uint64) peer.StartTask {
	return peer.StartTask{ID: assignment(n, attempt).ID, Machine: "m-1", Team: team}
}

// cancelJob has the owner told that nothing of the job may run any more.
func (s *scene) cancelJob() {
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}})
}

// deliver sends what is due to the worker's own address and brings the answer back.
func (s *scene) deliver() (sent *wire.Orders, ok bool) {
	_, sent = s.state.NextDelivery("m-1", s.now)
	if sent == nil {
		return nil, false
	}
	r, ok := s.worker.Orders(*sent, s.now)
	s.state.HandleDeliveryResponse("m-1", sent, &r, s.now)
	return sent, ok
}

// newRunningScene starts the job's first task on the machine.
func newRunningScene(t *testing.T) *scene {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	return s
}

// acquireLeaseAt asks for room for a task that is admitted at a stage.
func (s *scene) acquireLeaseAt(n int, attempt uint64, stage recovery.Stage) bool {
	a := assignment(n, attempt)
	a.Stage = int(stage) + 1
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

func (s *scene) returnZoneAt(stage recovery.Stage) {
	s.state.SetZoneState("a", zone.Record{State: zone.Returning, Stage: stage}, s.now)
}
