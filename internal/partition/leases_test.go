package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A machine gets no task before its record is in the key-value store: a later leader would not know of it.
func TestUnrecordedMachineGetsNoTask(t *testing.T) {
	s := newScene(t)
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, false, s.now)
	require.False(t, s.acquireLease(0, 1))
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	require.True(t, s.acquireLease(0, 2))
}

// The assignment of a team's former leader arrives after a poll of the new one.
func TestAssignmentOfFormerTeamLeaderIsRejected(t *testing.T) {
	s := newScene(t)
	s.state.HandlePoll(peer.PollRequest{Terms: map[string]uint64{team: 2}}, "me", s.now)
	require.False(t, s.acquireLease(0, 1))
}

// An assignment sent to the former leader of a partition reaches the next one.
func TestAssignmentUnderFormerPartitionTermIsRejected(t *testing.T) {
	s := newScene(t)
	s.state.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now))
	require.False(t, s.acquireLease(0, 1))
}

// Resources of a stopping task are leased immediately, and the lease starts after its end.
func TestLeaseStartsAfterItsVictimExited(t *testing.T) {
	s := newScene(t)
	for n := range 4 {
		require.True(t, s.acquireLease(n, uint64(n+1)))
	}
	s.heartbeat()
	s.heartbeat()
	a := assignment(4, 9)
	a.Rank = 2
	a.Victims = []peer.TaskID{assignment(0, 1).ID}
	require.False(t, s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0])
	_, o := s.state.NextDelivery("m-1", s.now)
	require.Len(t, o.Orders, 1)
	require.Equal(t, wire.VerbStop, o.Orders[0].Verb)
	r, ok := s.worker.HandleCommands(*o, s.now)
	require.True(t, ok)
	s.state.HandleDeliveryResponse("m-1", o, &r, s.now)
	_, o = s.state.NextDelivery("m-1", s.now)
	require.Equal(t, wire.VerbRun, o.Orders[0].Verb)
}

// A held lease, for a task that is to move here, takes resources of the machine, and nothing is started before its
// scheduler says that the task is gone from where it ran.
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
	require.False(t, s.acquireLease(4, 5), "the resources are taken")
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask()}})
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.False(t, s.tasks()[0].Held)
}

// Moves that several schedulers decide on at the same time don't meet on one machine.
func TestMachineHasOneHeldLeaseAtATime(t *testing.T) {
	s := newScene(t)
	require.True(t, s.reserve(0, 1))
	require.False(t, s.reserve(1, 2))
	require.True(t, s.acquireLease(2, 3), "others find resources")
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask()}})
	require.True(t, s.reserve(1, 4))
}

func TestUnusedHeldLeaseEnds(t *testing.T) {
	t.Run("expires", func(t *testing.T) {
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
		s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask()}})
		s.heartbeat()
		require.Empty(t, s.worker.Tasks, "the start comes too late")
	})
	t.Run("is stopped", func(t *testing.T) {
		s := newScene(t)
		s.reserve(0, 1)
		s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
		require.Empty(t, s.tasks())
	})
	t.Run("ends with its job", func(t *testing.T) {
		s := newScene(t)
		s.reserve(0, 1)
		s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}, Starts: []peer.StartTask{startTask()}})
		s.heartbeat()
		require.Empty(t, s.tasks())
		require.Empty(t, s.worker.Tasks)
	})
}

// A former team leader's StartTask starts nothing: the task may have been assigned anew since.
func TestReservedStartOfFormerTeamLeaderIsRejected(t *testing.T) {
	s := newScene(t)
	s.reserve(0, 1)
	s.state.teamTerms.fence(map[string]uint64{team: 2})
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask()}})
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.True(t, s.tasks()[0].Held)
}

// A machine that was given an eviction notice while it had a held lease gets no task by it.
func TestReservedStartOnMachineWithEvictionNoticeIsRejected(t *testing.T) {
	s := newScene(t)
	s.reserve(0, 1)
	notice := 30.0
	s.worker.NoticeS = &notice
	s.heartbeat()
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startTask()}})
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.Empty(t, s.tasks())
}
