package partition

import (
	"fmt"
	"hash/fnv"
)

// Duty names the claim of a partition.
func Duty(part int) string { return fmt.Sprintf("part-%03d", part) }

// Partitioning tells which partition a machine belongs to. Those of a zone belong to
// partitions whose preferred controllers are in that zone: when it is cut off from
// the others, its machines stay with a controller that reaches them, and no other
// machines lose theirs. Machines of a zone without controllers go anywhere.
type Partitioning struct {
	all    []int
	byZone map[string][]int
}

// NewPartitioning splits the machines; zones holds the zone of each partition's preferred controller.
func NewPartitioning(zones []string) Partitioning {
	s := Partitioning{byZone: map[string][]int{}}
	for p, z := range zones {
		s.all = append(s.all, p)
		s.byZone[z] = append(s.byZone[z], p)
	}
	return s
}

// PartitionOf gives the partition of a machine.
func (s Partitioning) PartitionOf(machine, zone string) int {
	list := s.byZone[zone]
	if len(list) == 0 {
		list = s.all
	}
	h := fnv.New32a()
	h.Write([]byte(machine))
	return list[h.Sum32()%uint32(len(list))]
}
