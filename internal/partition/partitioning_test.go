package partition

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The machines of a zone must belong to partitions whose preferred leaders are in that zone, so that a zone that is
// cut off keeps controllers that reach its machines. The machines of a zone without controllers are spread over all
// partitions.
func TestPartitionOfMachineIsInItsZone(t *testing.T) {
	partitioning := NewPartitioning([]string{"a", "a", "b", "a", "b"})
	count := map[string]map[int]int{"a": {}, "b": {}, "c": {}}
	for zone, machines := range count {
		for i := range 3000 {
			machines[partitioning.PartitionOf(fmt.Sprintf("m-%06d", i), zone)]++
		}
	}
	for zone, parts := range map[string][]int{"a": {0, 1, 3}, "b": {2, 4}, "c": {0, 1, 2, 3, 4}} {
		require.Len(t, count[zone], len(parts), zone)
		for _, p := range parts {
			require.InDelta(t, 3000/len(parts), count[zone][p], 300, "zone %s, partition %d", zone, p)
		}
	}
}
