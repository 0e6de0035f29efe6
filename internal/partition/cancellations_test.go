package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A job is cancelled while a run command for one of its tasks is in an unanswered delivery. The command still arrives
// and starts the task; the next heartbeat response must stop it.
func TestCancellationStopsTaskWhoseRunIsInFlight(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: "red"}}})
	require.False(t, s.assign(1, 2), "no task of a cancelled job may start")
	s.worker.HandleCommands(*late, s.now)
	require.True(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	require.False(t, s.worker.Running("job-1/0"))
}

// A new partition leader finds a task that a former leader started, of a job that has ended since. It must stop the
// task.
func TestReportedTaskOfEndedJobIsStopped(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	delete(s.jobs.active, "job-1")
	successor := newTestState(s.jobs)
	successor.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	for range 4 {
		s.now += sec
		s.heartbeatTo(successor)
	}
	require.Empty(t, s.worker.Tasks)
}

// The replica of the partition leader is older than the job and does not show it as active. That is no proof that the
// job has ended: its tasks must not be stopped.
func TestAssignedTaskIsKeptWhileReplicaIsBehind(t *testing.T) {
	s := newFixture(t)
	delete(s.jobs.active, "job-1")
	s.jobs.revision = jobRevision - 1
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}

// A scheduler lost its team and was paused while the job was cancelled, so the partition leader received no
// cancellation. But its replica is newer than the job's record and does not show the job: the leader must start no
// task of it, and stop those that were assigned before.
func TestNoTaskOfEndedJobStarts(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.True(t, s.assign(1, 2), "the assignment is accepted while the job is active, and no run command is sent yet")
	delete(s.jobs.active, "job-1")
	require.False(t, s.assign(2, 3))
	s.heartbeat()
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.Len(t, s.worker.Starts, 1, "no run command is sent for the second lease")
}

// The key-value store rejects the requests of this leader alone for longer than minCancellationRetention, so that its
// replica still shows a cancelled job as active. The leader must keep the cancellation and reject assignments of the
// job until the replica shows its end.
func TestCancellationIsKeptWhileReplicaIsBehind(t *testing.T) {
	s := newFixtureWithRunningTask(t)
	s.cancelJob()
	s.heartbeat()
	for range 900 {
		s.heartbeat()
		s.state.Tick(s.now)
	}
	require.False(t, s.assign(1, 2), "an assignment under the term of the cancellation is rejected")
	delete(s.jobs.active, "job-1")
	s.state.Tick(s.now)
	require.Empty(t, s.state.cancellations, "the cancellation is dropped once the replica shows the job's end")
}

// A delayed batch of a former team leader carries a cancellation that was never confirmed. The present team leader
// does not know of it and has assigned the job again, so the cancellation must be ignored.
func TestCancellationOfFormerTeamLeaderIsIgnored(t *testing.T) {
	s := newFixtureWithRunningTask(t)
	s.state.teamTerms.fence(map[string]uint64{team: 2})
	s.cancelJob()
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}

// The leader loses its partition while its stop command is in a delivery. The next leader finds the end of the job in
// its replica and stops the task itself. The worker must reject the delayed command of the former term.
func TestStopInFlightIsRejectedUnderNextTerm(t *testing.T) {
	s := newFixtureWithRunningTask(t)
	s.cancelJob()
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.state.ReleasePartition(0)
	s.state.HandleDeliveryResponse("m-1", late, &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Tick: 99, FencingToken: 99 << 32}, s.now)
	delete(s.jobs.active, "job-1")
	successor := newTestState(s.jobs)
	successor.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.now += sec
	response := s.heartbeatTo(successor)
	require.False(t, s.worker.Running("job-1/0"), "the first response brings the new token and the successor's own stop")
	require.Len(t, response.Orders, 1, "the first response brings neither run nor forget commands")
	require.Equal(t, wire.VerbStop, response.Orders[0].Verb)
	s.now += sec
	s.heartbeatTo(successor)
	require.False(t, s.worker.Running("job-1/0"))
	_, ok := s.worker.HandleCommands(*late, s.now)
	require.False(t, ok, "the worker rejects commands under a former term")
}

// A job is cancelled while a run command and its response are delayed for seconds. The leader must not report the
// attempt as gone while the command can still arrive. When it does arrive, the next heartbeat response stops the
// task.
func TestDelayedRunCountsUntilItCannotArrive(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assign(0, 1))
	_, late := s.state.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.state.HandleDeliveryTimeout("m-1", late, s.now)
	s.cancelJob()
	require.Len(t, s.tasks(), 1, "the run command may still arrive")
	s.now += 3 * sec
	_, ok := s.worker.HandleCommands(*late, s.now)
	require.True(t, ok, "the worker has seen no higher token, so it executes the command")
	require.True(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	require.False(t, s.worker.Running("job-1/0"))
	s.heartbeat()
	s.heartbeat()
	require.Empty(t, s.tasks())
	_, ok = s.worker.HandleCommands(*late, s.now)
	require.False(t, ok, "a copy of the command must not start the task again")
}

// A scheduler under a later term assigns a task of a cancelled job. The cancellation was never confirmed, since the
// scheduler would know of it, and must be dropped.
func TestAssignmentUnderLaterTeamTermDropsCancellation(t *testing.T) {
	s := newFixture(t)
	s.cancelJob()
	a := assignment(0, 1)
	a.ID.Attempt = 2<<32 | 1
	s.seq++
	batch := peer.Batch{From: "scheduler", Seq: s.seq, Terms: map[string]uint64{team: 2}, Asks: []peer.Assignment{a}}
	require.False(t, s.state.HandleBatch(batch, "me", s.now).Refused[0])
	require.Empty(t, s.state.cancellations)
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
}
