package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
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

// A controller dies with /orders on their way; they arrive after its successor
// has spoken to the worker. They must be dead.
func TestCommandsOfFormerLeaderAreRejectedByWorker(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)

	next := newTestState(s.jobs)
	next.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "10.0.0.9:9000", Type: "big", Zone: "a"}}, s.now)
	s.now += sec
	s.heartbeatTo(next)
	require.False(t, next.machines["m-1"].accounted, "the report was made before the new token was seen")
	s.now += sec
	s.heartbeatTo(next)
	require.True(t, next.machines["m-1"].accounted)
	_, ok := s.worker.Orders(*late, s.now)
	require.False(t, ok)
	require.False(t, s.worker.Running("job-1/0"))
}

// /orders had no answer. Until a report shows a higher token the run may still
// arrive, so neither the task's place is given up nor the attempt forgotten.
func TestUnansweredRunCountsUntilHigherTokenIsShown(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})

	s.now += sec
	r := s.worker.Report(s.now)
	ans, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
	require.Len(t, s.tasks(), 1, "the worker has not shown the new token: the run may still arrive")
	_, executed := s.worker.Orders(*late, s.now)
	require.True(t, executed, "it does arrive")
	s.worker.Take(ans, s.now)
	require.False(t, s.worker.Running("job-1/0"), "the stop follows it")
	s.heartbeat()
	require.Len(t, s.tasks(), 1)
	require.Equal(t, wire.TaskExited, s.tasks()[0].Phase)
}

// A forget may only follow when no copy of the run can arrive: it would start
// the attempt once more.
func TestForgetIsSentOnlyWhenNoCopyOfRunCanArrive(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	old := s.worker.Token
	s.heartbeat() // carries the run as well: it starts
	require.True(t, s.worker.Running("job-1/0"))
	s.worker.Finish("job-1/0", wire.CauseDone)
	s.worker.Token = old // as if the answer with the new token were still under way
	s.now += sec
	r := s.worker.Report(s.now)
	s.state.machines["m-1"].delivery.shownToken = old
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
	s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
	s.now += sec
	r = s.worker.Report(s.now)
	ans, _ := s.state.HandleHeartbeat(&r, 0, s.now)
	for _, o := range ans.Orders {
		require.NotEqual(t, wire.VerbForget, o.Verb)
	}
	s.worker.Take(ans, s.now)
	s.heartbeat() // shows the new token: the late copy is dead, and the forget goes out
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	s.worker.Orders(*late, s.now)
	require.Equal(t, 1, s.worker.Starts["job-1/0"])
}

// A report that was held up by a cut comes after newer ones.
func TestHeartbeatOfFormerIncarnationIsRejected(t *testing.T) {
	s := newScene(t)
	held := s.worker.Report(s.now) // lists nothing
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	_, ok := s.state.HandleHeartbeat(&held, 0, s.now)
	require.False(t, ok)
	require.Len(t, s.tasks(), 1)

	s.worker.Session = 2
	s.worker.Tick = 0
	s.heartbeat()
	_, ok = s.state.HandleHeartbeat(&held, 0, s.now)
	require.False(t, ok, "a report of a former session must not be answered with 200")
}

// A machine that nobody answers is given up only when its worker has surely
// killed all that it had.
func TestMachineIsSilentOnlyAfterWholeWorkerLease(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.now += workerLease
	s.state.Tick(s.now)
	require.Len(t, s.tasks(), 1)
	s.now += sec
	require.Equal(t, []string{"m-1"}, s.state.Tick(s.now), "its record may go")
	require.Empty(t, s.tasks())
	s.worker.Check(s.now)
	require.False(t, s.worker.Running("job-1/0"))
}

// A worker begins a new session, and the owner learns of it by the answer to
// /orders only. The session lasts its lease from its beginning, not from the last report.
func TestNewIncarnationHasWholeWorkerLease(t *testing.T) {
	s := newScene(t)
	s.now += workerLease + 200*clock.Millisecond
	for n := range 2 { // the first orders name the former session and are refused
		require.True(t, s.acquireLease(n, uint64(n+1)))
		_, o := s.state.NextDelivery("m-1", s.now)
		r, _ := s.worker.Orders(*o, s.now)
		s.state.HandleDeliveryResponse("m-1", o, &r, s.now)
	}
	require.True(t, s.worker.Running("job-1/1"))
	s.now += 2 * sec
	require.Empty(t, s.state.Tick(s.now))
	s.worker.Check(s.now)
	require.True(t, s.worker.Running("job-1/1"))
	require.Len(t, s.tasks(), 1)
}

// A machine gets no task before its record is in the state service: a later
// owner would not know of it.
func TestUnrecordedMachineGetsNoTask(t *testing.T) {
	s := newScene(t)
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, false, s.now)
	require.False(t, s.acquireLease(0, 1))
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	require.True(t, s.acquireLease(0, 2))
}

// A repeat of a round is answered alike; a second start of a task is refused.
func TestRepeatedBatchIsAnsweredAlike(t *testing.T) {
	s := newScene(t)
	in := peer.Batch{From: "placer", Seq: 7, Terms: map[string]uint64{team: 1}, Asks: []peer.Assignment{assignment(0, 1)}}
	first := s.state.HandleBatch(in, "me", s.now)
	again := s.state.HandleBatch(in, "me", s.now)
	require.Equal(t, first, again)
	require.False(t, first.Refused[0])
	require.Len(t, s.tasks(), 1)
	s.seq = 7
	require.False(t, s.acquireLease(0, 2), "the task is there with another attempt")
}

// The ask of a team's former placer arrives after the new one has been heard.
func TestAssignmentOfFormerTeamLeaderIsRejected(t *testing.T) {
	s := newScene(t)
	s.state.HandlePoll(peer.PollRequest{Terms: map[string]uint64{team: 2}}, "me", s.now)
	require.False(t, s.acquireLease(0, 1))
}

// An ask made to the former owner of a partition reaches the next one.
func TestAssignmentUnderFormerPartitionTermIsRejected(t *testing.T) {
	s := newScene(t)
	s.state.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now))
	require.False(t, s.acquireLease(0, 1))
}

// An unused lease lapses; one whose run was sent does not.
func TestUnusedLeaseExpires(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Empty(t, s.tasks())
	s.heartbeat()
	require.True(t, s.acquireLease(1, 2))
	s.state.NextDelivery("m-1", s.now)
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Len(t, s.tasks(), 1)
}

// Room of a stopping task is leased at once, and the lease starts after its end.
func TestLeaseStartsAfterItsVictimExited(t *testing.T) {
	s := newScene(t)
	for n := range 4 {
		require.True(t, s.acquireLease(n, uint64(n+1)))
	}
	s.heartbeat()
	s.heartbeat()
	a := assignment(4, 9)
	a.Rank = 2
	a.Victims = []peer.TaskID{assignment(0, 1).ID}
	require.False(t, s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0])
	_, o := s.state.NextDelivery("m-1", s.now)
	require.Len(t, o.Orders, 1)
	require.Equal(t, wire.VerbStop, o.Orders[0].Verb)
	r, ok := s.worker.Orders(*o, s.now)
	require.True(t, ok)
	s.state.HandleDeliveryResponse("m-1", o, &r, s.now)
	_, o = s.state.NextDelivery("m-1", s.now)
	require.Equal(t, wire.VerbRun, o.Orders[0].Verb)
}

// A job is withdrawn while its start is on the way; the stop reaches the task.
func TestCancellationStopsTaskWhoseRunIsInFlight(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: "red"}}})
	require.False(t, s.acquireLease(1, 2), "nothing of it may start any more")
	s.worker.Orders(*late, s.now)
	require.True(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	require.False(t, s.worker.Running("job-1/0"))
}

// A former owner's task of a job that is over is found and ended.
func TestFoundTaskOfFinalJobIsStopped(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	delete(s.jobs.active, "job-1")
	next := newTestState(s.jobs)
	next.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	for range 4 {
		s.now += sec
		s.heartbeatTo(next)
	}
	require.Empty(t, s.worker.Tasks)
}

// A task that was asked for is not ended because this owner's view of the jobs is old.
func TestAssignedTaskIsKeptWhileReplicaIsBehind(t *testing.T) {
	s := newScene(t)
	delete(s.jobs.active, "job-1")
	s.jobs.rev = jobRevision - 1
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}

// An owner that has heard of no withdrawal, but whose view of the jobs is newer than
// the job and does not show it, starts nothing of it: who asks has lost its team, and
// stood still while the job was cancelled. What it was asked for before is ended.
func TestNoTaskOfEndedJobStarts(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.True(t, s.acquireLease(1, 2), "not sent yet")
	delete(s.jobs.active, "job-1")
	require.False(t, s.acquireLease(2, 3))
	s.heartbeat()
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.Len(t, s.worker.Starts, 1, "the lease was not used either")
}

// A machine is set aside for its return only when it holds neither task nor
// lease, and gets none after that.
func TestMachineIsDrainedOnlyWhenEmpty(t *testing.T) {
	s := newScene(t)
	part := func(string, string) int { return 0 }
	require.True(t, s.acquireLease(0, 1))
	require.Empty(t, s.state.Drain([]peer.MachineRef{{ID: "m-1"}}, part, s.now))
	s.now += 6 * sec
	s.state.Tick(s.now)
	require.Equal(t, []string{"m-1"}, s.state.Drain([]peer.MachineRef{{ID: "m-1"}}, part, s.now))
	require.False(t, s.acquireLease(1, 2))
	require.Equal(t, []string{"m-9"}, s.state.Drain([]peer.MachineRef{{ID: "m-9"}}, part, s.now), "one that never reported")
	s.state.HandleMachinesGone([]peer.MachineRef{{ID: "m-1"}}, part, s.now)
	r := s.worker.Report(s.now)
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.False(t, ok, "a late report of a returned machine")
}

// Several jobs fail on a machine: it is sick. One job that fails on many is not its fault.
func TestMachineFailingSeveralJobsIsQuarantined(t *testing.T) {
	s := newScene(t)
	spec := wire.Job{ID: "job-2", Team: team, Priority: "normal", Tasks: 10, CPUs: 2, MemGB: 1}
	s.jobs.active["job-2"] = jobs.New(jobs.Record{Job: spec}, 6)
	require.True(t, s.acquireLease(0, 1))
	a := assignment(0, 2)
	a.ID.Job = "job-2"
	require.False(t, s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0])
	s.heartbeat()
	s.worker.Finish("job-1/0", wire.CauseError)
	s.heartbeat()
	require.False(t, s.state.machines["m-1"].failures.quarantined)
	require.False(t, s.state.machines["m-1"].usable(s.now), "shunned for a while")
	s.worker.Finish("job-2/0", wire.CauseError)
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].failures.quarantined)
}

// Random losses: whatever is lost, late or repeated, no task ever runs twice
// under one attempt, and what the owner holds covers what the worker runs.
func TestStateCoversWorkerUnderRandomLosses(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		s := newScene(t)
		rng := fakes.Rand(seed)
		var late []*wire.Orders
		attempt := uint64(0)
		for range 200 {
			s.now += 300 * clock.Millisecond
			switch rng.IntN(6) {
			case 0:
				attempt++
				s.acquireLease(rng.IntN(10), attempt)
			case 1:
				if _, o := s.state.NextDelivery("m-1", s.now); o != nil {
					if rng.IntN(2) == 0 {
						late = append(late, o)
						s.state.HandleDeliveryTimeout("m-1", o, s.now)
					} else {
						r, _ := s.worker.Orders(*o, s.now)
						s.state.HandleDeliveryResponse("m-1", o, &r, s.now)
					}
				}
			case 2:
				if len(late) > 0 {
					s.worker.Orders(*late[rng.IntN(len(late))], s.now)
				}
			case 3:
				r := s.worker.Report(s.now)
				if ans, ok := s.state.HandleHeartbeat(&r, 0, s.now); ok && rng.IntN(3) > 0 {
					s.worker.Take(ans, s.now)
				}
			case 4:
				for _, v := range s.tasks() {
					if rng.IntN(2) == 0 {
						s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: v.ID, Machine: "m-1"}}})
					}
				}
			case 5:
				for _, v := range s.tasks() {
					s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: v.ID, Machine: "m-1"}}})
				}
			}
			s.state.Tick(s.now)
			s.worker.Check(s.now)
			held := map[string]bool{}
			for _, v := range s.tasks() {
				held[wire.TaskName(v.ID.Job, v.ID.N)] = true
			}
			for _, k := range s.worker.Tasks {
				if k.Phase != wire.TaskExited {
					require.True(t, held[k.Task], "seed %d: %s runs and the table does not know", seed, k.Task)
				}
			}
		}
		for task, n := range s.worker.Starts {
			require.LessOrEqual(t, n, int(attempt), "%s", task)
		}
	}
}

// A machine whose reports stop gets no tasks long before its lease is over, and
// gets them again when it is heard.
func TestMachineWithOverdueHeartbeatsGetsNoTasks(t *testing.T) {
	s := newScene(t)
	s.state.timing.HeartbeatOverdue = workerLease / 2
	usable := func() bool { return s.state.view(s.state.machines["m-1"], 0, s.now).Usable }
	require.True(t, usable())
	s.now += workerLease/2 + sec
	s.state.Tick(s.now)
	require.False(t, usable())
	require.False(t, s.state.machines["m-1"].worker.silent, "its tasks may be running")
	s.heartbeat()
	require.True(t, usable())
}

// Reports of a machine arrive, but no answer and no order reaches it. It gets one
// task that it never hears of, and no more until it shows that it has heard.
func TestMachineWithUnconfirmedDeliveryGetsNoMoreTasks(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", o, s.now)
	silence := func() {
		s.now += sec
		r := s.worker.Report(s.now)
		s.state.HandleHeartbeat(&r, 0, s.now) // its answer is lost
	}
	for range 4 {
		silence()
		require.False(t, s.acquireLease(1, 2))
	}
	require.Len(t, s.tasks(), 1, "the first may have arrived: it counts")
	s.now += 2 * workerLease
	silence() // its lease is over, a new session has begun
	require.Empty(t, s.tasks())
	s.heartbeat() // now it is answered
	s.heartbeat()
	require.True(t, s.acquireLease(1, 3))
}

// Copies of a report come late, over and over, after its machine has died: they
// do not keep the machine alive, nor change what later reports told.
func TestCopiesOfHeartbeatsKeepNoMachineAlive(t *testing.T) {
	s := newScene(t)
	early := s.worker.Report(s.now)
	_, ok := s.state.HandleHeartbeat(&early, 0, s.now)
	require.True(t, ok)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	last := s.worker.Report(s.now)
	s.state.HandleHeartbeat(&last, 0, s.now)
	for range 30 { // the machine is gone; copies come for three leases
		s.now += sec
		for _, c := range []wire.Heartbeat{early, last} {
			_, ok := s.state.HandleHeartbeat(&c, 0, s.now)
			require.False(t, ok)
		}
		s.state.Tick(s.now)
		if !s.state.machines["m-1"].worker.silent {
			require.Len(t, s.tasks(), 1)
		}
	}
	require.True(t, s.state.machines["m-1"].worker.silent)
	require.Empty(t, s.tasks())
}

// A worker's new session is learnt from an answer to /orders; its first report
// is none that came before, though its ticks may begin anew.
func TestFirstHeartbeatOfIncarnationIsAnswered(t *testing.T) {
	s := newScene(t)
	for range 20 {
		s.heartbeat()
	}
	s.worker.Session, s.worker.Tick = 2, 0
	clear(s.worker.Tasks)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	o.Incarnation = 2
	after, _ := s.worker.Orders(*o, s.now)
	s.state.HandleDeliveryResponse("m-1", o, &after, s.now)
	r := s.worker.Report(s.now)
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
}

// A worker begins anew within a moment, with the session that it had and its
// ticks from the start. The task that it is given runs, and is given to nobody
// else before that session is over for certain.
func TestWorkerRestartedWithinIncarnationKeepsItsTaskAccounted(t *testing.T) {
	s := newScene(t)
	for range 9 {
		s.heartbeat()
	}
	s.now += workerLease / 2 // a while after its last answered report
	s.worker.Tick, s.worker.Token = 0, 0
	s.worker.Renew(s.now)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	after, done := s.worker.Orders(*o, s.now)
	require.True(t, done)
	s.state.HandleDeliveryResponse("m-1", o, &after, s.now)
	require.False(t, s.acquireLease(1, 2), "nothing more for a worker that is not understood")
	for range 30 {
		s.now += sec / 2
		s.worker.Check(s.now)
		if r := s.worker.Report(s.now); r.Tick < 8 { // it is silent before its ticks have caught up
			s.state.HandleHeartbeat(&r, 0, s.now)
		}
		s.state.Tick(s.now)
		if s.worker.Running("job-1/0") {
			require.NotEmpty(t, s.tasks(), "it runs there still")
		}
	}
	require.False(t, s.worker.Running("job-1/0"))
	require.Empty(t, s.tasks())
}

// An answer to /orders overtakes a report that was sent before it: the report
// tells nothing new, but its worker is answered, and its lease goes on.
func TestHeartbeatOvertakenByDeliveryResponseIsAnswered(t *testing.T) {
	s := newScene(t)
	r := s.worker.Report(s.now)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	after, done := s.worker.Orders(*o, s.now)
	require.True(t, done)
	s.state.HandleDeliveryResponse("m-1", o, &after, s.now)
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
	require.Len(t, s.tasks(), 1)
}

// A machine is cut off for longer than its lease and comes back: nothing could be
// given to it, so it has not been idle, and is not to be returned at once.
func TestMachineThatReportsAgainIsNotIdle(t *testing.T) {
	s := newScene(t)
	s.heartbeat()
	idle := func() clock.Micros {
		v := s.state.HandlePoll(peer.PollRequest{}, "i", s.now).Machines
		require.Len(t, v, 1)
		require.Zero(t, v[0].Count)
		return v[0].Idle
	}
	s.now += 40 * sec
	s.state.Tick(s.now)
	require.GreaterOrEqual(t, idle(), 40*sec)
	s.heartbeat()
	require.Zero(t, idle())
}
