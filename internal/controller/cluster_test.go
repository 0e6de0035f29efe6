package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
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

// Scenario tests run whole controllers, a key-value store and workers in a synctest bubble, where time is virtual. This
// file has the cluster and its processes; cluster_run_test.go lets time pass and holds the rules against what runs,
// cluster_users_test.go plays the users, cluster_faults_test.go the faults, cluster_faulty_store_test.go and
// cluster_peers_test.go stand between the controllers and the store and their peers, cluster_store_test.go reads the store.

// hosts are the controllers of every cluster.
var hosts = []string{"a", "b", "c"}

const (
	// limitedTeam and unlimitedTeam are the teams of a cluster that is given none.
	limitedTeam   = "red"
	unlimitedTeam = "blue"
	// limitedTeamCPUs is the quota of limitedTeam: six tasks of submission.
	limitedTeamCPUs = 12
	// taskCPUs is what a task of submission takes, of the 8 CPUs of a machine.
	taskCPUs = 2
	// workerLease is the workers' lease in all clusters.
	workerLease = 16 * clock.Second
)

// process is one life of a controller.
type process struct {
	*Controller
	storeClient *fakes.KVClient    // can be cut off from the store
	kill        context.CancelFunc // ends the process at once
}

// clusterOptions are the settings of a cluster; zero values stand for the usual ones.
type clusterOptions struct {
	heartbeatS   float64           // heartbeat interval of the workers; 0.5
	txnOps       int               // largest transaction of the store; 12
	valueKB      float64           // largest value of the store; 8
	teams        []config.Team     // limitedTeam and unlimitedTeam
	policyScript string            // the operators' policy script, of all hosts but those in hostScripts
	hostScripts  map[string]string // by host
	hostZones    map[string]string // zone by host; none: no zones
	peerLatency  time.Duration     // each way, of every call between controllers
}

func (o clusterOptions) withDefaults() clusterOptions {
	o.heartbeatS = cmp.Or(o.heartbeatS, 0.5)
	o.txnOps = cmp.Or(o.txnOps, 12)
	o.valueKB = cmp.Or(o.valueKB, 8)
	if o.teams == nil {
		o.teams = []config.Team{{Name: limitedTeam, CPUsMax: limitedTeamCPUs}, {Name: unlimitedTeam}}
	}
	return o
}

// cluster is three controllers, a key-value store and workers. Connections are function calls; faults make them fail.
// The test's goroutine uses it, and callbacks of onCommit while it waits; the fields after mu are read by the
// controllers' goroutines too.
type cluster struct {
	t       *testing.T
	options clusterOptions
	store   *fakes.KVStore
	clock   clock.Clock
	workers []*fakes.Worker

	reportsTo          map[string]string // by worker: the controller that it sends its next heartbeat to
	pinnedTo           map[string]string // by worker: the only controller that it reaches
	hungWorkers        map[string]bool   // workers that send no heartbeats and get none answered
	unanswered         map[string]bool   // workers whose heartbeats arrive, and whose answers are lost
	unreachable        map[string]bool   // hosts that no worker reaches
	recordsHeartbeats  bool
	recordedHeartbeats [][]byte                // as sent while recordsHeartbeats was set
	taskSeenAt         map[string]clock.Micros // by task and attempt, of runFleetFor
	attemptSeenAt      map[string]clock.Micros // by machine, task and attempt; nil: each runFor starts with none
	everyFiveMS        func()                  // called every five milliseconds while runFor lets time pass; may be nil

	unlimitedJobs map[string]bool                  // jobs of unlimitedTeam
	accepted      map[string]bool                  // jobs that some user was told are accepted
	finalAnswers  map[string]string                // by job: the final phase that some user was told
	cancelled     map[string]confirmedCancellation // by job

	mu                sync.Mutex
	processes         map[string]*process      // by host; nil: it is down
	disconnected      map[string]bool          // hosts that no peer reaches
	paused            map[string]chan struct{} // hosts that are paused until these are closed
	peerLatency       time.Duration            // each way, of every call between controllers
	replicaDelay      map[string]time.Duration // by host: by how much its replica is late
	rng               *rand.Rand               // draws which transactions are delayed; nil: none
	delayedWriteShare float64                  // share of transactions that are carried out late
	heldTransactions  []func() error           // transactions that were held back
	occurrences       map[string]int           // how often something has occurred
	// onCommit decides on a transaction that arrives, before it is carried out; nil: all are served.
	onCommit func(host string, m wire.Txn) txnOutcome
}

// newCluster makes a cluster with the usual settings.
func newCluster(t *testing.T, workers int) *cluster {
	return newClusterWithOptions(t, workers, clusterOptions{})
}

// newSettledCluster makes a cluster with the usual settings, and lets time pass until all machines are on record.
func newSettledCluster(t *testing.T, workers int) *cluster {
	c := newCluster(t, workers)
	c.runFor(8*time.Second, 0)
	return c
}

// newBusyCluster makes a cluster of six machines, each taken by a task of job-1.
func newBusyCluster(t *testing.T) *cluster {
	c := newSettledCluster(t, 6)
	require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 6), "job-1"))
	c.runFor(4*time.Second, 0)
	require.Equal(t, 6, c.runningTasks())
	return c
}

// newClusterWithOptions makes a cluster and starts its controllers. At the end of the test they end.
func newClusterWithOptions(t *testing.T, workers int, options clusterOptions) *cluster {
	c := &cluster{
		t:             t,
		options:       options.withDefaults(),
		store:         fakes.NewKVStore(),
		clock:         clock.NewSteady(),
		reportsTo:     map[string]string{},
		pinnedTo:      map[string]string{},
		hungWorkers:   map[string]bool{},
		unanswered:    map[string]bool{},
		unreachable:   map[string]bool{},
		taskSeenAt:    map[string]clock.Micros{},
		unlimitedJobs: map[string]bool{},
		accepted:      map[string]bool{},
		finalAnswers:  map[string]string{},
		cancelled:     map[string]confirmedCancellation{},
		processes:     map[string]*process{},
		disconnected:  map[string]bool{},
		paused:        map[string]chan struct{}{},
		peerLatency:   options.peerLatency,
		replicaDelay:  map[string]time.Duration{},
		occurrences:   map[string]int{},
	}
	catalog := wire.Catalog{Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, Zones: []string{"a", "b"}}}}
	_, err := c.directClient().Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: catalog}}})
	require.NoError(t, err)
	for _, h := range hosts {
		c.start(h)
	}
	for i := range workers {
		c.addWorker(i)
	}
	t.Cleanup(func() {
		for _, p := range c.processes {
			if p != nil {
				p.kill()
			}
		}
		time.Sleep(time.Second) // calls that wait for a host that is down are back by then
	})
	return c
}

// addWorker adds the cluster's i-th worker.
func (c *cluster) addWorker(i int) {
	w := fakes.NewWorker(fmt.Sprintf("m-%06d", i), workerLease, c.clock.Now())
	c.workers = append(c.workers, w)
	c.reportsTo[w.ID] = hosts[i%3]
}

// settingsOf returns the settings of a controller.
func (c *cluster) settingsOf(host string) *config.Settings {
	o := &c.options
	settings := &config.Settings{Host: host, Zone: o.hostZones[host]}
	p := &settings.Params
	p.Count = len(hosts)
	p.Teams = o.teams
	p.Workers.LeaseS = workerLease.Seconds()
	p.Workers.ReportS = o.heartbeatS
	p.State.TxnOps = o.txnOps
	p.State.ValueKB = o.valueKB
	p.Cloud.RPS = 1
	for _, zone := range o.hostZones {
		if !slices.Contains(p.Zones, zone) {
			p.Zones = append(p.Zones, zone)
		}
	}
	slices.Sort(p.Zones)
	for _, h := range hosts {
		if h != host {
			settings.Peers = append(settings.Peers, config.Peer{Host: h, Zone: o.hostZones[h]})
		}
	}
	return settings
}

// start starts a controller's process.
func (c *cluster) start(host string) {
	settings := c.settingsOf(host)
	script, own := c.options.hostScripts[host]
	if !own {
		script = c.options.policyScript
	}
	parameters, err := policy.Parse(script, settings)
	require.NoError(c.t, err)
	peers := map[string]PeerClient{}
	for _, other := range settings.Peers {
		peers[other.Host] = peerConnection{cluster: c, to: other.Host, from: host}
	}
	ctx, kill := context.WithCancel(c.t.Context())
	p := &process{storeClient: &fakes.KVClient{KVStore: c.store}, kill: kill}
	store := faultyStore{p.storeClient, c, host}
	p.Controller = assemble(&wiring{
		settings:      settings,
		parameters:    parameters,
		store:         store,
		priorityStore: store,
		userStore:     store,
		peers:         peers,
		seed:          fakes.Seed,
		log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	c.mu.Lock()
	c.processes[host] = p
	c.mu.Unlock()
	go p.runDuties(ctx) //nolint:errcheck // ends with the context; the bubble waits for it
}

// process returns a controller's process; nil while it is down.
func (c *cluster) process(host string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[host]
}

// crash ends a controller's process at once.
func (c *cluster) crash(host string) {
	c.process(host).kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[host] = nil
}

// replaceProcess ends a controller's process, starts another on the same host and waits
// until that one leads its partitions again.
func (c *cluster) replaceProcess(host string) {
	c.crash(host)
	c.start(host)
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		led := 0
		for i := range partitionsPerController * len(hosts) {
			if _, leading := c.process(host).elector.Leading(partition.Duty(i)); leading {
				led++
			}
		}
		if led >= partitionsPerController {
			return
		}
	}
	require.Fail(c.t, "the new process has not taken its partitions")
}

// request sends a controller a request of a user, a worker or the load balancer. There is no answer, status 0, from a
// host that is down or paused; one that is paused handles the request once it goes on.
func (c *cluster) request(host, method, path, body string) httpx.Response {
	p := c.process(host)
	if p == nil {
		return httpx.Response{}
	}
	r := &httpx.Request{Method: method, Path: path, Body: []byte(body)}
	var job wire.Job
	if path == wire.PathJobs && json.Unmarshal(r.Body, &job) == nil && job.Team == unlimitedTeam {
		c.unlimitedJobs[job.ID] = true
	}
	if gate := c.pauseGate(host); gate != nil {
		go func() { // nobody waits for the answer any more
			<-gate
			p.handleRequest(c.t.Context(), r)
		}()
		return httpx.Response{}
	}
	return p.handleRequest(c.t.Context(), r)
}

func (c *cluster) get(host, path string) httpx.Response {
	return c.request(host, http.MethodGet, path, "")
}

func (c *cluster) post(host, path, body string) httpx.Response {
	return c.request(host, http.MethodPost, path, body)
}
