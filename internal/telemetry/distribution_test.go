package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

func TestDistributionQuantilesAreWithinResolution(t *testing.T) {
	var nilDistribution *Distribution
	nilDistribution.Record(clock.Second)
	require.Zero(t, nilDistribution.Quantiles())
	d := NewDistribution()
	require.Zero(t, d.Quantiles())
	for i := range 1000 {
		d.Record(clock.Micros(i+1) * 10 * clock.Millisecond)
	}
	q := d.Quantiles()
	require.EqualValues(t, 1000, q.Count)
	require.InEpsilon(t, float64(5*clock.Second), float64(q.P50), 0.01)
	require.InEpsilon(t, 9.5*float64(clock.Second), float64(q.P95), 0.01)
	require.InEpsilon(t, 9.9*float64(clock.Second), float64(q.P99), 0.01)
	sum := NewDistribution()
	sum.Add(d)
	sum.Add(d)
	sum.Add(nilDistribution)
	require.EqualValues(t, 2000, sum.Quantiles().Count)
	require.Equal(t, q.P95, sum.Quantiles().P95)
	d.Record(-clock.Second)
	d.Record(1000 * 3600 * clock.Second)
	require.InEpsilon(t, float64(maxDuration), float64(d.Quantiles().Max), 0.01, "a duration out of bounds counts as the bound")
}
