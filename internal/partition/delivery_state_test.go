package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A controller dies while a delivery is on its way, and the delivery arrives after the next leader has answered the
// worker's heartbeat. The worker must reject it: the new leader does not know of the task.
func TestCommandsOfFormerLeaderAreRejectedByWorker(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)

	successor := newTestState(s.jobs)
	successor.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "10.0.0.9:9000", Type: "big", Zone: "a"}}, s.now)
	s.now += sec
	s.heartbeatTo(successor)
	require.False(t, successor.machines["m-1"].accounted, "the worker sent the heartbeat before it saw the new token")
	s.now += sec
	s.heartbeatTo(successor)
	require.True(t, successor.machines["m-1"].accounted)
	_, ok := s.worker.HandleCommands(*late, s.now)
	require.False(t, ok)
	require.False(t, s.worker.Running("job-1/0"))
}

// A delivery is not answered. Until a heartbeat reports a higher token the run command may still arrive, so the
// task's resources must not be free, nor the attempt be dropped.
func TestUnansweredRunCountsUntilHigherTokenIsShown(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})

	s.now += sec
	hb := s.worker.Heartbeat(s.now)
	response, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
	require.Len(t, s.tasks(), 1, "the worker has not reported the new token, so the run command may still arrive")
	_, executed := s.worker.HandleCommands(*late, s.now)
	require.True(t, executed, "the delayed run command arrives and is executed")
	s.worker.HandleHeartbeatResponse(response, s.now)
	require.False(t, s.worker.Running("job-1/0"), "the stop command follows the run command")
	s.heartbeat()
	require.Len(t, s.tasks(), 1)
	require.Equal(t, wire.TaskExited, s.tasks()[0].Phase)
}

// A copy of the run command that arrives after the forget command would start the attempt again. The forget command
// may be sent only when no copy can arrive any more.
func TestForgetIsSentOnlyWhenNoCopyOfRunCanArrive(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	oldToken := s.worker.FencingToken
	s.heartbeat() // the response carries the run command as well, and the task starts
	require.True(t, s.worker.Running("job-1/0"))
	s.worker.Finish("job-1/0", wire.CauseDone)
	s.worker.FencingToken = oldToken // as if the response with the new token were still under way
	s.now += sec
	hb := s.worker.Heartbeat(s.now)
	s.state.machines["m-1"].delivery.reportedToken = oldToken
	_, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
	s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
	s.now += sec
	hb = s.worker.Heartbeat(s.now)
	response, _ := s.state.HandleHeartbeat(&hb, 0, s.now)
	for _, order := range response.Orders {
		require.NotEqual(t, wire.VerbForget, order.Verb)
	}
	s.worker.HandleHeartbeatResponse(response, s.now)
	s.heartbeat() // reports the new token: the late copy would be rejected, and the forget command is sent
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	s.worker.HandleCommands(*late, s.now)
	require.Equal(t, 1, s.worker.Starts["job-1/0"])
}

// Heartbeats of a machine arrive, but no response and no delivery reaches it. It gets one task, which it never
// receives. It must get no more until it reports the incremented token, or each of them would wait in vain.
func TestMachineWithUnconfirmedDeliveryGetsNoMoreTasks(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, orders := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", orders, s.now)
	heartbeatWithLostAnswer := func() {
		s.now += sec
		hb := s.worker.Heartbeat(s.now)
		s.state.HandleHeartbeat(&hb, 0, s.now) // the response is lost
	}
	for range 4 {
		heartbeatWithLostAnswer()
		require.False(t, s.assign(1, 2))
	}
	require.Len(t, s.tasks(), 1, "the first run command may have arrived, so its task counts")
	s.now += 2 * workerLease
	heartbeatWithLostAnswer() // the worker lease has expired, and a new incarnation has begun
	require.Empty(t, s.tasks())
	s.heartbeat() // this response arrives
	s.heartbeat()
	require.True(t, s.assign(1, 3))
}

// A worker restarts within a moment, with its former incarnation and with ticks from 1. A task that it is then given
// runs there, and must count until that incarnation has certainly ended, although the worker's heartbeats look like
// copies.
func TestWorkerRestartedWithinIncarnationKeepsItsTaskAccounted(t *testing.T) {
	s := newFixture(t)
	for range 9 {
		s.heartbeat()
	}
	s.now += workerLease / 2 // some time after its last answered heartbeat
	s.worker.Tick, s.worker.FencingToken = 0, 0
	s.worker.Renew(s.now)
	require.True(t, s.assign(0, 1))
	_, orders := s.state.NextDelivery("m-1", s.now)
	status, executed := s.worker.HandleCommands(*orders, s.now)
	require.True(t, executed)
	s.state.HandleDeliveryResponse("m-1", orders, &status, s.now)
	require.False(t, s.assign(1, 2), "a worker that restarted within its incarnation gets no more tasks")
	for range 30 {
		s.now += sec / 2
		s.worker.ExpireLease(s.now)
		if hb := s.worker.Heartbeat(s.now); hb.Tick < 8 { // the machine is silent before the new ticks reach the old ones
			s.state.HandleHeartbeat(&hb, 0, s.now)
		}
		s.state.Tick(s.now)
		if s.worker.Running("job-1/0") {
			require.NotEmpty(t, s.tasks(), "the task still runs on the machine")
		}
	}
	require.False(t, s.worker.Running("job-1/0"))
	require.Empty(t, s.tasks())
}
