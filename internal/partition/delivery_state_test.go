package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A controller dies with a delivery on its way; it arrives after its successor has answered the worker, and must be
// rejected.
func TestCommandsOfFormerLeaderAreRejectedByWorker(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)

	next := newTestState(s.jobs)
	next.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "10.0.0.9:9000", Type: "big", Zone: "a"}}, s.now)
	s.now += sec
	s.heartbeatTo(next)
	require.False(t, next.machines["m-1"].accounted, "the heartbeat was made before the new token was seen")
	s.now += sec
	s.heartbeatTo(next)
	require.True(t, next.machines["m-1"].accounted)
	_, ok := s.worker.HandleCommands(*late, s.now)
	require.False(t, ok)
	require.False(t, s.worker.Running("job-1/0"))
}

// A delivery had no answer. Until a heartbeat shows a higher token the run may still arrive, so neither the resources
// of the task are free nor is the attempt forgotten.
func TestUnansweredRunCountsUntilHigherTokenIsShown(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})

	s.now += sec
	r := s.worker.Heartbeat(s.now)
	ans, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
	require.Len(t, s.tasks(), 1, "the worker has not shown the new token: the run may still arrive")
	_, executed := s.worker.HandleCommands(*late, s.now)
	require.True(t, executed, "it does arrive")
	s.worker.HandleHeartbeatResponse(ans, s.now)
	require.False(t, s.worker.Running("job-1/0"), "the stop follows it")
	s.heartbeat()
	require.Len(t, s.tasks(), 1)
	require.Equal(t, wire.TaskExited, s.tasks()[0].Phase)
}

// A forget may only follow when no copy of the run can arrive: it would start the attempt once more.
func TestForgetIsSentOnlyWhenNoCopyOfRunCanArrive(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	old := s.worker.FencingToken
	s.heartbeat() // carries the run as well: it starts
	require.True(t, s.worker.Running("job-1/0"))
	s.worker.Finish("job-1/0", wire.CauseDone)
	s.worker.FencingToken = old // as if the answer with the new token were still under way
	s.now += sec
	r := s.worker.Heartbeat(s.now)
	s.state.machines["m-1"].delivery.shownToken = old
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
	s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
	s.now += sec
	r = s.worker.Heartbeat(s.now)
	ans, _ := s.state.HandleHeartbeat(&r, 0, s.now)
	for _, o := range ans.Orders {
		require.NotEqual(t, wire.VerbForget, o.Verb)
	}
	s.worker.HandleHeartbeatResponse(ans, s.now)
	s.heartbeat() // shows the new token: the late copy is dead, and the forget goes out
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	s.worker.HandleCommands(*late, s.now)
	require.Equal(t, 1, s.worker.Starts["job-1/0"])
}

// Heartbeats of a machine arrive, but no answer and no delivery reaches it. It gets one task that it never receives,
// and no more until it shows the raised token.
func TestMachineWithUnconfirmedDeliveryGetsNoMoreTasks(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", o, s.now)
	silence := func() {
		s.now += sec
		r := s.worker.Heartbeat(s.now)
		s.state.HandleHeartbeat(&r, 0, s.now) // its answer is lost
	}
	for range 4 {
		silence()
		require.False(t, s.acquireLease(1, 2))
	}
	require.Len(t, s.tasks(), 1, "the first may have arrived: it counts")
	s.now += 2 * workerLease
	silence() // its worker lease is over, a new incarnation has begun
	require.Empty(t, s.tasks())
	s.heartbeat() // now it is answered
	s.heartbeat()
	require.True(t, s.acquireLease(1, 3))
}

// A worker begins anew within a moment, with the incarnation that it had and its ticks from the start. The task that
// it is given runs, and is given to nobody else before that incarnation is over for certain.
func TestWorkerRestartedWithinIncarnationKeepsItsTaskAccounted(t *testing.T) {
	s := newScene(t)
	for range 9 {
		s.heartbeat()
	}
	s.now += workerLease / 2 // a while after its last answered heartbeat
	s.worker.Tick, s.worker.FencingToken = 0, 0
	s.worker.Renew(s.now)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	after, done := s.worker.HandleCommands(*o, s.now)
	require.True(t, done)
	s.state.HandleDeliveryResponse("m-1", o, &after, s.now)
	require.False(t, s.acquireLease(1, 2), "nothing more for a worker whose restart was not announced")
	for range 30 {
		s.now += sec / 2
		s.worker.Check(s.now)
		if r := s.worker.Heartbeat(s.now); r.Tick < 8 { // it is silent before its ticks have caught up
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
