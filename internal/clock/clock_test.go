package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConversionsKeepMicroseconds(t *testing.T) {
	require.Equal(t, 1500*Millisecond, FromSeconds(1.5))
	require.Equal(t, Micros(100_000), FromSeconds(0.1))
	require.Equal(t, Micros(1), FromSeconds(0.0000006), "to the nearest")
	require.InDelta(t, 24.25, (24*Second + 250*Millisecond).Seconds(), 0)
	require.Equal(t, Second, FromDuration(time.Second+999*time.Nanosecond), "towards zero")
	require.Equal(t, 27*time.Second, (27 * Second).Duration())
}

// A span shortened by LessDrift on one process's clock ends before the full span on any other's, and one lengthened by
// PlusDrift ends after it, for clocks of any permitted rates. Otherwise two processes could both believe that they
// hold the same lease.
func TestSpansWithDriftBoundTheSameSpanElsewhere(t *testing.T) {
	const lease = 24 * Second
	fastest, slowest := 1.0005, 0.9995 // extreme rates of monotonic clocks
	require.LessOrEqual(t, float64(lease.LessDrift())/slowest, float64(lease)/fastest)
	require.GreaterOrEqual(t, float64(lease.PlusDrift())/fastest*1.000001, float64(lease)/slowest, "to a millionth")
}

func TestMonotonicClockNeverShowsZero(t *testing.T) {
	c := NewMonotonic()
	first := c.Now()
	require.GreaterOrEqual(t, first, Second)
	require.GreaterOrEqual(t, c.Now(), first)
}
