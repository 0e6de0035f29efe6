package golden_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/console"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// stubController answers the operators' calls with fixed responses, over a real connection.
type stubController struct {
	teams  peer.TeamsResponse
	zones  peer.ZonesResponse
	hold   peer.ZoneHoldResponse
	events []history.Event
}

func (c *stubController) Teams(_ peer.TeamsRequest, out *peer.TeamsResponse) error {
	*out = c.teams
	return nil
}

func (c *stubController) Zones(_ peer.ZonesRequest, out *peer.ZonesResponse) error {
	*out = c.zones
	return nil
}

func (c *stubController) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	*out = c.hold
	out.Done = out.Done && in.Zone == "north"
	return nil
}

// History returns one event on each page. The first page reports two lost events.
func (c *stubController) History(in peer.HistoryRequest, out *history.Page) error {
	number := in.From
	if number == 0 {
		out.Lost, number = 2, 2
	}
	out.Events, out.Next = c.events[number-2:number-1], number+1
	out.More = int(out.Next-2) < len(c.events)
	return nil
}

// freeAddrs returns n different loopback addresses at which nothing listens. All of them are open before the first is
// closed: the system may otherwise give the same port twice, and an unreachable controller would share a reachable one's address.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	addrs := make([]string, n)
	for i := range addrs {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		addrs[i] = listener.Addr().String()
	}
	return addrs
}

// serveStubControllers starts servers for controllers a and b, and returns settings that name a, b and a third
// controller c, which is unreachable.
func serveStubControllers(t *testing.T, a, b *stubController) *config.Settings {
	t.Helper()
	settings := fullSettings(t)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	addrs := freeAddrs(t, 3)
	settings.PeerListen, settings.Peers[0].Addr, settings.Peers[1].Addr = addrs[0], addrs[1], addrs[2]
	for addr, c := range map[string]*stubController{settings.PeerListen: a, settings.Peers[0].Addr: b} {
		go peer.Serve(ctx, addr, c, nil) //nolint:errcheck // a failure shows in the calls
		require.Eventually(t, func() bool {
			conn, err := net.Dial("tcp4", addr)
			if err == nil {
				conn.Close()
			}
			return err == nil
		}, 5*time.Second, 2*time.Millisecond)
	}
	return settings
}

func newStubControllers() (a, b *stubController) {
	a = &stubController{
		teams: peer.TeamsResponse{Host: "a", Capacity: resources.Capacity(100, 8, 0), Yielded: 4,
			Teams: []peer.TeamStatus{{Team: "red", Term: 7, Guarantee: resources.Capacity(10, 0, 0),
				Limit: resources.Capacity(40, 0, 0), Used: resources.Capacity(12.5, 0, 0), Jobs: 2, Running: 6, Waiting: 9,
				Waits:    telemetry.Quantiles{Count: 3, P50: 1_500_000, P95: 2_000_000, P99: 2_100_000},
				Lateness: telemetry.Quantiles{Count: 1, P50: 100_000, P95: 200_000, P99: 300_000},
				Moves: []peer.MoveRecord{{Task: "job-7/3", From: "m-1", To: "m-2", Reason: "slow", Outcome: "made",
					Gain: 30_000_000, Cost: 4_500_000, Ago: 12_000_000}},
				Unmoved: []peer.DeclinedMoves{{Why: "gain below margin", Count: 5}}}},
			Standings: []fairshare.Standing{{Team: "red", Weight: 2, Share: 0.25, Taken: 0.125},
				{Team: "blue", Weight: 1, Share: 0.75, Taken: 0.5}}},
		zones: peer.ZonesResponse{Host: "a", On: true, Zones: []peer.ZoneStatus{{Zone: "north", State: "healthy", Machines: 99,
			Waiting: 2}}},
		events: []history.Event{
			{AtMS: 1000, Controller: "a", Kind: history.TaskRunning, Job: "job-7", Task: 3, Attempt: 1, Machine: "m-1", Zone: "north"},
			{AtMS: 9000, Controller: "a", Kind: history.TaskEnded, Job: "job-7", Task: 3, Attempt: 1, Machine: "m-1", Zone: "north",
				Note: "done"},
			{AtMS: 9500, Controller: "a", Kind: history.JobFinished, Job: "job-7", Note: "done"},
		},
	}
	b = &stubController{
		teams: peer.TeamsResponse{Host: "b", Capacity: resources.Capacity(50, 0, 0), Yielded: 1,
			Teams: []peer.TeamStatus{{Team: "red", Term: 6, Jobs: 99}}},
		zones: peer.ZonesResponse{Host: "b", On: true, Fleet: true, Zones: []peer.ZoneStatus{
			{Zone: "north", State: "returning", Stage: "urgent", Held: true, Machines: 10, Unheard: 1, Unsettled: 2, Waiting: 3,
				AtMS: 1_000, Why: "1 of 10 machines not heard"},
			{Zone: "south", State: "healthy", Machines: 7}}},
		hold: peer.ZoneHoldResponse{Done: true},
		events: []history.Event{
			{AtMS: 2500, Controller: "b", Kind: history.TaskRunning, Job: "job-7", Task: 3, Attempt: 2, Machine: "m-2", Zone: "south"},
			{AtMS: 8000, Controller: "b", Kind: history.TaskEnded, Job: "job-7", Task: 3, Attempt: 2, Machine: "m-2", Zone: "south",
				Note: "stopped"},
			{AtMS: 9600, Controller: "b", Kind: history.JobFinished, Job: "job-7", Note: "cancelled"},
		},
	}
	return a, b
}

// Operators and their scripts depend on the commands' output. The responses pass through a real connection between
// controllers, so a method or field whose name differs between client and server also shows in the output.
func TestCommandsOutputOfReachableControllersMatchesGoldenFile(t *testing.T) {
	a, b := newStubControllers()
	s := serveStubControllers(t, a, b)
	all := console.Controllers(s)
	var out bytes.Buffer
	recordError := func(what string, err error) {
		fmt.Fprintf(&out, "--- %s: error %v\n", what, err)
	}
	recordError("teams", console.Teams(&out, s, all, ""))
	recordError("teams red", console.Teams(&out, s, all, "red"))
	recordError("teams green", console.Teams(&out, s, all, "green"))
	recordError("zones", console.Zones(&out, all))
	recordError("zones of the first alone", console.Zones(&out, all[:1]))
	recordError("hold", console.HoldZone(&out, s, all, "north", true))
	recordError("resume", console.HoldZone(&out, s, all, "north", false))
	recordError("hold where no return is", console.HoldZone(&out, s, all, "south", true))
	recordError("hold unknown zone", console.HoldZone(&out, s, all, "west", true))
	recordError("teams, nobody reached", console.Teams(&out, s, all[2:], ""))
	fmt.Fprintf(&out, "placer of red: %q, of blue: %q\n", console.SchedulerOf(all, "red"), console.SchedulerOf(all, "blue"))
	file := filepath.Join(t.TempDir(), "h.parquet")
	recordError("export", console.ExportHistory(&out, all, file))
	recordError("check of two runs at once and two ends", console.CheckHistory(&out, file, 1000))
	recordError("export of the first alone", console.ExportHistory(&out, all[:1], file))
	recordError("check", console.CheckHistory(&out, file, 1000))
	goldenFile(t, "commands/operators.txt", []byte(strings.ReplaceAll(out.String(), file, "FILE")))
}

// With fair shares and zone return off, the table of teams must lack the columns of the shares, and the operator must
// see the reason for which the controllers reject a request word for word.
func TestCommandsOutputWithFeaturesOffMatchesGoldenFile(t *testing.T) {
	refusing := &stubController{teams: peer.TeamsResponse{Host: "a"}, zones: peer.ZonesResponse{Host: "a"},
		hold: peer.ZoneHoldResponse{Refusal: "zone states are off"}}
	s := serveStubControllers(t, refusing, refusing)
	all := console.Controllers(s)[:2]
	var out bytes.Buffer
	require.NoError(t, console.Teams(&out, s, all, ""))
	require.NoError(t, console.Zones(&out, all))
	require.EqualError(t, console.HoldZone(&out, s, all, "north", true), "zone states are off")
	goldenFile(t, "commands/operators_off.txt", out.Bytes())
}
