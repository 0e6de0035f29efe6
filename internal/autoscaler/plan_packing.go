package autoscaler

import (
	"slices"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/tasklist"
	"github.com/merlinlatch/merlinlatch/wire"
)

// bin is the free capacity of a machine that exists, boots or is to be requested. Waiting tasks are packed into
// bins to find out how many more instances they need.
type bin struct {
	kind     InstanceKind
	free     resources.Amounts
	tasks    int  // tasks on the list that its worker reports, and those packed into the bin
	reserved bool // a waiting task was packed into the bin
}

// place packs as many tasks of a demand into the bin as fit, but at most limit, and returns their number.
func (b *bin) place(d *peer.Demand, limit int) int {
	if !d.Need.Fits(b.free) || !permits(d, b.kind) {
		return 0
	}
	n := min(limit, tasklist.FreeEntries(b.tasks, d.Need, b.free))
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
	b.tasks += n
	b.reserved = b.reserved || n > 0
	return n
}

// permits reports whether tasks of a demand may run on a kind of instance.
func permits(d *peer.Demand, k InstanceKind) bool {
	return (!k.Spot || d.Spot) && (d.Zone == "" || d.Zone == k.Zone) && (len(d.Types) == 0 || slices.Contains(d.Types, k.Type))
}

// canServe reports whether a new instance of a kind can run tasks of a demand.
func (p *planner) canServe(k InstanceKind, d *peer.Demand) bool {
	return permits(d, k) && d.Need.Fits(p.capacityOf(k.Type))
}

// addViewedMachines adds a bin with the free capacity of each machine that may get tasks.
func (p *planner) addViewedMachines() {
	p.bins = make([]*bin, 0, len(p.Views))
	p.viewBins = make([]bin, len(p.Views))
	for i := range p.Views {
		v := &p.Views[i]
		if !v.Usable {
			continue
		}
		kind := InstanceKind{v.Type, v.Zone, v.Spot}
		p.viewBins[i] = bin{kind: kind, free: v.Free, tasks: v.Count}
		p.bins = append(p.bins, &p.viewBins[i])
		p.presentOf(kind).add(v.Cap.CPU, v.Cap.CPU-v.Free.CPU)
	}
}

// presentOf returns the CPUs of the present machines of a kind, to be added to.
func (p *planner) presentOf(k InstanceKind) *cpuUse {
	use := p.present[k]
	if use == nil {
		use = &cpuUse{}
		p.present[k] = use
	}
	return use
}

// addBootingInstances adds a bin for each instance that is not in the views, whose worker has sent no heartbeat yet, and
// that the cloud does not list as failed.
func (p *planner) addBootingInstances() {
	for _, instance := range p.Instances {
		_, viewed := p.viewIndex[instance.ID]
		_, known := p.types[instance.Type]
		if !known || viewed || instance.HeartbeatSeen || instance.Phase == wire.MachineFailed {
			continue
		}
		b := &bin{kind: instance.InstanceKind, free: p.capacityOf(instance.Type)}
		p.bins = append(p.bins, b)
		p.presentOf(b.kind).add(b.free.CPU, 0)
	}
}

// packDemands packs the waiting tasks into the bins, and requests instances for those that fit in none.
func (p *planner) packDemands() {
	demands := packingOrder(p.Demands)
	for i := range demands {
		d := &demands[i]
		remaining := packInto(p.bins, d, d.Waiting)
		for remaining > 0 {
			b := p.addInstanceFor(d)
			if b == nil {
				break
			}
			remaining -= b.place(d, remaining)
		}
	}
}

// packingOrder returns a copy of the demands in the order of decreasing priority, and within a priority of
// decreasing CPUs of a task.
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

// packInto packs waiting tasks of a demand into the bins in turn, and returns the number of tasks that fit in none.
func packInto(bins []*bin, d *peer.Demand, waiting int) (remaining int) {
	remaining = waiting
	for _, b := range bins {
		if remaining == 0 {
			break
		}
		remaining -= b.place(d, remaining)
	}
	return remaining
}

// addInstanceFor adds an instance of the cheapest kind that a demand permits and its tasks fit, and returns its
// bin. It returns nil if there is no such kind, or MaxPerKind instances of each are to be requested already.
func (p *planner) addInstanceFor(d *peer.Demand) *bin {
	var best *InstanceKind
	for i := range p.available {
		k := &p.available[i]
		if !p.canServe(*k, d) || p.requested[*k] >= p.MaxPerKind {
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

// cost returns a kind's price per CPU with a small penalty for each of its instances to be requested. Among kinds of the
// same price the penalty spreads the instances over the zones, so that fewer of them are lost with one zone or by
// many evictions in it.
func (p *planner) cost(k InstanceKind) float64 {
	return p.price[k] + spreadWeight*float64(p.requested[k])
}
