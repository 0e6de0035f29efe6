package console

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

func zonesController(host string, response peer.ZonesResponse) Controller {
	return controllerWith(host, "Zones", response)
}

// Only the fleet's leader decides on the states of zones, and other controllers' views may differ from its view. The
// table must show the leader's view, add up the waiting tasks of all schedulers, and say when the leader is missing.
func TestZonesShowsViewOfFleetLeader(t *testing.T) {
	a := peer.ZonesResponse{Host: "a", On: true, Zones: []peer.ZoneStatus{{Zone: "z", State: "healthy", Machines: 99, Waiting: 2}}}
	b := peer.ZonesResponse{Host: "b", On: true, Fleet: true, Zones: []peer.ZoneStatus{{
		Zone: "z", State: "returning", Stage: "urgent", Held: true,
		Machines: 10, Unheard: 1, Unsettled: 2, Waiting: 3, AtMS: 1_000, Why: "1 of 10 machines not heard",
	}}}
	const want = `ZONE  STATE      STAGE          MACHINES  NOT HEARD  NOT SETTLED  WAITS FOR A LATER STAGE  SINCE                 EVIDENCE
z     returning  urgent (held)  10        1          2            5                        1970-01-01T00:00:01Z  1 of 10 machines not heard
not reached: c
`
	var out bytes.Buffer
	require.NoError(t, Zones(&out, []Controller{zonesController("a", a), zonesController("b", b), controllerDown("c")}))
	require.Equal(t, want, out.String())
	out.Reset()
	require.NoError(t, Zones(&out, []Controller{zonesController("a", a)}))
	require.Contains(t, out.String(), "as a sees it: the controller that decides was not reached")
	require.ErrorIs(t, Zones(&out, []Controller{controllerDown("c")}), ErrUnreachable)
}

func TestHoldZoneFailsUnlessOneControllerActs(t *testing.T) {
	settings := settingsOfZone("z")
	responding := func(r peer.ZoneHoldResponse) Controller { return controllerWith("a", "HoldZone", r) }
	notLeader := responding(peer.ZoneHoldResponse{})
	rejecting := responding(peer.ZoneHoldResponse{Refusal: "zone states are off"})
	leader := responding(peer.ZoneHoldResponse{Done: true})
	var out bytes.Buffer
	require.ErrorContains(t, HoldZone(&out, settings, nil, "y", true), `there is no zone "y"`)
	require.ErrorIs(t, HoldZone(&out, settings, []Controller{notLeader}, "z", true), ErrNoLeader)
	require.ErrorContains(t, HoldZone(&out, settings, []Controller{rejecting}, "z", true), "zone states are off")
	require.ErrorIs(t, HoldZone(&out, settings, []Controller{controllerDown("a")}, "z", true), ErrUnreachable)
	require.Empty(t, out.String())
	require.NoError(t, HoldZone(&out, settings, []Controller{notLeader, leader}, "z", true))
	require.Contains(t, out.String(), "the return of z stays at its stage")
}
