package autoscaler

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// cloud answers as the protocol's page says, on loopback.
type cloud struct {
	mu       sync.Mutex
	names    []string
	returned []string
	listed   []wire.Instance
	answer   func(wire.ScaleOutRequest) (int, any)
}

func (c *cloud) handle(_ context.Context, r *httpx.Request) httpx.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, v := 200, any(nil)
	switch {
	case r.Path == wire.PathCatalog:
		v = wire.Catalog{Types: []wire.MachineType{{Name: "big", CPUs: 32, MemGB: 128, Price: 1.2, SpotPrice: 0.4, BootS: 30, Zones: []string{"a"}}}}
	case r.Path == wire.PathScaleIn:
		var h wire.HostList
		json.Unmarshal(r.Body, &h) //nolint:errcheck // a bad one returns nothing
		c.returned = append(c.returned, h.Hosts...)
		v = h
	case r.Method == "GET":
		v = wire.InstancePage{Instances: c.listed}
	default:
		var h wire.ScaleOutRequest
		json.Unmarshal(r.Body, &h) //nolint:errcheck // a bad one has no name
		c.names = append(c.names, h.Name)
		status, v = c.answer(h)
	}
	b, _ := json.Marshal(v)
	return httpx.Response{Status: status, Body: b}
}

// with reads or changes the cloud between calls.
func (c *cloud) with(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// others stands for the controllers.
type others struct {
	demands []peer.Demand
	views   []peer.MachineView
	ready   []string
	gone    []string
	records map[string]int64
}

func (o *others) RecordedBefore(at int64) (out []peer.MachineRef) {
	for id, w := range o.records {
		if w < at {
			out = append(out, peer.MachineRef{ID: id})
		}
	}
	return out
}

func (o *others) Demands(context.Context) []peer.Demand { return o.demands }
func (o *others) MachineViews(to []peer.MachineView) []peer.MachineView {
	return append(to, o.views...)
}
func (o *others) Drain(_ context.Context, _ []peer.MachineRef) []string { return o.ready }
func (o *others) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	for _, m := range list {
		o.gone = append(o.gone, m.ID)
	}
}

type held struct{ term uint64 }

func (h *held) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: h.term}}, h.term > 0
}

func newFleet(t *testing.T) (*Autoscaler, *cloud, *others, *held) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	c := &cloud{answer: func(h wire.ScaleOutRequest) (int, any) { return 200, wire.HostList{Hosts: []string{"m-" + h.Name}} }}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	srv := httpx.NewServer(c.handle, nil, 8, 1<<20, time.Minute, quiet)
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() { over <- srv.Run(ctx, addr) }()
	t.Cleanup(func() {
		stop()
		<-over
	})
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			conn.Close()
		}
		return err == nil
	}, time.Minute, 5*time.Millisecond)
	o, h := &others{}, &held{term: 3}
	f := New(Options{Cloud: NewCloudClient(addr, 10_000, 1<<20), Elections: h, Store: &fakes.KVClient{KVStore: fakes.NewKVStore()}, Controllers: o,
		Clock: clock.NewSteady(), WallClock: time.Now, Parameters: Parameters{IdleScaleInDelay: 60 * clock.Second, BootPatience: 3},
		Backoff: 12 * clock.Second, ListLag: 8 * clock.Second, ClockSkew: clock.Second,
		StoredCatalog: func() wire.Catalog { return wire.Catalog{} }, Log: quiet})
	f.begin(3)
	return f, c, o, h
}

// A rental request's name is never used again, not by the next holder either.
func TestRequestNamesAreNeverReused(t *testing.T) {
	f, c, o, h := newFleet(t)
	o.demands = waiting(2, nil)
	for term := uint64(3); term < 5; term++ {
		h.term = term
		f.begin(term)
		for range 3 {
			f.rented = map[string]Instance{} // as if none had come
			f.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: term}})
		}
	}
	c.with(func() {
		seen := map[string]bool{}
		for _, n := range c.names {
			require.False(t, seen[n], n)
			seen[n] = true
		}
		require.GreaterOrEqual(t, len(c.names), 6)
	})
}

// What the cloud can't give is asked of another kind at once, and not again for a while.
func TestNoCapacity(t *testing.T) {
	f, c, o, _ := newFleet(t)
	o.demands = waiting(2, nil)
	kinds := []bool{}
	c.with(func() {
		c.answer = func(h wire.ScaleOutRequest) (int, any) {
			kinds = append(kinds, h.Spot)
			if h.Spot {
				return 503, wire.Error{Error: "no capacity"}
			}
			return 200, wire.HostList{Hosts: []string{"m-1"}}
		}
	})
	f.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.with(func() { require.Equal(t, []bool{true, false}, kinds) })
	f.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.with(func() {
		require.Equal(t, []bool{true, false}, kinds, "the machine is on its way, though the list lags")
	})
}

// A machine that nobody expected is on the list: it is given back when it is idle,
// but only once its owner has set it aside.
func TestUnexpectedMachines(t *testing.T) {
	f, c, o, _ := newFleet(t)
	c.with(func() {
		c.listed = []wire.Instance{{ID: "m-7", Type: "big", Zone: "a", Phase: wire.MachineRunning, AgeS: 500}}
	})
	o.views = []peer.MachineView{{ID: "m-7", Type: "big", Zone: "a", Accounted: true, Usable: true, Idle: 90 * clock.Second}}
	f.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.with(func() { require.Empty(t, c.returned, "its owner has not set it aside") })
	o.ready = []string{"m-7"}
	f.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.with(func() { require.Equal(t, []string{"m-7"}, c.returned) })
	require.Equal(t, []string{"m-7"}, o.gone)
}

// Odd answers of the cloud lead to nothing but another try.
func TestOddAnswersOfTheCloud(t *testing.T) {
	f, c, o, _ := newFleet(t)
	o.demands = waiting(2, nil)
	for _, a := range []func(wire.ScaleOutRequest) (int, any){
		func(wire.ScaleOutRequest) (int, any) { return 429, nil },
		func(wire.ScaleOutRequest) (int, any) { return 503, wire.Error{Error: "trouble"} },
		func(wire.ScaleOutRequest) (int, any) { return 200, "what?" },
		func(wire.ScaleOutRequest) (int, any) { return 500, strings.Repeat("x", 300) },
	} {
		c.with(func() { c.answer = a })
		f.refused = map[InstanceKind]clock.Micros{}
		f.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
		require.Empty(t, f.rented)
	}
}

// hands is a clock that the test moves.
type hands struct{ now clock.Micros }

func (h *hands) Now() clock.Micros { return h.now }

// A machine that was on the list and is on a later one no more is gone, sooner
// than its worker's lease would tell. A list that may be older than the first
// sight of it proves nothing, nor does one that never had it.
func TestOffTheListIsGone(t *testing.T) {
	f, c, o, _ := newFleet(t)
	at := &hands{100 * clock.Second}
	f.clock = at
	see := func(list ...wire.Instance) {
		c.with(func() { c.listed = list })
		require.NoError(t, f.list(t.Context()))
	}
	kept := wire.Instance{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	taken := wire.Instance{ID: "m-2", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	f.rented["m-9"], f.listedAt["m-9"] = Instance{ID: "m-9"}, at.now // rented just now
	see(kept, taken)
	at.now += 16 * clock.Second // the list may lag twice its 8 s
	see(kept)
	require.Empty(t, o.gone, "a list of before the first sight")
	see(kept, taken)
	at.now += 2 * clock.Second
	see(kept)
	require.Equal(t, []string{"m-2"}, o.gone)
	require.Contains(t, f.rented, "m-9")
}

// A new holder's first list: a machine that was recorded long before it and is
// not on it is gone, and its owner need not wait for it. One recorded lately may
// not be listed yet.
func TestRecordedAndOffTheListIsGone(t *testing.T) {
	f, c, o, _ := newFleet(t)
	now := time.UnixMilli(1_800_000_000_000)
	f.wall = func() time.Time { return now }
	o.records = map[string]int64{"m-1": now.UnixMilli() - 60_000, "m-2": now.UnixMilli() - 60_000, "m-3": now.UnixMilli() - 17_000}
	c.with(func() { c.listed = []wire.Instance{{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}} })
	require.NoError(t, f.list(t.Context()))
	require.Equal(t, []string{"m-2"}, o.gone)
}

// A cloud that has nothing of a kind is asked once in a while; one that gives
// all it is asked for is asked for twice as much the next time.
func TestRequestsGrowWithWhatIsGiven(t *testing.T) {
	f, _, _, _ := newFleet(t)
	k := InstanceKind{"big", "a", true}
	many := make([]ScaleOut, 20)
	for i := range many {
		many[i] = ScaleOut{k, 1}
	}
	f.atOnce = 8
	for _, want := range []int{2, 4, 8, 8} {
		got := f.some(many)
		require.Len(t, got, want)
		f.rent(t.Context(), got)
	}
	f.refused = map[InstanceKind]clock.Micros{}
	f.rent(t.Context(), []ScaleOut{{k, 2}}) // one comes of two
	require.Len(t, f.some(many), 1)
}
