package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A job is cancelled while its run command is on its way; the stop reaches the task.
func TestCancellationStopsTaskWhoseRunIsInFlight(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: "red"}}})
	require.False(t, s.acquireLease(1, 2), "nothing of it may start any more")
	s.worker.HandleCommands(*late, s.now)
	require.True(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	require.False(t, s.worker.Running("job-1/0"))
}

// A former leader's task of a job that is over is found and stopped.
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

// A task that was assigned is not stopped because this leader's replica is older than its job.
func TestAssignedTaskIsKeptWhileReplicaIsBehind(t *testing.T) {
	s := newScene(t)
	delete(s.jobs.active, "job-1")
	s.jobs.rev = jobRevision - 1
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}

// A leader that has received no cancellation, but whose replica is newer than the job and does not show it, starts
// nothing of it: the scheduler has lost its team, and was paused while the job was cancelled. What it assigned before
// is stopped.
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

// The key-value store has rejected this leader alone for ten minutes and more: its replica still shows the job as
// active. It goes on rejecting what the cancellation forbade.
func TestCancellationIsKeptWhileReplicaIsBehind(t *testing.T) {
	s := newRunningScene(t)
	s.cancelJob()
	s.heartbeat()
	for range 900 {
		s.heartbeat()
		s.state.Tick(s.now)
	}
	require.False(t, s.acquireLease(1, 2), "under the term that it was cancelled in")
	delete(s.jobs.active, "job-1")
	s.state.Tick(s.now)
	require.Empty(t, s.state.cancellations, "the replica shows it now")
}

// A delayed batch of a former team leader carries a cancellation that its successor knows nothing of: it was never
// confirmed, and the job has been assigned anew.
func TestCancellationOfFormerTeamLeaderIsIgnored(t *testing.T) {
	s := newRunningScene(t)
	s.state.teamTerms.fence(map[string]uint64{team: 2})
	s.cancelJob()
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}

// The leader loses its partition while its stop is on its way. The next leader finds the end in its replica, stops
// the task, and the old stop changes nothing more.
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
	require.True(t, s.worker.Running("job-1/0"), "its first answer brings the token, and no commands")
	s.now += sec
	s.heartbeatTo(next)
	require.False(t, s.worker.Running("job-1/0"))
	_, ok := s.worker.HandleCommands(*late, s.now)
	require.False(t, ok, "under a former term")
}

// A run command and its answer are delayed for seconds, and the job is cancelled meanwhile. The leader doesn't say
// that the attempt is gone until it can't arrive any more; when it does arrive, the next answer stops it.
func TestDelayedRunCountsUntilItCannotArrive(t *testing.T) {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.cancelJob()
	require.Len(t, s.tasks(), 1, "it may still start")
	s.now += 3 * sec
	_, ok := s.worker.HandleCommands(*late, s.now)
	require.True(t, ok, "the worker has seen no higher token")
	require.True(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	require.False(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.tasks())
	_, ok = s.worker.HandleCommands(*late, s.now)
	require.False(t, ok, "a copy of it can't start the task once more")
}

// A scheduler of a later term assigns a task of a cancelled job: the cancellation was never confirmed, and is dropped.
func TestAssignmentUnderLaterTeamTermDropsCancellation(t *testing.T) {
	s := newScene(t)
	s.cancelJob()
	a := assignment(0, 1)
	a.ID.Attempt = 2<<32 | 1
	s.seq++
	in := peer.Batch{From: "scheduler", Seq: s.seq, Terms: map[string]uint64{team: 2}, Asks: []peer.Assignment{a}}
	require.False(t, s.state.HandleBatch(in, "me", s.now).Refused[0])
	require.Empty(t, s.state.cancellations)
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}
