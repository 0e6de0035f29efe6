// Package rebalance decides which running tasks are moved to another machine, and what each
// step of a move is.
//
// Planner decides on moves, within budgets; Move is the state machine of one of them. Both are
// decisions without I/O that take the time as a parameter. A move never starts a task: it only says
// when a resource lease that was granted at the destination may be used, which is once the task is
// gone from the source for certain.
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
	SlowMachine Reason = "slow machine" // it is quarantined, since its tasks take much longer
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

// Key identifies a task, whatever its attempt.
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
	Ran        clock.Micros // run time so far
	Left       clock.Micros // estimated run time left on this machine
	Unsaved    clock.Micros // progress that is lost on average if the machine is lost
	CanSave    bool         // the task writes checkpoints
	SaveFor    clock.Micros // checkpoint duration
	NoticeLeft clock.Micros // until the machine is taken, with an eviction notice
	Pace       float64      // run times on the machine relative to those elsewhere; 0: unknown
	Heat       float64      // utilization of the machine
	ViewAge    clock.Micros // age of the scheduler's view of the machine
}

// Destination is a machine that has room for a candidate.
type Destination struct {
	Machine string
	Fetch   clock.Micros // time to fetch the image, until the task can start
	Pace    float64      // as in Candidate
	Heat    float64      // utilization of the machine with the task on it
	ViewAge clock.Micros
}

// Limits of moves.
type Limits struct {
	Margin     float64      // the gain must be so many times the cost
	CoolDown   clock.Micros // a task is not moved again for so long
	PerTeam    int          // moves in a minute
	PerMachine int          // moves from or to it in a minute
	Detect     clock.Micros // how long it takes to notice that a machine is gone
}

const (
	// minRunTime is how long a task runs before it is moved.
	minRunTime = 30 * clock.Second
	// minTimeLeft is how much of its run must be left.
	minTimeLeft = 10 * clock.Second
	// maxViewAge is how old the view of a machine may be for a decision on it.
	maxViewAge = 5 * clock.Second
	// messageOverhead is what a move takes beside checkpointing and fetching: heartbeats and responses.
	messageOverhead = 2 * clock.Second
	// reliableNoticeShare is the part of an eviction notice that can be relied on.
	reliableNoticeShare = 0.5
	// budgetPeriod is the period of the limits PerTeam and PerMachine.
	budgetPeriod = 60 * clock.Second
	// maxRecentMoves is how many moves are kept for the operators' commands.
	maxRecentMoves = 32
)

// Record is a move as the operators' commands show it.
type Record struct {
	Team, From, To string
	Key            Key
	Reason         Reason
	Gain, Cost     clock.Micros
	Began          clock.Micros
	Outcome        Outcome
}

// Planner decides on moves and keeps their budgets. It is not safe for concurrent use.
type Planner struct {
	limits       Limits
	lastMoved    map[Key]clock.Micros             // start of the latest move, for the cool-down
	teamMoves    map[string][]clock.Micros        // starts of moves, by team
	machineMoves map[string][]clock.Micros        // starts of moves from or to a machine, by machine
	declines     map[string]map[DeclineReason]int // since the start, by team
	recent       []*Record                        // the latest maxRecentMoves, oldest first
}

// NewPlanner makes a planner without moves.
func NewPlanner(l Limits) *Planner {
	return &Planner{
		limits:       l,
		lastMoved:    map[Key]clock.Micros{},
		teamMoves:    map[string][]clock.Micros{},
		machineMoves: map[string][]clock.Micros{},
		declines:     map[string]map[DeclineReason]int{},
	}
}

// Evaluate reports whether a task may be moved at all, before a destination is chosen.
func (p *Planner) Evaluate(c *Candidate, now clock.Micros) DeclineReason {
	movedAt, moved := p.lastMoved[c.Key]
	switch {
	case c.ViewAge > maxViewAge:
		return StaleView
	case !c.CanSave:
		return CannotSave
	case c.Ran < minRunTime:
		return JustStarted
	case c.Left < minTimeLeft:
		return NearlyDone
	case moved && now < movedAt+p.limits.CoolDown:
		return MovedLately
	case movesInLastMinute(p.teamMoves, c.Team, now) >= p.limits.PerTeam:
		return TeamBudget
	case movesInLastMinute(p.machineMoves, c.Machine, now) >= p.limits.PerMachine:
		return MachineBudget
	}
	return NotDeclined
}

// Weigh reports whether a move to a destination is worth it: its gain exceeds its cost with a
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

// gain is how much earlier a task completes by a move, the move's cost left out.
func (p *Planner) gain(c *Candidate, to *Destination) clock.Micros {
	leftAtDestination := clock.Micros(float64(c.Left) / paceOrDefault(c.Pace) * paceOrDefault(to.Pace))
	switch c.Reason {
	case SlowMachine:
		return c.Left - leftAtDestination
	case SpotNotice:
		reliable := clock.Micros(float64(c.NoticeLeft) * reliableNoticeShare)
		if c.Left <= reliable || c.SaveFor >= reliable {
			return 0 // it completes before, or can't checkpoint in time
		}
		return c.Unsaved + p.limits.Detect + c.Left - leftAtDestination
	}
	return 0
}

// paceOrDefault is a machine's pace, 1 where it is unknown.
func paceOrDefault(pace float64) float64 {
	if pace <= 0 {
		return 1
	}
	return pace
}

// Decline counts why a task was not moved.
func (p *Planner) Decline(team string, why DeclineReason) {
	if p.declines[team] == nil {
		p.declines[team] = map[DeclineReason]int{}
	}
	p.declines[team][why]++
}

// StartMove starts a move: it counts against the budgets, whatever its outcome.
func (p *Planner) StartMove(c *Candidate, to *Destination, gain, cost, now clock.Micros) *Move {
	p.lastMoved[c.Key] = now
	p.teamMoves[c.Team] = append(p.teamMoves[c.Team], now)
	for _, m := range []string{c.Machine, to.Machine} {
		p.machineMoves[m] = append(p.machineMoves[m], now)
	}
	r := &Record{
		Team: c.Team, From: c.Machine, To: to.Machine, Key: c.Key, Reason: c.Reason,
		Gain: gain, Cost: cost, Began: now, Outcome: UnderWay,
	}
	p.recent = append(p.recent, r)
	if len(p.recent) > maxRecentMoves {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	return &Move{Record: r, planner: p, state: leaseRequested, deadline: now + HoldFor}
}

// Forget drops the starts of moves that no budget and no cool-down counts any more.
func (p *Planner) Forget(now clock.Micros) {
	for key, movedAt := range p.lastMoved {
		if now >= movedAt+p.limits.CoolDown {
			delete(p.lastMoved, key)
		}
	}
	for _, starts := range []map[string][]clock.Micros{p.teamMoves, p.machineMoves} {
		for name := range starts {
			if movesInLastMinute(starts, name, now) == 0 {
				delete(starts, name)
			}
		}
	}
}

// movesInLastMinute counts the moves of a team or machine that started within the budget period.
func movesInLastMinute(starts map[string][]clock.Micros, name string, now clock.Micros) int {
	count := 0
	for _, startedAt := range starts[name] {
		if now < startedAt+budgetPeriod {
			count++
		}
	}
	return count
}

// Recent returns the latest moves of a team, the last one first.
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
