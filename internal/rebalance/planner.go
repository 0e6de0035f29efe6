// Package rebalance decides which running tasks are moved to another machine, and what each
// step of a move is.
//
// Book decides on moves, within budgets; Move is the state machine of one of them. Both are
// plain code that takes the time. A move never starts a task: it only tells when a lease that
// was granted at the destination may be used, which is once the task is gone from the
// source for certain.
package rebalance

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Reason is why a task is moved. Both are drains of a machine, for which the protocol allows
// a task to be stopped.
type Reason string

// Reasons for moves.
const (
	SpotNotice  Reason = "spot notice"  // the cloud takes the machine away
	SlowMachine Reason = "slow machine" // it was set aside for return, since its tasks take much longer
)

// DeclineReason is why a task was not moved.
type DeclineReason string

// Why tasks are not moved.
const (
	NotDeclined   DeclineReason = ""
	StaleView     DeclineReason = "the view of a machine is old"
	CannotSave    DeclineReason = "it can't save its progress"
	JustStarted   DeclineReason = "it has just started"
	NearlyDone    DeclineReason = "it is nearly done"
	MovedLately   DeclineReason = "it was moved lately"
	TeamAtLimit   DeclineReason = "its team is at its limit"
	TeamBudget    DeclineReason = "its team's moves of this minute are used up"
	MachineBudget DeclineReason = "the machine's moves of this minute are used up"
	NoRoom        DeclineReason = "no machine that fits has room"
	NoGain        DeclineReason = "the gain does not exceed the cost"
	NotCooler     DeclineReason = "the destination would be no cooler"
	Vetoed        DeclineReason = "the policy script vetoed it"
)

// Key names a task, whatever its attempt.
type Key struct {
	Job string
	N   int
}

// Candidate is a running task on a machine that is to be drained.
type Candidate struct {
	Key        Key
	Team       string
	Machine    string
	Reason     Reason
	Ran        clock.Micros // so far
	Left       clock.Micros // of its run there, as far as is known
	Unsaved    clock.Micros // progress that is lost on average if the machine goes
	CanSave    bool
	SaveFor    clock.Micros // how long it takes to save
	NoticeLeft clock.Micros // until the machine is taken, with a spot notice
	Pace       float64      // how long tasks take on the machine against elsewhere
	Heat       float64      // of the machine
	ViewAge    clock.Micros
}

// Destination is a machine that has room for a candidate.
type Destination struct {
	Machine string
	Fetch   clock.Micros // of the image, until the task can start
	Pace    float64
	Heat    float64 // of the machine with the task on it
	ViewAge clock.Micros
}

// Limits of moves.
type Limits struct {
	Margin     float64 // the gain must be so many times the cost
	CoolDown   clock.Micros
	PerTeam    int          // moves in a minute
	PerMachine int          // moves from or to it in a minute
	Detect     clock.Micros // how long it takes to notice that a machine is gone
}

const (
	// minRunTime is how long a task runs before it is moved.
	minRunTime = 30 * clock.Second
	// minTimeLeft is how much of its run must be left.
	minTimeLeft = 10 * clock.Second
	// maxViewAge is how old the view of a machine may be.
	maxViewAge = 5 * clock.Second
	// messageOverhead is what a move takes beside saving and fetching: reports and answers.
	messageOverhead = 2 * clock.Second
	// reliableNoticeShare is the part of a notice that is there for certain.
	reliableNoticeShare = 0.5
	budgetPeriod        = 60 * clock.Second
	// maxRecentMoves is how many moves are remembered for operators.
	maxRecentMoves = 32
)

// Record is a move as operators are told of it.
type Record struct {
	Team, From, To string
	Key            Key
	Reason         Reason
	Gain, Cost     clock.Micros
	Began          clock.Micros
	Outcome        Outcome
}

// Planner decides on moves and keeps their budgets.
type Planner struct {
	limits       Limits
	lastMoved    map[Key]clock.Micros
	teamMoves    map[string][]clock.Micros
	machineMoves map[string][]clock.Micros
	declines     map[string]map[DeclineReason]int
	recent       []*Record
}

// NewPlanner makes an empty book.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, lastMoved: map[Key]clock.Micros{}, teamMoves: map[string][]clock.Micros{}, machineMoves: map[string][]clock.Micros{},
		declines: map[string]map[DeclineReason]int{}}
}

// Evaluate tells whether a task may be moved at all, before a destination is looked for.
func (p *Planner) Evaluate(c *Candidate, now clock.Micros) DeclineReason {
	at, moved := p.lastMoved[c.Key]
	switch {
	case c.ViewAge > maxViewAge:
		return StaleView
	case !c.CanSave:
		return CannotSave
	case c.Ran < minRunTime:
		return JustStarted
	case c.Left < minTimeLeft:
		return NearlyDone
	case moved && now < at+p.limits.CoolDown:
		return MovedLately
	case movesInLastMinute(p.teamMoves, c.Team, now) >= p.limits.PerTeam:
		return TeamBudget
	case movesInLastMinute(p.machineMoves, c.Machine, now) >= p.limits.PerMachine:
		return MachineBudget
	}
	return NotDeclined
}

// Weigh tells whether a move to a destination is worth it: its gain exceeds its cost with a
// margin, and the destination is cooler with the task than the source is now.
func (p *Planner) Weigh(c *Candidate, to *Destination, now clock.Micros) (gain, cost clock.Micros, why DeclineReason) {
	if to.ViewAge > maxViewAge {
		return 0, 0, StaleView
	}
	if movesInLastMinute(p.machineMoves, to.Machine, now) >= p.limits.PerMachine {
		return 0, 0, MachineBudget
	}
	cost = c.SaveFor + to.Fetch + messageOverhead
	gain = p.gain(c, to)
	if gain.Seconds() <= cost.Seconds()*p.limits.Margin {
		return gain, cost, NoGain
	}
	if to.Heat >= c.Heat {
		return gain, cost, NotCooler
	}
	return gain, cost, NotDeclined
}

// gain is how much earlier a task is done by a move, its cost left out.
func (p *Planner) gain(c *Candidate, to *Destination) clock.Micros {
	pace := func(p float64) float64 {
		if p <= 0 {
			return 1
		}
		return p
	}
	left := clock.Micros(float64(c.Left) / pace(c.Pace) * pace(to.Pace)) // elsewhere
	switch c.Reason {
	case SlowMachine:
		return c.Left - left
	case SpotNotice:
		certain := clock.Micros(float64(c.NoticeLeft) * reliableNoticeShare)
		if c.Left <= certain || c.SaveFor >= certain {
			return 0 // it is done before, or can't be saved in time
		}
		return c.Unsaved + p.limits.Detect + c.Left - left
	}
	return 0
}

// Decline takes note of why a task was not moved.
func (p *Planner) Decline(team string, why DeclineReason) {
	if p.declines[team] == nil {
		p.declines[team] = map[DeclineReason]int{}
	}
	p.declines[team][why]++
}

// StartMove takes a move on: it counts against the budgets, whatever becomes of it.
func (p *Planner) StartMove(c *Candidate, to *Destination, gain, cost, now clock.Micros) *Move {
	p.lastMoved[c.Key] = now
	p.teamMoves[c.Team] = append(p.teamMoves[c.Team], now)
	for _, m := range []string{c.Machine, to.Machine} {
		p.machineMoves[m] = append(p.machineMoves[m], now)
	}
	r := &Record{Team: c.Team, From: c.Machine, To: to.Machine, Key: c.Key, Reason: c.Reason, Gain: gain, Cost: cost, Began: now, Outcome: UnderWay}
	p.recent = append(p.recent, r)
	if len(p.recent) > maxRecentMoves {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	return &Move{Record: r, planner: p, state: leaseRequested, deadline: now + HoldFor}
}

// Forget drops what no budget looks at any more.
func (p *Planner) Forget(now clock.Micros) {
	for key, at := range p.lastMoved {
		if now >= at+p.limits.CoolDown {
			delete(p.lastMoved, key)
		}
	}
	for _, spending := range []map[string][]clock.Micros{p.teamMoves, p.machineMoves} {
		for name := range spending {
			if movesInLastMinute(spending, name, now) == 0 {
				delete(spending, name)
			}
		}
	}
}

// movesInLastMinute counts the moves of the last minute.
func movesInLastMinute(list map[string][]clock.Micros, name string, now clock.Micros) (n int) {
	for _, at := range list[name] {
		if now < at+budgetPeriod {
			n++
		}
	}
	return n
}

// Recent gives the latest moves of a team, the last one first.
func (p *Planner) Recent(team string) (out []Record) {
	for _, r := range slices.Backward(p.recent) {
		if r.Team == team {
			out = append(out, *r)
		}
	}
	return out
}

// DeclinedOf counts why tasks of a team were not moved.
func (p *Planner) DeclinedOf(team string) map[DeclineReason]int { return p.declines[team] }
