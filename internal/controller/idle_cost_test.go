package controller

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// idleAllocations is what three controllers allocate in ten seconds in which nothing happens.
func idleAllocations(t *testing.T, machines int) (allocations uint64) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, machines)
		c.runFor(8*time.Second, 0) // all machines are known and on record
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		time.Sleep(10 * time.Second)
		runtime.ReadMemStats(&after)
		for _, h := range hosts {
			require.True(t, c.processes[h].elector.LeaseValid(), "the controllers are at work")
		}
		allocations = after.Mallocs - before.Mallocs
	})
	return allocations
}

// Seconds in which nothing happens cost the same on a small fleet and on one eight times as large.
func TestIdleAllocationsAreIndependentOfFleetSize(t *testing.T) {
	small, large := idleAllocations(t, 12), idleAllocations(t, 96)
	t.Log(small, large)
	require.NotZero(t, small)
	require.LessOrEqual(t, large, small+small/20)
}
