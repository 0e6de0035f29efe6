package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// newFixtureWithDeliveredTask returns a fixture whose machine runs the job's first task, and the delivery of its run command.
func newFixtureWithDeliveredTask(t *testing.T) (*fixture, wire.Orders) {
	t.Helper()
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, sent := s.state.NextDelivery("m-1", s.now)
	require.Len(t, sent.Orders, 1)
	hb, executed := s.worker.HandleCommands(*sent, s.now)
	require.True(t, executed)
	s.state.HandleDeliveryResponse("m-1", sent, &hb, s.now)
	return s, *sent
}

// acknowledge sends the acknowledgement that the end of the job's first task is recorded.
func (s *fixture) acknowledge() {
	s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
}

// taskEndings are the ways in which the job's first task ends on its machine.
var taskEndings = map[string]func(s *fixture){
	"failed": func(s *fixture) { s.worker.Finish("job-1/0", wire.CauseError) },
	"done":   func(s *fixture) { s.worker.Finish("job-1/0", wire.CauseDone) },
	"stopped": func(s *fixture) {
		s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
		s.deliver()
	},
	"stopped for a move": func(s *fixture) {
		s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1", GraceS: 10}}})
		s.deliver()
	},
	"preempted": func(s *fixture) {
		a := assignment(5, 50)
		a.Rank, a.Need.CPU, a.Victims = 2, s.state.machines["m-1"].capacity.CPU, []peer.TaskID{assignment(0, 1).ID}
		s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}})
		s.deliver()
	},
	"cancelled": func(s *fixture) {
		s.cancelJob()
		s.deliver()
	},
}

// copyArrivals are the moments at which the copy of a run command arrives after the task has ended.
var copyArrivals = map[string]func(s *fixture, arrive func()){
	"before the forget": func(s *fixture, arrive func()) {
		s.heartbeat()
		arrive()
	},
	"after the forget": func(s *fixture, arrive func()) {
		s.forgetFirstTask()
		arrive()
	},
	"after the forget and the next delivery": func(s *fixture, arrive func()) {
		s.forgetFirstTask()
		s.assign(7, 70)
		s.deliver()
		arrive()
	},
	"after the forget, at a draining machine": func(s *fixture, arrive func()) {
		s.forgetFirstTask()
		s.state.machines["m-1"].draining = true
		s.heartbeat()
		arrive()
	},
	"after the forget, at a quarantined machine": func(s *fixture, arrive func()) {
		s.forgetFirstTask()
		s.state.machines["m-1"].failures.quarantined = true
		s.heartbeat()
		arrive()
	},
	"before the first answer of a new leader": func(s *fixture, arrive func()) {
		s.forgetFirstTask()
		s.succeed()
		arrive()
	},
	"after the first answer of a new leader": func(s *fixture, arrive func()) {
		s.forgetFirstTask()
		s.succeed()
		s.heartbeat()
		arrive()
	},
	"after the forget of a new leader": func(s *fixture, arrive func()) {
		s.succeed()
		s.heartbeat()
		s.heartbeat()
		s.forgetFirstTask()
		arrive()
	},
}

// forgetFirstTask acknowledges the end of the job's first task and has the worker forget it.
func (s *fixture) forgetFirstTask() {
	s.heartbeat()
	s.acknowledge()
	s.heartbeat()
}

// succeed replaces the leader by a new one, of the next term, that has the record of the machine.
func (s *fixture) succeed() {
	record := s.state.machines["m-1"].Record
	s.state = newTestState(s.jobs)
	s.state.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": record}, s.now)
}

// Guards against ran_twice and starts after a cancellation by the copy of a run command that was answered.
func TestCopyOfAnsweredRunStartsNoEndedAttempt(t *testing.T) {
	for ending, end := range taskEndings {
		for arrival, deliverCopy := range copyArrivals {
			t.Run(ending+", "+arrival, func(t *testing.T) {
				s, sent := newFixtureWithDeliveredTask(t)
				end(s)
				copies := 0
				deliverCopy(s, func() {
					s.worker.HandleCommands(sent, s.now)
					copies++
				})
				require.Equal(t, 1, copies)
				require.Equal(t, 1, s.worker.Starts["job-1/0"])
				require.False(t, s.worker.Running("job-1/0"))
			})
		}
	}
}

// Guards against exited attempts that stay on the list of a machine which always has a delivery under way.
func TestForgetDoesNotWaitForDeliveryUnderWay(t *testing.T) {
	s, sent := newFixtureWithDeliveredTask(t)
	s.worker.Finish("job-1/0", wire.CauseDone)
	s.heartbeat()
	s.acknowledge()
	require.True(t, s.assign(1, 2))
	_, underWay := s.state.NextDelivery("m-1", s.now)
	require.Len(t, underWay.Orders, 1)
	s.heartbeat()
	require.Len(t, s.worker.Tasks, 1, "the first task is forgotten, and the second has started by the answer to the heartbeat")
	require.True(t, s.worker.Running("job-1/1"))
	hb, executed := s.worker.HandleCommands(*underWay, s.now)
	require.False(t, executed, "the token has been raised since")
	s.state.HandleDeliveryResponse("m-1", underWay, &hb, s.now)
	s.worker.HandleCommands(sent, s.now)
	require.Equal(t, 1, s.worker.Starts["job-1/0"])
	require.Equal(t, 1, s.worker.Starts["job-1/1"])
}

// Guards against a start that waits because a forget has raised the token while the run command was on its way.
func TestRunRejectedByRaisedTokenIsDeliveredAgainAtOnce(t *testing.T) {
	s, _ := newFixtureWithDeliveredTask(t)
	s.worker.Finish("job-1/0", wire.CauseDone)
	s.heartbeat()
	s.acknowledge()
	hb := s.worker.Heartbeat(s.now)
	require.True(t, s.assign(1, 2))
	_, underWay := s.state.NextDelivery("m-1", s.now)
	s.state.machines["m-1"].tasks[assignment(1, 2).ID].stopping = true // so that the answer does not carry the run command as well
	response, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
	s.worker.HandleHeartbeatResponse(response, s.now)
	s.state.machines["m-1"].tasks[assignment(1, 2).ID].stopping = false
	status, executed := s.worker.HandleCommands(*underWay, s.now)
	require.False(t, executed)
	s.state.HandleDeliveryResponse("m-1", underWay, &status, s.now)
	require.Equal(t, []string{"m-1"}, s.state.PendingDeliveries(s.now))
	s.deliver()
	require.True(t, s.worker.Running("job-1/1"))
}

// Guards against a redelivery loop between a former leader and a worker that has seen the present leader's token.
func TestDeliveryRejectedForLaterTermIsNotRepeatedAtOnce(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, sent := s.state.NextDelivery("m-1", s.now)
	s.worker.FencingToken = firstToken(2) + 1
	status, executed := s.worker.HandleCommands(*sent, s.now)
	require.False(t, executed)
	s.state.HandleDeliveryResponse("m-1", sent, &status, s.now)
	_, again := s.state.NextDelivery("m-1", s.now)
	require.Nil(t, again)
}

// Guards against heartbeats that grow in number with the ended tasks: the token rises at most once with an answer.
func TestForgetsOfOneAnswerRaiseTokenOnce(t *testing.T) {
	s := newFixture(t)
	for n := range 4 {
		require.True(t, s.assign(n, uint64(n+1)))
	}
	s.deliver()
	for n := range 4 {
		s.worker.Finish(wire.TaskName("job-1", n), wire.CauseDone)
	}
	s.heartbeat()
	for n := range 4 {
		s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: assignment(n, uint64(n+1)).ID, Machine: "m-1"}}})
	}
	before := s.worker.FencingToken
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.Equal(t, before+1, s.worker.FencingToken)
}

// Guards against machines that wait for a token of which the answer was lost, because forgets have raised it meanwhile.
func TestUnansweredDeliveryIsConfirmedByTokenThatFollowedIt(t *testing.T) {
	s, _ := newFixtureWithDeliveredTask(t)
	s.worker.Finish("job-1/0", wire.CauseDone)
	s.heartbeat()
	require.True(t, s.assign(1, 2))
	_, lost := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", lost, s.now)
	require.False(t, s.state.machines["m-1"].usable(s.now))
	confirming := s.state.machines["m-1"].delivery.token
	s.state.machines["m-1"].delivery.raiseTokenAbove(confirming)
	s.worker.FencingToken = confirming
	hb := s.worker.Heartbeat(s.now)
	s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, s.state.machines["m-1"].usable(s.now))
}

// Guards against copies of what the autoscaler asks for: they drain no machine that is in use, and bring back none that is gone.
func TestCopiesOfDrainAndGoneTakeNoMachineInUse(t *testing.T) {
	s, _ := newFixtureWithDeliveredTask(t)
	partitionOf := func(string, string) int { return 0 }
	machines := []peer.MachineRef{{ID: "m-1"}, {ID: "m-2"}}
	s.state.HandleMachinesGone(machines[1:], partitionOf, s.now)
	require.NotContains(t, s.state.Drain(machines, partitionOf, s.now), "m-1")
	s.state.HandleMachinesGone(machines[1:], partitionOf, s.now)
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now))
	require.True(t, s.worker.Running("job-1/0"))
	require.True(t, s.state.machines["m-2"].worker.gone)
}
