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
	Program string // the built program
	Policy  string // text of the policy script
	Workers int
	Teams   []config.Team
	RunFor  time.Duration     // of every task
	LogDir  string            // logs of the controllers go there
	Zones   map[string]string // of the controllers; none: all are in zone a. Workers are spread over the zones
}

// allZones lists the zones.
func (s *Setup) allZones() []string {
	names := []string{"a"}
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
	return "a"
}

// cluster is three controllers and what they need.
type cluster struct {
	Setup
	*fleet
	settingsFiles map[string]string // files, by host
	processes     map[string]*exec.Cmd
	kvStore       *fakes.KVStore
	kvClients     map[string]*fakes.KVClient // ways to the state service, by host
	links         []peerLink
	workers       []*worker
}

// peerLink is the way from one controller to another.
type peerLink struct {
	*peerProxy
	from, to string
}

// workerLeaseS is the workers' lease.
const workerLeaseS = 16

// newCluster starts a cluster, and gives it back once it is ready. Everything ends with ctx.
func newCluster(ctx context.Context, s Setup, done func(task string)) (*cluster, error) {
	c := &cluster{Setup: s, settingsFiles: map[string]string{}, processes: map[string]*exec.Cmd{},
		kvStore: fakes.NewKVStore(), kvClients: map[string]*fakes.KVClient{},
		fleet: &fleet{clock: clock.NewSteady(), runFor: s.RunFor, controllers: map[string]string{}, hosts: []string{"a", "b", "c"},
			startedAt: map[string]clock.Micros{}, machineOf: map[string]string{}, taskDone: done}}
	var machines []wire.Instance
	zones := s.allZones()
	for i := range s.Workers {
		w, err := newWorker(c.fleet, fmt.Sprintf("m-%06d", i), workerLeaseS*clock.Second, i%len(c.hosts))
		if err != nil {
			return nil, err
		}
		w.Zone = zones[i%len(zones)]
		c.workers = append(c.workers, w)
		machines = append(machines, wire.Instance{ID: w.ID, Addr: w.addr, Type: "big", Zone: w.Zone, Phase: wire.MachineRunning, AgeS: 60})
	}
	types := []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, CacheGB: 100, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: zones}}
	cloudAddr, err := serve(newCloud(machines, types))
	if err != nil {
		return nil, err
	}
	if err := c.writeSettings(cloudAddr); err != nil {
		return nil, err
	}
	for _, h := range c.hosts {
		if err := c.start(ctx, h); err != nil {
			return nil, err
		}
	}
	for _, w := range c.workers {
		go w.run(ctx)
	}
	return c, c.awaitReady(ctx)
}

// clusterCount counts the clusters of this process.
var clusterCount atomic.Uint32

// controllerIP gives the i-th controller of the n-th cluster an address of its own in the loopback
// range, so that clusters that run side by side don't take each other's ports.
func controllerIP(n uint32, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n%250, i+1)
}

// Ports of the controllers.
const (
	apiPort     = 8080
	clusterPort = 8081
)

// writeSettings writes the controllers' settings and the policy.
func (c *cluster) writeSettings(cloudAddr string) error {
	cluster := map[string]string{}
	n := clusterCount.Add(1)
	for i, h := range c.hosts {
		ip := controllerIP(n, i)
		c.controllers[h] = fmt.Sprintf("%s:%d", ip, apiPort)
		cluster[h] = fmt.Sprintf("%s:%d", ip, clusterPort)
	}
	for _, h := range c.hosts {
		set, err := c.newSettings(h, cluster)
		if err != nil {
			return err
		}
		set.Services.Cloud = cloudAddr
		b, err := json.Marshal(set)
		if err != nil {
			return err
		}
		c.settingsFiles[h] = filepath.Join(c.LogDir, h+".json")
		if err := os.WriteFile(c.settingsFiles[h], b, 0o600); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(c.LogDir, "policy.star"), []byte(c.Policy), 0o600)
}

// newSettings makes a controller's settings: its ways to the state service and to the others are its own.
func (c *cluster) newSettings(host string, cluster map[string]string) (*config.Settings, error) {
	set := &config.Settings{Host: host, Zone: c.zoneOf(host), Listen: c.controllers[host], PeerListen: cluster[host]}
	var err error
	c.kvClients[host] = &fakes.KVClient{KVStore: c.kvStore}
	if set.Services.State, err = serve(stateService(c.kvClients[host])); err != nil {
		return nil, err
	}
	for _, other := range c.hosts {
		if other == host {
			continue
		}
		l, addr, err := newPeerProxy(cluster[other])
		if err != nil {
			return nil, err
		}
		c.links = append(c.links, peerLink{l, host, other})
		set.Peers = append(set.Peers, config.Peer{Host: other, Zone: c.zoneOf(other), Addr: addr})
	}
	p := &set.Params
	p.Count, p.Zones, p.Teams = len(c.hosts), c.allZones(), c.Teams
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = heartbeatInterval.Seconds(), workerLeaseS, 36
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 300, 120, 8, 12
	p.Cloud.RPS, p.Cloud.ListLagS = 5, 1
	p.Limits.CoreShare, p.Limits.MemoryMB, p.Limits.Sockets = 1, 256, 1000
	p.SkewMS = 100
	return set, nil
}

// setZoneCut cuts a zone off, or joins it again: its controllers reach neither the state service nor the
// others, its workers reach its controllers only, and no direct orders reach them.
func (c *cluster) setZoneCut(zone string, cut bool) {
	for _, h := range c.hosts {
		if c.zoneOf(h) == zone {
			c.kvClients[h].SetCut(cut)
		}
	}
	for _, l := range c.links {
		if (c.zoneOf(l.from) == zone) != (c.zoneOf(l.to) == zone) {
			l.setCut(cut)
		}
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, w := range c.workers {
		if w.Zone == zone {
			w.cut = cut
		}
	}
	c.cutFrom = nil
	if cut {
		c.cutFrom = map[string]bool{}
		for _, h := range c.hosts {
			c.cutFrom[h] = c.zoneOf(h) != zone
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
	cmd := exec.CommandContext(ctx, c.Program, "--policy", filepath.Join(c.LogDir, "policy.star"), "--config", c.settingsFiles[host])
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.processes[host] = cmd
	return nil
}

// kill ends a controller without a warning.
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

// readyTimeout bounds how long a cluster may take to be ready.
const readyTimeout = 20 * time.Second

func (c *cluster) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		up := 0
		for _, h := range c.hosts {
			resp, err := client.Get("http://" + c.controllers[h] + wire.PathReady)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					up++
				}
			}
		}
		if up == len(c.hosts) {
			time.Sleep(5 * time.Second) // duties settle with their preferred controllers
			return nil
		}
	}
	return fmt.Errorf("the controllers are not ready; see their logs in %s", c.LogDir)
}
