package telemetry

import (
	"runtime/metrics"
	"time"
)

// Names of the metrics that are read from the Go runtime.
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

// Runtime holds the Go runtime's metrics of this process at one moment. Amounts of memory are in bytes.
type Runtime struct {
	BusyCPU, GCCPU time.Duration // since the start; the Go runtime updates them at each garbage collection
	GCCycles       uint64
	AllocBytes     uint64
	Allocs         uint64
	HeapLive       uint64
	HeapGoal       uint64
	Held           uint64 // bytes that the runtime has mapped and not released to the operating system
	Stacks         uint64
	Goroutines     uint64
}

// runtimeReader reads the Go runtime's metrics. It reuses its samples, so that a reading does not allocate them.
type runtimeReader struct {
	samples  []metrics.Sample
	position map[string]int
}

func newRuntimeReader() *runtimeReader {
	names := []string{metricTotalCPU, metricIdleCPU, metricGCCPU, metricGCCycles, metricAllocBytes, metricAllocs,
		metricHeapLive, metricHeapGoal, metricMapped, metricReleased, metricStacks, metricGoroutines}
	r := &runtimeReader{samples: make([]metrics.Sample, len(names)), position: make(map[string]int, len(names))}
	for i, name := range names {
		r.samples[i].Name = name
		r.position[name] = i
	}
	return r
}

func (r *runtimeReader) readUint(name string) uint64 {
	v := r.samples[r.position[name]].Value
	if v.Kind() != metrics.KindUint64 {
		return 0
	}
	return v.Uint64()
}

func (r *runtimeReader) readDuration(name string) time.Duration {
	v := r.samples[r.position[name]].Value
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
