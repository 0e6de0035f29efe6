package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// A job that has missed its deadline, but not yet by the longer measure that an
// objective sets, goes before one that has missed both, and after one in time.
func TestQueueOrderFollowsLateness(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.scheduler.timing.Times = map[string]float64{"sweep": 1.5}
	for i, due := range []float64{10, 70, 200} { // past the objective, past the deadline, on time
		sim.addJob(fmt.Sprintf("job-%d", i), 1, func(j *wire.Job) { j.Class, j.DeadlineS, j.RuntimeEstimateS = "sweep", &due, 10 })
	}
	sim.now += 80 * sec
	require.Equal(t, []string{"job-2", "job-1", "job-0"}, sim.queue())
}

// The smaller rest goes first, of equal ones the earlier deadline.
func TestQueueOrderPutsSmallestRestsFirst(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	for i, due := range []float64{900, 1000, 800} {
		sim.addJob(fmt.Sprintf("job-%d", i), []int{20, 2, 20}[i], func(j *wire.Job) { j.DeadlineS, j.RuntimeEstimateS = &due, 10 })
	}
	require.Equal(t, []string{"job-1", "job-2", "job-0"}, sim.queue())
}

// queue lists the ids of the jobs in the scheduler's queue.
func (s *simulation) queue() (ids []string) {
	for _, j := range s.scheduler.schedulingOrder(s.now) {
		ids = append(ids, j.ID)
	}
	return ids
}
