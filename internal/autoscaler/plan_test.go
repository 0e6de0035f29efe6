package autoscaler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// testInput is an input with one machine type in two zones, and no instances.
func testInput() Input {
	return Input{
		Now:        1000 * sec,
		Instances:  map[string]Instance{},
		Refused:    map[InstanceKind]clock.Micros{},
		MaxCount:   20,
		Types:      []wire.MachineType{bigType("a", "b")},
		Parameters: Parameters{IdleScaleInDelay: 60 * sec, BootPatience: 3, Catchup: 60 * sec, CatchupOrdinary: 150 * sec},
	}
}

// countBySpot counts the requested spot and ordinary instances.
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

func TestPlanRequestsMissingCapacity(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(8, nil)
	in.Views = []peer.MachineView{{ID: "m-1", Type: "big", Zone: "a", Usable: true, Cap: bigCapacity(), Free: bigCapacity()}}
	in.Instances["m-2"] = Instance{InstanceKind: InstanceKind{"big", "a", true}, ID: "m-2", Phase: wire.MachineBooting, Since: in.Now}
	scaleOut, scaleIn := Plan(in)
	spot, ordinary := countBySpot(scaleOut)
	require.Equal(t, 2, spot, "four machines are needed, one is up and one on its way")
	require.Zero(t, ordinary)
	require.Empty(t, scaleIn)
}

// A kind that was refused is not requested during its backoff; ordinary instances are the
// fallback, and the only choice for jobs that must not use spot ones.
func TestPlanAvoidsRefusedAndForbiddenKinds(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(4, nil)
	in.Refused[InstanceKind{"big", "a", true}] = in.Now + sec
	in.Refused[InstanceKind{"big", "b", true}] = in.Now + sec
	spot, ordinary := countBySpot(scaleOutOf(Plan(in)))
	require.Zero(t, spot)
	require.Equal(t, 2, ordinary)
	in = testInput()
	in.Demands = waitingDemand(4, func(d *peer.Demand) { d.Spot, d.Zone = false, "b" })
	scaleOut, _ := Plan(in)
	require.Equal(t, []ScaleOut{{InstanceKind{"big", "b", false}, 2}}, scaleOut)
}

// scaleOutOf is the first half of a plan.
func scaleOutOf(scaleOut []ScaleOut, _ []ScaleIn) []ScaleOut { return scaleOut }

// With economy, work that can wait is done by the machines at hand; work whose
// deadline is near is not left waiting.
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

func TestPlanReturnsMachinesOfNoUse(t *testing.T) {
	in := testInput()
	old := Instance{InstanceKind: InstanceKind{"big", "a", true}, Phase: wire.MachineBooting, Since: in.Now - 91*sec}
	in.Instances["m-5"], in.Instances["m-6"] = instanceAs(old, "m-5", ""), instanceAs(old, "m-6", wire.MachineFailed)
	lost := instanceAs(old, "m-3", wire.MachineRunning)
	lost.Lost = in.Now - 31*sec
	in.Instances["m-3"] = lost
	in.Views = []peer.MachineView{
		{ID: "m-1", Accounted: true, Usable: true, Idle: 61 * sec},
		{ID: "m-2", Accounted: true, Usable: true, Idle: 59 * sec},
		{ID: "m-3", Silent: true, Accounted: true},
		{ID: "m-4", Accounted: true, Sick: true},
		{ID: "m-7", Accounted: true, Sick: true, Count: 1},
		{ID: "m-8", Accounted: true, Idle: 61 * sec, Type: "big"}, // gets nothing now: it may be usable sooner than another has booted
	}
	in.Instances["m-8"] = instanceAs(Instance{InstanceKind: InstanceKind{"big", "a", true}, Up: true}, "m-8", wire.MachineRunning)
	_, scaleIn := Plan(in)
	ids := []string{}
	for _, r := range scaleIn {
		ids = append(ids, r.ID)
	}
	require.Equal(t, []string{"m-1", "m-3", "m-4", "m-5", "m-6"}, ids)
}

// instanceAs copies an instance under another id, and in another phase where one is given.
func instanceAs(r Instance, id, phase string) Instance {
	r.ID = id
	if phase != "" {
		r.Phase = phase
	}
	return r
}

// On a large fleet something waits all the time. Under economy that keeps the
// machines it is to go to, and not all others.
func TestPlanWithEconomyReturnsIdleMachinesDespiteDemand(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(3, nil)
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		in.Views = append(in.Views, peer.MachineView{ID: id, Type: "big", Zone: "a", Usable: true, Accounted: true,
			Cap: bigCapacity(), Free: bigCapacity(), Idle: 90 * sec})
	}
	_, scaleIn := Plan(in)
	require.Empty(t, scaleIn, "without economy they are kept while anything waits")
	in.Parameters.Economy = true
	_, scaleIn = Plan(in)
	require.Equal(t, []ScaleIn{{"m-3", "a", "idle"}, {"m-4", "a", "idle"}}, scaleIn)
}

// Many machines are cut off for longer than their leases. They are silent then, but
// listed as running: each is kept for as long as another would take to boot, and
// used when it is reachable again. One that is listed as failed is returned immediately.
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
	require.Empty(t, step(sec, false), "reachable again, and used")
	require.Empty(t, step(sec, true), "the silence is counted anew")
	r := list.instances["m-007"]
	r.Phase = wire.MachineFailed
	list.instances["m-007"] = r
	require.Equal(t, []ScaleIn{{"m-007", "a", "failed"}}, step(28*sec, true))
	require.Len(t, step(3*sec, true), 245)
}
