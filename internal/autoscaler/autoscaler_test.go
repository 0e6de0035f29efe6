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

// fakeCloud answers as the protocol's page says, on loopback.
type fakeCloud struct {
	mu           sync.Mutex
	requestNames []string
	returned     []string
	instances    []wire.Instance
	answer       func(wire.ScaleOutRequest) (int, any)
}

func (c *fakeCloud) handle(_ context.Context, r *httpx.Request) httpx.Response {
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
		v = wire.InstancePage{Instances: c.instances}
	default:
		var h wire.ScaleOutRequest
		json.Unmarshal(r.Body, &h) //nolint:errcheck // a bad one has no name
		c.requestNames = append(c.requestNames, h.Name)
		status, v = c.answer(h)
	}
	b, _ := json.Marshal(v)
	return httpx.Response{Status: status, Body: b}
}

// withLock reads or changes the cloud between calls.
func (c *fakeCloud) withLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// fakeControllers stands for the controllers.
type fakeControllers struct {
	demands []peer.Demand
	views   []peer.MachineView
	ready   []string
	gone    []string
	records map[string]int64
}

func (o *fakeControllers) RecordedBefore(at int64) (out []peer.MachineRef) {
	for id, w := range o.records {
		if w < at {
			out = append(out, peer.MachineRef{ID: id})
		}
	}
	return out
}

func (o *fakeControllers) Demands(context.Context) []peer.Demand { return o.demands }
func (o *fakeControllers) MachineViews(to []peer.MachineView) []peer.MachineView {
	return append(to, o.views...)
}
func (o *fakeControllers) Drain(_ context.Context, _ []peer.MachineRef) []string { return o.ready }
func (o *fakeControllers) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	for _, m := range list {
		o.gone = append(o.gone, m.ID)
	}
}

type fakeElections struct{ term uint64 }

func (h *fakeElections) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: h.term}}, h.term > 0
}

func newTestAutoscaler(t *testing.T) (*Autoscaler, *fakeCloud, *fakeControllers, *fakeElections) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	c := &fakeCloud{answer: func(h wire.ScaleOutRequest) (int, any) { return 200, wire.HostList{Hosts: []string{"m-" + h.Name}} }}
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
	o, h := &fakeControllers{}, &fakeElections{term: 3}
	a := New(Options{Cloud: NewCloudClient(addr, 10_000, 1<<20), Elections: h, Store: &fakes.KVClient{KVStore: fakes.NewKVStore()}, Controllers: o,
		Clock: clock.NewSteady(), WallClock: time.Now, Parameters: Parameters{IdleScaleInDelay: 60 * clock.Second, BootPatience: 3},
		Backoff: 12 * clock.Second, ListLag: 8 * clock.Second, ClockSkew: clock.Second,
		StoredCatalog: func() wire.Catalog { return wire.Catalog{} }, Log: quiet})
	a.startTerm(3)
	return a, c, o, h
}

// A rental request's name is never used again, not by the next holder either.
func TestRequestNamesAreNeverReused(t *testing.T) {
	a, c, o, h := newTestAutoscaler(t)
	o.demands = waitingDemand(2, nil)
	for term := uint64(3); term < 5; term++ {
		h.term = term
		a.startTerm(term)
		for range 3 {
			a.list.instances = map[string]Instance{} // as if none had come
			a.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: term}})
		}
	}
	c.withLock(func() {
		seen := map[string]bool{}
		for _, n := range c.requestNames {
			require.False(t, seen[n], n)
			seen[n] = true
		}
		require.GreaterOrEqual(t, len(c.requestNames), 6)
	})
}

// What the cloud can't give is asked of another kind at once, and not again for a while.
func TestNoCapacity(t *testing.T) {
	a, c, o, _ := newTestAutoscaler(t)
	o.demands = waitingDemand(2, nil)
	kinds := []bool{}
	c.withLock(func() {
		c.answer = func(h wire.ScaleOutRequest) (int, any) {
			kinds = append(kinds, h.Spot)
			if h.Spot {
				return 503, wire.Error{Error: "no capacity"}
			}
			return 200, wire.HostList{Hosts: []string{"m-1"}}
		}
	})
	a.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.withLock(func() { require.Equal(t, []bool{true, false}, kinds) })
	a.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.withLock(func() {
		require.Equal(t, []bool{true, false}, kinds, "the machine is on its way, though the list lags")
	})
}

// A machine that nobody expected is on the list: it is given back when it is idle,
// but only once its owner has set it aside.
func TestUnexpectedMachines(t *testing.T) {
	a, c, o, _ := newTestAutoscaler(t)
	c.withLock(func() {
		c.instances = []wire.Instance{{ID: "m-7", Type: "big", Zone: "a", Phase: wire.MachineRunning, AgeS: 500}}
	})
	o.views = []peer.MachineView{{ID: "m-7", Type: "big", Zone: "a", Accounted: true, Usable: true, Idle: 90 * clock.Second}}
	a.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.withLock(func() { require.Empty(t, c.returned, "its owner has not set it aside") })
	o.ready = []string{"m-7"}
	a.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
	c.withLock(func() { require.Equal(t, []string{"m-7"}, c.returned) })
	require.Equal(t, []string{"m-7"}, o.gone)
}

// Odd answers of the cloud lead to nothing but another try.
func TestOddAnswersOfTheCloud(t *testing.T) {
	a, c, o, _ := newTestAutoscaler(t)
	o.demands = waitingDemand(2, nil)
	for _, answer := range []func(wire.ScaleOutRequest) (int, any){
		func(wire.ScaleOutRequest) (int, any) { return 429, nil },
		func(wire.ScaleOutRequest) (int, any) { return 503, wire.Error{Error: "trouble"} },
		func(wire.ScaleOutRequest) (int, any) { return 200, "what?" },
		func(wire.ScaleOutRequest) (int, any) { return 500, strings.Repeat("x", 300) },
	} {
		c.withLock(func() { c.answer = answer })
		a.pacer.refusedUntil = map[InstanceKind]clock.Micros{}
		a.step(t.Context(), leaderelection.Leadership{Record: leaderelection.Record{Term: 3}})
		require.Empty(t, a.list.instances)
	}
}

// manualClock is a clock that the test moves.
type manualClock struct{ now clock.Micros }

func (h *manualClock) Now() clock.Micros { return h.now }

// A machine that was on the list and is on a later one no more is gone, sooner
// than its worker's lease would tell. A list that may be older than the first
// sight of it proves nothing, nor does one that never had it.
func TestOffTheListIsGone(t *testing.T) {
	a, c, o, _ := newTestAutoscaler(t)
	at := &manualClock{100 * clock.Second}
	a.clock = at
	see := func(list ...wire.Instance) {
		c.withLock(func() { c.instances = list })
		require.NoError(t, a.refreshInstances(t.Context()))
	}
	kept := wire.Instance{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	taken := wire.Instance{ID: "m-2", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	a.list.instances["m-9"], a.list.lastSeen["m-9"] = Instance{ID: "m-9"}, at.now // rented just now
	see(kept, taken)
	at.now += 16 * clock.Second // the list may lag twice its 8 s
	see(kept)
	require.Empty(t, o.gone, "a list of before the first sight")
	see(kept, taken)
	at.now += 2 * clock.Second
	see(kept)
	require.Equal(t, []string{"m-2"}, o.gone)
	require.Contains(t, a.list.instances, "m-9")
}

// A new holder's first list: a machine that was recorded long before it and is
// not on it is gone, and its owner need not wait for it. One recorded lately may
// not be listed yet.
func TestRecordedAndOffTheListIsGone(t *testing.T) {
	a, c, o, _ := newTestAutoscaler(t)
	now := time.UnixMilli(1_800_000_000_000)
	a.wallClock = func() time.Time { return now }
	o.records = map[string]int64{"m-1": now.UnixMilli() - 60_000, "m-2": now.UnixMilli() - 60_000, "m-3": now.UnixMilli() - 17_000}
	c.withLock(func() { c.instances = []wire.Instance{{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}} })
	require.NoError(t, a.refreshInstances(t.Context()))
	require.Equal(t, []string{"m-2"}, o.gone)
}

// A cloud that has nothing of a kind is asked once in a while; one that gives
// all it is asked for is asked for twice as much the next time.
func TestRequestsGrowWithWhatIsGiven(t *testing.T) {
	a, _, _, _ := newTestAutoscaler(t)
	k := InstanceKind{"big", "a", true}
	many := make([]ScaleOut, 20)
	for i := range many {
		many[i] = ScaleOut{k, 1}
	}
	a.pacer.maxRequests = 8
	for _, want := range []int{2, 4, 8, 8} {
		got := a.pacer.selectRequests(many)
		require.Len(t, got, want)
		a.requestScaleOut(t.Context(), got)
	}
	a.pacer.refusedUntil = map[InstanceKind]clock.Micros{}
	a.requestScaleOut(t.Context(), []ScaleOut{{k, 2}}) // one comes of two
	require.Len(t, a.pacer.selectRequests(many), 1)
}
