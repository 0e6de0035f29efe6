package autoscaler

import (
	"math"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// spreadWeight is by how much each machine of a kind makes another one of it dearer. It
	// only decides between equals.
	spreadWeight = 1e-6
	// bootSlackFactor is how many boot times a task with a deadline must have left, since some
	// instances boot slower than the catalog says.
	bootSlackFactor = 1.5
	// minCatchupAfterBootS is the least time after boot for which a new instance is counted on, in seconds.
	minCatchupAfterBootS = 10
	// minRunS is the least run time counted of a task, in seconds: estimates may be missing or very short.
	minRunS = 5
	// cpuUnit is how many units of resources.Amounts.CPU a CPU has.
	cpuUnit = 1e6
)

// availableKinds lists the kinds that may be requested now, the cheapest CPU first, and their prices;
// of equals, the zone with fewer machines.
func availableKinds(in Input) ([]InstanceKind, map[InstanceKind]float64) {
	var list []InstanceKind
	price := map[InstanceKind]float64{}
	instances := map[InstanceKind]int{}
	for _, r := range in.Instances {
		instances[r.InstanceKind]++
	}
	for _, t := range in.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := InstanceKind{t.Name, zone, spot}
				p := t.Price
				if spot {
					p = t.SpotPrice
				}
				if in.Now < in.Refused[k] || p <= 0 || in.Closed[zone] {
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

// addSpareCapacity requests capacity ahead, as a share of what is in use.
func (p *planner) addSpareCapacity() {
	spare := int64(p.Parameters.SpareShare*float64(p.usedCPU)) - (p.totalCPU - p.usedCPU)
	for _, k := range p.available {
		cpu := p.types[k.Type].CPUs
		for spare > 0 && p.requested[k] < p.MaxCount && cpu > 0 {
			p.requested[k]++
			spare -= int64(cpu * cpuUnit)
		}
	}
}

// limitToCatchup keeps economical deployments from requesting instances for work that the machines at
// hand can do in time: together they do what waits within the time to catch
// up, or sooner where a deadline asks for it.
func (p *planner) limitToCatchup() {
	meanRunS := meanRunTimeS(p.Demands)
	added := 0.0 // CPUs of the kinds before
	for _, k := range p.available {
		if p.requested[k] == 0 {
			continue
		}
		t := p.types[k.Type]
		missing := p.requiredCPUs(t, p.catchupS(k), meanRunS) - float64(p.totalCPU)/cpuUnit - added
		p.requested[k] = min(p.requested[k], max(0, int(math.Ceil(missing/t.CPUs))))
		added += float64(p.requested[k]) * t.CPUs
	}
}

// catchupS is within how many seconds waiting work is to be done before instances of a kind are requested.
func (p *planner) catchupS(k InstanceKind) float64 {
	if k.Spot {
		return p.Parameters.Catchup.Seconds()
	}
	return p.Parameters.CatchupOrdinary.Seconds()
}

// requiredCPUs is how many CPUs do what runs and what waits within catchupS seconds, or by its
// deadline where an instance of type t would be up before that.
func (p *planner) requiredCPUs(t wire.MachineType, catchupS, meanRunS float64) float64 {
	cpus := float64(p.usedCPU) / cpuUnit * meanRunS / 2 / catchupS // what runs is half done
	for i := range p.Demands {
		d := &p.Demands[i]
		withinS := catchupS
		if d.Slack > 0 {
			withinS = min(catchupS, max(d.Slack.Seconds()-t.BootS*bootSlackFactor, t.BootS+minCatchupAfterBootS))
		}
		cpus += d.Need.CPUs() * max(d.RunFor.Seconds(), minRunS) * float64(d.Waiting) / withinS
	}
	return cpus
}

// meanRunTimeS is the mean run time of the tasks that wait, in seconds.
func meanRunTimeS(demands []peer.Demand) float64 {
	var total, tasks float64
	for i := range demands {
		d := &demands[i]
		total += d.RunFor.Seconds() * float64(d.Waiting)
		tasks += float64(d.Waiting)
	}
	return total / max(tasks, 1)
}

// scaleOutRequests splits what is to be requested into requests that the cloud takes, by the names of types
// and zones, spot instances first. The comparison is no total order: where spot requests are of a
// later type or zone than ordinary ones, which come first depends on the order of the map.
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
