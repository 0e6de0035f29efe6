package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

func (s *scene) reserve(n int, attempt uint64) bool {
	a := assignment(n, attempt)
	a.Hold = 20 * sec
	return !s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0]
}

func startTask(n int, attempt uint64) peer.StartTask {
	return peer.StartTask{ID: assignment(n, attempt).ID, Machine: "m-1", Team: team}
}

// Room that is held for a task that is to move here takes part of the machine's, and nothing is
// started before its placer says that it is gone from where it ran.
func TestHeldLeaseStartsOnlyByStartTask(t *testing.T) {
	s := newScene(t)
	require.True(t, s.reserve(0, 1))
	for range 3 {
		s.heartbeat()
		_, orders := s.state.NextDelivery("m-1", s.now)
		require.Nil(t, orders)
	}
	require.Empty(t, s.worker.Tasks)
	require.True(t, s.tasks()[0].Held)
	require.True(t, s.acquireLease(1, 2) && s.acquireLease(2, 3) && s.acquireLease(3, 4))
	require.False(t, s.acquireLease(4, 5), "the room is taken")
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask(0, 1)}})
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.False(t, s.tasks()[0].Held)
}

// Moves that several placers decide on at once don't meet on one machine.
func TestMachineHasOneHeldLeaseAtATime(t *testing.T) {
	s := newScene(t)
	require.True(t, s.reserve(0, 1))
	require.False(t, s.reserve(1, 2))
	require.True(t, s.acquireLease(2, 3), "others find room")
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask(0, 1)}})
	require.True(t, s.reserve(1, 4))
}

func TestUnusedHeldLeaseEnds(t *testing.T) {
	t.Run("lapses", func(t *testing.T) {
		s := newScene(t)
		s.reserve(0, 1)
		for range 19 {
			s.heartbeat()
			s.state.Tick(s.now)
		}
		require.Len(t, s.tasks(), 1, "longer than a lease that waits for its start")
		s.now += 2 * sec
		s.state.Tick(s.now)
		require.Empty(t, s.tasks())
		s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask(0, 1)}})
		s.heartbeat()
		require.Empty(t, s.worker.Tasks, "the word comes too late")
	})
	t.Run("is given back", func(t *testing.T) {
		s := newScene(t)
		s.reserve(0, 1)
		s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
		require.Empty(t, s.tasks())
	})
	t.Run("is over with its job", func(t *testing.T) {
		s := newScene(t)
		s.reserve(0, 1)
		s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}, Starts: []peer.StartTask{startTask(0, 1)}})
		s.heartbeat()
		require.Empty(t, s.tasks())
		require.Empty(t, s.worker.Tasks)
	})
}

// A former placer's word starts nothing: the task may have been placed anew since.
func TestReservedStartOfFormerTeamLeaderIsRejected(t *testing.T) {
	s := newScene(t)
	s.reserve(0, 1)
	s.state.teamTerms.fence(map[string]uint64{team: 2})
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask(0, 1)}})
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.True(t, s.tasks()[0].Held)
}

// A machine that was given a notice while room was held on it gets no task by it.
func TestReservedStartOnMachineWithEvictionNoticeIsRejected(t *testing.T) {
	s := newScene(t)
	s.reserve(0, 1)
	notice := 30.0
	s.worker.NoticeS = &notice
	s.heartbeat()
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask(0, 1)}})
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.Empty(t, s.tasks())
}

func TestEvictionNoticeIsShownWithTimeLeft(t *testing.T) {
	s := newScene(t)
	notice := 30.0
	s.worker.NoticeS = &notice
	s.heartbeat()
	v := s.state.view(s.state.machines["m-1"], 0, s.now+10*sec)
	require.True(t, v.Noticed)
	require.Equal(t, 20*sec, v.NoticeLeft)
}
