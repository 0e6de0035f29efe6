package rebalance

import "github.com/merlinlatch/merlinlatch/internal/clock"

// HeldLeaseTTL is the longest time for which a resource lease is held at the destination. A move whose task is not gone from
// the source by then is abandoned.
const HeldLeaseTTL = 30 * clock.Second

// Outcome says how a move ended. Its text is part of the operators' output.
type Outcome string

// Outcomes of moves.
const (
	UnderWay           Outcome = "under way"
	Moved              Outcome = "moved"
	DestinationRefused Outcome = "the destination refused"
	DestinationGone    Outcome = "the destination was lost"
	SourceEnded        Outcome = "the task ended before it was stopped"
	TaskOver           Outcome = "the task or its job is over"
	TookTooLong        Outcome = "it took too long"
)

// moveState is the state of a move. Move documents the transitions.
type moveState int

const (
	leaseRequested moveState = iota // a resource lease was requested at the destination; the task is untouched
	sourceStopping                  // the lease is held; the task was told to checkpoint and stop at the source
	moveEnded                       // no action is left; Record.Outcome says how the move ended
)

// Action is what the scheduler does next for a move.
type Action int

// Actions of a scheduler for a move.
const (
	Nothing            Action = iota
	StopSource                // stop the task at the source after a checkpoint
	StartDestination          // start the task at the destination with the lease: it is certain to be gone from the source
	ReleaseDestination        // release the lease; if the task stops at the source, it is placed like any other
)

// Move is the state machine of one move. In this diagram an arrow is labelled with an event and the resulting action:
//
//	                 Granted / StopSource                 SourceGone(wanted) / StartDestination
//	leaseRequested ------------------------> sourceStopping ------------------------> moveEnded (Moved)
//	      |                                        |
//	      | Refused / Nothing                      | Refused / Nothing
//	      |      -> moveEnded (DestinationRefused) |      -> moveEnded (DestinationRefused)
//	      | DestinationLost / Nothing              | DestinationLost / Nothing
//	      |      -> moveEnded (DestinationGone)    |      -> moveEnded (DestinationGone)
//	      | SourceGone(wanted) / Release           | SourceGone(not wanted), Abandon / Release
//	      |      -> moveEnded (SourceEnded)        |      -> moveEnded (TaskOver)
//	      | SourceGone(not wanted), Abandon        | Expire / Release
//	      |      / Release -> moveEnded (TaskOver) |      -> moveEnded (TookTooLong)
//	      | Expire / Release
//	      |      -> moveEnded (TookTooLong)
//
// The events are the methods: Granted is LeaseAccepted, and Refused is LeaseRejected. Release is ReleaseDestination.
// An event that is not listed for a state changes nothing.
//
// Invariants for every order of events:
//   - StartDestination is returned at most once, only from sourceStopping, and only by SourceGone, which says that the
//     task is certain to be gone from the source. Otherwise two copies of the task could run (docs/design.md,
//     "Why the rules hold", number 4).
//   - When a move ends, the task either still runs at the source or is gone from it.
//   - A lease that is not used is released, unless it is gone already.
//
// A Move is not safe for concurrent use: it belongs to one scheduler and is guarded by that scheduler's lock.
type Move struct {
	*Record
	planner  *Planner
	state    moveState
	deadline clock.Micros
}

// Ended reports whether the move has ended, so that no event causes another action.
func (m *Move) Ended() bool { return m.state == moveEnded }

func (m *Move) end(o Outcome) {
	m.state = moveEnded
	m.Outcome = o
}

// LeaseAccepted handles the grant of the lease at the destination.
func (m *Move) LeaseAccepted() Action {
	if m.state != leaseRequested {
		return Nothing
	}
	m.state = sourceStopping
	return StopSource
}

// LeaseRejected handles the rejection of the lease at the destination. It drops the task's cool-down, since
// the task usually has not been told to stop yet. So only the budgets delay the next move of the task.
func (m *Move) LeaseRejected() Action {
	if m.state != moveEnded {
		m.end(DestinationRefused)
		delete(m.planner.lastMoved, m.Key)
	}
	return Nothing
}

// DestinationLost handles the loss of the lease: its machine or partition leader is gone, or the lease expired.
func (m *Move) DestinationLost() Action {
	if m.state != moveEnded {
		m.end(DestinationGone)
	}
	return Nothing
}

// SourceGone handles the evidence that the task is certain to be gone from the source. wanted reports whether the task
// is to run again: it is not completed, and its job is neither finished nor cancelled.
func (m *Move) SourceGone(wanted bool) Action {
	switch {
	case m.state == moveEnded:
		return Nothing
	case !wanted:
		m.end(TaskOver)
		return ReleaseDestination
	case m.state == leaseRequested:
		m.end(SourceEnded)
		return ReleaseDestination
	}
	m.end(Moved)
	return StartDestination
}

// Abandon ends a move for an external reason, such as the end of the job or of the leadership of its team.
func (m *Move) Abandon() Action {
	if m.state == moveEnded {
		return Nothing
	}
	m.end(TaskOver)
	return ReleaseDestination
}

// Expire ends a move that has taken longer than HeldLeaseTTL, after which the lease may expire at any time.
func (m *Move) Expire(now clock.Micros) Action {
	if m.state == moveEnded || now < m.deadline {
		return Nothing
	}
	m.end(TookTooLong)
	return ReleaseDestination
}
