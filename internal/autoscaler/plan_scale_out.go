package autoscaler

import (
	"math"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/tasklist"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// spreadWeight is what each instance of a kind adds to the price of another one. It is so small that it
	// decides only between kinds of the same price.
	spreadWeight = 1e-6
	// bootSlackFactor is the number of boot times that are subtracted from a task's slack before its deadline,
	// since some instances boot slower than the catalog says.
	bootSlackFactor = 1.5
	// minCatchupAfterBootS is the least time, in seconds after its boot, in which a new instance is assumed to
	// work on waiting tasks with a deadline.
	minCatchupAfterBootS = 10
	// minRunS is a lower bound, in seconds, on the run time of a task, since estimates may be missing or very short.
	minRunS = 5
	// cpuUnit is the number of units of resources.Amounts.CPU per CPU.
	cpuUnit = 1e6
)

// availableKinds returns the kinds that may be requested now, in the order of their prices per CPU, and these prices.
// Each price includes a small penalty for each instance of the kind, which puts zones with fewer instances first
// among kinds of the same price.
func availableKinds(in Input) ([]InstanceKind, map[InstanceKind]float64) {
	var list []InstanceKind
	price := map[InstanceKind]float64{}
	instances := map[InstanceKind]int{}
	for _, instance := range in.Instances {
		instances[instance.InstanceKind]++
	}
	for _, t := range in.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := InstanceKind{t.Name, zone, spot}
				p := t.Price
				if spot {
					p = t.SpotPrice
				}
				if in.Now < in.RefusedUntil[k] || p <= 0 || in.ClosedZones[zone] {
					continue
				}
				price[k] = p/max(t.CPUs, 1) + spreadWeight*float64(instances[k])
				list = append(list, k)
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return price[list[i]] < price[list[j]] })
	return list, price
}

// addSpareCapacity requests instances, up to MaxPerKind of each kind, until the free CPUs are at least SpareShare of the
// CPUs in use, so that new tasks need not wait for an instance to boot. The instances that packDemands requested are not
// counted.
func (p *planner) addSpareCapacity() {
	var present cpuUse
	for _, use := range p.present {
		present.add(use.total, use.used)
	}
	spare := int64(p.Parameters.SpareShare*float64(present.used)) - (present.total - present.used)
	for _, k := range p.available {
		cpu := p.types[k.Type].CPUs
		for spare > 0 && p.requested[k] < p.MaxPerKind && cpu > 0 {
			p.requested[k]++
			spare -= int64(cpu * cpuUnit)
		}
	}
}

// limitToCatchup reduces the requested instances to those without which the waiting work would not be completed within
// the time to catch up, or by its deadline if that is earlier. So with economy no instances are requested for work that
// the present machines complete in time. Work that only some of the present machines can run is also compared with these alone:
// otherwise it would get no machine while other work keeps the others up.
func (p *planner) limitToCatchup() {
	all := work{p.Demands, func(InstanceKind) bool { return true }}
	restricted := p.restrictedWork()
	for _, k := range p.available {
		if p.requested[k] == 0 {
			continue
		}
		t := p.types[k.Type]
		missing := p.missingCPUs(k, &all)
		for i := range restricted {
			if w := &restricted[i]; w.canRunOn(k) {
				missing = max(missing, p.missingCPUs(k, w))
			}
		}
		p.requested[k] = min(p.requested[k], max(0, int(math.Ceil(missing/t.CPUs))))
		// What is requested of a kind counts as present for the kinds after it.
		p.presentOf(k).add(int64(float64(p.requested[k])*t.CPUs*cpuUnit), 0)
	}
}

// work is waiting tasks that can run on the same kinds of instances.
type work struct {
	demands  []peer.Demand
	canRunOn func(InstanceKind) bool
}

// restrictedWork returns the waiting work that can't run on all present machines, grouped by the kinds on which it can.
func (p *planner) restrictedWork() []work {
	kinds := make([]InstanceKind, 0, len(p.present))
	for k := range p.present {
		kinds = append(kinds, k)
	}
	groups := map[string]int{}
	var list []work
	for i := range p.Demands {
		d := &p.Demands[i]
		key := make([]byte, len(kinds))
		unrestricted := true
		for n, k := range kinds {
			if p.canServe(k, d) {
				key[n] = 1
			} else {
				unrestricted = false
			}
		}
		if unrestricted {
			continue
		}
		group, known := groups[string(key)]
		if !known {
			group = len(list)
			groups[string(key)] = group
			list = append(list, work{canRunOn: func(k InstanceKind) bool { return p.canServe(k, d) }})
		}
		list[group].demands = append(list[group].demands, *d)
	}
	return list
}

// missingCPUs returns how many CPUs of instances of a kind the work needs beside those of the present machines that it can run on, to be
// completed in time.
func (p *planner) missingCPUs(k InstanceKind, w *work) float64 {
	var present cpuUse
	for kind, use := range p.present {
		if w.canRunOn(kind) {
			present.add(use.total, use.used)
		}
	}
	return p.requiredCPUs(p.types[k.Type], p.catchupS(k), w.demands, present.used) - float64(present.total)/cpuUnit
}

// catchupS returns the time, in seconds, within which waiting work is to be done. Instances of a kind are requested
// only if the work would take longer. The time for ordinary instances differs from that for spot instances.
func (p *planner) catchupS(k InstanceKind) float64 {
	if k.Spot {
		return p.Parameters.CatchupSpot.Seconds()
	}
	return p.Parameters.CatchupOnDemand.Seconds()
}

// requiredCPUs returns the number of CPUs that complete the running tasks on some machines, which use usedCPU millionths of
// their CPUs, and the waiting ones of some demands within catchupS seconds. Tasks
// with a deadline that is still ahead count with a shorter time where that is needed. It is not made shorter than an instance of
// type t takes to boot plus minCatchupAfterBootS, since requesting it would not help earlier. However little a task needs, it takes its
// share of the list that a machine's worker reports.
func (*planner) requiredCPUs(t wire.MachineType, catchupS float64, demands []peer.Demand, usedCPU int64) float64 {
	cpus := float64(usedCPU) / cpuUnit * meanRunTimeS(demands) / 2 / catchupS // running tasks are half done on average
	for i := range demands {
		d := &demands[i]
		withinS := catchupS
		if d.Slack > 0 {
			withinS = min(catchupS, max(d.Slack.Seconds()-t.BootS*bootSlackFactor, t.BootS+minCatchupAfterBootS))
		}
		cpus += max(d.Need.CPUs(), tasklist.MinCPUs(t.CPUs)) * max(d.RunFor.Seconds(), minRunS) * float64(d.Waiting) / withinS
	}
	return cpus
}

// meanRunTimeS returns the mean estimated run time of the waiting tasks, in seconds.
func meanRunTimeS(demands []peer.Demand) float64 {
	var total, tasks float64
	for i := range demands {
		d := &demands[i]
		total += d.RunFor.Seconds() * float64(d.Waiting)
		tasks += float64(d.Waiting)
	}
	return total / max(tasks, 1)
}

// scaleOutRequests splits the instances to request into requests of at most wire.MaxScaleOut instances, sorted by the
// names of types and zones, and with spot before ordinary instances. The comparison is not a total order: if
// the type and zone of a spot request sort after those of an ordinary one, the order of the two depends on the
// iteration order of the map.
func (p *planner) scaleOutRequests() []ScaleOut {
	var requests []ScaleOut
	for k, n := range p.requested {
		for ; n > 0; n -= wire.MaxScaleOut {
			requests = append(requests, ScaleOut{k, min(n, wire.MaxScaleOut)})
		}
	}
	sort.SliceStable(requests, func(i, j int) bool {
		x, y := requests[i], requests[j]
		return x.Type+x.Zone < y.Type+y.Zone || x.Spot && !y.Spot
	})
	return requests
}
