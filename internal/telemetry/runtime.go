package telemetry

import (
	"runtime/metrics"
	"time"
)

// Names of the Go runtime's metrics that are read.
const (
	metricTotalCPU   = "/cpu/classes/total:cpu-seconds"
	metricIdleCPU    = "/cpu/classes/idle:cpu-seconds"
	metricGCCPU      = "/cpu/classes/gc/total:cpu-seconds"
	metricGCCycles   = "/gc/cycles/total:gc-cycles"
	metricAllocBytes = "/gc/heap/allocs:bytes"
	metricAllocs     = "/gc/heap/allocs:objects"
	metricHeapLive   = "/gc/heap/live:bytes"
	metricHeapGoal   = "/gc/heap/goal:bytes"
	metricMapped     = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// Runtime is a reading of the Go runtime's metrics of this process.
type Runtime struct {
	BusyCPU, GCCPU time.Duration // since the start, as of the last collection
	GCCycles       uint64
	AllocBytes     uint64
	Allocs         uint64
	HeapLive       uint64
	HeapGoal       uint64
	Held           uint64 // bytes mapped by the runtime and not released
	Stacks         uint64
	Goroutines     uint64
}

// runtimeReader reads the runtime's metrics into the same samples each time.
type runtimeReader struct {
	samples []metrics.Sample
	index   map[string]int
}

func newRuntimeReader() *runtimeReader {
	names := []string{metricTotalCPU, metricIdleCPU, metricGCCPU, metricGCCycles, metricAllocBytes, metricAllocs,
		metricHeapLive, metricHeapGoal, metricMapped, metricReleased, metricStacks, metricGoroutines}
	r := &runtimeReader{samples: make([]metrics.Sample, len(names)), index: make(map[string]int, len(names))}
	for i, name := range names {
		r.samples[i].Name = name
		r.index[name] = i
	}
	return r
}

func (r *runtimeReader) readUint(name string) uint64 {
	v := r.samples[r.index[name]].Value
	if v.Kind() != metrics.KindUint64 {
		return 0
	}
	return v.Uint64()
}

func (r *runtimeReader) readDuration(name string) time.Duration {
	v := r.samples[r.index[name]].Value
	if v.Kind() != metrics.KindFloat64 {
		return 0
	}
	return time.Duration(v.Float64() * float64(time.Second))
}

func (r *runtimeReader) snapshot() Runtime {
	metrics.Read(r.samples)
	return Runtime{
		BusyCPU:    r.readDuration(metricTotalCPU) - r.readDuration(metricIdleCPU),
		GCCPU:      r.readDuration(metricGCCPU),
		GCCycles:   r.readUint(metricGCCycles),
		AllocBytes: r.readUint(metricAllocBytes),
		Allocs:     r.readUint(metricAllocs),
		HeapLive:   r.readUint(metricHeapLive),
		HeapGoal:   r.readUint(metricHeapGoal),
		Held:       r.readUint(metricMapped) - r.readUint(metricReleased),
		Stacks:     r.readUint(metricStacks),
		Goroutines: r.readUint(metricGoroutines),
	}
}
