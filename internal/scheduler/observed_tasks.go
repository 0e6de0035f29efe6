package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// observedTask is a task as last reported by its machine's partition leader.
type observedTask struct {
	peer.TaskView
	counted         bool // it has not exited and is included in the counts of the machine and of the cache
	startedAt       clock.Micros
	preemptingUntil clock.Micros // an assignment has named it as a victim: not named again before this time or the next view of it
}

// isFetching reports whether the task still waits for its image.
func (t *observedTask) isFetching() bool { return t.Phase == "" || t.Phase == wire.TaskFetching }

// priorityLevels is the number of priority levels: idle, normal, high and production.
const priorityLevels = 4

// observedTaskCounts counts the observed tasks on all cached machines that have not exited.
type observedTaskCounts struct {
	byPriority [priorityLevels]int
	byCPU      map[int64]int // by resource request, in micro-CPUs
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

// hasTaskAtOrBelow reports whether there are tasks of the given priority or a lower one.
func hasTaskAtOrBelow(byPriority *[priorityLevels]int, maxPriority int) bool {
	for priority := 0; priority <= maxPriority; priority++ {
		if byPriority[priority] > 0 {
			return true
		}
	}
	return false
}
