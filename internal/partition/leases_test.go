package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A task on a machine whose record is not in the key-value store would be unknown to a later leader, so the machine
// must get none.
func TestUnrecordedMachineGetsNoTask(t *testing.T) {
	s := newFixture(t)
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, false, s.now)
	require.False(t, s.assign(0, 1))
	s.state.HandleMachineRecord("m-1", 0, inventory.Record{}, true, s.now)
	require.True(t, s.assign(0, 2))
}

// An assignment of a former team leader arrives after a poll of the present one. It must be rejected: the present
// leader may have assigned the task elsewhere.
func TestAssignmentOfFormerTeamLeaderIsRejected(t *testing.T) {
	s := newFixture(t)
	s.state.HandlePoll(peer.PollRequest{Terms: map[string]uint64{team: 2}}, "me", s.now)
	require.False(t, s.assign(0, 1))
}

// An assignment that a scheduler made for a former leader of the partition reaches the next one. It must be rejected,
// since it is based on the former leader's view.
func TestAssignmentUnderFormerPartitionTermIsRejected(t *testing.T) {
	s := newFixture(t)
	s.state.AcquirePartition(0, 2, map[string]inventory.Record{"m-1": {Addr: "x", Type: "big"}}, s.now)
	s.heartbeat()
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].usable(s.now))
	require.False(t, s.assign(0, 1))
}

// The resources of a preempted task are leased again at once, but the new task must not start before the old one has
// exited.
func TestPreemptingTaskStartsAfterVictimExits(t *testing.T) {
	s := newFixture(t)
	for n := range 4 {
		require.True(t, s.assign(n, uint64(n+1)))
	}
	s.heartbeat()
	s.heartbeat()
	a := assignment(4, 9)
	a.Rank = 2
	a.Victims = []peer.TaskID{assignment(0, 1).ID}
	require.False(t, s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0])
	_, orders := s.state.NextDelivery("m-1", s.now)
	require.Len(t, orders.Orders, 1)
	require.Equal(t, wire.VerbStop, orders.Orders[0].Verb)
	hb, ok := s.worker.HandleCommands(*orders, s.now)
	require.True(t, ok)
	s.state.HandleDeliveryResponse("m-1", orders, &hb, s.now)
	_, orders = s.state.NextDelivery("m-1", s.now)
	require.Equal(t, wire.VerbRun, orders.Orders[0].Verb)
}

// A held lease takes resources of the machine for a task that is to move there. The task must not start before its
// scheduler reports that it is gone from its previous machine, or it would run twice.
func TestHeldLeaseStartsOnlyByStartTask(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assignWithHeldLease(0, 1))
	for range 3 {
		s.heartbeat()
		_, orders := s.state.NextDelivery("m-1", s.now)
		require.Nil(t, orders)
	}
	require.Empty(t, s.worker.Tasks)
	require.True(t, s.tasks()[0].Held)
	require.True(t, s.assign(1, 2) && s.assign(2, 3) && s.assign(3, 4))
	require.False(t, s.assign(4, 5), "the held lease and three ordinary leases take all resources")
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startFirstTask()}})
	s.heartbeat()
	require.True(t, s.worker.Running("job-1/0"))
	require.False(t, s.tasks()[0].Held)
}

// Several schedulers decide at the same time to move tasks to one machine. Only one of them may get a held lease.
func TestMachineHasOneHeldLeaseAtATime(t *testing.T) {
	s := newFixture(t)
	require.True(t, s.assignWithHeldLease(0, 1))
	require.False(t, s.assignWithHeldLease(1, 2))
	require.True(t, s.assign(2, 3), "a task that does not move is still accepted")
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startFirstTask()}})
	require.True(t, s.assignWithHeldLease(1, 4))
}

func TestUnusedHeldLeaseEnds(t *testing.T) {
	t.Run("expires", func(t *testing.T) {
		s := newFixture(t)
		s.assignWithHeldLease(0, 1)
		for range 19 {
			s.heartbeat()
			s.state.Tick(s.now)
		}
		require.Len(t, s.tasks(), 1, "a held lease lasts longer than an ordinary one")
		s.now += 2 * sec
		s.state.Tick(s.now)
		require.Empty(t, s.tasks())
		s.sendBatch(peer.Batch{Starts: []peer.StartTask{startFirstTask()}})
		s.heartbeat()
		require.Empty(t, s.worker.Tasks, "a start after the held lease has expired must be ignored")
	})
	t.Run("is stopped", func(t *testing.T) {
		s := newFixture(t)
		s.assignWithHeldLease(0, 1)
		s.sendBatch(peer.Batch{Stops: []peer.StopTask{{ID: assignment(0, 1).ID, Machine: "m-1"}}})
		require.Empty(t, s.tasks())
	})
	t.Run("ends with its job", func(t *testing.T) {
		s := newFixture(t)
		s.assignWithHeldLease(0, 1)
		s.sendBatch(peer.Batch{Cancels: []peer.CancelJob{{Job: "job-1", Team: team}}, Starts: []peer.StartTask{startFirstTask()}})
		s.heartbeat()
		require.Empty(t, s.tasks())
		require.Empty(t, s.worker.Tasks)
	})
}

// A StartTask of a former team leader must start nothing: the present leader may have assigned the task again.
func TestHeldLeaseStartOfFormerTeamLeaderIsRejected(t *testing.T) {
	s := newFixture(t)
	s.assignWithHeldLease(0, 1)
	s.state.teamTerms.fence(map[string]uint64{team: 2})
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startFirstTask()}})
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.True(t, s.tasks()[0].Held)
}

// A machine receives an eviction notice while it has a held lease. The task must not start there.
func TestHeldLeaseStartOnMachineWithEvictionNoticeIsRejected(t *testing.T) {
	s := newFixture(t)
	s.assignWithHeldLease(0, 1)
	notice := 30.0
	s.worker.NoticeS = &notice
	s.heartbeat()
	s.sendBatch(peer.Batch{Starts: []peer.StartTask{startFirstTask()}})
	s.heartbeat()
	require.Empty(t, s.worker.Tasks)
	require.Empty(t, s.tasks())
}
