package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// observedTask is a task as its machine's partition leader last showed it.
type observedTask struct {
	peer.TaskView
	counted         bool // it has not exited, and counts among the machine's tasks
	startedAt       clock.Micros
	preemptingUntil clock.Micros // an assignment names it as a victim: not to be named again until then
}

// isFetching reports whether a task still waits for its image.
func (t *observedTask) isFetching() bool { return t.Phase == "" || t.Phase == wire.TaskFetching }

// priorities is the number of priority levels: idle, normal, high and production.
const priorities = 4

// observedTaskCounts counts the tasks that all cached machines show and that have not exited.
type observedTaskCounts struct {
	byPriority [priorities]int
	byCPU      map[int64]int // by the CPUs that they take
}

func (c *observedTaskCounts) add(t *observedTask) {
	c.byPriority[t.Rank]++
	c.byCPU[t.Need.CPU]++
}

func (c *observedTaskCounts) remove(t *observedTask) {
	c.byPriority[t.Rank]--
	if c.byCPU[t.Need.CPU]--; c.byCPU[t.Need.CPU] == 0 {
		delete(c.byCPU, t.Need.CPU)
	}
}

// hasTaskUpTo reports whether there are tasks of a priority up to the given one.
func hasTaskUpTo(byPriority *[priorities]int, maxPriority int) bool {
	for priority := 0; priority <= maxPriority; priority++ {
		if byPriority[priority] > 0 {
			return true
		}
	}
	return false
}
