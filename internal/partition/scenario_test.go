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

// lossyScene is a scene in which deliveries, heartbeats and their answers are lost, late or repeated at random.
type lossyScene struct {
	*scene
	rng     *rand.Rand
	late    []*wire.Orders // deliveries that had no answer, and may arrive at any time
	attempt uint64         // number of the last assignment
}

// step lets one thing happen, and a little time pass.
func (s *lossyScene) step() {
	s.now += 300 * clock.Millisecond
	switch s.rng.IntN(6) {
	case 0:
		s.attempt++
		s.acquireLease(s.rng.IntN(10), s.attempt)
	case 1:
		s.deliverOrLose()
	case 2:
		if len(s.late) > 0 {
			s.worker.HandleCommands(*s.late[s.rng.IntN(len(s.late))], s.now)
		}
	case 3:
		r := s.worker.Heartbeat(s.now)
		if ans, ok := s.state.HandleHeartbeat(&r, 0, s.now); ok && s.rng.IntN(3) > 0 {
			s.worker.HandleHeartbeatResponse(ans, s.now)
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
	s.worker.Check(s.now)
}

// deliverOrLose makes a delivery: its answer arrives, or it is late and counts as unanswered.
func (s *lossyScene) deliverOrLose() {
	_, o := s.state.NextDelivery("m-1", s.now)
	if o == nil {
		return
	}
	if s.rng.IntN(2) == 0 {
		s.late = append(s.late, o)
		s.state.HandleDeliveryTimeout("m-1", o, s.now)
		return
	}
	r, _ := s.worker.HandleCommands(*o, s.now)
	s.state.HandleDeliveryResponse("m-1", o, &r, s.now)
}

// Whatever is lost, late or repeated, at random, no task ever runs twice under one attempt, and what the leader holds
// covers what the worker runs.
func TestStateCoversWorkerUnderRandomLosses(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		s := &lossyScene{scene: newScene(t), rng: fakes.Rand(seed)}
		for range 200 {
			s.step()
			shown := map[string]bool{}
			for _, v := range s.tasks() {
				shown[wire.TaskName(v.ID.Job, v.ID.N)] = true
			}
			for _, k := range s.worker.Tasks {
				if k.Phase != wire.TaskExited {
					require.True(t, shown[k.Task], "seed %d: %s runs and the state does not show it", seed, k.Task)
				}
			}
		}
		for task, n := range s.worker.Starts {
			require.LessOrEqual(t, n, int(s.attempt), "%s", task)
		}
	}
}

// The machine of a cancelled job's task can't be reached in one way or another. The task is gone soon after it can be
// again, or with the machine's worker lease, which nothing renews that doesn't bring the stop as well.
func TestCancelledTaskOnFailingMachineEndsInTime(t *testing.T) {
	for _, x := range []struct {
		name   string
		during func(s *scene) // a second of the trouble
		lasts  clock.Micros
		within clock.Micros // of the withdrawal
	}{
		{"hangs through the stop and resumes within its worker lease", func(*scene) {}, 8 * sec, 10 * sec},
		{"hangs for longer than its worker lease", func(*scene) {}, 2 * workerLease, workerLease + 2*sec},
		{"receives deliveries only", func(s *scene) { s.deliver() }, 3 * workerLease, 2 * sec},
		{"its answers to deliveries are lost", func(s *scene) {
			if _, o := s.state.NextDelivery("m-1", s.now); o != nil {
				s.worker.HandleCommands(*o, s.now)
				s.state.HandleDeliveryTimeout("m-1", o, s.now)
			}
		}, 3 * workerLease, 2 * sec},
		{"heartbeats arrive, answers and deliveries don't", func(s *scene) {
			r := s.worker.Heartbeat(s.now)
			s.state.HandleHeartbeat(&r, 0, s.now)
		}, 3 * workerLease, workerLease + 2*sec},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newRunningScene(t)
			s.cancelJob()
			at := s.now
			for s.now < at+4*workerLease {
				s.now += sec
				if s.now < at+x.lasts {
					x.during(s)
				} else {
					s.heartbeat()
					s.deliver()
				}
				s.state.Tick(s.now)
				s.worker.Check(s.now) // a machine that hangs goes on within its lease, and not after it
				if s.now > at+x.within {
					require.False(t, s.worker.Running("job-1/0"), "%v after the cancellation", (s.now - at).Duration())
				}
				require.False(t, s.acquireLease(1, 2), "nothing of it starts")
			}
			require.Equal(t, 1, s.worker.Starts["job-1/0"])
			require.Len(t, s.worker.Starts, 1)
		})
	}
}

// Workers reach no controller, while deliveries reach them. Their worker leases expire again and again; what is sent
// to one while it counts as running never counts for longer.
func TestMachineReachedByDeliveriesOnlyKeepsNoLostTasks(t *testing.T) {
	s := newRunningScene(t)
	ended := 0
	session := s.worker.Incarnation
	for n := range 40 {
		s.now += sec
		s.state.Tick(s.now)
		if s.worker.Check(s.now); s.worker.Incarnation > session {
			session = s.worker.Incarnation
			ended++
		}
		s.deliver()
		s.acquireLease(1+n%5, uint64(10+n))
		s.deliver()
		shown := map[int]bool{}
		for _, k := range s.tasks() {
			shown[k.ID.N] = true
		}
		for _, k := range s.worker.InOrder() {
			_, task, _ := wire.SplitTask(k.Task)
			require.True(t, shown[task], "%s runs there and the leader does not count it", k.Task)
		}
	}
	require.GreaterOrEqual(t, ended, 2, "its worker leases have expired")
	s.heartbeat()
	s.heartbeat()
	require.Contains(t, s.state.UnrecordedMachines(), "m-1", "its record was to be removed: it is recorded anew")
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now), "it reaches its leader again")
}
