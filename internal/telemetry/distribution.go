package telemetry

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// A distribution covers durations from a millisecond to six hours with a precision of two significant digits.
const (
	resolution        = clock.Millisecond
	maxDuration       = 6 * 3600 * clock.Second
	significantDigits = 2
)

// Distribution counts durations in a histogram, which takes some 20 kB of memory. It is not safe for concurrent
// use. A nil Distribution counts nothing.
type Distribution struct{ histogram *hdrhistogram.Histogram }

// NewDistribution returns an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, int64(maxDuration/resolution), significantDigits)}
}

// Record counts a duration. It counts a duration of less than a millisecond as 0, and one of more than six hours
// as six hours.
func (d *Distribution) Record(duration clock.Micros) {
	if d == nil {
		return
	}
	duration = min(max(duration, 0), maxDuration)
	if err := d.histogram.RecordValue(int64(duration / resolution)); err != nil {
		panic(err) // impossible: the duration was limited to the histogram's bounds above
	}
}

// Add adds the durations that another distribution has counted.
func (d *Distribution) Add(other *Distribution) {
	if d != nil && other != nil {
		d.histogram.Merge(other.histogram)
	}
}

// Quantiles summarizes a distribution. Controllers send it to operators' commands, so the names and the order of its
// fields must not change.
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
		Max:   clock.Micros(d.histogram.Max()) * resolution,
	}
}

// quantile returns the duration that percent of the recorded durations do not exceed.
func (d *Distribution) quantile(percent float64) clock.Micros {
	return clock.Micros(d.histogram.ValueAtQuantile(percent)) * resolution
}
