package rebalance

import "github.com/merlinlatch/merlinlatch/internal/clock"

// HoldFor is for how long the resource lease is held at the destination, at most. By then the task
// is gone from the source, or the move is abandoned.
const HoldFor = 30 * clock.Second

// Outcome is how a move ended. Its text is part of the operators' output.
type Outcome string

// Outcomes of moves.
const (
	UnderWay        Outcome = "under way"
	Moved           Outcome = "moved"
	NoLease         Outcome = "the destination refused"
	DestinationGone Outcome = "the destination was lost"
	SourceEnded     Outcome = "the task ended before it was stopped"
	TaskOver        Outcome = "the task or its job is over"
	TookTooLong     Outcome = "it took too long"
)

// moveState is the state of a move; see Move for the transitions.
type moveState int

const (
	leaseRequested moveState = iota // a resource lease is requested at the destination, the task is untouched
	sourceStopping                  // the lease is held, the source was commanded to checkpoint and stop
	moveEnded                       // nothing is to be done any more; Record.Outcome says how it ended
)

// Action is what the scheduler has to do next for a move.
type Action int

// Actions.
const (
	Nothing            Action = iota
	StopSource                // let the task checkpoint and stop
	StartDestination          // use the lease: the task is gone from the source for certain
	ReleaseDestination        // release the lease; the task is placed like any other once it is gone
)

// Move is the state machine of one move:
//
//	                 Granted / StopSource                 SourceGone(wanted) / StartDestination
//	leaseRequested ------------------------> sourceStopping ------------------------> moveEnded (Moved)
//	      |                                        |
//	      | Refused / Nothing                      | Refused / Nothing
//	      |      -> moveEnded (NoLease)            |      -> moveEnded (NoLease)
//	      | DestinationLost / Nothing              | DestinationLost / Nothing
//	      |      -> moveEnded (DestinationGone)    |      -> moveEnded (DestinationGone)
//	      | SourceGone(wanted) / Release           | SourceGone(not wanted), Abandon / Release
//	      |      -> moveEnded (SourceEnded)        |      -> moveEnded (TaskOver)
//	      | SourceGone(not wanted), Abandon        | Expire / Release
//	      |      / Release -> moveEnded (TaskOver) |      -> moveEnded (TookTooLong)
//	      | Expire / Release
//	      |      -> moveEnded (TookTooLong)
//
// Release stands for ReleaseDestination. An event that a state doesn't list changes nothing.
//
// Invariants, in every order of events: the task is left either running at the source, or gone from
// it; StartDestination is returned at most once, only from sourceStopping and only by the event that
// says that the task is gone from the source for certain (docs/design.md, "Why the rules hold",
// argument 4); a lease that is not used is released unless it is gone.
//
// A move is not safe for concurrent use: it belongs to one scheduler and is guarded by its lock.
type Move struct {
	*Record
	planner  *Planner
	state    moveState
	deadline clock.Micros
}

// Ended reports whether nothing is to be done any more.
func (m *Move) Ended() bool { return m.state == moveEnded }

func (m *Move) end(o Outcome) {
	m.state = moveEnded
	m.Outcome = o
}

// LeaseAccepted handles the destination's acceptance: the lease is held.
func (m *Move) LeaseAccepted() Action {
	if m.state != leaseRequested {
		return Nothing
	}
	m.state = sourceStopping
	return StopSource
}

// LeaseRejected handles the destination's rejection. The task has not been touched, so its cool-down is
// dropped: only the budgets delay the next attempt.
func (m *Move) LeaseRejected() Action {
	if m.state != moveEnded {
		m.end(NoLease)
		delete(m.planner.lastMoved, m.Key)
	}
	return Nothing
}

// DestinationLost handles the loss of the lease: its machine or partition leader is gone, or it expired.
func (m *Move) DestinationLost() Action {
	if m.state != moveEnded {
		m.end(DestinationGone)
	}
	return Nothing
}

// SourceGone handles that the task is gone from the source for certain; wanted tells that
// it is to go on: it is not completed, and its job is neither over nor cancelled.
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

// Abandon ends a move for a reason outside of it.
func (m *Move) Abandon() Action {
	if m.state == moveEnded {
		return Nothing
	}
	m.end(TaskOver)
	return ReleaseDestination
}

// Expire ends a move that takes too long: the lease may expire at any time from now on.
func (m *Move) Expire(now clock.Micros) Action {
	if m.state == moveEnded || now < m.deadline {
		return Nothing
	}
	m.end(TookTooLong)
	return ReleaseDestination
}
