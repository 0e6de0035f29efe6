package console

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// controllerStub is a controller that answers by method; what it has no answer for is not reached.
func controllerStub(host string, answers map[string]func(in, out any)) Controller {
	return Controller{host, func(method string, in, out any, _ time.Duration) error {
		answer, ok := answers[method]
		if !ok {
			return peer.ErrUnavailable
		}
		answer(in, out)
		return nil
	}}
}

func zonesOf(a peer.ZonesResponse) map[string]func(in, out any) {
	return map[string]func(in, out any){"Zones": func(_, out any) { *out.(*peer.ZonesResponse) = a }}
}

// The holder of the fleet decides, so its view is shown; what waits is summed over all placers.
func TestZonesAsTheirDeciderSeesThem(t *testing.T) {
	a := peer.ZonesResponse{Host: "a", On: true, Zones: []peer.ZoneStatus{{Zone: "z", State: "healthy", Machines: 99, Waiting: 2}}}
	b := peer.ZonesResponse{Host: "b", On: true, Fleet: true, Zones: []peer.ZoneStatus{{Zone: "z", State: "returning", Stage: "urgent", Held: true,
		Machines: 10, Unheard: 1, Unsettled: 2, Waiting: 3, AtMS: 1_000, Why: "1 of 10 machines not heard"}}}
	var out bytes.Buffer
	require.NoError(t, Zones(&out, []Controller{controllerStub("a", zonesOf(a)), controllerStub("b", zonesOf(b)), controllerStub("c", nil)}))
	require.Equal(t, `ZONE  STATE      STAGE          MACHINES  NOT HEARD  NOT SETTLED  WAITS FOR A LATER STAGE  SINCE                 EVIDENCE
z     returning  urgent (held)  10        1          2            5                        1970-01-01T00:00:01Z  1 of 10 machines not heard
not reached: c
`, out.String())
	out.Reset()
	require.NoError(t, Zones(&out, []Controller{controllerStub("a", zonesOf(a))}))
	require.Contains(t, out.String(), "as a sees it: the controller that decides was not reached")
	require.ErrorIs(t, Zones(&out, []Controller{controllerStub("c", nil)}), ErrUnreachable)
}

func TestHoldingAReturnPlainly(t *testing.T) {
	set := &config.Settings{}
	set.Params.Zones = []string{"z"}
	hold := func(a peer.ZoneHoldResponse) Controller {
		return controllerStub("a", map[string]func(in, out any){"HoldZone": func(_, out any) { *out.(*peer.ZoneHoldResponse) = a }})
	}
	var out bytes.Buffer
	require.ErrorContains(t, HoldZone(&out, set, nil, "y", true), `there is no zone "y"`)
	require.ErrorIs(t, HoldZone(&out, set, []Controller{hold(peer.ZoneHoldResponse{})}, "z", true), ErrNoLeader)
	require.ErrorContains(t, HoldZone(&out, set, []Controller{hold(peer.ZoneHoldResponse{Refusal: "zone states are off"})}, "z", true), "zone states are off")
	require.ErrorIs(t, HoldZone(&out, set, []Controller{controllerStub("a", nil)}, "z", true), ErrUnreachable)
	require.Empty(t, out.String())
	require.NoError(t, HoldZone(&out, set, []Controller{hold(peer.ZoneHoldResponse{}), hold(peer.ZoneHoldResponse{Done: true})}, "z", true))
	require.Contains(t, out.String(), "the return of z stays at its stage")
}

// The history of all controllers that are reached is in one file, page after page, and the checker
// reads the same file.
func TestHistoryIsGatheredAndChecked(t *testing.T) {
	now := int64(0)
	ring := history.NewRing("a", 5000, func() int64 { now++; return now })
	for i := range 6000 {
		ring.Add(history.Event{Kind: history.JobOver, Job: string(rune('a' + i%20)), Note: "done"})
	}
	a := controllerStub("a", map[string]func(in, out any){"History": func(in, out any) {
		q := in.(peer.HistoryRequest)
		*out.(*history.Page) = ring.Page(q.From, q.Most)
	}})
	path := filepath.Join(t.TempDir(), "h.parquet")
	var out bytes.Buffer
	require.NoError(t, ExportHistory(&out, []Controller{a, controllerStub("b", nil)}, path))
	require.Contains(t, out.String(), "a keeps its latest 5000 events; 1000 earlier ones are gone")
	require.Contains(t, out.String(), "5000 events of 1 controllers")
	require.Contains(t, out.String(), "not reached: b")
	require.NoError(t, CheckHistory(&out, path, 1000))
	ring.Add(history.Event{Kind: history.JobOver, Job: "a", Note: "cancelled"})
	require.NoError(t, ExportHistory(&out, []Controller{a}, path))
	require.ErrorContains(t, CheckHistory(&out, path, 1000), "1 rules are broken")
	require.ErrorIs(t, ExportHistory(&out, []Controller{controllerStub("b", nil)}, path), ErrUnreachable)
}
