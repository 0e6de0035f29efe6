package scheduler

import (
	"fmt"
	"runtime"
	"testing"
)

// fleetSizes are the sizes at which time and memory are measured.
var fleetSizes = []int{1000, 2000, 4000}

// Cycles of decisions while nothing is free, and the memory that the cached state of a fleet of 16 tasks a
// machine takes.
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
