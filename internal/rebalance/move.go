package rebalance

import "github.com/merlinlatch/merlinlatch/internal/clock"

// HoldFor is how long room is held at the destination, at most. By then the task is gone from
// the source, or the move is given up.
const HoldFor = 30 * clock.Second

// Outcome is how a move ended.
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

// stage is how far a move is.
type stage int

const (
	reserving stage = iota // a lease is asked for at the destination
	stopping               // the lease is held, the source was told to save and stop
	ended
)

// Action is what is to be done next for a move.
type Action int

// Actions.
const (
	Nothing            Action = iota
	StopSource                // let the task save and stop
	StartDestination          // use the lease: the task is gone from the source for certain
	ReleaseDestination        // give the lease back; the task is placed as any other once it is gone
)

// Move is the state machine of one move. Whatever happens, the task is left either running
// at the source, or gone from it; and it is started at the destination only in the
// latter case, and only while the lease there is held.
type Move struct {
	*Record
	book  *Planner
	stage stage
	until clock.Micros
}

// Ended tells that nothing is to be done any more.
func (m *Move) Ended() bool { return m.stage == ended }

func (m *Move) end(o Outcome) {
	m.stage = ended
	m.Outcome = o
}

// Granted takes the destination's lease.
func (m *Move) Granted() Action {
	if m.stage != reserving {
		return Nothing
	}
	m.stage = stopping
	return StopSource
}

// Refused takes the destination's refusal. The task has not been touched: only the budgets keep
// it from being tried again at once.
func (m *Move) Refused() Action {
	if m.stage != ended {
		m.end(NoLease)
		delete(m.book.moved, m.Key)
	}
	return Nothing
}

// DestinationLost takes note that the lease is gone: its machine or owner is, or it lapsed.
func (m *Move) DestinationLost() Action {
	if m.stage != ended {
		m.end(DestinationGone)
	}
	return Nothing
}

// SourceGone takes note that the task is gone from the source for certain; wanted tells that
// it is to go on: it is not done, and its job is neither over nor withdrawn.
func (m *Move) SourceGone(wanted bool) Action {
	switch {
	case m.stage == ended:
		return Nothing
	case !wanted:
		m.end(TaskOver)
		return ReleaseDestination
	case m.stage == reserving:
		m.end(SourceEnded)
		return ReleaseDestination
	}
	m.end(Moved)
	return StartDestination
}

// Abandon gives a move up, for a reason that is not its own.
func (m *Move) Abandon() Action {
	if m.stage == ended {
		return Nothing
	}
	m.end(TaskOver)
	return ReleaseDestination
}

// Expire gives up a move that takes too long: the lease may lapse at any time now.
func (m *Move) Expire(now clock.Micros) Action {
	if m.stage == ended || now < m.until {
		return Nothing
	}
	m.end(TookTooLong)
	return ReleaseDestination
}
