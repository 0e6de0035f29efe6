package rebalance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

const sec = clock.Second

var limits = Limits{Margin: 1.5, CoolDown: 120 * sec, PerTeam: 3, PerMachine: 2, Detect: 20 * sec}

// slowMachineCandidate is a task with 60 s to go on a machine that takes twice as long as others.
func slowMachineCandidate() *Candidate {
	return &Candidate{Key: Key{"job-1", 0}, Team: "red", Machine: "m-1", Reason: SlowMachine, Ran: 40 * sec, Left: 60 * sec,
		Unsaved: 5 * sec, CanSave: true, SaveFor: 2 * sec, Pace: 2, Heat: 1}
}

func coolDestination() *Destination { return &Destination{Machine: "m-2", Fetch: 4 * sec, Heat: 0.5} }

func TestWhichTasksAreNotMoved(t *testing.T) {
	for _, x := range []struct {
		why    DeclineReason
		change func(c *Candidate, to *Destination)
	}{
		{NotDeclined, func(*Candidate, *Destination) {}},
		{StaleView, func(c *Candidate, _ *Destination) { c.ViewAge = 6 * sec }},
		{StaleView, func(_ *Candidate, to *Destination) { to.ViewAge = 6 * sec }},
		{CannotSave, func(c *Candidate, _ *Destination) { c.CanSave = false }},
		{JustStarted, func(c *Candidate, _ *Destination) { c.Ran = 29 * sec }},
		{NearlyDone, func(c *Candidate, _ *Destination) { c.Left = 9 * sec }},
		{NoGain, func(c *Candidate, _ *Destination) { c.Left = 24 * sec }}, // 12 s for a cost of 8
		{NoGain, func(_ *Candidate, to *Destination) { to.Fetch = 17 * sec }},
		{NoGain, func(_ *Candidate, to *Destination) { to.Pace = 1.9 }},
		{NoGain, func(c *Candidate, _ *Destination) { c.Pace = 0 }},
		{NotCooler, func(_ *Candidate, to *Destination) { to.Heat = 1 }},
	} {
		c, to := slowMachineCandidate(), coolDestination()
		x.change(c, to)
		b := NewPlanner(limits)
		why := b.Evaluate(c, 100*sec)
		if why == NotDeclined {
			_, _, why = b.Weigh(c, to, 100*sec)
		}
		require.Equal(t, x.why, why, "%+v to %+v", c, to)
	}
}

// With a notice a task is moved only if it would not be done by then, and can be saved in time.
func TestMovesOnANotice(t *testing.T) {
	for _, x := range []struct {
		left, notice, save clock.Micros
		want               DeclineReason
	}{
		{60 * sec, 40 * sec, 2 * sec, NotDeclined},
		{20 * sec, 40 * sec, 2 * sec, NoGain}, // done by then, even if the notice is short
		{60 * sec, 40 * sec, 20 * sec, NoGain},
		{60 * sec, 0, 2 * sec, NoGain},
	} {
		c := slowMachineCandidate()
		c.Reason, c.Left, c.NoticeLeft, c.SaveFor, c.Pace = SpotNotice, x.left, x.notice, x.save, 0
		_, _, why := NewPlanner(limits).Weigh(c, coolDestination(), 100*sec)
		require.Equal(t, x.want, why, "%+v", x)
	}
}

// Budgets bound what moves in a minute, and a task that was moved stays where it is for a
// while: nothing goes to and fro.
func TestBudgets(t *testing.T) {
	b := NewPlanner(limits)
	now := 100 * sec
	task := func(n int, machine string) *Candidate {
		c := slowMachineCandidate()
		c.Key.N, c.Machine = n, machine
		return c
	}
	begin := func(n int, from, to string) {
		d := coolDestination()
		d.Machine = to
		b.StartMove(task(n, from), d, 20*sec, 8*sec, now)
	}
	begin(0, "m-1", "m-2")
	require.Equal(t, MovedLately, b.Evaluate(task(0, "m-2"), now+sec))
	refused := b.StartMove(task(9, "m-8"), &Destination{Machine: "m-9"}, 20*sec, 8*sec, now-budgetPeriod)
	refused.Refused()
	require.Equal(t, NotDeclined, b.Evaluate(task(9, "m-8"), now), "nothing was moved")
	begin(1, "m-1", "m-3")
	require.Equal(t, MachineBudget, b.Evaluate(task(2, "m-1"), now))
	begin(2, "m-4", "m-2")
	require.Equal(t, TeamBudget, b.Evaluate(task(3, "m-5"), now))
	other := task(4, "m-6")
	other.Team = "blue"
	require.Equal(t, NotDeclined, b.Evaluate(other, now))
	_, _, why := b.Weigh(other, coolDestination(), now)
	require.Equal(t, MachineBudget, why, "m-2 has had two")
	require.Equal(t, NotDeclined, b.Evaluate(task(3, "m-1"), now+budgetPeriod))
	require.Equal(t, MovedLately, b.Evaluate(task(0, "m-2"), now+119*sec))
	require.Equal(t, NotDeclined, b.Evaluate(task(0, "m-2"), now+120*sec))
	b.Forget(now + 120*sec)
	require.Empty(t, b.lastMoved)
	require.Empty(t, b.teamMoves)
	require.Empty(t, b.machineMoves)
	require.Len(t, b.Recent("red"), 4)
	require.Equal(t, Key{"job-1", 2}, b.Recent("red")[0].Key)
}

// moveEvent is something that a move is told of; name is for failures.
type moveEvent struct {
	name  string
	apply func(m *Move) Action
}

var events = []moveEvent{
	{"granted", (*Move).Granted},
	{"refused", (*Move).Refused},
	{"destination lost", (*Move).DestinationLost},
	{"source gone", func(m *Move) Action { return m.SourceGone(true) }},
	{"source done", func(m *Move) Action { return m.SourceGone(false) }},
	{"abandoned", (*Move).Abandon},
	{"expired", func(m *Move) Action { return m.Expire(100*sec + HoldFor) }},
	{"time passes", func(m *Move) Action { return m.Expire(100*sec + HoldFor - 1) }},
}

// Whatever a move is told, in whatever order: the destination is started at most once, only
// after its lease was granted and only at the moment at which the task is gone from the source and
// still wanted; the source is stopped at most once, and only while the lease is held; a lease
// that isn't used is released unless it is gone.
func TestWhateverAMoveIsTold(t *testing.T) {
	const steps = 6
	total := 1
	for range steps {
		total *= len(events)
	}
	outcomes := map[Outcome]int{}
	for n := range total {
		m := NewPlanner(limits).StartMove(slowMachineCandidate(), coolDestination(), 20*sec, 8*sec, 100*sec)
		var told []string
		granted, lost, over := false, false, false
		stops, starts, releases := 0, 0, 0
		for rest, step := n, 0; step < steps; step, rest = step+1, rest/len(events) {
			e := events[rest%len(events)]
			told = append(told, e.name)
			a := e.apply(m)
			switch a {
			case StopSource:
				stops++
				require.False(t, lost || over, "%v", told)
				granted = true
			case StartDestination:
				starts++
				require.True(t, granted && e.name == "source gone" && !lost && !over, "%v", told)
			case ReleaseDestination:
				releases++
				require.False(t, lost, "%v", told)
			}
			lost = lost || e.name == "refused" || e.name == "destination lost"
			over = over || m.Ended()
		}
		require.LessOrEqual(t, stops, 1, "%v", told)
		require.LessOrEqual(t, starts+releases, 1, "%v", told)
		if m.Ended() {
			require.True(t, starts+releases == 1 || lost, "%v: a lease is left behind", told)
			require.NotEqual(t, UnderWay, m.Outcome)
		}
		outcomes[m.Outcome]++
	}
	for _, o := range []Outcome{UnderWay, Moved, NoLease, DestinationGone, SourceEnded, TaskOver, TookTooLong} {
		require.Positive(t, outcomes[o], fmt.Sprint(o))
	}
}
