package telemetry

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Resolution of a distribution: from a millisecond to six hours, two significant digits.
const (
	spanUnit          = clock.Millisecond
	maxSpan           = 6 * 3600 * clock.Second
	significantDigits = 2
)

// Distribution counts durations in a histogram of some 20 kB. It is not safe for concurrent use. A nil
// distribution counts nothing.
type Distribution struct{ histogram *hdrhistogram.Histogram }

// NewDistribution makes an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, int64(maxSpan/spanUnit), significantDigits)}
}

// Record counts a duration. Below a millisecond it counts as 0, above six hours as six hours.
func (d *Distribution) Record(span clock.Micros) {
	if d == nil {
		return
	}
	span = min(max(span, 0), maxSpan)
	if err := d.histogram.RecordValue(int64(span / spanUnit)); err != nil {
		panic(err) // impossible: the bounds above are the histogram's own
	}
}

// Add counts all that another distribution has counted.
func (d *Distribution) Add(other *Distribution) {
	if d != nil && other != nil {
		d.histogram.Merge(other.histogram)
	}
}

// Quantiles summarizes a distribution. The fields are wire format.
type Quantiles struct {
	Count              int64
	P50, P95, P99, Max clock.Micros
}

// Quantiles returns the quantiles of all durations recorded so far.
func (d *Distribution) Quantiles() Quantiles {
	if d == nil || d.histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: d.histogram.TotalCount(),
		P50:   d.quantile(50),
		P95:   d.quantile(95),
		P99:   d.quantile(99),
		Max:   clock.Micros(d.histogram.Max()) * spanUnit,
	}
}

// quantile returns one quantile, in percent.
func (d *Distribution) quantile(percent float64) clock.Micros {
	return clock.Micros(d.histogram.ValueAtQuantile(percent)) * spanUnit
}
