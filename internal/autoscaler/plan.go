package autoscaler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// InstanceKind is what one scale-out request can ask for.
type InstanceKind struct {
	Type string
	Zone string
	Spot bool
}

// Instance is a machine that the cloud lists, or has just granted.
type Instance struct {
	InstanceKind
	ID    string
	Phase string
	Since clock.Micros // of the scale-out request, on our clock
	Up    bool         // its worker has sent a heartbeat
	Lost  clock.Micros // since when its worker is silent, or gone; 0: it is not
}

// Parameters of the plan.
type Parameters struct {
	Economy                  bool
	SpareShare               float64      // without economy: spare room, as a share of what is in use
	IdleScaleInDelay         clock.Micros // how long a machine is idle before it is returned
	BootPatience             float64      // how many boot times an instance may take to come up
	Catchup, CatchupOrdinary clock.Micros // with economy: waiting work is to be done in so long
}

// Input is what a plan is made from. Plan changes none of it.
type Input struct {
	Now        clock.Micros
	Types      []wire.MachineType
	Instances  map[string]Instance
	Views      []peer.MachineView
	Demands    []peer.Demand
	Refused    map[InstanceKind]clock.Micros // not to be requested until
	Parameters Parameters
	MaxCount   int             // machines of a kind requested in one plan
	Closed     map[string]bool // zones in which none are requested now

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

// ScaleOut is a decision to request instances of a kind.
type ScaleOut struct {
	InstanceKind
	Count int
}

// ScaleIn is a decision to return a machine.
type ScaleIn struct {
	ID, Zone string
	Reason   string
}

// planner is one run of Plan: the capacity at hand, the instances that are to be requested, and
// which bins have something to come.
type planner struct {
	Input
	types     map[string]wire.MachineType
	available []InstanceKind // that may be requested now, the cheapest first
	price     map[InstanceKind]float64
	requested map[InstanceKind]int // instances to request
	bins      []*bin               // capacity there is or will be
	viewBins  []bin                // of the machine of each view
	totalCPU  int64                // CPUs of all machines that may get tasks, in millionths
	usedCPU   int64                // and those in use
}

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

// newPlanner prepares a plan with no capacity yet.
func newPlanner(in Input) planner {
	if in.viewIndex == nil {
		in.viewIndex = indexViews(nil, in.Views)
	}
	p := planner{Input: in, types: map[string]wire.MachineType{}, requested: map[InstanceKind]int{}}
	for _, t := range in.Types {
		p.types[t.Name] = t
	}
	p.available, p.price = availableKinds(in)
	return p
}

// capacityOf is the capacity of a new machine of a type.
func (p *planner) capacityOf(typeName string) resources.Amounts {
	t := p.types[typeName]
	return resources.Capacity(t.CPUs, t.GPUs, t.MemGB)
}

// bootTime is how long a machine of a type takes to boot.
func (p *planner) bootTime(typeName string) clock.Micros {
	return clock.FromSeconds(p.types[typeName].BootS)
}
