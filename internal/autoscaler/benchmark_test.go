package autoscaler

import (
	"fmt"
	"testing"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// BenchmarkFleetSizes measures one plan for a fleet that is mostly in use, with sixty waiting demands of 100 tasks.
func BenchmarkFleetSizes(b *testing.B) {
	for _, machines := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprintf("plan/%d", machines), func(b *testing.B) {
			in := Input{Now: 1000 * clock.Second, Instances: map[string]Instance{}, MaxPerKind: 200,
				Types: []wire.MachineType{{Name: "big", CPUs: 32, MemGB: 64, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"a"}}}}
			kind := InstanceKind{"big", "a", true}
			for i := range machines {
				id := fmt.Sprintf("m-%06d", i)
				in.Instances[id] = Instance{
					InstanceKind: kind, ID: id, Phase: wire.MachineRunning, RequestedAt: clock.Second, HeartbeatSeen: true,
				}
				in.Views = append(in.Views, peer.MachineView{ID: id, Type: "big", Zone: "a", Spot: true, Cap: resources.Capacity(32, 0, 64),
					Free: resources.Capacity(float64(i%3), 0, 8), Accounted: true, Usable: true, Count: 4})
			}
			for i := range 60 {
				in.Demands = append(in.Demands, peer.Demand{Need: resources.Request(float64(2+i%4), 0, 2), Spot: true, Rank: 1,
					Waiting: 100, RunFor: 30 * clock.Second})
			}
			b.ReportAllocs()
			for b.Loop() {
				in.viewIndex = nil
				Plan(in)
			}
		})
	}
}
