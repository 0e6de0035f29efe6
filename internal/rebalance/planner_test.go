package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

const sec = clock.Second

var limits = Limits{Margin: 1.5, CoolDown: 120 * sec, PerTeam: 3, PerMachine: 2, Detect: 20 * sec}

// slowMachineCandidate returns a task with 60 s left to run, on a machine where tasks take twice as long as elsewhere.
func slowMachineCandidate() *Candidate {
	return &Candidate{Key: Key{"job-1", 0}, Team: "red", Machine: "m-1", Reason: SlowMachine, RunTime: 40 * sec, TimeLeft: 60 * sec,
		Uncheckpointed: 5 * sec, CanCheckpoint: true, CheckpointDuration: 2 * sec, Slowdown: 2, Load: 1}
}

func lessLoadedDestination() *Destination {
	return &Destination{Machine: "m-2", Fetch: 4 * sec, Load: 0.5}
}

func TestTaskThatMeetsALimitIsDeclinedWithReason(t *testing.T) {
	for _, test := range []struct {
		why    DeclineReason
		change func(c *Candidate, to *Destination)
	}{
		{NotDeclined, func(*Candidate, *Destination) {}},
		{StaleView, func(c *Candidate, _ *Destination) { c.ViewAge = 6 * sec }},
		{StaleView, func(_ *Candidate, to *Destination) { to.ViewAge = 6 * sec }},
		{CannotCheckpoint, func(c *Candidate, _ *Destination) { c.CanCheckpoint = false }},
		{JustStarted, func(c *Candidate, _ *Destination) { c.RunTime = 29 * sec }},
		{NearlyDone, func(c *Candidate, _ *Destination) { c.TimeLeft = 9 * sec }},
		{NoGain, func(c *Candidate, _ *Destination) { c.TimeLeft = 24 * sec }}, // a gain of 12 s for a cost of 8 s
		{NoGain, func(_ *Candidate, to *Destination) { to.Fetch = 17 * sec }},
		{NoGain, func(_ *Candidate, to *Destination) { to.Slowdown = 1.9 }},
		{NoGain, func(c *Candidate, _ *Destination) { c.Slowdown = 0 }},
		{NotLessLoaded, func(_ *Candidate, to *Destination) { to.Load = 1 }},
	} {
		c, to := slowMachineCandidate(), lessLoadedDestination()
		test.change(c, to)
		p := NewPlanner(limits)
		why := p.Evaluate(c, 100*sec)
		if why == NotDeclined {
			_, _, why = p.EvaluateDestination(c, to, 100*sec)
		}
		require.Equal(t, test.why, why, "%+v to %+v", c, to)
	}
}

// Under an eviction notice a task is moved only if it would not complete before the machine is taken, and can checkpoint
// in time. The planner relies on half of the time left.
func TestMoveOnEvictionNoticeIsMadeOnlyWithGain(t *testing.T) {
	for _, test := range []struct {
		left, notice, save clock.Micros
		want               DeclineReason
	}{
		{60 * sec, 40 * sec, 2 * sec, NotDeclined},
		{20 * sec, 40 * sec, 2 * sec, NoGain}, // completes within half of the time left
		{60 * sec, 40 * sec, 20 * sec, NoGain},
		{60 * sec, 0, 2 * sec, NoGain},
	} {
		c := slowMachineCandidate()
		c.Reason, c.TimeLeft, c.NoticeLeft, c.CheckpointDuration, c.Slowdown = SpotNotice, test.left, test.notice, test.save, 0
		_, _, why := NewPlanner(limits).EvaluateDestination(c, lessLoadedDestination(), 100*sec)
		require.Equal(t, test.want, why, "%+v", test)
	}
}

// Budgets bound the moves of a team and of a machine in a minute, and a task that was moved is not moved again during its
// cool-down. Without them tasks could be moved back and forth, each time at a cost.
func TestMovesBeyondBudgetsAreDeclined(t *testing.T) {
	p := NewPlanner(limits)
	now := 100 * sec
	task := func(n int, machine string) *Candidate {
		c := slowMachineCandidate()
		c.Key.N, c.Machine = n, machine
		return c
	}
	begin := func(n int, from, to string) {
		d := lessLoadedDestination()
		d.Machine = to
		p.StartMove(task(n, from), d, 20*sec, 8*sec, now)
	}
	begin(0, "m-1", "m-2")
	require.Equal(t, MovedLately, p.Evaluate(task(0, "m-2"), now+sec))
	refused := p.StartMove(task(9, "m-8"), &Destination{Machine: "m-9"}, 20*sec, 8*sec, now-budgetPeriod)
	refused.LeaseRejected()
	require.Equal(t, NotDeclined, p.Evaluate(task(9, "m-8"), now), "the destination refused, so nothing was moved")
	begin(1, "m-1", "m-3")
	require.Equal(t, MachineBudget, p.Evaluate(task(2, "m-1"), now))
	begin(2, "m-4", "m-2")
	require.Equal(t, TeamBudget, p.Evaluate(task(3, "m-5"), now))
	other := task(4, "m-6")
	other.Team = "blue"
	require.Equal(t, NotDeclined, p.Evaluate(other, now))
	_, _, why := p.EvaluateDestination(other, lessLoadedDestination(), now)
	require.Equal(t, MachineBudget, why, "two moves to m-2 have started within the minute")
	require.Equal(t, NotDeclined, p.Evaluate(task(3, "m-1"), now+budgetPeriod))
	require.Equal(t, MovedLately, p.Evaluate(task(0, "m-2"), now+119*sec))
	require.Equal(t, NotDeclined, p.Evaluate(task(0, "m-2"), now+120*sec))
	p.DropExpired(now + 120*sec)
	require.Empty(t, p.lastMoved)
	require.Empty(t, p.teamMoves)
	require.Empty(t, p.machineMoves)
	require.Len(t, p.Recent("red"), 4)
	require.Equal(t, Key{"job-1", 2}, p.Recent("red")[0].Key)
}
