package telemetry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Counter counts events since the start of the process, for WriteMetrics. It is safe for concurrent use; a nil Counter
// counts nothing.
type Counter struct{ counter *metrics.Counter }

// Inc counts one event.
func (c *Counter) Inc() { c.Add(1) }

// Add counts n events.
func (c *Counter) Add(n int) {
	if c != nil {
		c.counter.Add(n)
	}
}

// Value returns the number of events counted so far.
func (c *Counter) Value() uint64 {
	if c == nil {
		return 0
	}
	return c.counter.Get()
}

// Counter returns the counter called name, and creates it on the first call for that name. A name is in the Prometheus
// text format and may have labels. Counter returns nil for a nil Reporter.
func (r *Reporter) Counter(name string) *Counter {
	if r == nil {
		return nil
	}
	return &Counter{r.metrics.GetOrCreateCounter(name)}
}

// Summary records durations since the start of the process, for WriteMetrics. It is safe for concurrent use; a nil Summary
// records nothing.
type Summary struct{ summary *metrics.Summary }

// Record adds a duration, in seconds on the metrics page.
func (s *Summary) Record(duration clock.Micros) {
	if s != nil {
		s.summary.Update(duration.Seconds())
	}
}

// summaryWindow is the time over which a Summary's quantiles are computed.
const summaryWindow = 10 * time.Minute

// summaryQuantiles are the quantiles that a Summary shows.
var summaryQuantiles = []float64{0.5, 0.95, 0.99, 1}

// Summary returns the summary called name, and creates it on the first call for that name. Summary returns nil for a nil
// Reporter.
func (r *Reporter) Summary(name string) *Summary {
	if r == nil {
		return nil
	}
	return &Summary{r.metrics.GetOrCreateSummaryExt(name, summaryWindow, summaryQuantiles)}
}

// Gauge adds a metric called name, whose value is read with every WriteMetrics.
func (r *Reporter) Gauge(name string, value func() float64) {
	if r != nil {
		r.metrics.NewGauge(name, value)
	}
}

// WriteMetrics writes all counters, summaries and gauges in the Prometheus text format.
func (r *Reporter) WriteMetrics(w io.Writer) {
	if r != nil {
		r.metrics.WritePrometheus(w)
	}
}
