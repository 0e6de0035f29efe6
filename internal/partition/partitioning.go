package partition

import (
	"fmt"
	"hash/fnv"
)

// Duty names the leadership of a partition.
func Duty(partition int) string { return fmt.Sprintf("part-%03d", partition) }

// Partitioning maps machines to partitions, by zone and a hash of the id. Machines of a zone belong to
// partitions whose preferred leaders are in that zone: when it is cut off from the others, its machines stay with a
// controller that reaches them, and no other machines lose theirs. Machines of a zone without controllers belong to
// any partition.
type Partitioning struct {
	all    []int
	byZone map[string][]int
}

// NewPartitioning makes a partitioning; zones holds the zone of each partition's preferred leader.
func NewPartitioning(zones []string) Partitioning {
	p := Partitioning{byZone: map[string][]int{}}
	for partition, zone := range zones {
		p.all = append(p.all, partition)
		p.byZone[zone] = append(p.byZone[zone], partition)
	}
	return p
}

// PartitionOf returns the partition of a machine.
func (p Partitioning) PartitionOf(machine, zone string) int {
	list := p.byZone[zone]
	if len(list) == 0 {
		list = p.all
	}
	h := fnv.New32a()
	h.Write([]byte(machine))
	return list[h.Sum32()%uint32(len(list))]
}
