package autoscaler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

const sec = clock.Second

func testInput() Input {
	return Input{Now: 1000 * sec, Instances: map[string]Instance{}, Refused: map[InstanceKind]clock.Micros{}, MaxCount: 20,
		Types:      []wire.MachineType{{Name: "big", CPUs: 32, MemGB: 128, Price: 1.2, SpotPrice: 0.4, BootS: 30, Zones: []string{"a", "b"}}},
		Parameters: Parameters{IdleScaleInDelay: 60 * sec, BootPatience: 3, Catchup: 60 * sec, CatchupOrdinary: 150 * sec}}
}

func waitingDemand(n int, change func(*peer.Demand)) []peer.Demand {
	d := peer.Demand{Need: resources.Request(16, 0, 32), Waiting: n, Spot: true, RunFor: 60 * sec, Rank: 1}
	if change != nil {
		change(&d)
	}
	return []peer.Demand{d}
}

func countBySpot(rentals []ScaleOut) (spot, ordinary int) {
	for _, h := range rentals {
		if h.Spot {
			spot += h.Count
		} else {
			ordinary += h.Count
		}
	}
	return spot, ordinary
}

func TestRentsWhatIsMissing(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(8, nil)
	in.Views = []peer.MachineView{{ID: "m-1", Type: "big", Zone: "a", Usable: true, Cap: resources.Capacity(32, 0, 128), Free: resources.Capacity(32, 0, 128)}}
	in.Instances["m-2"] = Instance{InstanceKind: InstanceKind{"big", "a", true}, ID: "m-2", Phase: wire.MachineBooting, Since: in.Now}
	rentals, returns := Plan(in)
	spot, ordinary := countBySpot(rentals)
	require.Equal(t, 2, spot, "four machines are needed, one is up and one on its way")
	require.Zero(t, ordinary)
	require.Empty(t, returns)
}

// What was refused is not asked for again at once; ordinary machines are the
// hedge, and the only choice for jobs that must not use spot ones.
func TestRefusalsAndKinds(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(4, nil)
	in.Refused[InstanceKind{"big", "a", true}] = in.Now + sec
	in.Refused[InstanceKind{"big", "b", true}] = in.Now + sec
	spot, ordinary := countBySpot(scaleOutOf(Plan(in)))
	require.Zero(t, spot)
	require.Equal(t, 2, ordinary)
	in = testInput()
	in.Demands = waitingDemand(4, func(d *peer.Demand) { d.Spot, d.Zone = false, "b" })
	rentals, _ := Plan(in)
	require.Equal(t, []ScaleOut{{InstanceKind{"big", "b", false}, 2}}, rentals)
}

func scaleOutOf(h []ScaleOut, _ []ScaleIn) []ScaleOut { return h }

// With economy, work that can wait is done by the machines at hand; work whose
// deadline is near is not left waiting.
func TestEconomy(t *testing.T) {
	in := testInput()
	in.Parameters.Economy = true
	in.Views = []peer.MachineView{}
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		in.Views = append(in.Views, peer.MachineView{ID: id, Type: "big", Usable: true, Cap: resources.Capacity(32, 0, 128)})
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

func TestReturns(t *testing.T) {
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
		{ID: "m-8", Accounted: true, Idle: 61 * sec, Type: "big"}, // gets nothing now: not idle by choice
	}
	in.Instances["m-8"] = instanceAs(Instance{InstanceKind: InstanceKind{"big", "a", true}, Up: true}, "m-8", wire.MachineRunning)
	_, returns := Plan(in)
	ids := []string{}
	for _, r := range returns {
		ids = append(ids, r.ID)
	}
	require.Equal(t, []string{"m-1", "m-3", "m-4", "m-5", "m-6"}, ids)
}

func instanceAs(r Instance, id, phase string) Instance {
	r.ID = id
	if phase != "" {
		r.Phase = phase
	}
	return r
}

// On a large fleet something waits all the time. Under economy that keeps the
// machines it is to go to, and not all others.
func TestIdleMachinesGoBackAlthoughSomethingWaits(t *testing.T) {
	in := testInput()
	in.Demands = waitingDemand(3, nil)
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		in.Views = append(in.Views, peer.MachineView{ID: id, Type: "big", Zone: "a", Usable: true, Accounted: true,
			Cap: resources.Capacity(32, 0, 128), Free: resources.Capacity(32, 0, 128), Idle: 90 * sec})
	}
	_, returns := Plan(in)
	require.Empty(t, returns, "without economy they are kept while anything waits")
	in.Parameters.Economy = true
	_, returns = Plan(in)
	require.Equal(t, []ScaleIn{{"m-3", "a", "idle"}, {"m-4", "a", "idle"}}, returns)
}

// Many machines are cut off for longer than their leases. They are silent then, but
// listed as running: each is kept for as long as another would take to boot, and
// used when it is back. One that is listed as failed goes at once.
func TestMachinesThatAreCutOffAreWaitedFor(t *testing.T) {
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
		_, returns := Plan(in)
		return returns
	}
	require.Empty(t, step(0, false))
	require.Empty(t, step(sec, true))
	require.Empty(t, step(25*sec, true))
	require.Empty(t, step(sec, false), "back, and used")
	require.Empty(t, step(sec, true), "counted anew")
	r := list.instances["m-007"]
	r.Phase = wire.MachineFailed
	list.instances["m-007"] = r
	require.Equal(t, []ScaleIn{{"m-007", "a", "failed"}}, step(28*sec, true))
	require.Len(t, step(3*sec, true), 245)
}
