package telemetry

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Interval is the time between two log events with the counters.
const Interval = 10 * time.Second

// Reporter holds a process's counters and logs them. It is safe for concurrent use, but only one goroutine may call
// Run. The zero value is not usable; a nil Reporter counts nothing.
type Reporter struct {
	log     *slog.Logger
	runtime *runtimeReader
	traffic [kindCount]Traffic
	metrics *metrics.Set

	mu     sync.Mutex // guards duties
	duties map[string]*Duty
}

// NewReporter returns a reporter that logs to log.
func NewReporter(log *slog.Logger) *Reporter {
	return &Reporter{log: log, runtime: newRuntimeReader(), metrics: metrics.NewSet(), duties: map[string]*Duty{}}
}

// Traffic returns the counters of one kind of traffic, nil for a nil Reporter.
func (r *Reporter) Traffic(k Kind) *Traffic {
	if r == nil {
		return nil
	}
	return &r.traffic[k]
}

// Duty returns the counters of the duty called name, and creates them on the first call for that name. It returns nil
// for a nil Reporter.
func (r *Reporter) Duty(name string) *Duty {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.duties[name]
	if d == nil {
		d = &Duty{}
		r.duties[name] = d
	}
	return d
}

// snapshot holds the values of all counters, except the duties', at one moment.
type snapshot struct {
	takenAt time.Time
	runtime Runtime
	process time.Duration
	traffic [kindCount]trafficTotals
}

func (r *Reporter) snapshot() snapshot {
	out := snapshot{takenAt: time.Now(), runtime: r.runtime.snapshot(), process: processTime()}
	for k := range r.traffic {
		out.traffic[k] = r.traffic[k].readTotals()
	}
	return out
}

// processTime returns the processor time that the operating system has accounted to this process, or 0 if it can't
// be read.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Run logs the counters every Interval until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	last := r.snapshot()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := r.snapshot()
		r.logProcess(ctx, last, now)
		last = now
	}
}

// logProcess logs the difference between two snapshots, and at the debug level the duties.
func (r *Reporter) logProcess(ctx context.Context, last, now snapshot) {
	const mb = 1 << 20
	span := now.takenAt.Sub(last.takenAt).Seconds()
	attrs := []slog.Attr{
		slog.Float64("span_s", span),
		slog.Int64("cpu_ms", (now.process - last.process).Milliseconds()),
		slog.Int64("busy_ms", (now.runtime.BusyCPU - last.runtime.BusyCPU).Milliseconds()),
		slog.Int64("gc_ms", (now.runtime.GCCPU - last.runtime.GCCPU).Milliseconds()),
		slog.Uint64("gc_cycles", now.runtime.GCCycles-last.runtime.GCCycles),
		slog.Uint64("allocs", now.runtime.Allocs-last.runtime.Allocs),
		slog.Uint64("alloc_mb", (now.runtime.AllocBytes-last.runtime.AllocBytes)/mb),
		slog.Uint64("heap_live_mb", now.runtime.HeapLive/mb),
		slog.Uint64("heap_goal_mb", now.runtime.HeapGoal/mb),
		slog.Uint64("held_mb", now.runtime.Held/mb),
		slog.Uint64("stacks_kb", now.runtime.Stacks/1024),
		slog.Uint64("goroutines", now.runtime.Goroutines),
	}
	for k := range kindCount {
		d := now.traffic[k].minus(last.traffic[k])
		if d.messages > 0 {
			attrs = append(attrs, slog.Group(k.String(), slog.Int64("messages", d.messages),
				slog.Int64("received", d.received), slog.Int64("sent", d.sent)))
		}
	}
	r.log.LogAttrs(ctx, slog.LevelInfo, "process", attrs...)
	if r.log.Enabled(ctx, slog.LevelDebug) {
		r.logDuties(ctx)
	}
}

// logDuties logs one event with all duties that had a round since the last call.
func (r *Reporter) logDuties(ctx context.Context) {
	r.mu.Lock()
	names := make([]string, 0, len(r.duties))
	for name := range r.duties {
		names = append(names, name)
	}
	r.mu.Unlock()
	sort.Strings(names)
	var attrs []slog.Attr
	for _, name := range names {
		s := r.Duty(name).readAndReset()
		if s.rounds > 0 {
			attrs = append(attrs, slog.Group(name, slog.Int64("rounds", s.rounds), slog.Int64("busy_us", s.busy.Microseconds()),
				slog.Int64("longest_us", s.longest.Microseconds()), slog.Int64("late_us", s.late.Microseconds())))
		}
	}
	r.log.LogAttrs(ctx, slog.LevelDebug, "duties", attrs...)
}
