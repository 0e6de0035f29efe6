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

// Scenario tests run complete controllers, a fake key-value store and fake workers in a synctest bubble, where time is
// virtual. The test cluster is spread over these files:
//   - cluster_test.go: the cluster and the processes of its controllers
//   - cluster_run_test.go: lets time pass and checks the rules for the running tasks
//   - cluster_users_test.go: users' requests, and checks of the answers
//   - cluster_faults_test.go: causes faults
//   - cluster_faulty_store_test.go: the controllers' clients of the key-value store, with faults
//   - cluster_workers_test.go: the connections from controllers to workers
//   - cluster_copies_test.go: copies of messages
//   - cluster_peers_test.go: the connections between controllers, with faults
//   - cluster_store_test.go: reads the key-value store

// hosts are the hosts of the three controllers that every cluster has.
var hosts = []string{"a", "b", "c"}

const (
	// limitedTeam and unlimitedTeam are the teams of a cluster whose options name none.
	limitedTeam   = "red"
	unlimitedTeam = "blue"
	// limitedTeamCPUs is the CPU limit of limitedTeam. It suffices for six tasks of a submission.
	limitedTeamCPUs = 12
	// taskCPUs is the CPU request of a task of a submission. A machine has 8 CPUs.
	taskCPUs = 2
	// workerLease is the worker lease of a cluster whose options set none.
	workerLease = 16 * clock.Second
)

// process is a controller's process, from its start until its crash or the end of the test.
type process struct {
	*Controller
	storeClient *fakes.KVClient    // can be disconnected from the store
	kill        context.CancelFunc // ends the process immediately
}

// clusterOptions are the options of a cluster. A zero value means the default.
type clusterOptions struct {
	heartbeatS   float64           // workers' heartbeat interval in seconds; default 0.5
	txnOps       int               // maximum number of operations in a transaction of the store; default 12
	valueKB      float64           // maximum size of a value in the store, in KB; default 8
	teams        []config.Team     // default limitedTeam and unlimitedTeam
	policyScript string            // policy script of all hosts that are not in hostScripts
	hostScripts  map[string]string // policy script by host
	hostZones    map[string]string // zone by host; default no zones
	peerLatency  time.Duration     // of every call between controllers, each way
	workerLease  clock.Micros      // default workerLease
	deliveries   bool              // controllers also deliver commands to the workers' own addresses
	copies       *fakes.Copies     // of answered messages between hosts; nil: none
	keepsCopies  bool              // answered messages are kept until deliverCopies
}

func (o clusterOptions) withDefaults() clusterOptions {
	o.heartbeatS = cmp.Or(o.heartbeatS, 0.5)
	o.txnOps = cmp.Or(o.txnOps, 12)
	o.valueKB = cmp.Or(o.valueKB, 8)
	o.workerLease = cmp.Or(o.workerLease, workerLease)
	if o.teams == nil {
		o.teams = []config.Team{{Name: limitedTeam, CPUsMax: limitedTeamCPUs}, {Name: unlimitedTeam}}
	}
	return o
}

// cluster has three controllers, a key-value store and workers. Their connections are function calls, which fail or wait
// under faults. Only the test's goroutine uses the fields before mu. The function onCommit, which a controller's goroutine calls,
// may use them too, since the test's goroutine waits meanwhile. Controllers' goroutines also use the fields after mu, and lock
// mu for that.
type cluster struct {
	t       *testing.T
	options clusterOptions
	store   *fakes.KVStore
	clock   clock.Clock
	workers []*fakes.Worker

	reportsTo             map[string]string       // by worker; controller that it sends its next heartbeat to
	pinnedTo              map[string]string       // by worker; the only controller that it reaches
	hungWorkers           map[string]bool         // workers that send no heartbeats
	workersWithoutAnswers map[string]bool         // workers whose heartbeats arrive, but the answers to them are lost
	unreachableHosts      map[string]bool         // hosts that no worker reaches
	recordsHeartbeats     bool                    // heartbeats are added to recordedHeartbeats
	recordedHeartbeats    [][]byte                // bodies of heartbeats, in the order in which they were sent
	taskSeenAt            map[string]clock.Micros // by task and attempt, used by runFleetFor; when it was first seen on a worker
	attemptSeenAt         map[string]clock.Micros // by attemptKey; when it was first seen; if nil, each runFor has its own map
	everyFiveMS           func()                  // if not nil, called every five milliseconds of runFor

	unlimitedJobs map[string]bool                  // jobs of unlimitedTeam
	accepted      map[string]bool                  // jobs that some user was told are accepted
	finalAnswers  map[string]string                // by job; the final phase that some user was told
	cancelled     map[string]confirmedCancellation // by job

	mu                sync.Mutex
	processes         map[string]*process      // by host; nil while the host is down
	disconnected      map[string]bool          // hosts that reach no peer and that no peer reaches
	paused            map[string]chan struct{} // by host; closed when the paused controller resumes
	cutFromStore      map[string]chan struct{} // by host; closed when its cut from the store ends
	cutFromPeers      map[string]chan struct{} // by host; closed when its cut from its peers ends
	peerLatency       time.Duration            // of every call between controllers, each way
	replicaDelay      map[string]time.Duration // by host; delay of the changes that its replica receives
	rng               *rand.Rand               // chooses the transactions that are delayed; if nil, none is
	delayedWriteShare float64                  // share of transactions that are delayed
	deliveries        []workerDelivery         // on their way to workers
	keptCopies        []keptCopy               // answered messages, in their order
	heldTransactions  []func() error           // transactions that were held back
	occurrences       map[string]int           // by event; how often it has occurred
	// onCommit decides the outcome of a transaction before it is carried out; if nil, all are served.
	onCommit func(host string, m wire.Txn) txnOutcome
}

// newCluster makes a cluster with default options.
func newCluster(t *testing.T, workers int) *cluster {
	return newClusterWithOptions(t, workers, clusterOptions{})
}

// newSettledCluster makes a cluster with default options, and lets 8 s pass, after which the store has records of all machines.
func newSettledCluster(t *testing.T, workers int) *cluster {
	return newSettledClusterWithOptions(t, workers, clusterOptions{})
}

// newSettledClusterWithOptions does what newSettledCluster does, with options.
func newSettledClusterWithOptions(t *testing.T, workers int, options clusterOptions) *cluster {
	c := newClusterWithOptions(t, workers, options)
	c.runFor(8*time.Second, 0)
	return c
}

// newBusyCluster makes a cluster with six machines. On each runs one task of job-1, which takes the whole machine.
func newBusyCluster(t *testing.T) *cluster { return newBusyClusterWithOptions(t, clusterOptions{}) }

// newBusyClusterWithOptions does what newBusyCluster does, with options.
func newBusyClusterWithOptions(t *testing.T, options clusterOptions) *cluster {
	c := newSettledClusterWithOptions(t, 6, options)
	require.Equal(t, 201, c.submitJob("a", wholeMachineSubmission("job-1", 6), "job-1"))
	c.runFor(4*time.Second, 0)
	require.Equal(t, 6, c.runningTasks())
	return c
}

// newClusterWithOptions makes a cluster and starts its controllers, which end with the test.
func newClusterWithOptions(t *testing.T, workers int, options clusterOptions) *cluster {
	c := &cluster{
		t:                     t,
		options:               options.withDefaults(),
		store:                 fakes.NewKVStore(),
		clock:                 clock.NewMonotonic(),
		reportsTo:             map[string]string{},
		pinnedTo:              map[string]string{},
		hungWorkers:           map[string]bool{},
		workersWithoutAnswers: map[string]bool{},
		unreachableHosts:      map[string]bool{},
		taskSeenAt:            map[string]clock.Micros{},
		unlimitedJobs:         map[string]bool{},
		accepted:              map[string]bool{},
		finalAnswers:          map[string]string{},
		cancelled:             map[string]confirmedCancellation{},
		processes:             map[string]*process{},
		disconnected:          map[string]bool{},
		paused:                map[string]chan struct{}{},
		cutFromStore:          map[string]chan struct{}{},
		cutFromPeers:          map[string]chan struct{}{},
		peerLatency:           options.peerLatency,
		replicaDelay:          map[string]time.Duration{},
		occurrences:           map[string]int{},
	}
	catalog := wire.Catalog{Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, Zones: []string{"a", "b"}}}}
	_, err := c.directClient().Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: catalog}}})
	require.NoError(t, err)
	c.startAll()
	for i := range workers {
		c.addWorker(i)
	}
	t.Cleanup(func() {
		c.options.copies.Stop()
		for _, p := range c.processes {
			if p != nil {
				p.kill()
			}
		}
		time.Sleep(10 * time.Second) // until calls that wait for a host that is down or cut off have returned
	})
	return c
}

// addWorker adds the cluster's i-th worker.
func (c *cluster) addWorker(i int) {
	w := fakes.NewWorker(fmt.Sprintf("m-%06d", i), c.options.workerLease, c.clock.Now())
	c.workers = append(c.workers, w)
	c.reportsTo[w.ID] = hosts[i%3]
}

// settingsOf returns the settings of the controller on a host.
func (c *cluster) settingsOf(host string) *config.Settings {
	o := &c.options
	settings := &config.Settings{Host: host, Zone: o.hostZones[host]}
	p := &settings.Params
	p.Count = len(hosts)
	p.Teams = o.teams
	p.Workers.LeaseS = o.workerLease.Seconds()
	p.Workers.ReportS = o.heartbeatS
	p.Store.TxnOps = o.txnOps
	p.Store.ValueKB = o.valueKB
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

// start starts the controller on a host.
func (c *cluster) start(host string) {
	settings := c.settingsOf(host)
	script, hasOwnScript := c.options.hostScripts[host]
	if !hasOwnScript {
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
		dialWorker:    c.dialWorker(host),
		seed:          fakes.Seed,
		log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	c.mu.Lock()
	c.processes[host] = p
	c.mu.Unlock()
	go p.runDuties(ctx) //nolint:errcheck // it ends with the context, and the synctest bubble waits for it
}

// process returns the process on a host, or nil while the host is down.
func (c *cluster) process(host string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[host]
}

// crash ends the process on a host immediately.
func (c *cluster) crash(host string) {
	c.process(host).kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[host] = nil
}

// startAll starts the controllers on all hosts.
func (c *cluster) startAll() {
	for _, h := range hosts {
		c.start(h)
	}
}

// crashAll ends the processes on all hosts immediately.
func (c *cluster) crashAll() {
	for _, h := range hosts {
		c.crash(h)
	}
}

// replaceProcess ends the process on a host, starts another one and waits until that one leads partitionsPerController
// partitions.
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
	require.Fail(c.t, "the new process has not acquired its partitions")
}

// request sends a request of a user, a worker or the load balancer to a host. A host that is down or paused gives no answer,
// which is a response with status 0; one that is paused handles the request when it resumes.
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
	if resumed := c.resumeSignal(host); resumed != nil {
		go func() { // its response is dropped, since the sender has given up
			<-resumed
			p.handleRequest(c.t.Context(), r)
		}()
		return httpx.Response{}
	}
	response := p.handleRequest(c.t.Context(), r)
	if method == http.MethodPost {
		c.keepRequest(host, r)
	}
	return response
}

// keepRequest keeps an answered request of a user or a worker, so that a copy of it may arrive.
func (c *cluster) keepRequest(host string, r *httpx.Request) {
	kind := fakes.UserRequest
	if r.Path == wire.PathHeartbeat {
		kind = fakes.Heartbeat
	}
	c.keepCopy(kind, func() {
		c.awaitResume(host)
		if p := c.process(host); p != nil {
			p.handleRequest(c.t.Context(), &httpx.Request{Method: r.Method, Path: r.Path, Body: r.Body})
		}
	})
}

func (c *cluster) get(host, path string) httpx.Response {
	return c.request(host, http.MethodGet, path, "")
}

func (c *cluster) post(host, path, body string) httpx.Response {
	return c.request(host, http.MethodPost, path, body)
}
