package fairshare

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

const sec = clock.Second

// machineForOneTask is a machine with free capacity for one task, but not for two.
var machineForOneTask = &FreeCapacity{Machine: "m-1", Type: "big", Zone: "a", Free: resources.Capacity(3, 0, 8)}

func assignmentOf(team string, rank int) *Assignment {
	return &Assignment{Team: team, Rank: rank, Need: resources.Request(2, 0, 1)}
}

func shapeOf(tasks int) Shape {
	return Shape{Need: resources.Request(2, 0, 1), Rank: 1, Spot: true, Tasks: tasks}
}

// arbiterUnderContention returns an arbiter of 100 CPUs, of which team hot uses 96 and wants more, while the shape of
// another team waits.
func arbiterUnderContention(waiting Shape) *Arbiter {
	a := NewArbiter(Settings{MaxDemandAge: 3 * sec, WithholdFor: sec, OpenFor: 5 * sec})
	a.UpdateDemand([]Demand{
		{Team: "hot", Term: 1, Shapes: []Shape{shapeOf(500)}},
		{Team: "other", Term: 1, Shapes: []Shape{waiting}}}, 10*sec)
	a.UpdateUsage(resources.Capacity(100, 0, 200), map[string]Use{"hot": {All: resources.Capacity(96, 0, 50)}}, 10*sec)
	return a
}

// An assignment of a team above its share yields only if a team below its share has a waiting task that could take its
// place: of the same or a higher rank, allowed on the machine, and small enough. Otherwise capacity would be left
// unused.
func TestAssignmentYieldsOnlyToTeamBelowItsShare(t *testing.T) {
	zoned, large, low := shapeOf(5), shapeOf(5), shapeOf(5)
	zoned.Zone, large.Need, low.Rank = "b", resources.Request(8, 0, 1), 0
	owed := assignmentOf("hot", 1)
	owed.WithinGuarantee = true
	for _, test := range []struct {
		name       string
		waiting    Shape
		assignment *Assignment
		want       bool
	}{
		{"a team above its share yields to one below its share", shapeOf(5), assignmentOf("hot", 1), true},
		{"a team below its share does not yield", shapeOf(5), assignmentOf("other", 1), false},
		{"an assignment of a higher rank does not yield", shapeOf(5), assignmentOf("hot", 2), false},
		{"an assignment within a guarantee does not yield", shapeOf(5), owed, false},
		{"without waiting tasks of another team nothing yields", shapeOf(0), assignmentOf("hot", 1), false},
		{"the waiting tasks must not run in this zone", zoned, assignmentOf("hot", 1), false},
		{"the waiting tasks do not fit on the machine", large, assignmentOf("hot", 1), false},
		{"the waiting tasks are of lower rank", low, assignmentOf("hot", 1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, arbiterUnderContention(test.waiting).Yields(test.assignment, machineForOneTask, 10*sec+1))
		})
	}
}

// A machine is withheld for a bounded time, since the waiting team may be unable to use it. After that it is open to every
// team for a while; other machines are still withheld.
func TestWithheldMachineIsOpenedAfterTimeout(t *testing.T) {
	a := arbiterUnderContention(shapeOf(5))
	require.True(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 10*sec))
	require.True(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 10*sec+900*clock.Millisecond))
	require.False(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 11*sec), "the machine was not requested within the timeout")
	require.False(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 12*sec), "the machine stays open for OpenFor")
	other := *machineForOneTask
	other.Machine = "m-2"
	require.True(t, a.Yields(assignmentOf("hot", 1), &other, 12*sec), "other machines are still withheld")
}

// No more is withheld than waiting tasks need: a machine with free capacity for both teams' tasks is not withheld, and each
// waiting task withholds one machine.
func TestWithholdingIsBoundedByWaitingTasks(t *testing.T) {
	both := *machineForOneTask
	both.Free = resources.Capacity(4, 0, 8)
	require.False(t, arbiterUnderContention(shapeOf(5)).Yields(assignmentOf("hot", 1), &both, 10*sec), "there is capacity for both tasks")
	a := arbiterUnderContention(shapeOf(2))
	a.UpdateUsage(resources.Capacity(100, 0, 200), map[string]Use{"hot": {All: resources.Capacity(98, 0, 50)}}, 10*sec)
	for i, want := range []bool{true, true, false, false} {
		next := *machineForOneTask
		next.Machine = string(rune('a' + i))
		require.Equal(t, want, a.Yields(assignmentOf("hot", 1), &next, 10*sec), "machine %d", i)
	}
	a.RecordAccepted(assignmentOf("other", 1), "a")
	third := *machineForOneTask
	third.Machine = "c"
	require.False(t, a.Yields(assignmentOf("hot", 1), &third, 10*sec), "the one task that still waits has machine b withheld for it")
}

// A lease that is granted to the waiting team ends the withholding and counts as use before the next count of usage.
// Otherwise capacity would be withheld for a team that has its share already.
func TestGrantCountsBeforeNextUsageUpdate(t *testing.T) {
	a := arbiterUnderContention(shapeOf(1))
	a.UpdateUsage(resources.Capacity(100, 0, 200), map[string]Use{"hot": {All: resources.Capacity(98, 0, 50)}}, 10*sec)
	require.True(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 10*sec))
	a.RecordAccepted(assignmentOf("other", 1), machineForOneTask.Machine)
	require.False(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 10*sec+1), "the other team has its share")
}

// Nothing is withheld for a team whose demand is too old or missing: its scheduler may be cut off, have ended, or be of a
// version that sends none.
func TestStaleDemandIsIgnored(t *testing.T) {
	a := arbiterUnderContention(shapeOf(5))
	require.True(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 13*sec))
	require.False(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 13*sec+1))
	fresh := arbiterUnderContention(shapeOf(5))
	fresh.UpdateDemand([]Demand{{Team: "other", Term: 1}}, 11*sec)
	require.False(t, fresh.Yields(assignmentOf("hot", 1), machineForOneTask, 11*sec), "no task of the other team waits any more")
	none := NewArbiter(Settings{MaxDemandAge: 3 * sec, WithholdFor: sec})
	require.False(t, none.UsageDue(sec), "without demand usage is not counted")
	require.False(t, none.Yields(assignmentOf("hot", 1), machineForOneTask, sec))
}

// Demand of a team's former scheduler that arrives late does not replace the demand of the current one.
func TestDemandOfFormerSchedulerIsIgnored(t *testing.T) {
	a := arbiterUnderContention(shapeOf(5))
	a.UpdateDemand([]Demand{{Team: "other", Term: 2, Shapes: []Shape{shapeOf(5)}}}, 10*sec)
	a.UpdateDemand([]Demand{{Team: "other", Term: 1}}, 10*sec)
	require.True(t, a.Yields(assignmentOf("hot", 1), machineForOneTask, 10*sec))
}
