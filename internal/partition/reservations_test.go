package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

func (s *scene) hold(n int, attempt uint64) bool {
	a := ask(n, attempt)
	a.Hold = 20 * sec
	return !s.round(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

func start(n int, attempt uint64) peer.StartTask {
	return peer.StartTask{ID: ask(n, attempt).ID, Machine: "m-1", Team: team}
}

// Room that is held for a task that is to move here takes part of the machine's, and nothing is
// started before its placer says that it is gone from where it ran.
func TestHeldRoomStartsNothingByItself(t *testing.T) {
	s := newScene(t)
	require.True(t, s.hold(0, 1))
	for range 3 {
		s.report()
		_, orders := s.table.NextDelivery("m-1", s.now)
		require.Nil(t, orders)
	}
	require.Empty(t, s.w.Tasks)
	require.True(t, s.tasks()[0].Held)
	require.True(t, s.lease(1, 2) && s.lease(2, 3) && s.lease(3, 4))
	require.False(t, s.lease(4, 5), "the room is taken")
	s.round(peer.Batch{Starts: []peer.StartTask{start(0, 1)}})
	s.report()
	require.True(t, s.w.Running("job-1/0"))
	require.False(t, s.tasks()[0].Held)
}

// Moves that several placers decide on at once don't meet on one machine.
func TestOneTaskIsToMoveToAMachineAtATime(t *testing.T) {
	s := newScene(t)
	require.True(t, s.hold(0, 1))
	require.False(t, s.hold(1, 2))
	require.True(t, s.lease(2, 3), "others find room")
	s.round(peer.Batch{Starts: []peer.StartTask{start(0, 1)}})
	require.True(t, s.hold(1, 4))
}

func TestHeldRoomThatIsNotUsed(t *testing.T) {
	t.Run("lapses", func(t *testing.T) {
		s := newScene(t)
		s.hold(0, 1)
		for range 19 {
			s.report()
			s.table.Tick(s.now)
		}
		require.Len(t, s.tasks(), 1, "longer than a lease that waits for its start")
		s.now += 2 * sec
		s.table.Tick(s.now)
		require.Empty(t, s.tasks())
		s.round(peer.Batch{Starts: []peer.StartTask{start(0, 1)}})
		s.report()
		require.Empty(t, s.w.Tasks, "the word comes too late")
	})
	t.Run("is given back", func(t *testing.T) {
		s := newScene(t)
		s.hold(0, 1)
		s.round(peer.Batch{Stops: []peer.StopTask{{ID: ask(0, 1).ID, Machine: "m-1"}}})
		require.Empty(t, s.tasks())
	})
	t.Run("is over with its job", func(t *testing.T) {
		s := newScene(t)
		s.hold(0, 1)
		s.round(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}, Starts: []peer.StartTask{start(0, 1)}})
		s.report()
		require.Empty(t, s.tasks())
		require.Empty(t, s.w.Tasks)
	})
}

// A former placer's word starts nothing: the task may have been placed anew since.
func TestAFormerPlacersStartIsRefused(t *testing.T) {
	s := newScene(t)
	s.hold(0, 1)
	s.table.fence(map[string]uint64{team: 2})
	s.round(peer.Batch{Starts: []peer.StartTask{start(0, 1)}})
	s.report()
	require.Empty(t, s.w.Tasks)
	require.True(t, s.tasks()[0].Held)
}

// A machine that was given a notice while room was held on it gets no task by it.
func TestNothingMovesToAMachineThatIsToBeDrained(t *testing.T) {
	s := newScene(t)
	s.hold(0, 1)
	notice := 30.0
	s.w.NoticeS = &notice
	s.report()
	s.round(peer.Batch{Starts: []peer.StartTask{start(0, 1)}})
	s.report()
	require.Empty(t, s.w.Tasks)
	require.Empty(t, s.tasks())
}

func TestNoticesAreToldWithTheTimeLeft(t *testing.T) {
	s := newScene(t)
	notice := 30.0
	s.w.NoticeS = &notice
	s.report()
	v := s.table.view(s.table.machines["m-1"], 0, s.now+10*sec)
	require.True(t, v.Noticed)
	require.Equal(t, 20*sec, v.NoticeLeft)
}
