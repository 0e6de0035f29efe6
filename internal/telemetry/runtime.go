package telemetry

import (
	"runtime/metrics"
	"time"
)

// The runtime's own metrics that are read, by their places among the samples.
const (
	totalCPU = iota
	idleCPU
	gcCPU
	gcCycles
	allocBytes
	allocs
	heapLive
	heapGoal
	mapped
	released
	stacks
	goroutines
)

var metricNames = [...]string{
	totalCPU:   "/cpu/classes/total:cpu-seconds",
	idleCPU:    "/cpu/classes/idle:cpu-seconds",
	gcCPU:      "/cpu/classes/gc/total:cpu-seconds",
	gcCycles:   "/gc/cycles/total:gc-cycles",
	allocBytes: "/gc/heap/allocs:bytes",
	allocs:     "/gc/heap/allocs:objects",
	heapLive:   "/gc/heap/live:bytes",
	heapGoal:   "/gc/heap/goal:bytes",
	mapped:     "/memory/classes/total:bytes",
	released:   "/memory/classes/heap/released:bytes",
	stacks:     "/memory/classes/heap/stacks:bytes",
	goroutines: "/sched/goroutines:goroutines",
}

// Runtime is a reading of what the Go runtime tells of this process.
type Runtime struct {
	BusyCPU, GCCPU time.Duration // since the start, as of the last collection
	GCCycles       uint64
	AllocBytes     uint64
	Allocs         uint64
	HeapLive       uint64
	HeapGoal       uint64
	Held           uint64 // bytes mapped by the runtime and not given back
	Stacks         uint64
	Goroutines     uint64
}

// runtimeReader reads the runtime's metrics into the same samples each time.
type runtimeReader struct {
	samples [len(metricNames)]metrics.Sample
}

func newRuntimeReader() *runtimeReader {
	r := &runtimeReader{}
	for i, name := range metricNames {
		r.samples[i].Name = name
	}
	return r
}

func (r *runtimeReader) count(metric int) uint64 {
	v := r.samples[metric].Value
	if v.Kind() != metrics.KindUint64 {
		return 0
	}
	return v.Uint64()
}

func (r *runtimeReader) span(metric int) time.Duration {
	v := r.samples[metric].Value
	if v.Kind() != metrics.KindFloat64 {
		return 0
	}
	return time.Duration(v.Float64() * float64(time.Second))
}

func (r *runtimeReader) read() Runtime {
	metrics.Read(r.samples[:])
	return Runtime{
		BusyCPU:    r.span(totalCPU) - r.span(idleCPU),
		GCCPU:      r.span(gcCPU),
		GCCycles:   r.count(gcCycles),
		AllocBytes: r.count(allocBytes),
		Allocs:     r.count(allocs),
		HeapLive:   r.count(heapLive),
		HeapGoal:   r.count(heapGoal),
		Held:       r.count(mapped) - r.count(released),
		Stacks:     r.count(stacks),
		Goroutines: r.count(goroutines),
	}
}
