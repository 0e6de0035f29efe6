package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// endJob makes the replica show that the job has ended.
func (s *fixture) endJob() { delete(s.jobs.active, "job-1") }

// acquireAnew makes a new process lead the partition under the next term, with the machine on record if recorded is set.
func (s *fixture) acquireAnew(recorded bool) {
	term := s.state.terms[0] + 1
	s.state = newTestState(s.jobs)
	records := inventory.Group{}
	if recorded {
		records["m-1"] = inventory.Record{Addr: "x", Type: "big"}
	}
	s.state.AcquirePartition(0, term, records, s.now)
}

// probe delivers an empty message, which brings the worker a token of the leader's term.
func (s *fixture) probe() (sent *wire.Orders, status wire.Heartbeat) {
	s.now += probeInterval
	_, sent = s.state.NextDelivery("m-1", s.now)
	status, _ = s.worker.HandleCommands(*sent, s.now)
	return sent, status
}

// leaseExtensions are the ways in which a worker's lease is extended while a task of an ended job is on its machine.
var leaseExtensions = []struct {
	name string
	// prepare brings the leader into the case and returns the heartbeat to answer.
	prepare func(s *fixture) wire.Heartbeat
}{
	{"same leader", func(s *fixture) wire.Heartbeat {
		s.endJob()
		return s.worker.Heartbeat(s.now)
	}},
	{"first heartbeat at a new leader", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(true)
		return s.worker.Heartbeat(s.now)
	}},
	{"first heartbeat of an unrecorded machine", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(false)
		return s.worker.Heartbeat(s.now)
	}},
	{"first heartbeat of a draining machine", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(true)
		s.state.machines["m-1"].draining = true
		return s.worker.Heartbeat(s.now)
	}},
	{"second heartbeat at a new leader after a lost answer", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(true)
		unanswered := s.worker.Heartbeat(s.now)
		s.state.HandleHeartbeat(&unanswered, 0, s.now)
		s.now += sec
		return s.worker.Heartbeat(s.now)
	}},
	{"first heartbeat after a probe", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(true)
		sent, status := s.probe()
		s.state.HandleDeliveryResponse("m-1", sent, &status, s.now)
		return s.worker.Heartbeat(s.now)
	}},
	{"heartbeat overtaken by the response to a probe", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(true)
		overtaken := s.worker.Heartbeat(s.now)
		sent, status := s.probe()
		s.state.HandleDeliveryResponse("m-1", sent, &status, s.now)
		return overtaken
	}},
	{"heartbeat overtaken at the same leader", func(s *fixture) wire.Heartbeat {
		overtaken := s.worker.Heartbeat(s.now)
		requireAssigned(s, 1, 2)
		_, sent := s.state.NextDelivery("m-1", s.now)
		status, _ := s.worker.HandleCommands(*sent, s.now)
		s.state.HandleDeliveryResponse("m-1", sent, &status, s.now)
		s.endJob()
		return overtaken
	}},
	{"deliveries are paused", func(s *fixture) wire.Heartbeat {
		s.endJob()
		s.acquireAnew(true)
		sent, _ := s.probe()
		s.state.HandleDeliveryTimeout("m-1", sent, s.now)
		return s.worker.Heartbeat(s.now)
	}},
	{"cancelled in memory, replica behind", func(s *fixture) wire.Heartbeat {
		s.cancelJob()
		return s.worker.Heartbeat(s.now)
	}},
}

// Guards against ran_cancelled by every way in which a worker's lease is extended: the answer must stop what has ended.
func TestAnswerThatExtendsLeaseStopsTasksOfEndedJobs(t *testing.T) {
	for _, tc := range leaseExtensions {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixtureWithRunningTask(t)
			hb := tc.prepare(s)
			response, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
			require.True(t, ok)
			require.True(t, s.worker.HandleHeartbeatResponse(response, s.now))
			require.False(t, s.worker.Running("job-1/0"))
			require.False(t, s.worker.Running("job-1/1"))
		})
	}
}

// requireAssigned assigns another task of the job to the machine.
func requireAssigned(s *fixture, n int, attempt uint64) {
	if !s.assign(n, attempt) {
		panic("the assignment is rejected")
	}
}

// Guards against ran_cancelled on a machine with more tasks of ended jobs than fit into one answer. A leader of an earlier release has
// assigned them: it did not bound the tasks on a machine.
func TestLeaseIsNotExtendedWhileStopsDoNotFitIntoAnswer(t *testing.T) {
	const tasks = 2*maxCommands + 1
	s := newFixture(t)
	s.state.SetMachineTypes(map[string]resources.Amounts{"big": resources.Capacity(2*tasks, 0, 2*tasks)})
	earlier := wire.Orders{FencingToken: s.worker.FencingToken, Incarnation: s.worker.Incarnation}
	for n := range tasks {
		earlier.Orders = append(earlier.Orders, wire.Order{Verb: wire.VerbRun, Task: wire.TaskName("job-1", n), Attempt: uint64(n + 1)})
	}
	_, executed := s.worker.HandleCommands(earlier, s.now)
	require.True(t, executed)
	for range 4 {
		s.heartbeat()
	}
	require.Len(t, s.worker.Tasks, tasks)
	s.endJob()
	s.acquireAnew(true)
	for range 10 {
		s.now += 2 * sec
		hb := s.worker.Heartbeat(s.now)
		response, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
		if ok {
			s.worker.HandleHeartbeatResponse(response, s.now)
			require.Zero(t, runningTasks(s), "the lease was extended, and tasks of an ended job run")
		}
		s.deliver()
	}
	require.Zero(t, runningTasks(s), "the stops that don't fit into an answer must be delivered")
}

// Guards against ran_cancelled by a task that is preempted with time for a checkpoint, and whose job ends meanwhile.
func TestEndOfJobCutsCheckpointOfPreemptedTaskShort(t *testing.T) {
	s := newFixtureWithRunningTask(t)
	s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1", GraceS: 60}}})
	s.endJob()
	s.now += sec
	hb := s.worker.Heartbeat(s.now)
	hb.Tasks[0].Phase = wire.TaskCheckpointing
	response, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
	require.Len(t, response.Orders, 1)
	require.Equal(t, wire.VerbStop, response.Orders[0].Verb)
	require.Zero(t, *response.Orders[0].GraceS)
}

// runningTasks counts the worker's tasks that have not exited.
func runningTasks(s *fixture) (n int) {
	for _, task := range s.worker.Tasks {
		if task.Phase != wire.TaskExited {
			n++
		}
	}
	return n
}
