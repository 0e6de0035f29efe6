package controller

import (
	"context"
	"encoding/json"
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
	"github.com/merlinlatch/merlinlatch/internal/partition"
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

// replaceProcess ends a controller's process, starts another on the same host and waits
// until that one has the partitions again.
func (c *cluster) replaceProcess(host string) {
	c.crash(host)
	c.start(host)
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		held := 0
		for part := range partitionsPerController * len(hosts) {
			if _, mine := c.processes[host].elector.Leading(partition.Duty(part)); mine {
				held++
			}
		}
		if held >= partitionsPerController {
			return
		}
	}
	require.Fail(c.t, "the new process has not taken its partitions")
}

// directClient is a way to the state service that no controller's trouble concerns.
func (c *cluster) directClient() *fakes.KVClient { return &fakes.KVClient{KVStore: c.store} }

// newBusyCluster is six machines, each taken by a task of job-1.
func newBusyCluster(t *testing.T) *cluster {
	c := newCluster(t, 6)
	c.runFor(8*time.Second, 0)
	require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 6), "job-1"))
	c.runFor(4*time.Second, 0)
	require.Equal(t, 6, c.runningTasks())
	return c
}
