package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/wire"
)

var hosts = []string{"a", "b", "c"}

// process is one life of a controller.
type process struct {
	*Controller
	view *fakes.KVClient
	kill context.CancelFunc
}

// cluster is three controllers, a state service and workers, in a test's bubble
// where time is virtual. Connections are calls; cut ones fail.
type cluster struct {
	t       *testing.T
	st      *fakes.KVStore
	clock   clock.Clock
	workers []*fakes.Worker
	at      map[string]string // the controller that a worker reports to
	began   map[string]clock.Micros
	reportS float64
	txnOps  int
	valueKB float64
	teams   []config.Team     // red, with a limit, and blue where none are given
	script  string            // the operators' policy
	scripts map[string]string // of single hosts
	zones   map[string]string // of the hosts; none: no zone

	mu          sync.Mutex
	up          map[string]*process
	cut         map[string]bool          // hosts that no peer reaches
	unreachable map[string]bool          // hosts that no worker reaches
	still       map[string]chan struct{} // hosts that stand still, until these are closed
	rng         *rand.Rand
	noted       map[string]int                    // what has occurred, and how often
	lateWrites  float64                           // share of transactions that are carried out late
	before      func(host string, m wire.Txn) lot // decides on a transaction that arrives, before it is carried out
	kept        []func() error                    // transactions held back
	blue        map[string]bool                   // jobs of the team without a limit
	ages        map[string]clock.Micros           // since when attempts run, where that lasts from one run to the next
	hung        map[string]bool                   // workers that neither report nor hear
	unheard     map[string]bool                   // workers whose reports arrive, and no answer
	only        map[string]string                 // workers that reach this controller alone
	copies      [][]byte                          // reports that were sent, where they are kept
	keepCopies  bool
	closely     func()                   // done every five milliseconds
	behind      map[string]time.Duration // by how much the replica of a controller is late
	lag         time.Duration            // of every word between controllers and workers
	accepted    map[string]bool          // jobs that users were told are accepted
	told        map[string]string
	cancelled   map[string]cancelled // by job
}

// reach gives the process that a peer reaches at a host, nil for none.
func (c *cluster) reach(from, to string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[to] || c.cut[from] {
		return nil
	}
	return c.up[to]
}

func (c *cluster) setCut(host string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[host] = cut
}

// line is a controller's connection to a peer.
type line struct {
	c    *cluster
	to   string
	from string
}

var errCut = errors.New("cut")

func (l line) Call(method string, in, out any, timeout time.Duration) error {
	l.c.wait(l.from)
	if g := l.c.gate(l.to); g != nil {
		return l.late(g, method, in, out, timeout)
	}
	err := l.deliver(method, in, out)
	l.c.wait(l.from)
	return err
}

func (l line) deliver(method string, in, out any) error {
	l.c.mu.Lock()
	lag := l.c.lag
	l.c.mu.Unlock()
	time.Sleep(lag)
	defer time.Sleep(lag)
	p := l.c.reach(l.from, l.to)
	if p == nil {
		time.Sleep(50 * time.Millisecond)
		return errCut
	}
	s := &service{p.Controller}
	switch method {
	case "Round":
		return s.Round(in.(peer.Batch), out.(*peer.BatchResponse))
	case "Poll":
		return s.Poll(in.(peer.PollRequest), out.(*peer.PollResponse))
	case "Hello":
		return s.Hello(in.(peer.Heartbeat), out.(*peer.Heartbeat))
	case "Status":
		return s.Status(in.(peer.JobRequest), out.(*peer.JobResponse))
	case "Submit":
		return s.Submit(in.(peer.SubmitRequest), out.(*peer.SubmitResponse))
	case "Demand":
		return s.Demand(in.(peer.Heartbeat), out.(*peer.DemandResponse))
	case "HoldZone":
		return s.HoldZone(in.(peer.ZoneHoldRequest), out.(*peer.ZoneHoldResponse))
	case "Withdraw":
		return s.Withdraw(in.(peer.JobRequest), out.(*peer.JobResponse))
	}
	return fmt.Errorf("no such method: %s", method)
}

func newCluster(t *testing.T, workers int) *cluster { return newClusterOf(t, workers, 0.5) }

// newClusterOf makes a cluster whose workers report every so many seconds.
func newClusterOf(t *testing.T, workers int, reportS float64) *cluster {
	return newClusterWith(t, workers, &cluster{reportS: reportS, txnOps: 12, valueKB: 8})
}

func newClusterWith(t *testing.T, workers int, given *cluster) *cluster {
	c := &cluster{t: t, teams: given.teams, script: given.script, scripts: given.scripts, zones: given.zones, lag: given.lag, reportS: given.reportS, txnOps: given.txnOps, valueKB: given.valueKB, st: fakes.NewKVStore(), clock: clock.NewSteady(), up: map[string]*process{}, cut: map[string]bool{}, still: map[string]chan struct{}{}, unreachable: map[string]bool{}, at: map[string]string{}, began: map[string]clock.Micros{}, cancelled: map[string]cancelled{}, hung: map[string]bool{}, noted: map[string]int{}, behind: map[string]time.Duration{}, blue: map[string]bool{}, unheard: map[string]bool{}, only: map[string]string{}, accepted: map[string]bool{}, told: map[string]string{}}
	_, err := c.direct().Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: wire.Catalog{
		Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, Zones: []string{"a", "b"}}}}}}})
	require.NoError(t, err)
	for _, h := range hosts {
		c.start(h)
	}
	for i := range workers {
		c.workers = append(c.workers, fakes.NewWorker(fmt.Sprintf("m-%06d", i), 16*clock.Second, c.clock.Now()))
		c.at[c.workers[i].ID] = hosts[i%3]
	}
	t.Cleanup(func() {
		for _, p := range c.up {
			if p != nil {
				p.kill()
			}
		}
		time.Sleep(time.Second) // whoever waits for a host that is down is back by then
	})
	return c
}

func (c *cluster) start(host string) {
	set := &config.Settings{Host: host, Zone: c.zones[host]}
	set.Params.Count = 3
	set.Params.Teams = c.teams
	if c.teams == nil {
		set.Params.Teams = []config.Team{{Name: "red", CPUsMax: 12}, {Name: "blue"}}
	}
	set.Params.Workers.LeaseS = 16
	set.Params.Workers.ReportS = c.reportS
	set.Params.State.TxnOps = c.txnOps
	set.Params.State.ValueKB = c.valueKB
	set.Params.Cloud.RPS = 1
	for _, zone := range c.zones {
		if !slices.Contains(set.Params.Zones, zone) {
			set.Params.Zones = append(set.Params.Zones, zone)
		}
	}
	slices.Sort(set.Params.Zones)
	peers := map[string]PeerClient{}
	for _, h := range hosts {
		if h != host {
			set.Peers = append(set.Peers, config.Peer{Host: h, Zone: c.zones[h]})
			peers[h] = line{c, h, host}
		}
	}
	script, own := c.scripts[host]
	if !own {
		script = c.script
	}
	knobs, err := policy.Parse(script, set)
	require.NoError(c.t, err)
	ctx, kill := context.WithCancel(c.t.Context())
	p := &process{view: &fakes.KVClient{KVStore: c.st}, kill: kill}
	way := held{p.view, c, host}
	p.Controller = assemble(&wiring{settings: set, parameters: knobs, store: way, priorityStore: way, userStore: way, peers: peers, seed: fakes.Seed,
		log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	c.mu.Lock()
	c.up[host] = p
	c.mu.Unlock()
	go p.duties(ctx) //nolint:errcheck // ends with the context
}

func (c *cluster) crash(host string) {
	c.up[host].kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up[host] = nil
}

func (c *cluster) do(host, method, path, body string) httpx.Response {
	if c.up[host] == nil {
		return httpx.Response{}
	}
	r := &httpx.Request{Method: method, Path: path, Body: []byte(body)}
	var job wire.Job
	if path == wire.PathJobs && json.Unmarshal(r.Body, &job) == nil && job.Team == "blue" {
		c.blue[job.ID] = true
	}
	if g := c.gate(host); g != nil {
		p := c.up[host]
		go func() { // nobody waits for the answer any more
			<-g
			p.handle(c.t.Context(), r)
		}()
		return httpx.Response{}
	}
	return c.up[host].handle(c.t.Context(), r)
}

// run lets time pass while workers report every second, and finishes tasks
// after lasts. It holds the rules against what runs.
func (c *cluster) run(d, lasts time.Duration) { c.runAnd(d, lasts, func() {}) }

// runAnd is run with something done after every half second.
func (c *cluster) runAnd(d, lasts time.Duration, then func()) {
	began := c.ages
	if began == nil {
		began = map[string]clock.Micros{}
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		now := c.clock.Now()
		on := map[string]string{}
		red := 0.0
		for _, w := range c.workers {
			if c.hung[w.ID] {
				w.Check(now) // it is over with its lease, if it goes on after that
			}
			for _, k := range w.InOrder() {
				attempt := fmt.Sprint(w.ID, k.Task, k.Attempt)
				if began[attempt] == 0 {
					began[attempt] = now
				}
				if c.hung[w.ID] {
					continue
				}
				if lasts > 0 && k.Phase != wire.TaskExited && now > began[attempt]+clock.FromDuration(lasts) {
					k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
				}
			}
			if !c.hung[w.ID] {
				c.report(w)
			}
			for _, k := range w.InOrder() {
				if k.Phase != wire.TaskExited {
					require.Empty(c.t, on[k.Task], "%s runs on two machines", k.Task)
					on[k.Task] = w.ID
					if job, _, _ := wire.SplitTask(k.Task); !c.blue[job] {
						red += 2
					}
				}
			}
		}
		require.LessOrEqual(c.t, red, 12.0, "the team's limit")
		c.checkCancelled()
		if c.closely == nil {
			time.Sleep(500 * time.Millisecond)
		}
		for step := 0; c.closely != nil && step < 100; step++ {
			time.Sleep(5 * time.Millisecond)
			c.closely()
		}
		then()
	}
}

func (c *cluster) report(w *fakes.Worker) (answered bool) {
	sent := c.clock.Now()
	r := w.Report(sent)
	r.Addr = "" // no way to the worker but by its reports
	b, err := json.Marshal(r)
	require.NoError(c.t, err)
	if c.keepCopies {
		c.copies = append(c.copies, b)
	}
	if h := c.only[w.ID]; h != "" {
		c.at[w.ID] = h
	}
	host := c.at[w.ID]
	var resp httpx.Response
	if !c.unreachable[host] {
		resp = c.do(host, "POST", wire.PathHeartbeat, string(b))
	}
	var a wire.HeartbeatResponse
	var e wire.Error
	if c.unheard[w.ID] {
		resp = httpx.Response{}
	}
	switch {
	case resp.Status == 200:
		require.NoError(c.t, json.Unmarshal(resp.Body, &a))
		w.Take(a, sent)
		return true
	case resp.Status == 421 && json.Unmarshal(resp.Body, &e) == nil && e.Leader != "":
		c.at[w.ID] = e.Leader
	default:
		for i, h := range hosts {
			if h == host {
				c.at[w.ID] = hosts[(i+1)%3]
			}
		}
	}
	return false
}

func (c *cluster) running() (n int) {
	for _, w := range c.workers {
		for _, k := range w.InOrder() {
			if k.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

func (c *cluster) phase(host, id string) string {
	r := c.do(host, "GET", wire.PathJobs+"/"+id, "")
	var s wire.JobState
	if r.Status != 200 || json.Unmarshal(r.Body, &s) != nil {
		return fmt.Sprint(r.Status)
	}
	return s.Phase
}

func submission(id string, tasks int) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":"red","shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":5,"snap_every_s":0,"snap_s":0}`, id, tasks)
}

// runFleet lets time pass for a large fleet: workers report every five seconds
// and when something has changed. It holds the rules against what runs.
func (c *cluster) runFleet(d, lasts time.Duration) { c.runFleetAnd(d, lasts, func() {}) }

// runFleetAnd is runFleet with something done after every half second.
func (c *cluster) runFleetAnd(d, lasts time.Duration, then func()) {
	const step = 500 * time.Millisecond
	again := map[string]bool{} // reports that nobody has answered: to the next controller a moment later
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		now := c.clock.Now()
		on := map[string]string{}
		for i, w := range c.workers {
			changed := n%10 == i%10 || again[w.ID]
			for key, k := range w.Tasks {
				if c.began[key] == 0 {
					c.began[key], changed = now, true
				}
				if lasts > 0 && k.Phase != wire.TaskExited && now > c.began[key]+clock.FromDuration(lasts) {
					k.Phase, k.Cause, changed = wire.TaskExited, wire.CauseDone, true
				}
			}
			if changed {
				again[w.ID] = !c.report(w)
			}
			for _, k := range w.Tasks {
				if k.Phase != wire.TaskExited {
					require.Empty(c.t, on[k.Task], "%s runs on two machines", k.Task)
					on[k.Task] = w.ID
				}
			}
		}
		time.Sleep(step)
		then()
	}
}
