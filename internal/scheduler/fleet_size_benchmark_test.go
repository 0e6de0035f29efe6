package scheduler

import (
	"fmt"
	"runtime"
	"testing"
)

// fleetSizes are the sizes at which time and memory are measured.
var fleetSizes = []int{1000, 2000, 4000}

// Rounds of decisions while nothing is free, and what the mirror of a fleet of 16 tasks a
// machine holds of memory.
func BenchmarkFleetSizes(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("round/%d", machines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d, _ := loadedScheduler(machines, 60)
			runtime.GC()
			runtime.ReadMemStats(&after)
			benchmarkRounds(b, d)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "held-B/machine")
		})
		b.Run(fmt.Sprintf("after-restart/%d", machines), func(b *testing.B) {
			benchmarkRounds(b, schedulerAfterRestart(machines))
		})
		b.Run(fmt.Sprintf("views/%d", machines), func(b *testing.B) { benchmarkViews(b, machines) })
	}
}
