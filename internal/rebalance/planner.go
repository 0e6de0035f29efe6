// Package rebalance decides which running tasks are moved to another machine, and which steps a move takes.
//
// Planner decides on moves, within budgets. Move is the state machine of one move. Both do no I/O and take the time as
// a parameter. A move does not start the task itself. It tells the scheduler when the lease that was granted at the
// destination may be used, which is once the task is certain to be gone from the source.
package rebalance

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Reason is why a task is moved. Both reasons are drains of the machine, for which the protocol permits stopping a
// task.
type Reason string

// Reasons for moves.
const (
	SpotNotice  Reason = "spot notice"  // the machine is a spot instance under an eviction notice
	SlowMachine Reason = "slow machine" // the machine is quarantined, since tasks take much longer on it
)

// DeclineReason is why a task was not moved.
type DeclineReason string

// Reasons for which tasks are not moved.
const (
	NotDeclined      DeclineReason = ""
	StaleView        DeclineReason = "the view of a machine is old"
	CannotCheckpoint DeclineReason = "it can't save its progress"
	JustStarted      DeclineReason = "it has just started"
	NearlyDone       DeclineReason = "it is nearly done"
	MovedLately      DeclineReason = "it was moved lately"
	TeamAtLimit      DeclineReason = "its team is at its limit"
	TeamBudget       DeclineReason = "its team's moves of this minute are used up"
	MachineBudget    DeclineReason = "the machine's moves of this minute are used up"
	NoCapacity       DeclineReason = "no machine that fits has room"
	NoGain           DeclineReason = "the gain does not exceed the cost"
	NotLessLoaded    DeclineReason = "the destination would be no cooler"
	Vetoed           DeclineReason = "the policy script vetoed it"
)

// Key identifies a task across its attempts.
type Key struct {
	Job string
	N   int
}

// Candidate is a running task on a machine that is to be drained.
type Candidate struct {
	Key                Key
	Team               string
	Machine            string
	Reason             Reason
	RunTime            clock.Micros // run time so far
	TimeLeft           clock.Micros // estimated remaining run time on this machine
	Uncheckpointed     clock.Micros // run time since the last checkpoint, on average: lost if the machine is lost
	CanCheckpoint      bool         // the task writes checkpoints
	CheckpointDuration clock.Micros // duration of a checkpoint
	NoticeLeft         clock.Micros // with an eviction notice: time until the machine is taken
	Slowdown           float64      // run times on the machine relative to those on other machines; 0: unknown
	Load               float64      // CPU utilization of the machine, scaled by Slowdown; very large under an eviction notice
	ViewAge            clock.Micros // age of the scheduler's view of the machine
}

// Destination is a machine that has free capacity for a candidate.
type Destination struct {
	Machine  string
	Fetch    clock.Micros // time to fetch the task's image; 0 if the machine has it
	Slowdown float64      // as in Candidate
	Load     float64      // as in Candidate, with the task on the machine
	ViewAge  clock.Micros // age of the scheduler's view of the machine
}

// Limits are the operators' limits on moves.
type Limits struct {
	Margin     float64      // the gain must exceed the cost by this factor
	CoolDown   clock.Micros // time after a move in which the task is not moved again
	PerTeam    int          // largest number of moves of a team's tasks in a minute
	PerMachine int          // largest number of moves from or to a machine in a minute
	Detect     clock.Micros // time until the loss of a machine is detected
}

const (
	// minRunTime is the shortest time for which a task must have run before it is moved.
	minRunTime = 30 * clock.Second
	// minTimeLeft is the shortest remaining run time of a task that is moved.
	minTimeLeft = 10 * clock.Second
	// maxViewAge is the age of a machine view above which no task is moved from or to the machine.
	maxViewAge = 5 * clock.Second
	// messageOverhead is the part of a move's duration that is spent on heartbeats and responses, in addition to the
	// checkpoint and the fetch of the image.
	messageOverhead = 2 * clock.Second
	// reliableNoticeShare is the share of the time left by an eviction notice that the planner relies on. The cloud
	// may take the machine earlier.
	reliableNoticeShare = 0.5
	// budgetPeriod is the period to which the limits PerTeam and PerMachine apply.
	budgetPeriod = 60 * clock.Second
	// maxRecentMoves is the number of moves that are kept for the operators' commands.
	maxRecentMoves = 32
)

// Record describes a move for the operators' commands.
type Record struct {
	Team, From, To string
	Key            Key
	Reason         Reason
	Gain, Cost     clock.Micros
	Began          clock.Micros
	Outcome        Outcome
}

// Planner decides on moves and enforces their budgets. It is not safe for concurrent use.
type Planner struct {
	limits       Limits
	lastMoved    map[Key]clock.Micros             // start of each task's latest move, for the cool-down
	teamMoves    map[string][]clock.Micros        // starts of moves, by team
	machineMoves map[string][]clock.Micros        // starts of moves from or to a machine, by machine
	declines     map[string]map[DeclineReason]int // counts since the planner was made, by team
	recent       []*Record                        // the latest maxRecentMoves moves, oldest first
}

// NewPlanner returns a planner without moves.
func NewPlanner(l Limits) *Planner {
	return &Planner{
		limits:       l,
		lastMoved:    map[Key]clock.Micros{},
		teamMoves:    map[string][]clock.Micros{},
		machineMoves: map[string][]clock.Micros{},
		declines:     map[string]map[DeclineReason]int{},
	}
}

// Evaluate returns why a task may not be moved to any destination, or NotDeclined if it may be.
func (p *Planner) Evaluate(c *Candidate, now clock.Micros) DeclineReason {
	movedAt, moved := p.lastMoved[c.Key]
	switch {
	case c.ViewAge > maxViewAge:
		return StaleView
	case !c.CanCheckpoint:
		return CannotCheckpoint
	case c.RunTime < minRunTime:
		return JustStarted
	case c.TimeLeft < minTimeLeft:
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

// EvaluateDestination returns the gain and the cost of a move to a destination, and why the task is not moved there. why is
// NotDeclined if the view of the destination is recent, its budget is not used up, the gain exceeds the cost by the margin,
// and the Load of the destination with the task is lower than the present Load of the source. For a destination with an
// old view or a used-up budget, the gain and the cost are 0.
func (p *Planner) EvaluateDestination(c *Candidate, to *Destination, now clock.Micros) (gain, cost clock.Micros, why DeclineReason) {
	if to.ViewAge > maxViewAge {
		return 0, 0, StaleView
	}
	if movesInLastMinute(p.machineMoves, to.Machine, now) >= p.limits.PerMachine {
		return 0, 0, MachineBudget
	}
	cost = c.CheckpointDuration + to.Fetch + messageOverhead
	gain = p.gain(c, to)
	if gain.Seconds() <= cost.Seconds()*p.limits.Margin {
		return gain, cost, NoGain
	}
	if to.Load >= c.Load {
		return gain, cost, NotLessLoaded
	}
	return gain, cost, NotDeclined
}

// gain returns how much earlier a task completes if it is moved, before the cost of the move is subtracted.
func (p *Planner) gain(c *Candidate, to *Destination) clock.Micros {
	leftAtDestination := clock.Micros(float64(c.TimeLeft) / slowdownOrDefault(c.Slowdown) * slowdownOrDefault(to.Slowdown))
	switch c.Reason {
	case SlowMachine:
		return c.TimeLeft - leftAtDestination
	case SpotNotice:
		reliable := clock.Micros(float64(c.NoticeLeft) * reliableNoticeShare)
		if c.TimeLeft <= reliable || c.CheckpointDuration >= reliable {
			return 0 // the task completes before the machine is taken, or can't checkpoint in time
		}
		return c.Uncheckpointed + p.limits.Detect + c.TimeLeft - leftAtDestination
	}
	return 0
}

// slowdownOrDefault returns a machine's Slowdown, or 1 if it is unknown.
func slowdownOrDefault(slowdown float64) float64 {
	if slowdown <= 0 {
		return 1
	}
	return slowdown
}

// Decline counts a task of a team that was not moved, by the reason.
func (p *Planner) Decline(team string, why DeclineReason) {
	if p.declines[team] == nil {
		p.declines[team] = map[DeclineReason]int{}
	}
	p.declines[team][why]++
}

// StartMove starts a move. The move counts against the budgets whatever its outcome is.
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
	return &Move{Record: r, planner: p, state: leaseRequested, deadline: now + HeldLeaseTTL}
}

// DropExpired drops the cool-downs that are over, and the teams and machines whose moves are all too old to count for a
// budget.
func (p *Planner) DropExpired(now clock.Micros) {
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

// Recent returns the moves of a team among the latest maxRecentMoves of all teams, newest first.
func (p *Planner) Recent(team string) (out []Record) {
	for _, r := range slices.Backward(p.recent) {
		if r.Team == team {
			out = append(out, *r)
		}
	}
	return out
}

// DeclineCounts returns how often tasks of a team were not moved, by the reason.
func (p *Planner) DeclineCounts(team string) map[DeclineReason]int { return p.declines[team] }
