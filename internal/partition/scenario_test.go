package partition

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// lossyFixture is a fixture in which deliveries, heartbeats and their responses are lost, delayed or repeated at
// random.
type lossyFixture struct {
	*fixture
	rng     *rand.Rand
	delayed []*wire.Orders // unanswered deliveries, which may arrive at any time
	attempt uint64         // number of the last attempt
}

// step performs one random event and advances the time by 300 ms.
func (s *lossyFixture) step() {
	s.now += 300 * clock.Millisecond
	switch s.rng.IntN(6) {
	case 0:
		s.attempt++
		s.assign(s.rng.IntN(10), s.attempt)
	case 1:
		s.deliverOrLose()
	case 2:
		if len(s.delayed) > 0 {
			s.worker.HandleCommands(*s.delayed[s.rng.IntN(len(s.delayed))], s.now)
		}
	case 3:
		hb := s.worker.Heartbeat(s.now)
		if response, ok := s.state.HandleHeartbeat(&hb, 0, s.now); ok && s.rng.IntN(3) > 0 {
			s.worker.HandleHeartbeatResponse(response, s.now)
		}
	case 4:
		for _, v := range s.tasks() {
			if s.rng.IntN(2) == 0 {
				s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: v.ID, Machine: "m-1"}}})
			}
		}
	case 5:
		for _, v := range s.tasks() {
			s.sendBatch(peer.Batch{Settles: []peer.Acknowledgement{{ID: v.ID, Machine: "m-1"}}})
		}
	}
	s.state.Tick(s.now)
	s.worker.ExpireLease(s.now)
}

// deliverOrLose makes a delivery. Either it is answered, or it is delayed and counts as unanswered.
func (s *lossyFixture) deliverOrLose() {
	_, orders := s.state.NextDelivery("m-1", s.now)
	if orders == nil {
		return
	}
	if s.rng.IntN(2) == 0 {
		s.delayed = append(s.delayed, orders)
		s.state.HandleDeliveryTimeout("m-1", orders, s.now)
		return
	}
	hb, _ := s.worker.HandleCommands(*orders, s.now)
	s.state.HandleDeliveryResponse("m-1", orders, &hb, s.now)
}

// Messages between leader and worker are lost, delayed and repeated at random. No attempt may start twice, and the
// leader must account for every task that runs on the worker, or it would lease the same resources twice.
func TestStateAccountsForRunningTasksUnderRandomLosses(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		s := &lossyFixture{fixture: newFixture(t), rng: fakes.Rand(seed)}
		for range 200 {
			s.step()
			shown := map[string]bool{}
			for _, v := range s.tasks() {
				shown[wire.TaskName(v.ID.Job, v.ID.N)] = true
			}
			for _, status := range s.worker.Tasks {
				if status.Phase != wire.TaskExited {
					require.True(t, shown[status.Task], "seed %d: %s runs and the leader's view does not show it", seed, status.Task)
				}
			}
		}
		for task, n := range s.worker.Starts {
			require.LessOrEqual(t, n, int(s.attempt), "%s", task)
		}
	}
}

// The machine of a cancelled job's task fails in different ways while the stop command is due. The task must end soon
// after the machine can be reached again, or with its worker lease: nothing may extend the lease without also
// bringing the stop command.
func TestCancelledTaskOnFailingMachineEndsInTime(t *testing.T) {
	for _, tc := range []struct {
		name          string
		faultStep     func(s *fixture) // simulates one second of the fault
		faultDuration clock.Micros
		deadline      clock.Micros // longest time from the cancellation to the task's end
	}{
		{"hangs through the stop and resumes within its worker lease", func(*fixture) {}, 8 * sec, 10 * sec},
		{"hangs for longer than its worker lease", func(*fixture) {}, 2 * workerLease, workerLease + 2*sec},
		{"receives deliveries only", func(s *fixture) { s.deliver() }, 3 * workerLease, 2 * sec},
		{"its answers to deliveries are lost", func(s *fixture) {
			if _, orders := s.state.NextDelivery("m-1", s.now); orders != nil {
				s.worker.HandleCommands(*orders, s.now)
				s.state.HandleDeliveryTimeout("m-1", orders, s.now)
			}
		}, 3 * workerLease, 2 * sec},
		{"heartbeats arrive, answers and deliveries don't", func(s *fixture) {
			hb := s.worker.Heartbeat(s.now)
			s.state.HandleHeartbeat(&hb, 0, s.now)
		}, 3 * workerLease, workerLease + 2*sec},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixtureWithRunningTask(t)
			s.cancelJob()
			cancelledAt := s.now
			for s.now < cancelledAt+4*workerLease {
				s.now += sec
				if s.now < cancelledAt+tc.faultDuration {
					tc.faultStep(s)
				} else {
					s.heartbeat()
					s.deliver()
				}
				s.state.Tick(s.now)
				s.worker.ExpireLease(s.now) // tasks of a machine that hangs continue within its worker lease, and not after it
				if s.now > cancelledAt+tc.deadline {
					require.False(t, s.worker.Running("job-1/0"), "task runs %v after the cancellation", (s.now - cancelledAt).Duration())
				}
				require.False(t, s.assign(1, 2), "no task of a cancelled job may start")
			}
			require.Equal(t, 1, s.worker.Starts["job-1/0"])
			require.Len(t, s.worker.Starts, 1)
		})
	}
}

// A worker reaches no controller, while deliveries reach it, so that its worker lease expires again and again. A task
// that the leader delivers while the machine counts as live must be in the leader's view for as long as it runs.
func TestMachineReachedByDeliveriesOnlyKeepsNoLostTasks(t *testing.T) {
	s := newFixtureWithRunningTask(t)
	incarnations := 0
	incarnation := s.worker.Incarnation
	for n := range 40 {
		s.now += sec
		s.state.Tick(s.now)
		if s.worker.ExpireLease(s.now); s.worker.Incarnation > incarnation {
			incarnation = s.worker.Incarnation
			incarnations++
		}
		s.deliver()
		s.assign(1+n%5, uint64(10+n))
		s.deliver()
		shown := map[int]bool{}
		for _, view := range s.tasks() {
			shown[view.ID.N] = true
		}
		for _, status := range s.worker.SortedTasks() {
			_, task, _ := wire.SplitTask(status.Task)
			require.True(t, shown[task], "%s runs and the leader's view does not show it", status.Task)
		}
	}
	require.GreaterOrEqual(t, incarnations, 2, "the worker lease expires at least twice")
	s.heartbeat()
	s.heartbeat()
	require.Contains(t, s.state.UnrecordedMachines(), "m-1", "the removal of the record was decided, so the machine is recorded again")
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now), "the machine is usable once it reaches its leader again")
}
