package autoscaler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// A silent machine counts as an instance but not as up, and its CPUs don't count. Free CPUs beyond a multiple of what the
// largest waiting task needs count as fragmented.
func TestSummaryCountsReachableMachinesAndFragmentedCPUs(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(3, nil) // three tasks of 16 CPUs
	in.Instances["m-1"] = Instance{InstanceKind: InstanceKind{"big", "a", true}}
	in.Instances["m-2"] = Instance{InstanceKind: InstanceKind{"big", "a", false}}
	in.Views = []peer.MachineView{
		{ID: "m-1", Cap: bigCapacity(), Free: resources.Capacity(20, 0, 64)},
		{ID: "m-2", Cap: bigCapacity(), Free: bigCapacity(), Silent: true},
	}
	require.Equal(t, fleetSummary{
		up: 1, instances: 2, spot: 1, cpu: 32 * cpuUnit, usedCPU: 12 * cpuUnit, waitingCPU: 48 * cpuUnit, fragmentedCPU: 4 * cpuUnit,
	}, summarize(in))
}
