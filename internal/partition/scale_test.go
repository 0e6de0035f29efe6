package partition

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// BenchmarkFleetSizes measures the leader of a whole fleet: the memory that its state takes, its idle loop, a
// failover, and one page of its response to a poll for everything.
func BenchmarkFleetSizes(b *testing.B) {
	for _, machines := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprintf("idle-tick/%d", machines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := newLoadedServer(b, machines)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				l.idleTick()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "held-B/machine")
		})
		b.Run(fmt.Sprintf("take-over/%d", machines), func(b *testing.B) { benchmarkFailover(b, machines) })
		b.Run(fmt.Sprintf("page/%d", machines), func(b *testing.B) {
			l := newLoadedServer(b, machines)
			for b.Loop() {
				l.server.HandlePoll(peer.PollRequest{Most: peer.PageMachines})
			}
		})
	}
}
