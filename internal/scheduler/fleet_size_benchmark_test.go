package scheduler

import (
	"fmt"
	"runtime"
	"testing"
)

// fleetSizes are the numbers of machines for which time and memory are measured.
var fleetSizes = []int{1000, 2000, 4000}

// BenchmarkFleetSizes measures, by fleet size, scheduling cycles without free capacity and after a restart, poll responses with
// every machine, and the memory of the cached state of a fleet with 16 tasks per machine.
func BenchmarkFleetSizes(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("cycle/%d", machines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, _ := loadedScheduler(machines, 60)
			runtime.GC()
			runtime.ReadMemStats(&after)
			benchmarkCycles(b, s)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "held-B/machine")
		})
		b.Run(fmt.Sprintf("after-restart/%d", machines), func(b *testing.B) {
			benchmarkCycles(b, schedulerAfterRestart(machines))
		})
		b.Run(fmt.Sprintf("poll/%d", machines), func(b *testing.B) { benchmarkPolls(b, machines) })
	}
}
