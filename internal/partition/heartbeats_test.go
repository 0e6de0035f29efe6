package partition

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A network partition delays a heartbeat, so that it arrives after newer ones. It must neither be answered nor remove
// the tasks that it does not list.
func TestHeartbeatOfFormerIncarnationIsRejected(t *testing.T) {
	s := newFixture(t)
	delayed := s.worker.Heartbeat(s.now) // lists no tasks
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	_, ok := s.state.HandleHeartbeat(&delayed, 0, s.now)
	require.False(t, ok)
	require.Len(t, s.tasks(), 1)

	s.worker.Incarnation = 2
	s.worker.Tick = 0
	s.heartbeat()
	_, ok = s.state.HandleHeartbeat(&delayed, 0, s.now)
	require.False(t, ok, "a heartbeat of a former incarnation must not be answered with 200")
}

// A worker begins a new incarnation, and the leader learns of it only from the response to a delivery. The worker
// lease must be counted from then, not from the last heartbeat, or the leader would remove tasks that still run.
func TestNewIncarnationHasWholeWorkerLease(t *testing.T) {
	s := newFixture(t)
	s.now += workerLease + 200*clock.Millisecond
	for n := range 2 { // the first delivery is addressed to the former incarnation and is rejected
		require.True(t, s.assign(n, uint64(n+1)))
		_, orders := s.state.NextDelivery("m-1", s.now)
		status, _ := s.worker.HandleCommands(*orders, s.now)
		s.state.HandleDeliveryResponse("m-1", orders, &status, s.now)
	}
	require.True(t, s.worker.Running("job-1/1"))
	s.now += 2 * sec
	require.Empty(t, s.state.Tick(s.now))
	s.worker.ExpireLease(s.now)
	require.True(t, s.worker.Running("job-1/1"))
	require.Len(t, s.tasks(), 1)
}

// After a machine has died, late copies of its heartbeats keep arriving. They must neither keep the machine alive nor
// change what newer heartbeats have reported.
func TestCopiesOfHeartbeatsKeepNoMachineAlive(t *testing.T) {
	s := newFixture(t)
	early := s.worker.Heartbeat(s.now)
	_, ok := s.state.HandleHeartbeat(&early, 0, s.now)
	require.True(t, ok)
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	last := s.worker.Heartbeat(s.now)
	s.state.HandleHeartbeat(&last, 0, s.now)
	for range 30 { // the machine is gone; copies arrive for three worker leases
		s.now += sec
		for _, copied := range []wire.Heartbeat{early, last} {
			_, ok := s.state.HandleHeartbeat(&copied, 0, s.now)
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

// The leader learns of a worker's new incarnation from the response to a delivery. The first heartbeat of the
// incarnation must not be taken for a copy, although its ticks may start again from 1.
func TestFirstHeartbeatOfIncarnationIsAnswered(t *testing.T) {
	s := newFixture(t)
	for range 20 {
		s.heartbeat()
	}
	s.worker.Incarnation, s.worker.Tick = 2, 0
	clear(s.worker.Tasks)
	require.True(t, s.assign(0, 1))
	_, orders := s.state.NextDelivery("m-1", s.now)
	orders.Incarnation = 2
	status, _ := s.worker.HandleCommands(*orders, s.now)
	s.state.HandleDeliveryResponse("m-1", orders, &status, s.now)
	hb := s.worker.Heartbeat(s.now)
	_, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
}

// The response to a delivery overtakes a heartbeat that was sent before it. The heartbeat has no news, but must be
// answered, so that the worker's lease is extended.
func TestHeartbeatOvertakenByDeliveryResponseIsAnswered(t *testing.T) {
	s := newFixture(t)
	hb := s.worker.Heartbeat(s.now)
	require.True(t, s.assign(0, 1))
	_, orders := s.state.NextDelivery("m-1", s.now)
	status, executed := s.worker.HandleCommands(*orders, s.now)
	require.True(t, executed)
	s.state.HandleDeliveryResponse("m-1", orders, &status, s.now)
	_, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
	require.Len(t, s.tasks(), 1)
}

// A machine is cut off for longer than its worker lease and comes back. It could get no tasks meanwhile, so it must
// not count as idle for that time and be returned to the cloud at once.
func TestMachineThatReportsAgainIsNotIdle(t *testing.T) {
	s := newFixture(t)
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

// Guards against metrics that don't say why a worker's lease was extended: each heartbeat counts once, by its outcome.
func TestHeartbeatsAreCountedByOutcome(t *testing.T) {
	reporter := telemetry.NewReporter(slog.New(slog.DiscardHandler))
	s := newFixture(t)
	s.state.counters = newCounters(reporter)
	count := func(outcome heartbeatOutcome) uint64 { return s.state.counters.heartbeats[outcome].Value() }
	s.heartbeat()
	require.EqualValues(t, 1, count(outcomeAnswered))
	copied := s.worker.Heartbeat(s.now)
	for range 2 {
		s.state.HandleHeartbeat(&copied, 0, s.now)
	}
	require.EqualValues(t, 1, count(outcomeCopy))
	s.state.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.heartbeat()
	s.heartbeat()
	require.EqualValues(t, 1, count(outcomeUnaccounted))
	require.EqualValues(t, 3, count(outcomeAnswered))
}
