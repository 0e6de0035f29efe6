// Package loopback runs the real program for a limited time on this machine, for measurements; it is not part of the
// service. Each controller is a process (cluster). The key-value store (kvStoreServer), the cloud (cloud), the workers
// (fleet, worker) and the users (load) are fakes on loopback addresses. HotTeams and ZoneReturn are the two kinds of
// runs.
package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Setup describes a cluster.
type Setup struct {
	Program string // path of the built program
	Policy  string // text of the policy script
	Workers int    // number of workers, spread over the zones
	Teams   []config.Team
	RunFor  time.Duration     // run time of every task
	LogDir  string            // directory for the controllers' logs and settings
	Zones   map[string]string // zone by controller; defaultZone for a controller without an entry

	Copies    *fakes.Copies // of answered messages between hosts; nil: none
	FailShare float64       // share of the attempts that fail
}

// defaultZone is the zone of a controller that Setup.Zones does not contain.
const defaultZone = "a"

// allZones returns the names of all zones, sorted.
func (s *Setup) allZones() []string {
	names := []string{defaultZone}
	for _, z := range s.Zones {
		if !slices.Contains(names, z) {
			names = append(names, z)
		}
	}
	slices.Sort(names)
	return names
}

// zoneOf returns a controller's zone.
func (s *Setup) zoneOf(host string) string {
	if z, ok := s.Zones[host]; ok {
		return z
	}
	return defaultZone
}

// cluster holds three controllers, and the fake services and workers that they use.
type cluster struct {
	Setup
	*fleet
	settingsFiles map[string]string    // path by controller
	processes     map[string]*exec.Cmd // by controller
	kvStore       *fakes.KVStore
	kvClients     map[string]*fakes.KVClient // by controller
	peerLinks     []peerLink
	workers       []*worker
}

// peerLink is the proxy through which the controller from calls the controller to.
type peerLink struct {
	*peerProxy
	from, to string
}

// Values of a run's settings for the workers, the services and the limits of a controller's machine; see
// config.Settings.
const (
	workerLeaseS           = 16
	workerCancelS          = 36
	storeRPS               = 300
	storeWriteRPS          = 120
	storeValueKB           = 8
	storeTxnOps            = 12
	cloudRPS               = 5
	cloudListLagS          = 1
	machineCores           = 1
	machineMemoryMB        = 256
	machineFileDescriptors = 1000
	clockSkewMS            = 100
)

// machineTypeName is the name of the only machine type of a run.
const machineTypeName = "big"

// newCluster starts a cluster and returns it once it is ready. The controllers' processes and the workers' heartbeats
// end when ctx ends; the servers of the fakes and the proxies run until the program ends.
func newCluster(ctx context.Context, s Setup, taskDone func(task string)) (*cluster, error) {
	c := &cluster{
		Setup:         s,
		settingsFiles: map[string]string{},
		processes:     map[string]*exec.Cmd{},
		kvStore:       fakes.NewKVStore(),
		kvClients:     map[string]*fakes.KVClient{},
		fleet:         newFleet(s.RunFor, taskDone),
	}
	c.copies, c.failShare = s.Copies, s.FailShare
	if err := c.addWorkers(); err != nil {
		return nil, err
	}
	cloudAddr, err := serve(withCopies(s.Copies, fakes.CloudRequest, c.newCloud().handler()))
	if err != nil {
		return nil, err
	}
	if err := c.writeSettings(cloudAddr); err != nil {
		return nil, err
	}
	for _, host := range c.hosts {
		if err := c.start(ctx, host); err != nil {
			return nil, err
		}
	}
	for _, w := range c.workers {
		go w.run(ctx)
	}
	return c, c.awaitReady(ctx)
}

// addWorkers creates the workers, spread evenly over the zones and the controllers.
func (c *cluster) addWorkers() error {
	zones := c.allZones()
	for i := range c.Workers {
		w, err := newWorker(c.fleet, fmt.Sprintf("m-%06d", i), workerLeaseS*clock.Second, i%len(c.hosts))
		if err != nil {
			return err
		}
		w.Zone = zones[i%len(zones)]
		c.workers = append(c.workers, w)
	}
	return nil
}

// newCloud returns a cloud whose instances are the workers' machines.
func (c *cluster) newCloud() *cloud {
	result := &cloud{types: []wire.MachineType{{
		Name: machineTypeName, CPUs: 8, MemGB: 32, CacheGB: 100, FetchGBPS: 1,
		Price: 1, SpotPrice: 0.3, BootS: 30, Zones: c.allZones(),
	}}}
	for _, w := range c.workers {
		result.machines = append(result.machines, wire.Instance{
			ID: w.ID, Addr: w.addr, Type: machineTypeName, Zone: w.Zone, Phase: wire.MachineRunning, AgeS: 60,
		})
	}
	return result
}

// clusterCount is the number of clusters that this process has started.
var clusterCount atomic.Uint32

// controllerIP returns an address in the loopback range for the i-th controller of the n-th cluster. It differs
// between controllers, between 250 successive clusters and between 250 successive process ids, so that concurrent
// clusters normally do not take each other's ports.
func controllerIP(n uint32, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n%250, i+1)
}

// Ports at which every controller listens on its own address.
const (
	apiPort     = 8080
	clusterPort = 8081
)

// writeSettings assigns the controllers' addresses, and writes their settings files and the policy script.
func (c *cluster) writeSettings(cloudAddr string) error {
	clusterAddrs := map[string]string{}
	n := clusterCount.Add(1)
	for i, host := range c.hosts {
		ip := controllerIP(n, i)
		c.controllers[host] = fmt.Sprintf("%s:%d", ip, apiPort)
		clusterAddrs[host] = fmt.Sprintf("%s:%d", ip, clusterPort)
	}
	for _, host := range c.hosts {
		settings, err := c.newSettings(host, clusterAddrs)
		if err != nil {
			return err
		}
		settings.Services.Cloud = cloudAddr
		b, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		c.settingsFiles[host] = filepath.Join(c.LogDir, host+".json")
		if err := os.WriteFile(c.settingsFiles[host], b, 0o600); err != nil {
			return err
		}
	}
	return os.WriteFile(c.policyFile(), []byte(c.Policy), 0o600)
}

func (c *cluster) policyFile() string { return filepath.Join(c.LogDir, "policy.star") }

// newSettings returns a controller's settings. The controller gets its own client of the key-value store and its own
// proxies to the other controllers, so that setZoneIsolated can cut it off without affecting the others.
func (c *cluster) newSettings(host string, clusterAddrs map[string]string) (*config.Settings, error) {
	s := &config.Settings{Host: host, Zone: c.zoneOf(host), Listen: c.controllers[host], PeerListen: clusterAddrs[host]}
	c.kvClients[host] = &fakes.KVClient{KVStore: c.kvStore}
	var err error
	store := withCopies(c.Copies, fakes.StoreRequest, (&kvStoreServer{c.kvClients[host]}).handler())
	if s.Services.Store, err = serve(store); err != nil {
		return nil, err
	}
	for _, other := range c.hosts {
		if other == host {
			continue
		}
		proxy, addr, err := newPeerProxy(clusterAddrs[other], c.Copies)
		if err != nil {
			return nil, err
		}
		c.peerLinks = append(c.peerLinks, peerLink{proxy, host, other})
		s.Peers = append(s.Peers, config.Peer{Host: other, Zone: c.zoneOf(other), Addr: addr})
	}
	p := &s.Params
	p.Count, p.Zones, p.Teams = len(c.hosts), c.allZones(), c.Teams
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = heartbeatInterval.Seconds(), workerLeaseS, workerCancelS
	p.Store.RPS, p.Store.WriteRPS, p.Store.ValueKB, p.Store.TxnOps = storeRPS, storeWriteRPS, storeValueKB, storeTxnOps
	p.Cloud.RPS, p.Cloud.ListLagS = cloudRPS, cloudListLagS
	p.Limits.CoreShare, p.Limits.MemoryMB, p.Limits.FileDescriptors = machineCores, machineMemoryMB, machineFileDescriptors
	p.SkewMS = clockSkewMS
	return s, nil
}

// setZoneIsolated cuts a zone off, or reconnects it. While it is cut off, its controllers reach neither the key-value
// store nor controllers of other zones, its workers reach only its own controllers, and no delivery of commands
// reaches its workers.
func (c *cluster) setZoneIsolated(zone string, isolated bool) {
	for _, host := range c.hosts {
		if c.zoneOf(host) == zone {
			c.kvClients[host].SetDisconnected(isolated)
		}
	}
	for _, l := range c.peerLinks {
		if (c.zoneOf(l.from) == zone) != (c.zoneOf(l.to) == zone) {
			l.setDisconnected(isolated)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.Zone == zone {
			w.isolated = isolated
		}
	}
	c.unreachable = nil
	if isolated {
		c.unreachable = map[string]bool{}
		for _, host := range c.hosts {
			c.unreachable[host] = c.zoneOf(host) != zone
		}
	}
}

// start starts a controller's process, whose log is appended to the controller's log file.
func (c *cluster) start(ctx context.Context, host string) error {
	log, err := os.OpenFile(filepath.Join(c.LogDir, host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.CommandContext(ctx, c.Program, "--policy", c.policyFile(), "--config", c.settingsFiles[host])
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.processes[host] = cmd
	return nil
}

// kill ends a controller's process by SIGKILL and waits for its end.
func (c *cluster) kill(host string) {
	c.processes[host].Process.Kill() //nolint:errcheck // it may have ended
	c.processes[host].Wait()         //nolint:errcheck // killed
}

// pause stops a controller's process by SIGSTOP, and resumes it after d.
func (c *cluster) pause(host string, d time.Duration) error {
	p := c.processes[host].Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() { p.Signal(syscall.SIGCONT) }) //nolint:errcheck // it may have ended
	return nil
}

// stop kills all controllers.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		c.kill(h)
	}
}

const (
	// readyTimeout is how long the controllers of a cluster may take until all are ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is how often awaitReady asks the controllers whether they are ready.
	readyPollInterval = 200 * time.Millisecond
	// leadershipSettleTime is how long leaderships take after the start to move to their preferred leaders.
	leadershipSettleTime = 5 * time.Second
)

// awaitReady waits until all controllers are ready, and then for leadershipSettleTime, in which the leaderships move to
// their preferred leaders. It fails if the controllers are not ready within readyTimeout or ctx ends before.
func (c *cluster) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		ready := 0
		for _, host := range c.hosts {
			if c.isReady(client, host) {
				ready++
			}
		}
		if ready == len(c.hosts) {
			time.Sleep(leadershipSettleTime)
			return nil
		}
	}
	return fmt.Errorf("the controllers are not ready; see their logs in %s", c.LogDir)
}

// isReady reports whether a controller answers that it is ready.
func (c *cluster) isReady(client *http.Client, host string) bool {
	resp, err := client.Get("http://" + c.controllers[host] + wire.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
