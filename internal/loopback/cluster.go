// Package loopback plays bounded runs of the real program on this machine, for measurements; it is no part of
// the service. Controllers are processes of their own (cluster); the key-value store (kvStoreServer), the cloud,
// the workers (fleet, worker) and the users (load) are fakes on loopback addresses. HotTeams and ZoneReturn are
// the runs.
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

// Setup of a cluster.
type Setup struct {
	Program string // path of the built program
	Policy  string // text of the policy script
	Workers int
	Teams   []config.Team
	RunFor  time.Duration     // of every task
	LogDir  string            // for the controllers' logs and settings
	Zones   map[string]string // by controller; defaultZone where none is given. Workers are spread over the zones
}

// defaultZone is the zone of controllers that are given none.
const defaultZone = "a"

// allZones lists the zones, sorted.
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

// zoneOf is a controller's zone.
func (s *Setup) zoneOf(host string) string {
	if z, ok := s.Zones[host]; ok {
		return z
	}
	return defaultZone
}

// cluster is three controllers and what they need.
type cluster struct {
	Setup
	*fleet
	settingsFiles map[string]string    // paths, by controller
	processes     map[string]*exec.Cmd // by controller
	kvStore       *fakes.KVStore
	kvClients     map[string]*fakes.KVClient // by controller
	links         []peerLink
	workers       []*worker
}

// peerLink is the connection from one controller to another.
type peerLink struct {
	*peerProxy
	from, to string
}

// What the settings of a run say of workers, the services and the machine; see config.Settings.
const (
	workerLeaseS    = 16
	workerCancelS   = 36
	storeRPS        = 300
	storeWriteRPS   = 120
	storeValueKB    = 8
	storeTxnOps     = 12
	cloudRPS        = 5
	cloudListLagS   = 1
	machineCores    = 1
	machineMemoryMB = 256
	machineSockets  = 1000
	clockSkewMS     = 100
)

// machineTypeName is the only machine type of a run.
const machineTypeName = "big"

// newCluster starts a cluster, and returns it once it is ready. Processes and goroutines end with ctx.
func newCluster(ctx context.Context, s Setup, taskDone func(task string)) (*cluster, error) {
	c := &cluster{
		Setup:         s,
		settingsFiles: map[string]string{},
		processes:     map[string]*exec.Cmd{},
		kvStore:       fakes.NewKVStore(),
		kvClients:     map[string]*fakes.KVClient{},
		fleet:         newFleet(s.RunFor, taskDone),
	}
	if err := c.addWorkers(); err != nil {
		return nil, err
	}
	cloudAddr, err := serve(c.newCloud().handler())
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

// addWorkers makes the workers, spread over zones and controllers.
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

// newCloud makes the cloud that has rented the workers' machines.
func (c *cluster) newCloud() *cloud {
	out := &cloud{types: []wire.MachineType{{
		Name: machineTypeName, CPUs: 8, MemGB: 32, CacheGB: 100, FetchGBPS: 1,
		Price: 1, SpotPrice: 0.3, BootS: 30, Zones: c.allZones(),
	}}}
	for _, w := range c.workers {
		out.machines = append(out.machines, wire.Instance{
			ID: w.ID, Addr: w.addr, Type: machineTypeName, Zone: w.Zone, Phase: wire.MachineRunning, AgeS: 60,
		})
	}
	return out
}

// clusterCount counts the clusters of this process.
var clusterCount atomic.Uint32

// controllerIP assigns the i-th controller of the n-th cluster an address of its own in the loopback
// range, so that clusters that run side by side don't take each other's ports.
func controllerIP(n uint32, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n%250, i+1)
}

// Ports of the controllers.
const (
	apiPort     = 8080
	clusterPort = 8081
)

// writeSettings writes the controllers' settings and the policy script.
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

// newSettings makes a controller's settings: it has a client of the key-value store and proxies to the others of
// its own, so that it can be cut off alone.
func (c *cluster) newSettings(host string, clusterAddrs map[string]string) (*config.Settings, error) {
	s := &config.Settings{Host: host, Zone: c.zoneOf(host), Listen: c.controllers[host], PeerListen: clusterAddrs[host]}
	c.kvClients[host] = &fakes.KVClient{KVStore: c.kvStore}
	var err error
	if s.Services.State, err = serve((&kvStoreServer{c.kvClients[host]}).handler()); err != nil {
		return nil, err
	}
	for _, other := range c.hosts {
		if other == host {
			continue
		}
		proxy, addr, err := newPeerProxy(clusterAddrs[other])
		if err != nil {
			return nil, err
		}
		c.links = append(c.links, peerLink{proxy, host, other})
		s.Peers = append(s.Peers, config.Peer{Host: other, Zone: c.zoneOf(other), Addr: addr})
	}
	p := &s.Params
	p.Count, p.Zones, p.Teams = len(c.hosts), c.allZones(), c.Teams
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = heartbeatInterval.Seconds(), workerLeaseS, workerCancelS
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = storeRPS, storeWriteRPS, storeValueKB, storeTxnOps
	p.Cloud.RPS, p.Cloud.ListLagS = cloudRPS, cloudListLagS
	p.Limits.CoreShare, p.Limits.MemoryMB, p.Limits.Sockets = machineCores, machineMemoryMB, machineSockets
	p.SkewMS = clockSkewMS
	return s, nil
}

// setZoneCut cuts a zone off, or reconnects it: its controllers reach neither the key-value store nor the
// others, its workers reach its controllers only, and no deliveries reach them.
func (c *cluster) setZoneCut(zone string, cut bool) {
	for _, host := range c.hosts {
		if c.zoneOf(host) == zone {
			c.kvClients[host].SetCut(cut)
		}
	}
	for _, l := range c.links {
		if (c.zoneOf(l.from) == zone) != (c.zoneOf(l.to) == zone) {
			l.setCut(cut)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.Zone == zone {
			w.cut = cut
		}
	}
	c.cutFrom = nil
	if cut {
		c.cutFrom = map[string]bool{}
		for _, host := range c.hosts {
			c.cutFrom[host] = c.zoneOf(host) != zone
		}
	}
}

// start starts a controller; its log is appended to a file of its own.
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

// kill ends a controller by SIGKILL.
func (c *cluster) kill(host string) {
	c.processes[host].Process.Kill() //nolint:errcheck // it may have ended
	c.processes[host].Wait()         //nolint:errcheck // killed
}

// pause stops a controller for a while and lets it go on.
func (c *cluster) pause(host string, d time.Duration) error {
	p := c.processes[host].Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() { p.Signal(syscall.SIGCONT) }) //nolint:errcheck // it may have ended
	return nil
}

// stop ends all controllers.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		c.kill(h)
	}
}

const (
	// readyTimeout is how long a cluster may take to be ready.
	readyTimeout = 20 * time.Second
	// readyPoll is how often controllers are asked whether they are ready.
	readyPoll = 200 * time.Millisecond
	// leadershipSettleTime is how long leaderships take to return to their preferred leaders.
	leadershipSettleTime = 5 * time.Second
)

// awaitReady waits until all controllers are ready and leaderships have settled.
func (c *cluster) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(readyPoll) {
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

// isReady asks a controller whether it is ready.
func (c *cluster) isReady(client *http.Client, host string) bool {
	resp, err := client.Get("http://" + c.controllers[host] + wire.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
