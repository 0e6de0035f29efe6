package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// Tasks take twice as long on one machine as on others: it is set aside. Where
// run times only vary, none is.
func TestSlowMachineIsQuarantined(t *testing.T) {
	for _, slow := range []bool{true, false} {
		sim := newSimulationWithLimit(t, 1, 2, 0)
		sim.runSteps(8)
		for i := range 6 {
			sim.addJob(fmt.Sprintf("job-%d", i), 12, nil)
		}
		began := map[string]int{}
		for step := range 200 {
			sim.runSteps(1)
			for _, id := range sim.machineIDs {
				for _, k := range sim.workers[id].InOrder() {
					if _, ok := began[k.Task]; !ok {
						began[k.Task] = step
					}
					lasts := 7 + step%4
					if slow && id == "m-1" {
						lasts = 18
					}
					if k.Phase != wire.TaskExited && step-began[k.Task] >= lasts {
						k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
					}
				}
			}
		}
		require.Equal(t, slow, sim.scheduler.machines["m-1"].Sick)
		require.False(t, sim.scheduler.machines["m-0"].Sick)
	}
}
