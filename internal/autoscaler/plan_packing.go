package autoscaler

import (
	"slices"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// bin is a machine's free capacity, present or to come, into which waiting tasks are packed.
type bin struct {
	kind     InstanceKind
	free     resources.Amounts
	reserved bool // something that waits is to go there
}

// place puts as many tasks of a demand into the bin as fit, at most limit, and gives their number.
func (b *bin) place(d *peer.Demand, limit int) int {
	if !d.Need.Fits(b.free) || !permits(d, b.kind) {
		return 0
	}
	n := limit
	for _, x := range [...]struct{ free, need int64 }{
		{b.free.CPU, d.Need.CPU},
		{b.free.GPU, d.Need.GPU},
		{b.free.Mem, d.Need.Mem},
	} {
		if x.need > 0 {
			n = min(n, int(x.free/x.need))
		}
	}
	b.free = b.free.Minus(d.Need.Times(int64(n)))
	b.reserved = b.reserved || n > 0
	return n
}

// permits reports whether tasks of a demand may run on a kind of instance.
func permits(d *peer.Demand, k InstanceKind) bool {
	return (!k.Spot || d.Spot) && (d.Zone == "" || d.Zone == k.Zone) && (len(d.Types) == 0 || slices.Contains(d.Types, k.Type))
}

// addViewedMachines makes bins of the free capacity of machines that may get tasks.
func (p *planner) addViewedMachines() {
	p.bins = make([]*bin, 0, len(p.Views))
	p.viewBins = make([]bin, len(p.Views))
	for i := range p.Views {
		v := &p.Views[i]
		if !v.Usable {
			continue
		}
		p.viewBins[i] = bin{kind: InstanceKind{v.Type, v.Zone, v.Spot}, free: v.Free}
		p.bins = append(p.bins, &p.viewBins[i])
		p.usedCPU += v.Cap.CPU - v.Free.CPU
		p.totalCPU += v.Cap.CPU
	}
}

// addBootingInstances makes bins of the instances that are granted and not up yet.
func (p *planner) addBootingInstances() {
	for _, r := range p.Instances {
		_, viewed := p.viewIndex[r.ID]
		_, known := p.types[r.Type]
		if !known || viewed || r.Up || r.Phase == wire.MachineFailed {
			continue
		}
		b := &bin{kind: r.InstanceKind, free: p.capacityOf(r.Type)}
		p.bins = append(p.bins, b)
		p.totalCPU += b.free.CPU
	}
}

// packDemands packs what waits into the bins, and adds instances for what is left.
func (p *planner) packDemands() {
	demands := packingOrder(p.Demands)
	for i := range demands {
		d := &demands[i]
		rest := packInto(p.bins, d, d.Waiting)
		for rest > 0 {
			b := p.addInstanceFor(d)
			if b == nil {
				break
			}
			rest -= b.place(d, rest)
		}
	}
}

// packingOrder is a copy of the demands, the highest priority and then the largest tasks first.
func packingOrder(demands []peer.Demand) []peer.Demand {
	ordered := slices.Clone(demands)
	sort.SliceStable(ordered, func(i, j int) bool {
		if ordered[i].Rank != ordered[j].Rank {
			return ordered[i].Rank > ordered[j].Rank
		}
		return ordered[i].Need.CPU > ordered[j].Need.CPU
	})
	return ordered
}

// packInto packs tasks of a demand into bins, in their order, and gives how many are left.
func packInto(bins []*bin, d *peer.Demand, waiting int) (rest int) {
	rest = waiting
	for _, b := range bins {
		if rest == 0 {
			break
		}
		rest -= b.place(d, rest)
	}
	return rest
}

// addInstanceFor adds an instance of the cheapest kind that serves a demand; nil when none does.
func (p *planner) addInstanceFor(d *peer.Demand) *bin {
	var best *InstanceKind
	for i := range p.available {
		k := &p.available[i]
		if !permits(d, *k) || !d.Need.Fits(p.capacityOf(k.Type)) || p.requested[*k] >= p.MaxCount {
			continue
		}
		if best == nil || p.cost(*k) < p.cost(*best) {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	p.requested[*best]++
	b := &bin{kind: *best, free: p.capacityOf(best.Type)}
	p.bins = append(p.bins, b)
	return b
}

// cost is a kind's price; of equals, the zone with fewer machines: the loss of one zone, or a wave of
// evictions in it, then takes fewer.
func (p *planner) cost(k InstanceKind) float64 {
	return p.price[k] + spreadWeight*float64(p.requested[k])
}
