package autoscaler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/tasklist"
	"github.com/merlinlatch/merlinlatch/wire"
)

// testInput returns the input of a plan with one machine type in two zones, and no instances.
func testInput() Input {
	return Input{
		Now:          1000 * sec,
		Instances:    map[string]Instance{},
		RefusedUntil: map[InstanceKind]clock.Micros{},
		MaxPerKind:   20,
		Types:        []wire.MachineType{bigType("a", "b")},
		Parameters:   Parameters{IdleScaleInDelay: 60 * sec, BootPatience: 3, CatchupSpot: 60 * sec, CatchupOnDemand: 150 * sec},
	}
}

// countBySpot returns how many spot and how many ordinary instances are requested.
func countBySpot(scaleOut []ScaleOut) (spot, ordinary int) {
	for _, r := range scaleOut {
		if r.Spot {
			spot += r.Count
		} else {
			ordinary += r.Count
		}
	}
	return spot, ordinary
}

// Machines that are up and instances that boot count as capacity, so that only the missing instances are requested.
func TestPlanRequestsMissingCapacity(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(8, nil)
	in.Views = []peer.MachineView{{ID: "m-1", Type: "big", Zone: "a", Usable: true, Cap: bigCapacity(), Free: bigCapacity()}}
	in.Instances["m-2"] = Instance{InstanceKind: InstanceKind{"big", "a", true}, ID: "m-2", Phase: wire.MachineBooting, RequestedAt: in.Now}
	scaleOut, scaleIn := Plan(in)
	spot, ordinary := countBySpot(scaleOut)
	require.Equal(t, 2, spot, "four machines are needed, of which one is up and one is booting")
	require.Zero(t, ordinary)
	require.Empty(t, scaleIn)
}

// A kind that was refused is not requested during its backoff, and ordinary instances are requested in its place. For
// tasks that must not run on spot instances, or that must run in one zone, only instances that they may use are
// requested.
func TestPlanAvoidsRefusedAndForbiddenKinds(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(4, nil)
	in.RefusedUntil[InstanceKind{"big", "a", true}] = in.Now + sec
	in.RefusedUntil[InstanceKind{"big", "b", true}] = in.Now + sec
	spot, ordinary := countBySpot(scaleOutOf(Plan(in)))
	require.Zero(t, spot)
	require.Equal(t, 2, ordinary)
	in = testInput()
	in.Demands = waitingDemand(4, func(d *peer.Demand) { d.Spot, d.Zone = false, "b" })
	scaleOut, _ := Plan(in)
	require.Equal(t, []ScaleOut{{InstanceKind{"big", "b", false}, 2}}, scaleOut)
}

// scaleOutOf returns the scale-out part of a plan.
func scaleOutOf(scaleOut []ScaleOut, _ []ScaleIn) []ScaleOut { return scaleOut }

// With economy, no instances are requested for work that the present machines complete within the time to catch up.
// Work with a near deadline gets more instances than work without one.
func TestPlanWithEconomyRequestsOnlyWhatIsUrgent(t *testing.T) {
	in := testInput()
	in.Parameters.Economy = true
	in.Views = []peer.MachineView{}
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		in.Views = append(in.Views, peer.MachineView{ID: id, Type: "big", Usable: true, Cap: bigCapacity()})
	}
	in.Demands = waitingDemand(3, nil)
	spot, _ := countBySpot(scaleOutOf(Plan(in)))
	require.Zero(t, spot)
	in.Demands = waitingDemand(20, nil)
	few, _ := countBySpot(scaleOutOf(Plan(in)))
	in.Demands = waitingDemand(20, func(d *peer.Demand) { d.Slack = 41 * sec })
	many, _ := countBySpot(scaleOutOf(Plan(in)))
	require.Less(t, few, many)
}

// Machines that are idle for too long, silent for too long, quarantined without tasks, failed, or did not come up are
// returned; those that are idle for a shorter time or still have tasks are not.
func TestPlanReturnsMachinesNoLongerNeeded(t *testing.T) {
	in := testInput()
	old := Instance{InstanceKind: InstanceKind{"big", "a", true}, Phase: wire.MachineBooting, RequestedAt: in.Now - 91*sec}
	in.Instances["m-5"], in.Instances["m-6"] = instanceAs(old, "m-5", ""), instanceAs(old, "m-6", wire.MachineFailed)
	lost := instanceAs(old, "m-3", wire.MachineRunning)
	lost.UnreachableSince = in.Now - 31*sec
	in.Instances["m-3"] = lost
	in.Views = []peer.MachineView{
		{ID: "m-1", Accounted: true, Usable: true, Idle: 61 * sec},
		{ID: "m-2", Accounted: true, Usable: true, Idle: 59 * sec},
		{ID: "m-3", Silent: true, Accounted: true},
		{ID: "m-4", Accounted: true, Sick: true},
		{ID: "m-7", Accounted: true, Sick: true, Count: 1},
		{ID: "m-8", Accounted: true, Idle: 61 * sec, Type: "big"}, // not usable now: kept for its type's boot time beyond IdleScaleInDelay
	}
	in.Instances["m-8"] = instanceAs(
		Instance{InstanceKind: InstanceKind{"big", "a", true}, HeartbeatSeen: true}, "m-8", wire.MachineRunning)
	_, scaleIn := Plan(in)
	ids := []string{}
	for _, r := range scaleIn {
		ids = append(ids, r.ID)
	}
	require.Equal(t, []string{"m-1", "m-3", "m-4", "m-5", "m-6"}, ids)
}

// instanceAs returns a copy of an instance with another id, and with another phase unless phase is empty.
func instanceAs(instance Instance, id, phase string) Instance {
	instance.ID = id
	if phase != "" {
		instance.Phase = phase
	}
	return instance
}

// With economy, waiting tasks keep only those idle machines into which they were packed. If they kept all, a large fleet,
// where some task waits all the time, would never return an idle machine.
func TestPlanWithEconomyReturnsIdleMachinesDespiteDemand(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(3, nil)
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		in.Views = append(in.Views, peer.MachineView{ID: id, Type: "big", Zone: "a", Usable: true, Accounted: true,
			Cap: bigCapacity(), Free: bigCapacity(), Idle: 90 * sec})
	}
	_, scaleIn := Plan(in)
	require.Empty(t, scaleIn, "without economy idle machines are kept while any task waits")
	in.Parameters.Economy = true
	_, scaleIn = Plan(in)
	require.Equal(t, []ScaleIn{{"m-3", "a", "idle"}, {"m-4", "a", "idle"}}, scaleIn)
}

// A partition of the network makes many machines silent for longer than their leases, while the cloud lists them as
// running. Each is kept for its boot time, and stays in use if it is reachable again by then. Otherwise a short
// partition would replace the whole fleet. A machine that is listed as failed is returned immediately.
func TestPlanKeepsSilentMachinesForBootTime(t *testing.T) {
	list := &instanceList{instances: map[string]Instance{}}
	in := testInput()
	views := func(silent bool) (out []peer.MachineView) {
		for id := range list.instances {
			out = append(out, peer.MachineView{ID: id, Type: "big", Zone: "a", Accounted: true, Usable: !silent, Silent: silent, Count: 1})
		}
		return out
	}
	for i := range 245 {
		id := fmt.Sprintf("m-%03d", i)
		list.instances[id] = Instance{InstanceKind: InstanceKind{"big", "a", true}, ID: id, Phase: wire.MachineRunning}
	}
	step := func(after clock.Micros, silent bool) []ScaleIn {
		in.Now += after
		in.Instances, in.Views = list.instances, views(silent)
		in.viewIndex = indexViews(nil, in.Views)
		list.observeViews(in.Views, in.viewIndex, in.Now)
		_, scaleIn := Plan(in)
		return scaleIn
	}
	require.Empty(t, step(0, false))
	require.Empty(t, step(sec, true))
	require.Empty(t, step(25*sec, true))
	require.Empty(t, step(sec, false), "the machines are reachable and in use again")
	require.Empty(t, step(sec, true), "the time of silence starts again")
	r := list.instances["m-007"]
	r.Phase = wire.MachineFailed
	list.instances["m-007"] = r
	require.Equal(t, []ScaleIn{{"m-007", "a", "failed"}}, step(28*sec, true))
	require.Len(t, step(3*sec, true), 245)
}

// A worker's heartbeat lists a limited number of tasks, so that many small tasks need more machines than their CPUs do.
func TestPlanRequestsMachinesForManySmallTasks(t *testing.T) {
	for _, economy := range []bool{false, true} {
		in := testInput()
		in.Parameters.Economy = economy
		in.Demands = waitingDemand(3000, func(d *peer.Demand) { d.Need = resources.Request(0.001, 0, 0.001) })
		spot, ordinary := countBySpot(scaleOutOf(Plan(in)))
		require.GreaterOrEqual(t, spot+ordinary, 3000/tasklist.PlannedTasks, "economy %v", economy)
	}
	in := testInput()
	in.Demands = waitingDemand(1, func(d *peer.Demand) { d.Need = resources.Request(0.001, 0, 0.001) })
	in.Views = []peer.MachineView{{ID: "m-1", Type: "big", Zone: "a", Usable: true, Cap: bigCapacity(), Free: bigCapacity(),
		Count: tasklist.PlannedTasks}}
	require.Len(t, scaleOutOf(Plan(in)), 1, "the list of the machine is full")
}

// With economy, work in one zone must not keep a job from its only zone, nor work on spot instances one that needs others: the machines
// that are up can't serve it, however many CPUs they have. It gets what its own work needs in its time to catch up.
func TestPlanWithEconomyRequestsInstancesThatNoOtherCanReplace(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*peer.Demand)
		instances int
	}{
		{"other zone", func(d *peer.Demand) { d.Zone = "b" }, 2},
		{"ordinary instances", func(d *peer.Demand) { d.Spot = false }, 1},
		{"any machine", nil, 0},
	} {
		in := testInput()
		in.Parameters.Economy = true
		for i := range 10 {
			in.Views = append(in.Views, peer.MachineView{ID: fmt.Sprintf("m-%d", i), Type: "big", Zone: "a", Spot: true, Usable: true,
				Cap: bigCapacity(), Count: 2})
		}
		in.Demands = waitingDemand(4, c.change)
		spot, ordinary := countBySpot(scaleOutOf(Plan(in)))
		require.Equal(t, c.instances, spot+ordinary, c.name)
	}
}
