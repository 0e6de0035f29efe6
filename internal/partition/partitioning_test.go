package partition

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A zone that is cut off keeps its machines with controllers that reach them; a zone without controllers has its
// machines spread over all.
func TestPartitionOfMachineIsInItsZone(t *testing.T) {
	s := NewPartitioning([]string{"a", "a", "b", "a", "b"})
	count := map[string]map[int]int{"a": {}, "b": {}, "c": {}}
	for zone, c := range count {
		for i := range 3000 {
			c[s.PartitionOf(fmt.Sprintf("m-%06d", i), zone)]++
		}
	}
	for zone, parts := range map[string][]int{"a": {0, 1, 3}, "b": {2, 4}, "c": {0, 1, 2, 3, 4}} {
		require.Len(t, count[zone], len(parts), zone)
		for _, p := range parts {
			require.InDelta(t, 3000/len(parts), count[zone][p], 300, "zone %s, partition %d", zone, p)
		}
	}
}
