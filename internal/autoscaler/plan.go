package autoscaler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// InstanceKind is the kind of instances that one scale-out request asks for.
type InstanceKind struct {
	Type string
	Zone string
	Spot bool
}

// Instance is a machine that the cloud lists, or has just granted.
type Instance struct {
	InstanceKind
	ID               string
	Phase            string
	RequestedAt      clock.Micros // time of the scale-out request, by this process's clock
	HeartbeatSeen    bool         // its worker has sent a heartbeat
	UnreachableSince clock.Micros // since when its worker is silent or no longer in the views; 0: it is reachable, or was never seen
}

// Parameters are the operators' settings of the plan. Economy limits scale-out to what is needed to complete the
// waiting work in time, and returns idle machines although other tasks wait.
type Parameters struct {
	Economy                      bool
	SpareShare                   float64      // without economy: spare capacity, as a share of the capacity in use
	IdleScaleInDelay             clock.Micros // how long a machine is idle before it is returned
	BootPatience                 float64      // after how many boot times an instance counts as failed to start
	CatchupSpot, CatchupOnDemand clock.Micros // with economy: time in which waiting work is to be done, for spot and on-demand instances
}

// Input is the state of the fleet from which a plan is made. Plan does not change it.
type Input struct {
	Now          clock.Micros
	Types        []wire.MachineType
	Instances    map[string]Instance
	Views        []peer.MachineView
	Demands      []peer.Demand
	RefusedUntil map[InstanceKind]clock.Micros // until when a kind is not requested, after a refusal
	Parameters   Parameters
	MaxPerKind   int             // bound on the machines of one kind that one plan requests
	ClosedZones  map[string]bool // zones in which no instances are requested at present

	// viewIndex maps machine ids to their positions in Views. Plan builds it if it is nil.
	viewIndex map[string]int
}

// indexViews fills and returns a map from machine ids to their positions in views. It reuses the map into unless
// that is nil.
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

// ScaleOut is a decision to request Count instances of a kind.
type ScaleOut struct {
	InstanceKind
	Count int
}

// ScaleIn is a decision to return a machine.
type ScaleIn struct {
	ID, Zone string
	Reason   string
}

// planner holds the state of one run of Plan: the capacity there is and will be, and the instances to request.
type planner struct {
	Input
	types     map[string]wire.MachineType
	available []InstanceKind           // kinds that may be requested now, the cheapest first
	price     map[InstanceKind]float64 // price of a CPU of each available kind, per hour, with a penalty; see availableKinds
	requested map[InstanceKind]int     // number of instances to request
	bins      []*bin                   // capacity there is or will be
	viewBins  []bin                    // the bins of the viewed machines, at the same positions as in Views
	present   map[InstanceKind]*cpuUse // CPUs of the usable machines and booting instances
}

// cpuUse is the CPUs of some machines, and those in use on them, in millionths.
type cpuUse struct{ total, used int64 }

func (u *cpuUse) add(total, used int64) { u.total, u.used = u.total+total, u.used+used }

// Plan decides which instances to request and which machines to return.
func Plan(in Input) (scaleOut []ScaleOut, scaleIn []ScaleIn) {
	p := newPlanner(in)
	p.addViewedMachines()
	p.addBootingInstances()
	p.packDemands()
	if p.Parameters.Economy {
		p.limitToCatchup()
	} else {
		p.addSpareCapacity()
	}
	return p.scaleOutRequests(), p.scaleInMachines()
}

// newPlanner returns a planner without bins.
func newPlanner(in Input) planner {
	if in.viewIndex == nil {
		in.viewIndex = indexViews(nil, in.Views)
	}
	p := planner{Input: in, types: map[string]wire.MachineType{}, requested: map[InstanceKind]int{}, present: map[InstanceKind]*cpuUse{}}
	for _, t := range in.Types {
		p.types[t.Name] = t
	}
	p.available, p.price = availableKinds(in)
	return p
}

// capacityOf returns the capacity of a new machine of a type.
func (p *planner) capacityOf(typeName string) resources.Amounts {
	t := p.types[typeName]
	return resources.Capacity(t.CPUs, t.GPUs, t.MemGB)
}

// bootTime returns how long a machine of a type takes to boot, by the catalog.
func (p *planner) bootTime(typeName string) clock.Micros {
	return clock.FromSeconds(p.types[typeName].BootS)
}
