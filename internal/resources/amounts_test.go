package resources

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestRoundsUpAndCapacityDown(t *testing.T) {
	for _, c := range []struct {
		wire              float64
		request, capacity int64
	}{
		{0, 0, 0},
		{8, 8_000_000, 8_000_000},
		{0.1, 100_000, 100_000},
		{0.1 + 0.2, 300_000, 300_000}, // 0.30000000000000004
		{0.7 * 3, 2_100_000, 2_100_000},
		{1.0 / 3, 333_334, 333_333},
		{1e9, 1_000_000_000_000_000, 1_000_000_000_000_000},
	} {
		require.Equal(t, Amounts{c.request, c.request, c.request}, Request(c.wire, c.wire, c.wire), "%v", c.wire)
		require.Equal(t, Amounts{c.capacity, c.capacity, c.capacity}, Capacity(c.wire, c.wire, c.wire), "%v", c.wire)
	}
}

func TestRequestOfWholeCapacityFits(t *testing.T) {
	for _, v := range []float64{0.1, 1.0 / 3 * 3, 0.7 * 3, 96, 1535.9} {
		require.True(t, Request(v, v, v).Fits(Capacity(v, v, v)), "%v", v)
	}
}

func TestFitsNeedsEachAmount(t *testing.T) {
	available := Amounts{CPU: 4, GPU: 1, Mem: 8}
	require.True(t, available.Fits(available))
	require.True(t, Amounts{}.Fits(available))
	for _, more := range []Amounts{{CPU: 5, GPU: 1, Mem: 8}, {CPU: 4, GPU: 2, Mem: 8}, {CPU: 4, GPU: 1, Mem: 9}} {
		require.False(t, more.Fits(available), "%+v", more)
	}
}

func TestSumsAreExact(t *testing.T) {
	task := Request(0.1, 0, 0.3)
	free := Capacity(64, 8, 512)
	used := task.Times(7)
	for range 7 {
		free = free.Minus(task)
	}
	require.Equal(t, Capacity(64, 8, 512), free.Plus(used))
	require.InDelta(t, 0.7, used.CPUs(), 1e-12)
	require.Equal(t, Amounts{CPU: -1}, Amounts{CPU: 1}.Minus(Amounts{CPU: 2}))
}
