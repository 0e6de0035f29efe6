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
	storeClient *fakes.KVClient
	kill        context.CancelFunc
}

// cluster is three controllers, a state service and workers, in a test's bubble
// where time is virtual. Connections are calls; cut ones fail.
type cluster struct {
	t            *testing.T
	store        *fakes.KVStore
	clock        clock.Clock
	workers      []*fakes.Worker
	reportsTo    map[string]string // the controller that a worker reports to
	taskSeenAt   map[string]clock.Micros
	heartbeatS   float64
	txnOps       int
	valueKB      float64
	teams        []config.Team     // red, with a limit, and blue where none are given
	policyScript string            // the operators' policy
	hostScripts  map[string]string // of single hosts
	hostZones    map[string]string // of the hosts; none: no zone

	mu                 sync.Mutex
	processes          map[string]*process
	disconnected       map[string]bool          // hosts that no peer reaches
	unreachable        map[string]bool          // hosts that no worker reaches
	paused             map[string]chan struct{} // hosts that stand still, until these are closed
	rng                *rand.Rand
	occurrences        map[string]int                           // what has occurred, and how often
	delayedWriteShare  float64                                  // share of transactions that are carried out late
	onCommit           func(host string, m wire.Txn) txnOutcome // decides on a transaction that arrives, before it is carried out
	heldTransactions   []func() error                           // transactions held back
	unlimitedJobs      map[string]bool                          // jobs of the team without a limit
	attemptSeenAt      map[string]clock.Micros                  // since when attempts run, where that lasts from one run to the next
	hungWorkers        map[string]bool                          // workers that neither report nor hear
	unanswered         map[string]bool                          // workers whose reports arrive, and no answer
	pinnedTo           map[string]string                        // workers that reach this controller alone
	recordedHeartbeats [][]byte                                 // reports that were sent, where they are kept
	recordsHeartbeats  bool
	everyFiveMS        func()                   // done every five milliseconds
	replicaDelay       map[string]time.Duration // by how much the replica of a controller is late
	peerLatency        time.Duration            // of every word between controllers and workers
	accepted           map[string]bool          // jobs that users were told are accepted
	finalAnswers       map[string]string
	cancelled          map[string]confirmedCancellation // by job
}

// processReachedBy gives the process that a peer reaches at a host, nil for none.
func (c *cluster) processReachedBy(from, to string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected[to] || c.disconnected[from] {
		return nil
	}
	return c.processes[to]
}

func (c *cluster) setDisconnected(host string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[host] = cut
}

// peerConnection is a controller's connection to a peer.
type peerConnection struct {
	cluster *cluster
	to      string
	from    string
}

var errDisconnected = errors.New("cut")

func (l peerConnection) Call(method string, in, out any, timeout time.Duration) error {
	l.cluster.awaitResume(l.from)
	if g := l.cluster.pauseGate(l.to); g != nil {
		return l.deliverLate(g, method, in, out, timeout)
	}
	err := l.deliver(method, in, out)
	l.cluster.awaitResume(l.from)
	return err
}

func (l peerConnection) deliver(method string, in, out any) error {
	l.cluster.mu.Lock()
	lag := l.cluster.peerLatency
	l.cluster.mu.Unlock()
	time.Sleep(lag)
	defer time.Sleep(lag)
	p := l.cluster.processReachedBy(l.from, l.to)
	if p == nil {
		time.Sleep(50 * time.Millisecond)
		return errDisconnected
	}
	s := &rpcService{p.Controller}
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

func newCluster(t *testing.T, workers int) *cluster { return newClusterWithInterval(t, workers, 0.5) }

// newClusterWithInterval makes a cluster whose workers report every so many seconds.
func newClusterWithInterval(t *testing.T, workers int, reportS float64) *cluster {
	return newClusterWithOptions(t, workers, &cluster{heartbeatS: reportS, txnOps: 12, valueKB: 8})
}

func newClusterWithOptions(t *testing.T, workers int, given *cluster) *cluster {
	c := &cluster{t: t, teams: given.teams, policyScript: given.policyScript, hostScripts: given.hostScripts, hostZones: given.hostZones, peerLatency: given.peerLatency, heartbeatS: given.heartbeatS, txnOps: given.txnOps, valueKB: given.valueKB, store: fakes.NewKVStore(), clock: clock.NewSteady(), processes: map[string]*process{}, disconnected: map[string]bool{}, paused: map[string]chan struct{}{}, unreachable: map[string]bool{}, reportsTo: map[string]string{}, taskSeenAt: map[string]clock.Micros{}, cancelled: map[string]confirmedCancellation{}, hungWorkers: map[string]bool{}, occurrences: map[string]int{}, replicaDelay: map[string]time.Duration{}, unlimitedJobs: map[string]bool{}, unanswered: map[string]bool{}, pinnedTo: map[string]string{}, accepted: map[string]bool{}, finalAnswers: map[string]string{}}
	_, err := c.directClient().Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: wire.Catalog{
		Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, Zones: []string{"a", "b"}}}}}}})
	require.NoError(t, err)
	for _, h := range hosts {
		c.start(h)
	}
	for i := range workers {
		c.workers = append(c.workers, fakes.NewWorker(fmt.Sprintf("m-%06d", i), 16*clock.Second, c.clock.Now()))
		c.reportsTo[c.workers[i].ID] = hosts[i%3]
	}
	t.Cleanup(func() {
		for _, p := range c.processes {
			if p != nil {
				p.kill()
			}
		}
		time.Sleep(time.Second) // whoever waits for a host that is down is back by then
	})
	return c
}

func (c *cluster) start(host string) {
	settings := &config.Settings{Host: host, Zone: c.hostZones[host]}
	settings.Params.Count = 3
	settings.Params.Teams = c.teams
	if c.teams == nil {
		settings.Params.Teams = []config.Team{{Name: "red", CPUsMax: 12}, {Name: "blue"}}
	}
	settings.Params.Workers.LeaseS = 16
	settings.Params.Workers.ReportS = c.heartbeatS
	settings.Params.State.TxnOps = c.txnOps
	settings.Params.State.ValueKB = c.valueKB
	settings.Params.Cloud.RPS = 1
	for _, zone := range c.hostZones {
		if !slices.Contains(settings.Params.Zones, zone) {
			settings.Params.Zones = append(settings.Params.Zones, zone)
		}
	}
	slices.Sort(settings.Params.Zones)
	peers := map[string]PeerClient{}
	for _, h := range hosts {
		if h != host {
			settings.Peers = append(settings.Peers, config.Peer{Host: h, Zone: c.hostZones[h]})
			peers[h] = peerConnection{c, h, host}
		}
	}
	script, own := c.hostScripts[host]
	if !own {
		script = c.policyScript
	}
	parameters, err := policy.Parse(script, settings)
	require.NoError(c.t, err)
	ctx, kill := context.WithCancel(c.t.Context())
	p := &process{storeClient: &fakes.KVClient{KVStore: c.store}, kill: kill}
	connection := faultyStore{p.storeClient, c, host}
	p.Controller = assemble(&wiring{settings: settings, parameters: parameters, store: connection, priorityStore: connection, userStore: connection, peers: peers, seed: fakes.Seed,
		log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	c.mu.Lock()
	c.processes[host] = p
	c.mu.Unlock()
	go p.runDuties(ctx) //nolint:errcheck // ends with the context
}

func (c *cluster) crash(host string) {
	c.processes[host].kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[host] = nil
}

func (c *cluster) request(host, method, path, body string) httpx.Response {
	if c.processes[host] == nil {
		return httpx.Response{}
	}
	r := &httpx.Request{Method: method, Path: path, Body: []byte(body)}
	var job wire.Job
	if path == wire.PathJobs && json.Unmarshal(r.Body, &job) == nil && job.Team == "blue" {
		c.unlimitedJobs[job.ID] = true
	}
	if g := c.pauseGate(host); g != nil {
		p := c.processes[host]
		go func() { // nobody waits for the answer any more
			<-g
			p.handleRequest(c.t.Context(), r)
		}()
		return httpx.Response{}
	}
	return c.processes[host].handleRequest(c.t.Context(), r)
}

// runFor lets time pass while workers report every second, and finishes tasks
// after lasts. It holds the rules against what runs.
func (c *cluster) runFor(d, lasts time.Duration) { c.runForEach(d, lasts, func() {}) }

// runForEach is run with something done after every half second.
func (c *cluster) runForEach(d, lasts time.Duration, then func()) {
	began := c.attemptSeenAt
	if began == nil {
		began = map[string]clock.Micros{}
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		now := c.clock.Now()
		on := map[string]string{}
		red := 0.0
		for _, w := range c.workers {
			if c.hungWorkers[w.ID] {
				w.Check(now) // it is over with its lease, if it goes on after that
			}
			for _, k := range w.InOrder() {
				attempt := fmt.Sprint(w.ID, k.Task, k.Attempt)
				if began[attempt] == 0 {
					began[attempt] = now
				}
				if c.hungWorkers[w.ID] {
					continue
				}
				if lasts > 0 && k.Phase != wire.TaskExited && now > began[attempt]+clock.FromDuration(lasts) {
					k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
				}
			}
			if !c.hungWorkers[w.ID] {
				c.sendHeartbeat(w)
			}
			for _, k := range w.InOrder() {
				if k.Phase != wire.TaskExited {
					require.Empty(c.t, on[k.Task], "%s runs on two machines", k.Task)
					on[k.Task] = w.ID
					if job, _, _ := wire.SplitTask(k.Task); !c.unlimitedJobs[job] {
						red += 2
					}
				}
			}
		}
		require.LessOrEqual(c.t, red, 12.0, "the team's limit")
		c.requireCancelledStopped()
		if c.everyFiveMS == nil {
			time.Sleep(500 * time.Millisecond)
		}
		for step := 0; c.everyFiveMS != nil && step < 100; step++ {
			time.Sleep(5 * time.Millisecond)
			c.everyFiveMS()
		}
		then()
	}
}

func (c *cluster) sendHeartbeat(w *fakes.Worker) (answered bool) {
	sent := c.clock.Now()
	r := w.Report(sent)
	r.Addr = "" // no way to the worker but by its reports
	b, err := json.Marshal(r)
	require.NoError(c.t, err)
	if c.recordsHeartbeats {
		c.recordedHeartbeats = append(c.recordedHeartbeats, b)
	}
	if h := c.pinnedTo[w.ID]; h != "" {
		c.reportsTo[w.ID] = h
	}
	host := c.reportsTo[w.ID]
	var resp httpx.Response
	if !c.unreachable[host] {
		resp = c.request(host, "POST", wire.PathHeartbeat, string(b))
	}
	var a wire.HeartbeatResponse
	var e wire.Error
	if c.unanswered[w.ID] {
		resp = httpx.Response{}
	}
	switch {
	case resp.Status == 200:
		require.NoError(c.t, json.Unmarshal(resp.Body, &a))
		w.Take(a, sent)
		return true
	case resp.Status == 421 && json.Unmarshal(resp.Body, &e) == nil && e.Leader != "":
		c.reportsTo[w.ID] = e.Leader
	default:
		for i, h := range hosts {
			if h == host {
				c.reportsTo[w.ID] = hosts[(i+1)%3]
			}
		}
	}
	return false
}

func (c *cluster) runningTasks() (n int) {
	for _, w := range c.workers {
		for _, k := range w.InOrder() {
			if k.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

func (c *cluster) jobPhase(host, id string) string {
	r := c.request(host, "GET", wire.PathJobs+"/"+id, "")
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

// runFleetFor lets time pass for a large fleet: workers report every five seconds
// and when something has changed. It holds the rules against what runs.
func (c *cluster) runFleetFor(d, lasts time.Duration) { c.runFleetForEach(d, lasts, func() {}) }

// runFleetForEach is runFleet with something done after every half second.
func (c *cluster) runFleetForEach(d, lasts time.Duration, then func()) {
	const step = 500 * time.Millisecond
	again := map[string]bool{} // reports that nobody has answered: to the next controller a moment later
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		now := c.clock.Now()
		on := map[string]string{}
		for i, w := range c.workers {
			changed := n%10 == i%10 || again[w.ID]
			for key, k := range w.Tasks {
				if c.taskSeenAt[key] == 0 {
					c.taskSeenAt[key], changed = now, true
				}
				if lasts > 0 && k.Phase != wire.TaskExited && now > c.taskSeenAt[key]+clock.FromDuration(lasts) {
					k.Phase, k.Cause, changed = wire.TaskExited, wire.CauseDone, true
				}
			}
			if changed {
				again[w.ID] = !c.sendHeartbeat(w)
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
