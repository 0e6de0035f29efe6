package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Hull is a machine type of the cloud's catalog.
type Hull struct {
	Name         string   `json:"name"`
	CPUs         float64  `json:"cpus"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	CacheGB      float64  `json:"cache_gb"`
	FetchGBPS    float64  `json:"fetch_gb_per_s"`
	Price        float64  `json:"price"`
	LowPrice     float64  `json:"low_price"`
	ReadyS       float64  `json:"ready_s"`
	Yards        []string `json:"yards"`
}

// Cloud is a stand-in for a cloud that has no machines to give beyond those that are rented already.
type Cloud struct {
	Hulls []Hull
	Spare int // machines that it can give

	fleet *Fleet
	next  int
	hires map[string][]string
}

// NewCloud returns a cloud whose rented machines are the fleet's workers.
func NewCloud(f *Fleet, hulls []Hull) *Cloud {
	return &Cloud{Hulls: hulls, fleet: f, hires: map[string][]string{}}
}

// Serve starts the cloud's address and returns it.
func (c *Cloud) Serve() string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) { Answer(w, 200, map[string]any{"hulls": c.Hulls}) })
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Hosts []string `json:"hosts"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Hosts) > 100 {
			Answer(w, 400, nil)
			return
		}
		for _, id := range in.Hosts {
			c.fleet.Remove(id)
		}
		Answer(w, 200, struct{}{})
	})
	mux.HandleFunc("GET /rentals", c.list)
	return Listen(mux)
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Hire  string `json:"hire"`
		Hull  string `json:"hull"`
		Yard  string `json:"yard"`
		Spot  bool   `json:"loaners"`
		Count int    `json:"how_many"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Count > 50 {
		Answer(w, 400, nil)
		return
	}
	c.fleet.mu.Lock()
	ids, known := c.hires[in.Hire]
	count := min(in.Count, c.Spare)
	c.fleet.mu.Unlock()
	if !known && count <= 0 {
		Answer(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	if !known {
		for range count {
			c.next++
			h := c.Hulls[0]
			m := c.fleet.AddWorker(fmt.Sprintf("m-%06d", 500+c.next), h.Name, in.Yard, h.CPUs, h.MemGB, c.next%len(c.fleet.nodes))
			c.fleet.mu.Lock()
			m.Spot, m.rented = in.Spot, time.Now()
			c.fleet.mu.Unlock()
			ids = append(ids, m.ID)
			go c.fleet.Boot(m, 3*time.Second)
		}
		c.fleet.mu.Lock()
		c.Spare -= count
		c.hires[in.Hire] = ids
		c.fleet.mu.Unlock()
		Note("rented %v", ids)
	}
	Answer(w, 200, map[string]any{"hosts": ids})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	type host struct {
		ID    string  `json:"id"`
		Addr  string  `json:"addr"`
		Hull  string  `json:"hull"`
		Yard  string  `json:"yard"`
		Spot  bool    `json:"loaners"`
		Phase string  `json:"phase"`
		HeldS float64 `json:"held_s"`
	}
	hosts := []host{}
	c.fleet.mu.Lock()
	for id, m := range c.fleet.Workers {
		if !m.gone && id > r.URL.Query().Get("after") {
			phase := "booting"
			if m.booted {
				phase = "running"
			}
			hosts = append(hosts, host{id, m.Addr, m.Hull, m.Yard, m.Spot, phase, time.Since(m.rented).Seconds()})
		}
	}
	c.fleet.mu.Unlock()
	sort.Slice(hosts, func(a, b int) bool { return hosts[a].ID < hosts[b].ID })
	Answer(w, 200, map[string]any{"hosts": hosts, "truncated": false})
}

// Config describes a deployment.
type Config struct {
	Count      int
	Zones      []string // of the controllers in turn
	Teams      []map[string]any
	Objectives []map[string]any
	ReportS    float64
	LeaseS     float64
	CancelS    float64
	StateRPS   float64
	StateWrite float64
	ValueKB    float64
	TxnOps     int
	StateNext  map[string]any // limits of the state service that are to come
	MemoryMB   float64
	Hulls      []Hull
	Spare      int // machines that the cloud can give
}

// Cardwren returns the settings of the brief's small deployment.
func Cardwren() Config {
	team := func(name string) map[string]any {
		return map[string]any{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
	}
	return Config{
		Count: 3, Zones: []string{"scot-north"},
		Teams: []map[string]any{team("learning-science"), team("content-ops"), team("app-platform")},
		Objectives: []map[string]any{
			{"kind": "deadline", "class": "deck-rebuild", "share": 0.9, "times": 1.0},
			{"kind": "wait", "class": "recall-refit", "within_s": 2.0, "share": 0.92},
			{"kind": "wait", "class": "recall-refit", "within_s": 12.0, "share": 0.97},
			{"kind": "finished", "class": "recall-refit", "within_s": 70.0, "share": 0.96},
		},
		ReportS: 3, LeaseS: 27, CancelS: 47, StateRPS: 120, StateWrite: 25, ValueKB: 8, TxnOps: 12, MemoryMB: 342,
		Hulls: []Hull{{Name: "thistle-32", CPUs: 32, MemGB: 64, CacheGB: 25, FetchGBPS: 1, Price: 1.18, LowPrice: 0.26, ReadyS: 30,
			Yards: []string{"scot-north"}}},
	}
}

// Site is a running deployment.
type Site struct {
	Config
	Store *Store
	Fleet *Fleet
	Dir   string
	Nodes []*Node
	root  string
	run   []string
}

// Node is a controller.
type Node struct {
	Name, Zone, Listen, Cluster string
	State                       *Link            // to the state service
	Peers                       map[string]*Link // to the other controllers, by name
	settings                    string
	site                        *Site
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	exited                      chan struct{}
	ended                       bool      // ended by the case
	Begun                       time.Time // start of the process
	Crashes                     int       // ends that the case did not cause
}

// NewSite prepares a deployment; the caller adds workers to its fleet before Start.
func NewSite(c Config) *Site {
	root, err := os.Getwd()
	Must(err)
	for {
		if _, err := os.Stat(filepath.Join(root, "deploy", "service.toml")); err == nil {
			break
		}
		if root == "/" {
			CannotRun("deploy/service.toml is not found")
		}
		root = filepath.Dir(root)
	}
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	Must(err)
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if found == nil {
		CannotRun("deploy/service.toml has no run command")
	}
	dir, err := os.MkdirTemp("", "review-")
	Must(err)
	s := &Site{Config: c, Store: NewStore(c.StateRPS, c.StateWrite, c.ValueKB, c.TxnOps), Fleet: NewFleet(c.ReportS, c.LeaseS),
		Dir: dir, root: root, run: strings.Fields(string(found[1]))}
	cleanups = append(cleanups, s.Stop)
	return s
}

// AddMachines adds running machines of the first type, in the zones in turn.
func (s *Site) AddMachines(n int) {
	h := s.Hulls[0]
	for i := range n {
		zone := h.Yards[i%len(h.Yards)]
		s.Fleet.AddWorker(fmt.Sprintf("m-%06d", 100+i), h.Name, zone, h.CPUs, h.MemGB, i%s.Count)
	}
}

// Start starts the controllers and the workers' reports, and waits until all controllers are ready.
func (s *Site) Start() {
	stand := NewCloud(s.Fleet, s.Hulls)
	stand.Spare = s.Spare
	cloud := stand.Serve()
	for i := range s.Count {
		s.Nodes = append(s.Nodes, &Node{Name: fmt.Sprintf("latchhost-%d", i), Zone: s.Zones[i%len(s.Zones)],
			Listen: FreePort(), Cluster: FreePort(), Peers: map[string]*Link{}, site: s})
	}
	var names, addrs []string
	for _, n := range s.Nodes {
		s.writeSettings(n, cloud)
		names, addrs = append(names, n.Name), append(addrs, n.Listen)
	}
	for _, n := range s.Nodes {
		n.Start()
	}
	s.Fleet.Run(names, addrs)
	s.AwaitReady(20 * time.Second)
}

// AwaitReady waits until all controllers are ready.
func (s *Site) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.Nodes {
			if status, _ := n.Get("/ready", time.Second); status == 200 {
				ready++
			}
		}
		if ready == len(s.Nodes) {
			Note("all controllers are ready")
			return
		}
		if time.Now().After(end) {
			CannotRun("the controllers are not ready; logs in " + s.Dir)
		}
	}
}

func (s *Site) writeSettings(n *Node, cloud string) {
	n.State = NewLink(s.Store.Serve(n.Name))
	others := []map[string]any{}
	for _, o := range s.Nodes {
		if o != n {
			n.Peers[o.Name] = NewLink(o.Cluster)
			others = append(others, map[string]any{"host_name": o.Name, "location": o.Zone, "addr": n.Peers[o.Name].Addr})
		}
	}
	zones := []string{}
	for _, z := range s.Zones {
		zones = append(zones, z)
	}
	state := map[string]any{"rps": s.StateRPS, "write_rps": s.StateWrite, "value_kb": s.ValueKB, "txn_ops": s.TxnOps}
	if s.StateNext != nil {
		state["next"] = s.StateNext
	}
	b, err := json.MarshalIndent(map[string]any{
		"host_name": n.Name, "location": n.Zone, "listen": n.Listen, "cluster_listen": n.Cluster, "others": others,
		"services": map[string]any{"cloud": cloud, "state": n.State.Addr},
		"params": map[string]any{
			"count": s.Count, "zones": zones, "teams": s.Teams, "objectives": s.Objectives,
			"workers":        map[string]any{"report_s": s.ReportS, "lease_s": s.LeaseS, "cancel_s": s.CancelS},
			"state":          state,
			"cloud":          map[string]any{"rps": 5.0, "list_lag_s": 8.0},
			"machine_limits": map[string]any{"core_share": 0.12, "memory_mb": s.MemoryMB, "fd_limit": 3000},
			"skew_ms":        1000.0,
		},
	}, "", " ")
	Must(err)
	n.settings = filepath.Join(s.Dir, n.Name+".json")
	Must(os.WriteFile(n.settings, b, 0o600))
}

// Stop ends all controllers and removes the folder, unless KEEP is set.
func (s *Site) Stop() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.Dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", s.Dir)
	}
}

// Start starts the controller's process.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.site.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	defer log.Close()
	run := n.site.run
	cmd := exec.Command(run[0], append(append([]string{}, run[1:]...), n.settings)...)
	cmd.Path = filepath.Join(n.site.root, run[0])
	cmd.Dir = n.site.root
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(cmd.Start())
	n.Begun = time.Now()
	n.cmd, n.ended, n.exited = cmd, false, make(chan struct{})
	exited := n.exited
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if !n.ended {
			n.Crashes++
			Note("%s ended by itself: %v", n.Name, err)
		}
		n.mu.Unlock()
		close(exited)
	}()
	Note("%s is started", n.Name)
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

// Kill ends the controller's process without notice and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.cmd == nil {
		n.mu.Unlock()
		return
	}
	n.ended = true
	n.cmd.Process.Kill() //nolint:errcheck // it may have ended
	exited := n.exited
	n.mu.Unlock()
	<-exited
	Note("%s is ended", n.Name)
}

// Signal sends a signal to the controller's process.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(sig) //nolint:errcheck // it may have ended
	Note("%s gets signal %v", n.Name, sig)
}

// CutFromStateAndPeers cuts the controller from the state service and from the other controllers, or ends the cut.
func (n *Node) CutFromStateAndPeers(on bool) {
	n.State.SetCut(on)
	for _, l := range n.Peers {
		l.SetCut(on)
	}
	for _, o := range n.site.Nodes {
		if l := o.Peers[n.Name]; l != nil {
			l.SetCut(on)
		}
	}
	Note("%s cut from the state service and the other controllers: %v", n.Name, on)
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}

// Request sends a user's request and returns status and body; status 0: no answer.
func (n *Node) Request(method, path string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.Listen+path, bytes.NewReader(body))
	resp, err := userClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// Get is Request with GET.
func (n *Node) Get(path string, limit time.Duration) (int, []byte) {
	return n.Request("GET", path, nil, limit)
}

// Submit submits a job, again and again for 60 s, as a user does, and reports whether it was accepted.
func (s *Site) Submit(j *Job) bool {
	s.Fleet.Upload(j)
	b, _ := json.Marshal(j)
	for i, end := 0, time.Now().Add(60*time.Second); time.Now().Before(end); i++ {
		n := s.Nodes[i%len(s.Nodes)]
		status, body := n.Request("POST", "/api/jobs", b, 5*time.Second)
		Note("submit %s at %s: %d %s", j.ID, n.Name, status, body)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// State is the answer to a poll.
type State struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Poll asks one controller about a job, as a user does.
func (n *Node) Poll(id string) (status int, state State) {
	status, body := n.Get("/api/jobs/"+id, 2*time.Second)
	if status == 200 {
		json.Unmarshal(body, &state) //nolint:errcheck // an undecodable answer has no phase
	}
	return status, state
}

// Withdraw asks one controller to cancel a job.
func (n *Node) Withdraw(id string) (status int, phase string) {
	status, body := n.Request("POST", "/api/jobs/"+id+"/withdraw", nil, 5*time.Second)
	var st State
	if status == 200 {
		json.Unmarshal(body, &st) //nolint:errcheck // as above
	}
	return status, st.Phase
}

// SmallJob returns a job of n tasks for a machine of the first type.
func SmallJob(id, owner string, n int, cpus, runS float64) *Job {
	return &Job{ID: id, Class: "recall-refit", Owner: owner, Shape: "array", Rank: "high", Shards: n, CPUs: cpus, MemGB: 2,
		Bundle: "img-01", SizeGB: 0.1, GuessS: runS, RunS: runS}
}

// Trouble reports whether the run has its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
