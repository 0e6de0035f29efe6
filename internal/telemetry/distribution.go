package telemetry

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Bounds of what a distribution tells apart: a millisecond to six hours, two digits.
const (
	spanUnit          = clock.Millisecond
	maxSpan           = 6 * 3600 * clock.Second
	significantDigits = 2
)

// Distribution counts spans in a histogram of some 20 kB. It is not safe for use by several
// goroutines at a time. A nil distribution counts nothing.
type Distribution struct{ histogram *hdrhistogram.Histogram }

// NewDistribution makes an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, int64(maxSpan/spanUnit), significantDigits)}
}

// Record counts a span. What is below a millisecond counts as none, what is above six
// hours as six hours.
func (d *Distribution) Record(span clock.Micros) {
	if d == nil {
		return
	}
	span = min(max(span, 0), maxSpan)
	if err := d.histogram.RecordValue(int64(span / spanUnit)); err != nil {
		panic(err) // the bounds above are the histogram's own
	}
}

// Add counts all that another distribution has counted.
func (d *Distribution) Add(other *Distribution) {
	if d != nil && other != nil {
		d.histogram.Merge(other.histogram)
	}
}

// Quantiles sums a distribution up.
type Quantiles struct {
	Count              int64
	P50, P95, P99, Max clock.Micros
}

// Quantiles gives the quantiles of all spans recorded so far.
func (d *Distribution) Quantiles() Quantiles {
	if d == nil || d.histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(percent float64) clock.Micros {
		return clock.Micros(d.histogram.ValueAtQuantile(percent)) * spanUnit
	}
	return Quantiles{Count: d.histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: clock.Micros(d.histogram.Max()) * spanUnit}
}
