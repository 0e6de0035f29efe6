package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// withdraw has the owner told that nothing of the job may run any more.
func (s *scene) withdraw() {
	s.round(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}})
}

// courier sends what is due to the worker's own address and brings the answer back.
func (s *scene) courier() (sent *wire.Orders, ok bool) {
	_, sent = s.table.NextDelivery("m-1", s.now)
	if sent == nil {
		return nil, false
	}
	r, ok := s.w.Orders(*sent, s.now)
	s.table.HandleDeliveryResponse("m-1", sent, &r, s.now)
	return sent, ok
}

// running starts the job's first task on the machine.
func running(t *testing.T) *scene {
	s := newScene(t)
	require.True(t, s.lease(0, 1))
	s.report()
	s.report()
	require.True(t, s.w.Running("job-1/0"))
	return s
}

// The state service has refused this owner alone for ten minutes and more: its replica
// still shows the job as active. It goes on refusing what the withdrawal forbade.
func TestAWithdrawalIsRememberedForAsLongAsTheViewIsOld(t *testing.T) {
	s := running(t)
	s.withdraw()
	s.report()
	for range 900 {
		s.report()
		s.table.Tick(s.now)
	}
	require.False(t, s.lease(1, 2), "under the term that it was withdrawn in")
	delete(s.jobs.active, "job-1")
	s.table.Tick(s.now)
	require.Empty(t, s.table.cancelled, "the view shows it now")
}

// A round of a former placer, held up, tells of a withdrawal that its successor knows
// nothing of: nobody was told, and the job has been placed anew.
func TestAFormerPlacersWithdrawalChangesNothing(t *testing.T) {
	s := running(t)
	s.table.fence(map[string]uint64{team: 2})
	s.withdraw()
	s.report()
	s.report()
	require.True(t, s.w.Running("job-1/0"))
}

// The owner loses its partition while its stop is on the way. Whoever is next finds
// the end in its replica, stops the task, and the old stop changes nothing more.
func TestAStopInFlightAndTheNextOwner(t *testing.T) {
	s := running(t)
	s.withdraw()
	_, late := s.table.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.table.ReleasePartition(0)
	s.table.HandleDeliveryResponse("m-1", late, &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Tick: 99, FencingToken: 99 << 32}, s.now)
	delete(s.jobs.active, "job-1")
	next := newTable(s.jobs)
	next.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.now += sec
	s.reportTo(next)
	require.True(t, s.w.Running("job-1/0"), "its first answer brings the token, and no orders")
	s.now += sec
	s.reportTo(next)
	require.False(t, s.w.Running("job-1/0"))
	_, ok := s.w.Orders(*late, s.now)
	require.False(t, ok, "under a former term")
}

// The machine of a withdrawn job's task can't be reached in one way or another. The task
// is gone soon after it can be again, or with the machine's lease, which nothing renews
// that doesn't bring the stop as well.
func TestAWithdrawnTaskOnAMachineInTrouble(t *testing.T) {
	for _, x := range []struct {
		name   string
		during func(s *scene) // a second of the trouble
		lasts  clock.Micros
		within clock.Micros // of the withdrawal
	}{
		{"hangs through the stop and resumes within its lease", func(s *scene) {}, 8 * sec, 10 * sec},
		{"hangs for longer than its lease", func(s *scene) {}, 2 * lease, lease + 2*sec},
		{"hears direct orders only", func(s *scene) { s.courier() }, 3 * lease, 2 * sec},
		{"its answers to direct orders are lost", func(s *scene) {
			if _, o := s.table.NextDelivery("m-1", s.now); o != nil {
				s.w.Orders(*o, s.now)
				s.table.HandleDeliveryTimeout("m-1", o, s.now)
			}
		}, 3 * lease, 2 * sec},
		{"reports arrive, answers and orders don't", func(s *scene) {
			r := s.w.Report(s.now)
			s.table.HandleHeartbeat(&r, 0, s.now)
		}, 3 * lease, lease + 2*sec},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := running(t)
			s.withdraw()
			at := s.now
			for s.now < at+4*lease {
				s.now += sec
				if s.now < at+x.lasts {
					x.during(s)
				} else {
					s.report()
					s.courier()
				}
				s.table.Tick(s.now)
				s.w.Check(s.now) // a machine that hangs goes on within its lease, and not after it
				if s.now > at+x.within {
					require.False(t, s.w.Running("job-1/0"), "%v after the withdrawal", (s.now - at).Duration())
				}
				require.False(t, s.lease(1, 2), "nothing of it starts")
			}
			require.Equal(t, 1, s.w.Starts["job-1/0"])
			require.Len(t, s.w.Starts, 1)
		})
	}
}

// A run and its answer are held up for seconds, and the job is withdrawn meanwhile. The
// owner doesn't say that the run is over until it can't arrive any more; when it
// does arrive, the next answer ends it.
func TestARunHeldUpCountsUntilItCannotArrive(t *testing.T) {
	s := newScene(t)
	require.True(t, s.lease(0, 1))
	_, late := s.table.NextDelivery("m-1", s.now)
	require.Len(t, late.Orders, 1)
	s.table.HandleDeliveryTimeout("m-1", late, s.now)
	s.withdraw()
	require.Len(t, s.tasks(), 1, "it may still start")
	s.now += 3 * sec
	_, ok := s.w.Orders(*late, s.now)
	require.True(t, ok, "the worker has heard of no higher token")
	require.True(t, s.w.Running("job-1/0"))
	s.report()
	require.False(t, s.w.Running("job-1/0"))
	s.report()
	s.report()
	require.Empty(t, s.tasks())
	_, ok = s.w.Orders(*late, s.now)
	require.False(t, ok, "a copy of it can't start the task once more")
}

// Workers reach no controller, while direct orders reach them. Their leases end again and again;
// what is sent to one while it counts as there is never taken to be there for longer.
func TestAMachineThatReachesNobody(t *testing.T) {
	s := running(t)
	ended := 0
	session := s.w.Session
	for n := range 40 {
		s.now += sec
		s.table.Tick(s.now)
		if s.w.Check(s.now); s.w.Session > session {
			session = s.w.Session
			ended++
		}
		s.courier()
		s.lease(1+n%5, uint64(10+n))
		s.courier()
		shown := map[int]bool{}
		for _, k := range s.tasks() {
			shown[k.ID.N] = true
		}
		for _, k := range s.w.InOrder() {
			_, task, _ := wire.SplitTask(k.Task)
			require.True(t, shown[task], "%s is there and the owner says that it is not", k.Task)
		}
	}
	require.GreaterOrEqual(t, ended, 2, "its leases have ended")
	s.report()
	s.report()
	require.Contains(t, s.table.UnrecordedMachines(), "m-1", "its record was to be dropped: it is recorded anew")
	s.table.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	s.report()
	require.True(t, s.table.machines["m-1"].usable(s.now), "it reaches its owner again")
}
