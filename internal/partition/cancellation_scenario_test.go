package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// cancelJob has the owner told that nothing of the job may run any more.
func (s *scene) cancelJob() {
	s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}})
}

// deliver sends what is due to the worker's own address and brings the answer back.
func (s *scene) deliver() (sent *wire.Orders, ok bool) {
	_, sent = s.state.NextDelivery("m-1", s.now)
	if sent == nil {
		return nil, false
	}
	r, ok := s.worker.Orders(*sent, s.now)
	s.state.HandleDeliveryResponse("m-1", sent, &r, s.now)
	return sent, ok
}

// newRunningScene starts the job's first task on the machine.
func newRunningScene(t *testing.T) *scene {
	s := newScene(t)
	require.True(t, s.acquireLease(0, 1))
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	return s
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

// The machine of a withdrawn job's task can't be reached in one way or another. The task
// is gone soon after it can be again, or with the machine's lease, which nothing renews
// that doesn't bring the stop as well.
func TestCancelledTaskOnFailingMachineEndsInTime(t *testing.T) {
	for _, x := range []struct {
		name   string
		during func(s *scene) // a second of the trouble
		lasts  clock.Micros
		within clock.Micros // of the withdrawal
	}{
		{"hangs through the stop and resumes within its lease", func(s *scene) {}, 8 * sec, 10 * sec},
		{"hangs for longer than its lease", func(s *scene) {}, 2 * workerLease, workerLease + 2*sec},
		{"hears direct orders only", func(s *scene) { s.deliver() }, 3 * workerLease, 2 * sec},
		{"its answers to direct orders are lost", func(s *scene) {
			if _, o := s.state.NextDelivery("m-1", s.now); o != nil {
				s.worker.Orders(*o, s.now)
				s.state.HandleDeliveryTimeout("m-1", o, s.now)
			}
		}, 3 * workerLease, 2 * sec},
		{"reports arrive, answers and orders don't", func(s *scene) {
			r := s.worker.Report(s.now)
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
					require.False(t, s.worker.Running("job-1/0"), "%v after the withdrawal", (s.now - at).Duration())
				}
				require.False(t, s.acquireLease(1, 2), "nothing of it starts")
			}
			require.Equal(t, 1, s.worker.Starts["job-1/0"])
			require.Len(t, s.worker.Starts, 1)
		})
	}
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

// Workers reach no controller, while direct orders reach them. Their leases end again and again;
// what is sent to one while it counts as there is never taken to be there for longer.
func TestMachineReachedByDeliveriesOnlyKeepsNoLostTasks(t *testing.T) {
	s := newRunningScene(t)
	ended := 0
	session := s.worker.Session
	for n := range 40 {
		s.now += sec
		s.state.Tick(s.now)
		if s.worker.Check(s.now); s.worker.Session > session {
			session = s.worker.Session
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
			require.True(t, shown[task], "%s is there and the owner says that it is not", k.Task)
		}
	}
	require.GreaterOrEqual(t, ended, 2, "its leases have ended")
	s.heartbeat()
	s.heartbeat()
	require.Contains(t, s.state.UnrecordedMachines(), "m-1", "its record was to be dropped: it is recorded anew")
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now), "it reaches its owner again")
}
