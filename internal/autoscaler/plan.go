// Package fleet is the duty of renting and returning machines: one controller
// holds it, and decides from the demand that the placers report.
//
// Plan is the decision, plain code; Fleet does the I/O.
package autoscaler

import (
	"math"
	"slices"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// InstanceKind is what one rental request can ask for.
type InstanceKind struct {
	Type string
	Zone string
	Spot bool
}

// Instance is a machine that the cloud lists or has just rented to us.
type Instance struct {
	InstanceKind
	ID    string
	Phase string
	Since clock.Micros // of the rental request, on our clock
	Up    bool         // its worker has reported
	Lost  clock.Micros // since when its worker is silent, or gone; 0: it is not
}

// Parameters of the plan.
type Parameters struct {
	Economy                  bool
	SpareShare               float64
	IdleScaleInDelay         clock.Micros
	BootPatience             float64
	Catchup, CatchupOrdinary clock.Micros // with economy: waiting work is to be done in so long
}

// Input is what a plan is made from.
type Input struct {
	Now        clock.Micros
	Types      []wire.MachineType
	Instances  map[string]Instance
	Views      []peer.MachineView
	Demands    []peer.Demand
	Refused    map[InstanceKind]clock.Micros // not to be asked for until
	Parameters Parameters
	MaxCount   int             // machines of a kind asked for at once
	Closed     map[string]bool // zones in which none are rented now

	// viewIndex gives the place of a machine in Views. Plan makes it where it is not given.
	viewIndex map[string]int
}

// indexViews fills a map from machines to their places in a list of views.
func indexViews(into map[string]int, views []peer.MachineView) map[string]int {
	if into == nil {
		into = make(map[string]int, len(views))
	}
	clear(into)
	for i := range views {
		into[views[i].ID] = i
	}
	return into
}

// ScaleOut is a decision to rent.
type ScaleOut struct {
	InstanceKind
	Count int
}

// ScaleIn is a decision to give a machine back.
type ScaleIn struct {
	ID, Zone string
	Reason   string
}

type bin struct {
	kind     InstanceKind
	free     resources.Amounts
	reserved bool // something that waits is to go there
}

// place puts as many tasks of a demand into the bin as fit, at most so many.
func (b *bin) place(d *peer.Demand, most int) (n int) {
	if !d.Need.Fits(b.free) || !permits(d, b.kind) {
		return 0
	}
	n = most
	for _, x := range [3][2]int64{{b.free.CPU, d.Need.CPU}, {b.free.GPU, d.Need.GPU}, {b.free.Mem, d.Need.Mem}} {
		if x[1] > 0 {
			n = min(n, int(x[0]/x[1]))
		}
	}
	b.free = b.free.Minus(d.Need.Times(int64(n)))
	b.reserved = b.reserved || n > 0
	return n
}

func permits(d *peer.Demand, k InstanceKind) bool {
	return (!k.Spot || d.Spot) && (d.Zone == "" || d.Zone == k.Zone) && (len(d.Types) == 0 || slices.Contains(d.Types, k.Type))
}

// planner is one run of Plan: the machines at hand, those that are to be rented, and
// what is to go where.
type planner struct {
	Input
	types     map[string]wire.MachineType
	available []InstanceKind // that may be asked for now, the cheapest first
	price     map[InstanceKind]float64
	requested map[InstanceKind]int // machines to rent
	bins      []*bin               // room there is or will be
	viewBins  []bin                // of the machine of each view
	totalCPU  int64                // CPUs of all machines that may get tasks, in millionths
	usedCPU   int64                // and those in use
}

// Plan decides what to rent and what to return.
func Plan(in Input) (rentals []ScaleOut, returns []ScaleIn) {
	if in.viewIndex == nil {
		in.viewIndex = indexViews(nil, in.Views)
	}
	p := &planner{Input: in, types: map[string]wire.MachineType{}, requested: map[InstanceKind]int{}}
	for _, t := range in.Types {
		p.types[t.Name] = t
	}
	p.available, p.price = availableKinds(in)
	p.addViewedMachines()
	p.addBootingInstances()
	p.packDemands()
	if in.Parameters.Economy {
		limitToCatchup(in, p.requested, p.available, p.types, p.totalCPU, p.usedCPU)
	} else {
		p.addSpareCapacity()
	}
	return p.scaleOutRequests(), planScaleIn(in, p.types, p.viewBins)
}

// capacityOf is what a new machine of a type has to capacityOf.
func (p *planner) capacityOf(typeName string) resources.Amounts {
	t := p.types[typeName]
	return resources.Capacity(t.CPUs, t.GPUs, t.MemGB)
}

// addViewedMachines takes the room of machines that may get tasks.
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

// addBootingInstances takes the room of machines that are rented and not up yet.
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

// packDemands puts what waits where there is room, the highest rank and then the largest
// tasks first, and rents for what is left.
func (p *planner) packDemands() {
	demands := slices.Clone(p.Demands)
	sort.SliceStable(demands, func(a, b int) bool {
		if demands[a].Rank != demands[b].Rank {
			return demands[a].Rank > demands[b].Rank
		}
		return demands[a].Need.CPU > demands[b].Need.CPU
	})
	for i := range demands {
		d := &demands[i]
		rest := d.Waiting
		for _, b := range p.bins {
			if rest == 0 {
				break
			}
			rest -= b.place(d, rest)
		}
		for rest > 0 {
			b := p.addInstanceFor(d)
			if b == nil {
				break
			}
			rest -= b.place(d, rest)
		}
	}
}

// addInstanceFor adds a machine of the cheapest kind that serves a demand; nil when none does.
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

// cost is a kind's price; of equals, the zone with fewer machines: a wave takes fewer.
func (p *planner) cost(k InstanceKind) float64 {
	return p.price[k] + spreadWeight*float64(p.requested[k])
}

// spreadWeight is by how much each machine of a kind makes another one of it dearer. It
// only decides between equals.
const spreadWeight = 1e-6

// addSpareCapacity rents room ahead, as a share of what is in use.
func (p *planner) addSpareCapacity() {
	spare := int64(p.Parameters.SpareShare*float64(p.usedCPU)) - (p.totalCPU - p.usedCPU)
	for _, k := range p.available {
		cpu := p.types[k.Type].CPUs
		for spare > 0 && p.requested[k] < p.MaxCount && cpu > 0 {
			p.requested[k]++
			spare -= int64(cpu * 1e6)
		}
	}
}

// scaleOutRequests splits what is wanted into scaleOutRequests that the cloud takes, in a fixed order.
func (p *planner) scaleOutRequests() (out []ScaleOut) {
	for k, n := range p.requested {
		for ; n > 0; n -= wire.MaxScaleOut {
			out = append(out, ScaleOut{k, min(n, wire.MaxScaleOut)})
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		return out[a].Type+out[a].Zone < out[b].Type+out[b].Zone || out[a].Spot && !out[b].Spot
	})
	return out
}

// limitToCatchup keeps economical deployments from renting machines for work that those at
// hand can do in time: together they do what waits within the time to catch
// up, or sooner where a deadline asks for it.
func limitToCatchup(in Input, wants map[InstanceKind]int, open []InstanceKind, types map[string]wire.MachineType, have, used int64) {
	var run, n float64
	for _, d := range in.Demands {
		run += d.RunFor.Seconds() * float64(d.Waiting)
		n += float64(d.Waiting)
	}
	run /= max(n, 1)
	extra := 0.0
	for _, k := range open {
		if wants[k] == 0 {
			continue
		}
		t := types[k.Type]
		limit := in.Parameters.Catchup.Seconds()
		if !k.Spot {
			limit = in.Parameters.CatchupOrdinary.Seconds()
		}
		rate := float64(used) / 1e6 * run / 2 / limit // what runs is half done
		for _, d := range in.Demands {
			h := limit
			if d.Slack > 0 {
				h = min(limit, max(d.Slack.Seconds()-t.BootS*1.5, t.BootS+10))
			}
			rate += d.Need.CPUs() * max(d.RunFor.Seconds(), 5) * float64(d.Waiting) / h
		}
		missing := rate - float64(have)/1e6 - extra
		wants[k] = min(wants[k], max(0, int(math.Ceil(missing/t.CPUs))))
		extra += float64(wants[k]) * t.CPUs
	}
}

// availableKinds lists what may be asked for now, the cheapest CPU first, and its price;
// of equals, the zone with fewer machines.
func availableKinds(in Input) ([]InstanceKind, map[InstanceKind]float64) {
	var list []InstanceKind
	price := map[InstanceKind]float64{}
	have := map[InstanceKind]int{}
	for _, r := range in.Instances {
		have[r.InstanceKind]++
	}
	for _, t := range in.Types {
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := InstanceKind{t.Name, z, spot}
				p := t.Price
				if spot {
					p = t.SpotPrice
				}
				if in.Now < in.Refused[k] || p <= 0 || in.Closed[z] {
					continue
				}
				price[k] = p/max(t.CPUs, 1) + spreadWeight*float64(have[k])
				list = append(list, k)
			}
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return price[list[a]] < price[list[b]] })
	return list, price
}

// silentTooLong tells that the worker of a machine was silent for long enough to give
// the machine back. One that is dead is soon listed as failed; what is listed as
// running hangs or is cut off, and may be back sooner than another has booted.
func (r Instance) silentTooLong(now clock.Micros, types map[string]wire.MachineType) bool {
	return r.Lost != 0 && now >= r.Lost+clock.FromSeconds(types[r.Type].BootS)
}

// unusableTooLong tells that a machine which can't be used now, and so has nothing to do,
// was so for as long as another takes to boot: until then it may be back sooner.
func (r Instance) unusableTooLong(idle clock.Micros, types map[string]wire.MachineType) bool {
	return idle > clock.FromSeconds(types[r.Type].BootS)
}

// reasonIdle is the reason for which machines are given back that could be used.
const reasonIdle = "idle"

// planScaleIn decides which machines are of no more use. On a large fleet something
// waits at every moment, so with economy an idle machine is kept only for what is
// to go to that machine; without economy, for anything that waits.
func planScaleIn(in Input, types map[string]wire.MachineType, room []bin) (out []ScaleIn) {
	for i := range in.Views {
		v := &in.Views[i]
		wanted := v.Usable && len(in.Demands) > 0 && (room[i].reserved || !in.Parameters.Economy)
		r, listed := in.Instances[v.ID]
		switch {
		case r.Phase == wire.MachineFailed:
			out = append(out, ScaleIn{v.ID, v.Zone, "failed"})
		case v.Silent:
			if listed && r.silentTooLong(in.Now, types) {
				out = append(out, ScaleIn{v.ID, v.Zone, "silent for its whole lease"})
			}
		case v.Sick && v.Count == 0:
			out = append(out, ScaleIn{v.ID, v.Zone, "several jobs failed on it, or it is slow"})
		case v.Draining && v.Count == 0:
			out = append(out, ScaleIn{v.ID, v.Zone, "set aside for return"})
		case v.Accounted && v.Count == 0 && v.Idle > in.Parameters.IdleScaleInDelay && !wanted && (v.Usable || v.Noticed || r.unusableTooLong(v.Idle-in.Parameters.IdleScaleInDelay, types)):
			out = append(out, ScaleIn{v.ID, v.Zone, reasonIdle})
		}
	}
	for _, r := range in.Instances {
		if _, viewed := in.viewIndex[r.ID]; viewed {
			continue
		}
		age := in.Now - r.Since
		if r.Phase == wire.MachineFailed {
			out = append(out, ScaleIn{r.ID, r.Zone, "failed"})
		} else if r.Up {
			if !r.silentTooLong(in.Now, types) {
				continue
			}
			out = append(out, ScaleIn{r.ID, r.Zone, "its worker is gone"})
		} else if t, ok := types[r.Type]; ok && age.Seconds() > max(t.BootS, 5)*in.Parameters.BootPatience {
			out = append(out, ScaleIn{r.ID, r.Zone, "never came up"})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}
