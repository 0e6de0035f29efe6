package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// Jobs that can still meet their deadline come first, then those that can meet the longer bound of an objective, and last those
// that can meet neither.
func TestQueueOrderFollowsLateness(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.scheduler.parameters.MaxDeadlineMultiples = map[string]float64{"sweep": 1.5}
	for i, due := range []float64{10, 70, 200} { // past the objective, past the deadline, on time
		sim.addJob(fmt.Sprintf("job-%d", i), 1, func(j *wire.Job) { j.Class, j.DeadlineS, j.RuntimeEstimateS = "sweep", &due, 10 })
	}
	sim.now += 80 * sec
	require.Equal(t, []string{"job-2", "job-1", "job-0"}, sim.queue())
}

// Among jobs with deadlines the one with the least waiting work comes first, and among equal ones the one with the earlier
// deadline, so that as many jobs as possible are in time.
func TestQueueOrderPutsLeastWaitingWorkFirst(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	for i, due := range []float64{900, 1000, 800} {
		sim.addJob(fmt.Sprintf("job-%d", i), []int{20, 2, 20}[i], func(j *wire.Job) { j.DeadlineS, j.RuntimeEstimateS = &due, 10 })
	}
	require.Equal(t, []string{"job-1", "job-2", "job-0"}, sim.queue())
}

// queue returns the ids of the queued jobs in scheduling order.
func (s *simulation) queue() (ids []string) {
	for _, j := range s.scheduler.schedulingOrder(s.now) {
		ids = append(ids, j.ID)
	}
	return ids
}
