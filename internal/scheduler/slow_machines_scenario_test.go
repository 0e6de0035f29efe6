package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// A machine on which tasks take twice as long as elsewhere must be quarantined; ordinary variation of run times must not cause a
// quarantine.
func TestSlowMachineIsQuarantined(t *testing.T) {
	for _, slow := range []bool{true, false} {
		sim := newSimulationWithLimit(t, 1, 2, 0)
		sim.runSteps(8)
		for i := range 6 {
			sim.addJob(fmt.Sprintf("job-%d", i), 12, nil)
		}
		startedIn := map[string]int{} // step in which each task was first seen
		for step := range 200 {
			sim.runSteps(1)
			for _, id := range sim.machineIDs {
				for _, task := range sim.workers[id].SortedTasks() {
					if _, ok := startedIn[task.Task]; !ok {
						startedIn[task.Task] = step
					}
					duration := 7 + step%4
					if slow && id == "m-1" {
						duration = 18
					}
					if task.Phase != wire.TaskExited && step-startedIn[task.Task] >= duration {
						task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
					}
				}
			}
		}
		require.Equal(t, slow, sim.scheduler.machines["m-1"].Sick)
		require.False(t, sim.scheduler.machines["m-0"].Sick)
	}
}
