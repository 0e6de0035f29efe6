package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

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

// The state service has refused this owner alone for ten minutes and more: its replica
// still shows the job as active. It goes on refusing what the withdrawal forbade.
func TestCancellationIsKeptWhileReplicaIsBehind(t *testing.T) {
	s := newRunningScene(t)
	s.cancelJob()
	s.heartbeat()
	for range 900 {
		s.heartbeat()
		s.state.Tick(s.now)
	}
	require.False(t, s.acquireLease(1, 2), "under the term that it was withdrawn in")
	delete(s.jobs.active, "job-1")
	s.state.Tick(s.now)
	require.Empty(t, s.state.cancellations, "the view shows it now")
}

// A round of a former placer, held up, tells of a withdrawal that its successor knows
// nothing of: nobody was told, and the job has been placed anew.
func TestCancellationOfFormerTeamLeaderIsIgnored(t *testing.T) {
	s := newRunningScene(t)
	s.state.teamTerms.fence(map[string]uint64{team: 2})
	s.cancelJob()
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}

// The owner loses its partition while its stop is on the way. Whoever is next finds
// the end in its replica, stops the task, and the old stop changes nothing more.
func TestStopInFlightIsRejectedUnderNextTerm(t *testing.T) {
	s := newRunningScene(t)
	s.cancelJob()
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.state.ReleasePartition(0)
	s.state.HandleDeliveryResponse("m-1", late, &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Tick: 99, FencingToken: 99 << 32}, s.now)
	delete(s.jobs.active, "job-1")
	next := newTestState(s.jobs)
	next.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.now += sec
	s.heartbeatTo(next)
	require.True(t, s.worker.Running("job-1/0"), "its first answer brings the token, and no orders")
	s.now += sec
	s.heartbeatTo(next)
	require.False(t, s.worker.Running("job-1/0"))
	_, ok := s.worker.Orders(*late, s.now)
	require.False(t, ok, "under a former term")
}

// A run and its answer are held up for seconds, and the job is withdrawn meanwhile. The
// owner doesn't say that the run is over until it can't arrive any more; when it
// does arrive, the next answer ends it.
func TestDelayedRunCountsUntilItCannotArrive(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.cancelJob()
	require.Len(t, s.tasks(), 1, "it may still start")
	s.now += 3 * sec
	_, ok := s.worker.Orders(*late, s.now)
	require.True(t, ok, "the worker has heard of no higher token")
	require.True(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	require.False(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.tasks())
	_, ok = s.worker.Orders(*late, s.now)
	require.False(t, ok, "a copy of it can't start the task once more")
}
