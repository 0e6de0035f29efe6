package autoscaler

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

const sec = clock.Second

// bigType is the machine type of most tests.
func bigType(zones ...string) wire.MachineType {
	return wire.MachineType{Name: "big", CPUs: 32, MemGB: 128, Price: 1.2, SpotPrice: 0.4, BootS: 30, Zones: zones}
}

// bigCapacity is the capacity of a machine of bigType.
func bigCapacity() resources.Amounts { return resources.Capacity(32, 0, 128) }

// waitingDemand returns a demand of n waiting tasks, each of which takes half the CPUs of a machine of bigType.
func waitingDemand(n int, change func(*peer.Demand)) []peer.Demand {
	d := peer.Demand{Need: resources.Request(16, 0, 32), Waiting: n, Spot: true, RunFor: 60 * sec, Rank: 1}
	if change != nil {
		change(&d)
	}
	return []peer.Demand{d}
}

// manualClock is a clock that only the test advances.
type manualClock struct{ now clock.Micros }

func (c *manualClock) Now() clock.Micros { return c.now }

// fakeCloud is the cloud's API, served on loopback, with a scripted response to scale-out requests.
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
	status := http.StatusOK
	var v any
	switch {
	case r.Path == wire.PathCatalog:
		v = wire.Catalog{Types: []wire.MachineType{bigType("a")}}
	case r.Path == wire.PathScaleIn:
		var h wire.HostList
		json.Unmarshal(r.Body, &h) //nolint:errcheck // a malformed request names no machines
		c.returned = append(c.returned, h.Hosts...)
		v = h
	case r.Method == http.MethodGet:
		v = wire.InstancePage{Instances: c.instances}
	default:
		var h wire.ScaleOutRequest
		json.Unmarshal(r.Body, &h) //nolint:errcheck // a malformed request has an empty name
		c.requestNames = append(c.requestNames, h.Name)
		status, v = c.answer(h)
	}
	b, _ := json.Marshal(v)
	return httpx.Response{Status: status, Body: b}
}

// withLock calls do with the cloud locked, so that do can read and change its fields.
func (c *fakeCloud) withLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// fakeControllers is a ControllerClient with fixed responses. It records which machines were marked gone.
type fakeControllers struct {
	demands []peer.Demand
	views   []peer.MachineView
	drained []string
	gone    []string
	records map[string]int64 // wall clock time of each machine's record, in Unix milliseconds
}

func (f *fakeControllers) RecordedBefore(atMS int64) (out []peer.MachineRef) {
	for id, recordedMS := range f.records {
		if recordedMS < atMS {
			out = append(out, peer.MachineRef{ID: id})
		}
	}
	return out
}

func (f *fakeControllers) Demands(context.Context) []peer.Demand { return f.demands }

func (f *fakeControllers) MachineViews(to []peer.MachineView) []peer.MachineView {
	return append(to, f.views...)
}

func (f *fakeControllers) Drain(context.Context, []peer.MachineRef) []string { return f.drained }

func (f *fakeControllers) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	for _, m := range list {
		f.gone = append(f.gone, m.ID)
	}
}

// fakeElections reports leadership of the fleet in the given term. Term 0 means that the fleet is not led.
type fakeElections struct {
	mu   sync.Mutex
	term uint64
}

func (e *fakeElections) setTerm(term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term = term
}

func (e *fakeElections) Leading(string) (leaderelection.Leadership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return leaderelection.Leadership{Record: leaderelection.Record{Term: e.term}}, e.term > 0
}

// scenario is an autoscaler whose controller leads the fleet, with a fake cloud and fake controllers.
type scenario struct {
	autoscaler  *Autoscaler
	cloud       *fakeCloud
	controllers *fakeControllers
	elections   *fakeElections
}

func newScenario(t *testing.T) *scenario {
	t.Helper()
	s := &scenario{
		cloud: &fakeCloud{answer: func(h wire.ScaleOutRequest) (int, any) {
			return http.StatusOK, wire.HostList{Hosts: []string{"m-" + h.Name}}
		}},
		controllers: &fakeControllers{},
		elections:   &fakeElections{term: 3},
	}
	discardLogger := slog.New(slog.NewTextHandler(io.Discard, nil))
	s.autoscaler = New(Options{
		Cloud:         NewCloudClient(serve(t, s.cloud.handle, discardLogger), 10_000, 1<<20),
		Elections:     s.elections,
		Store:         &fakes.KVClient{KVStore: fakes.NewKVStore()},
		Controllers:   s.controllers,
		Clock:         clock.NewMonotonic(),
		WallClock:     time.Now,
		Parameters:    Parameters{IdleScaleInDelay: 60 * sec, BootPatience: 3},
		Backoff:       12 * sec,
		ListLag:       8 * sec,
		ClockSkew:     sec,
		StoredCatalog: func() wire.Catalog { return wire.Catalog{} },
		Log:           discardLogger,
	})
	s.autoscaler.startTerm(s.elections.term)
	return s
}

// step makes the autoscaler do one step under the present leadership.
func (s *scenario) step(t *testing.T) {
	t.Helper()
	leadership, _ := s.elections.Leading(Duty)
	s.autoscaler.step(t.Context(), leadership)
}

// serve runs a server on a free port of loopback until the test ends, and returns its address.
func serve(t *testing.T, handle func(context.Context, *httpx.Request) httpx.Response, log *slog.Logger) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	server := httpx.NewServer(handle, nil, 8, 1<<20, time.Minute, log)
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx, addr) }()
	t.Cleanup(func() {
		stop()
		<-stopped
	})
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			conn.Close()
		}
		return err == nil
	}, time.Minute, 5*time.Millisecond)
	return addr
}
