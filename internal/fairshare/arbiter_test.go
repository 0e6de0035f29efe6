package fairshare

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

const sec = clock.Second

// roomForOneTask is enough for one task.
var roomForOneTask = &FreeCapacity{Machine: "m-1", Type: "big", Zone: "a", Free: resources.Capacity(3, 0, 8)}

func ask(team string, rank int) *Assignment {
	return &Assignment{Team: team, Rank: rank, Need: resources.Request(2, 0, 1)}
}

func shape(tasks int) Shape {
	return Shape{Need: resources.Request(2, 0, 1), Rank: 1, Spot: true, Tasks: tasks}
}

// arbiterUnderContention is an arbiter of 100 CPUs that the hot team has nearly all of, while another waits.
func arbiterUnderContention(waits Shape) *Arbiter {
	a := NewArbiter(Settings{Fresh: 3 * sec, Withhold: sec, Open: 5 * sec})
	a.UpdateDemand([]Demand{{Team: "hot", Term: 1, Shapes: []Shape{shape(500)}}, {Team: "other", Term: 1, Shapes: []Shape{waits}}}, 10*sec)
	a.UpdateUsage(resources.Capacity(100, 0, 200), map[string]Use{"hot": {All: resources.Capacity(96, 0, 50)}}, 10*sec)
	return a
}

func TestAssignmentYieldsOnlyToTeamBelowItsShare(t *testing.T) {
	zoned, large, low := shape(5), shape(5), shape(5)
	zoned.Zone, large.Need, low.Rank = "b", resources.Request(8, 0, 1), 0
	owed := ask("hot", 1)
	owed.WithinGuarantee = true
	for _, test := range []struct {
		name  string
		waits Shape
		ask   *Assignment
		want  bool
	}{
		{"a team above its share leaves room to one below", shape(5), ask("hot", 1), true},
		{"who is below its share does not yield", shape(5), ask("other", 1), false},
		{"a higher rank goes first whatever the shares", shape(5), ask("hot", 2), false},
		{"work within a guarantee does not yield", shape(5), owed, false},
		{"nobody else waits: all may be had", shape(0), ask("hot", 1), false},
		{"what waits may not go to this zone", zoned, ask("hot", 1), false},
		{"what waits doesn't fit there now", large, ask("hot", 1), false},
		{"what waits is of lower rank", low, ask("hot", 1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, arbiterUnderContention(test.waits).Yields(test.ask, roomForOneTask, 10*sec+1))
		})
	}
}

// A machine is withheld for a bounded time: the waiting team may not use it after all.
func TestWithheldMachineIsOpenedAfterTimeout(t *testing.T) {
	a := arbiterUnderContention(shape(5))
	require.True(t, a.Yields(ask("hot", 1), roomForOneTask, 10*sec))
	require.True(t, a.Yields(ask("hot", 1), roomForOneTask, 10*sec+900*clock.Millisecond))
	require.False(t, a.Yields(ask("hot", 1), roomForOneTask, 11*sec), "nobody took it")
	require.False(t, a.Yields(ask("hot", 1), roomForOneTask, 12*sec), "it stays open for a while")
	other := *roomForOneTask
	other.Machine = "m-2"
	require.True(t, a.Yields(ask("hot", 1), &other, 12*sec), "other machines' room is withheld still")
}

// No more is withheld than what waits: a machine with room for both is shared, and one waiting task
// withholds one machine.
func TestWithholdingIsBoundedByWaitingTasks(t *testing.T) {
	both := *roomForOneTask
	both.Free = resources.Capacity(4, 0, 8)
	require.False(t, arbiterUnderContention(shape(5)).Yields(ask("hot", 1), &both, 10*sec), "there is room for both")
	a := arbiterUnderContention(shape(2))
	a.UpdateUsage(resources.Capacity(100, 0, 200), map[string]Use{"hot": {All: resources.Capacity(98, 0, 50)}}, 10*sec)
	for i, want := range []bool{true, true, false, false} {
		next := *roomForOneTask
		next.Machine = string(rune('a' + i))
		require.Equal(t, want, a.Yields(ask("hot", 1), &next, 10*sec), "machine %d", i)
	}
	a.RecordAccepted(ask("other", 1), "a")
	third := *roomForOneTask
	third.Machine = "c"
	require.False(t, a.Yields(ask("hot", 1), &third, 10*sec), "one waits still, and has b kept for it")
}

// A grant to the waiting team ends the withholding and counts before usage is counted anew.
func TestGrantCountsBeforeNextUsageUpdate(t *testing.T) {
	a := arbiterUnderContention(shape(1))
	a.UpdateUsage(resources.Capacity(100, 0, 200), map[string]Use{"hot": {All: resources.Capacity(98, 0, 50)}}, 10*sec)
	require.True(t, a.Yields(ask("hot", 1), roomForOneTask, 10*sec))
	a.RecordAccepted(ask("other", 1), roomForOneTask.Machine)
	require.False(t, a.Yields(ask("hot", 1), roomForOneTask, 10*sec+1), "the other team has its share")
}

// A partition leader that receives no demand of a team any more, since its scheduler is cut off or has
// ended, or since it is of a version that sends none, withholds nothing for it.
func TestStaleDemandIsIgnored(t *testing.T) {
	a := arbiterUnderContention(shape(5))
	require.True(t, a.Yields(ask("hot", 1), roomForOneTask, 13*sec))
	require.False(t, a.Yields(ask("hot", 1), roomForOneTask, 13*sec+1))
	fresh := arbiterUnderContention(shape(5))
	fresh.UpdateDemand([]Demand{{Team: "other", Term: 1}}, 11*sec)
	require.False(t, fresh.Yields(ask("hot", 1), roomForOneTask, 11*sec), "nothing waits any more")
	none := NewArbiter(Settings{Fresh: 3 * sec, Withhold: sec})
	require.False(t, none.UsageDue(sec), "without demand nothing is counted")
	require.False(t, none.Yields(ask("hot", 1), roomForOneTask, sec))
}

// A former scheduler's demand that arrives late does not replace the current one's.
func TestDemandOfFormerSchedulerIsIgnored(t *testing.T) {
	a := arbiterUnderContention(shape(5))
	a.UpdateDemand([]Demand{{Team: "other", Term: 2, Shapes: []Shape{shape(5)}}}, 10*sec)
	a.UpdateDemand([]Demand{{Team: "other", Term: 1}}, 10*sec)
	require.True(t, a.Yields(ask("hot", 1), roomForOneTask, 10*sec))
}
