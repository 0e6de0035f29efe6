package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// runAfterRestart lets time pass after a worker has restarted, while it sends a heartbeat each second and deliveries are answered.
// It requires that the leader's view has every task that runs on the worker.
func (s *fixture) runAfterRestart(t *testing.T) {
	t.Helper()
	for end := s.now + 3*workerLease; s.now < end; {
		s.heartbeat()
		s.deliver()
		s.state.Tick(s.now)
		s.worker.ExpireLease(s.now)
		shown := map[string]bool{}
		for _, v := range s.tasks() {
			shown[wire.TaskName(v.ID.Job, v.ID.N)] = true
		}
		for _, status := range s.worker.SortedTasks() {
			require.True(t, status.Phase == wire.TaskExited || shown[status.Task], "%s runs and the leader does not count it", status.Task)
		}
	}
}

// Guards against ran_twice: a copy of the run command reaches a worker that has restarted within its incarnation, whose lease then
// ends later than the leader assumes.
func TestCopyOfRunAfterWorkerRestartCountsUntilItsLeaseEnds(t *testing.T) {
	s, sent := newFixtureWithDeliveredTask(t)
	for range 30 {
		s.heartbeat()
	}
	s.now += workerLease / 2
	s.worker.Restart(s.now)
	_, executed := s.worker.HandleCommands(sent, s.now)
	require.True(t, executed, "the worker has no token any more")
	s.runAfterRestart(t)
}

// Guards against commands of former leaders that a restarted worker executes, while the leader relies on the token that it had shown.
func TestWorkerRestartWithNewerTickIsUnaccounted(t *testing.T) {
	s, sent := newFixtureWithDeliveredTask(t)
	s.worker.Finish("job-1/0", wire.CauseError)
	s.forgetFirstTask()
	tick := s.worker.Tick
	s.worker.Restart(s.now)
	s.worker.Tick = tick
	hb := s.worker.Heartbeat(s.now)
	response, ok := s.state.HandleHeartbeat(&hb, 0, s.now)
	require.True(t, ok)
	require.False(t, s.state.machines["m-1"].accounted)
	s.worker.HandleHeartbeatResponse(response, s.now)
	_, executed := s.worker.HandleCommands(sent, s.now)
	require.False(t, executed, "the answer has brought the token")
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].accounted)
}

// Guards against ran_twice: a copy of the run command reaches a restarted worker before any controller does.
func TestCopyOfForgottenRunStartsNothingAtRestartedWorker(t *testing.T) {
	s, sent := newFixtureWithDeliveredTask(t)
	s.worker.Finish("job-1/0", wire.CauseError)
	s.forgetFirstTask()
	s.worker.Restart(s.now)
	s.worker.HandleCommands(sent, s.now)
	require.False(t, s.worker.Running("job-1/0"))
}

// Guards against tasks that a restart has ended and that stay on their machine for ever, since its heartbeats are answered as overtaken.
func TestTasksEndedByRestartOfWorkerKnownByDeliveriesAreGivenUp(t *testing.T) {
	s, _ := newFixtureWithDeliveredTask(t)
	for range 60 {
		s.heartbeat()
	}
	s.acquireAnew(true)
	sent, status := s.probe()
	s.state.HandleDeliveryResponse("m-1", sent, &status, s.now)
	require.True(t, s.state.machines["m-1"].accounted)
	require.Len(t, s.tasks(), 1)
	s.worker.Restart(s.now)
	s.runAfterRestart(t)
	require.Empty(t, s.tasks())
}
