package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A heartbeat that was delayed by a network partition comes after newer ones.
func TestHeartbeatOfFormerIncarnationIsRejected(t *testing.T) {
	s := newScene(t)
	held := s.worker.Heartbeat(s.now) // lists nothing
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	_, ok := s.state.HandleHeartbeat(&held, 0, s.now)
	require.False(t, ok)
	require.Len(t, s.tasks(), 1)

	s.worker.Incarnation = 2
	s.worker.Tick = 0
	s.heartbeat()
	_, ok = s.state.HandleHeartbeat(&held, 0, s.now)
	require.False(t, ok, "a heartbeat of a former incarnation must not be answered with 200")
}

// A worker begins a new incarnation, and the leader learns of it by the answer to a delivery only. The incarnation
// lasts its worker lease from its beginning, not from the last heartbeat.
func TestNewIncarnationHasWholeWorkerLease(t *testing.T) {
	s := newScene(t)
	s.now += workerLease + 200*clock.Millisecond
	for n := range 2 { // the first delivery names the former incarnation and is rejected
		require.True(t, s.acquireLease(n, uint64(n+1)))
		_, o := s.state.NextDelivery("m-1", s.now)
		r, _ := s.worker.HandleCommands(*o, s.now)
		s.state.HandleDeliveryResponse("m-1", o, &r, s.now)
	}
	require.True(t, s.worker.Running("job-1/1"))
	s.now += 2 * sec
	require.Empty(t, s.state.Tick(s.now))
	s.worker.Check(s.now)
	require.True(t, s.worker.Running("job-1/1"))
	require.Len(t, s.tasks(), 1)
}

// Copies of a heartbeat come late, over and over, after its machine has died: they do not keep the machine alive, nor
// change what later heartbeats said.
func TestCopiesOfHeartbeatsKeepNoMachineAlive(t *testing.T) {
	s := newScene(t)
	early := s.worker.Heartbeat(s.now)
	_, ok := s.state.HandleHeartbeat(&early, 0, s.now)
	require.True(t, ok)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	last := s.worker.Heartbeat(s.now)
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

// A worker's new incarnation is learnt from an answer to a delivery; its first heartbeat is no copy, though its ticks
// may begin anew.
func TestFirstHeartbeatOfIncarnationIsAnswered(t *testing.T) {
	s := newScene(t)
	for range 20 {
		s.heartbeat()
	}
	s.worker.Incarnation, s.worker.Tick = 2, 0
	clear(s.worker.Tasks)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	o.Incarnation = 2
	after, _ := s.worker.HandleCommands(*o, s.now)
	s.state.HandleDeliveryResponse("m-1", o, &after, s.now)
	r := s.worker.Heartbeat(s.now)
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
}

// The answer to a delivery overtakes a heartbeat that was sent before it: the heartbeat says nothing new, but its
// worker is answered, and its worker lease goes on.
func TestHeartbeatOvertakenByDeliveryResponseIsAnswered(t *testing.T) {
	s := newScene(t)
	r := s.worker.Heartbeat(s.now)
	require.True(t, s.acquireLease(0, 1))
	_, o := s.state.NextDelivery("m-1", s.now)
	after, done := s.worker.HandleCommands(*o, s.now)
	require.True(t, done)
	s.state.HandleDeliveryResponse("m-1", o, &after, s.now)
	_, ok := s.state.HandleHeartbeat(&r, 0, s.now)
	require.True(t, ok)
	require.Len(t, s.tasks(), 1)
}

// A machine is cut off for longer than its worker lease and comes back: nothing could be given to it, so it has not
// been idle, and is not to be returned immediately.
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
