package partition

import (
	"fmt"
	"hash/fnv"
)

// Duty returns the name of the leadership of a partition.
func Duty(partition int) string { return fmt.Sprintf("part-%03d", partition) }

// Partitioning maps machines to partitions, by their zone and a hash of their id. The machines of a zone belong to
// partitions whose preferred leaders are in that zone. When the zone is cut off, its machines then stay with
// controllers that reach them, and machines of other zones keep their leaders. The machines of a zone without
// controllers are spread over all partitions.
type Partitioning struct {
	all    []int
	byZone map[string][]int
}

// NewPartitioning returns a partitioning. zones lists the zone of each partition's preferred leader.
func NewPartitioning(zones []string) Partitioning {
	p := Partitioning{byZone: map[string][]int{}}
	for partition, zone := range zones {
		p.all = append(p.all, partition)
		p.byZone[zone] = append(p.byZone[zone], partition)
	}
	return p
}

// PartitionOf returns the partition that a machine belongs to.
func (p Partitioning) PartitionOf(machine, zone string) int {
	list := p.byZone[zone]
	if len(list) == 0 {
		list = p.all
	}
	h := fnv.New32a()
	h.Write([]byte(machine))
	return list[h.Sum32()%uint32(len(list))]
}
