package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// team is an entry of params.teams.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// deployment is what a case sets of a cluster. The rest is as at the smaller of the users' sites.
type deployment struct {
	zones      []string // of the nodes, one each
	teams      []team
	objectives []map[string]any
	types      []machineType
	leaseS     float64
	reportS    float64
	cancelS    float64
	limits     map[string]any // of a controller's machine
	stateRPS   float64
	stateWrite float64
	cloudRPS   float64
}

// node is a controller.
type node struct {
	host, zone, listen, clusterListen string
	store                             string // address of its way to the key-value store
	settings                          string
	process                           *exec.Cmd
	exited                            chan struct{}
}

// machine is what the cloud knows of a machine.
type machine struct {
	id    string
	typ   string
	yard  string
	spot  bool
	since time.Time
	up    bool
	gone  bool
	end   time.Time // when it was returned
}

// interval is the time that an attempt was on a machine.
type interval struct {
	machine, shard string
	try            uint64
	job            *jobSpec
	from, to       time.Time // to is zero while it is on the machine
}

// cluster is a set of controllers with stand-ins around them.
type cluster struct {
	deployment
	root, dir string
	record    *os.File
	begin     time.Time
	nodes     []*node
	store     *store
	links     map[[2]int]*link

	rentals capacity // set before the controllers start

	mu         sync.Mutex
	stopped    bool
	rented     int       // machines rented so far
	lastRental time.Time // of the last rental that was granted
	jobs       map[string]*jobSpec
	machines   map[string]*machine
	workers    map[string]*worker
	intervals  []*interval
	ready      map[int]bool
	broken     []string
	logged     map[string]bool // keys of logOnce
	listed     map[string]int  // lines on starts and ends of tasks, by job
}

// newCluster makes a cluster, whose controllers run in the repository at root. Files go to a temporary folder, the record to the
// case's folder.
func newCluster(root, folder string, d deployment) (*cluster, error) {
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	c := &cluster{deployment: d, root: root, dir: dir, record: record, begin: time.Now(), store: newStore(),
		links: map[[2]int]*link{}, jobs: map[string]*jobSpec{}, machines: map[string]*machine{}, workers: map[string]*worker{},
		ready: map[int]bool{}, logged: map[string]bool{}, listed: map[string]int{}}
	for i, zone := range d.zones {
		n := &node{host: fmt.Sprintf("latchhost-%d", i), zone: zone, listen: freeAddr(i), clusterListen: freeAddr(i)}
		for n.clusterListen == n.listen {
			n.clusterListen = freeAddr(i)
		}
		n.store = serve(c.store.handler(i))
		c.nodes = append(c.nodes, n)
	}
	for i := range c.nodes {
		for k := range c.nodes {
			if i != k {
				l, err := newLink(c.nodes[k].clusterListen)
				if err != nil {
					return nil, err
				}
				c.links[[2]int{i, k}] = l
			}
		}
	}
	c.endOnSignal()
	cloud := serve(c.cloud())
	for i, n := range c.nodes {
		if err := c.writeSettings(i, n, cloud); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// endOnSignal ends the cluster's processes when this process is told to end.
func (c *cluster) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		c.endProcesses()
		os.Exit(2)
	}()
}

// freeAddr returns a loopback address of the i-th controller with a port that is free. The address is not 127.0.0.1 and differs
// between processes, so that no connection and no other run takes the port before the controller listens there.
func freeAddr(i int) string {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%200, 1+pid/200%200, 1+i))
	if err != nil {
		panic(fmt.Sprint("listen: ", err))
	}
	defer l.Close()
	return l.Addr().String()
}

func (c *cluster) writeSettings(i int, n *node, cloud string) error {
	others := []map[string]string{}
	for k, o := range c.nodes {
		if k != i {
			others = append(others, map[string]string{"host_name": o.host, "location": o.zone, "addr": c.links[[2]int{i, k}].addr})
		}
	}
	zones := []string{}
	for _, o := range c.nodes {
		if !strings.Contains(" "+strings.Join(zones, " ")+" ", " "+o.zone+" ") {
			zones = append(zones, o.zone)
		}
	}
	b, err := json.MarshalIndent(map[string]any{
		"host_name": n.host, "location": n.zone, "listen": n.listen, "cluster_listen": n.clusterListen, "others": others,
		"services": map[string]string{"cloud": cloud, "state": n.store},
		"params": map[string]any{
			"count": len(c.nodes), "zones": zones, "teams": c.teams, "objectives": c.objectives,
			"workers":        map[string]float64{"report_s": c.reportS, "lease_s": c.leaseS, "gang_wait_s": 40, "gang_peer_s": 4, "cancel_s": c.cancelS},
			"state":          map[string]any{"rps": c.stateRPS, "write_rps": c.stateWrite, "value_kb": 8.0, "txn_ops": 12},
			"cloud":          map[string]float64{"rps": c.cloudRPS, "list_lag_s": listLag.Seconds()},
			"machine_limits": c.limits,
			"skew_ms":        1000.0,
		},
	}, "", " ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(c.dir, n.host+".json")
	return os.WriteFile(n.settings, b, 0o600)
}

// log writes a line to the record.
func (c *cluster) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked(format, args...)
}

func (c *cluster) logLocked(format string, args ...any) {
	if !c.stopped {
		fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.begin).Seconds(), fmt.Sprintf(format, args...))
	}
}

// logOnce writes a line to the record if it is the first one with this key.
func (c *cluster) logOnce(key, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logged[key] {
		c.logged[key] = true
		c.logLocked(format, args...)
	}
}

// fail records that the rule was broken.
func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.logLocked("RULE BROKEN: %s", text)
}

// runCommand returns the words of the run command of the deploy file.
func runCommand(root string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			text, err := strconv.Unquote(strings.TrimSpace(value))
			return strings.Fields(text), err
		}
	}
	return nil, fmt.Errorf("the deploy file has no run command")
}

// start starts a controller's process.
func (c *cluster) start(i int) error {
	n := c.nodes[i]
	if c.isStopped() {
		return nil
	}
	words, err := runCommand(c.root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, n.host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(words[0], append(words[1:], n.settings)...)
	cmd.Dir, cmd.Stderr, cmd.Stdout = c.root, log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.exited = cmd, make(chan struct{})
	exited := n.exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	c.log("%s started", n.host)
	return nil
}

// kill ends a controller's process by SIGKILL.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	c.log("%s is killed", n.host)
	n.process.Process.Kill()
	<-n.exited
}

// endProcesses ends all processes that the cluster started.
func (c *cluster) endProcesses() {
	for _, n := range c.nodes {
		if n.process != nil {
			n.process.Process.Kill()
			<-n.exited
		}
	}
}

// giveUp ends a case that could not run. It returns the case's status and err.
func (c *cluster) giveUp(err error) (int, error) {
	c.log("the case could not run: %v", err)
	c.end()
	return 2, err
}

// stop ends a case that ran. It prints the verdict and returns the exit status.
func (c *cluster) stop() (status int) {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if len(broken) > 0 {
		status = 1
		c.log("verdict: the rule was broken")
		for _, b := range broken {
			fmt.Println("broken:", b)
		}
	} else {
		c.log("verdict: the rule held")
		fmt.Println("the rule held")
	}
	c.end()
	return status
}

// end ends all processes and closes the record.
func (c *cluster) end() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.endProcesses()
	c.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

func (c *cluster) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// addMachine adds a machine that is up, with its worker, which runs at once.
func (c *cluster) addMachine(id, typ, yard string) *worker {
	for _, t := range c.types {
		if t.Name != typ {
			continue
		}
		w := newWorker(c, id, t, yard)
		c.mu.Lock()
		c.machines[id] = &machine{id: id, typ: typ, yard: yard, since: time.Now().Add(-10 * time.Second), up: true}
		c.workers[id] = w
		c.mu.Unlock()
		go w.run()
		return w
	}
	panic("no machine type " + typ)
}

// capacity is what the cloud has to give beside the machines that the case added.
type capacity struct {
	machines int           // how many machines it may still rent
	typ      string        // of which type; empty: of any
	boot     time.Duration // how long each takes to come up
	// onRent, unless nil, is called with each machine's worker before the worker runs, and the number of the machine.
	onRent func(w *worker, n int)
}

// rent rents machines and returns their names. mu is held.
func (c *cluster) rent(typ, yard string, spot bool, n int) []string {
	names := []string{}
	for ; n > 0 && c.rentals.machines > 0 && (c.rentals.typ == "" || c.rentals.typ == typ); n-- {
		c.rentals.machines--
		c.rented++
		id := fmt.Sprintf("m-%06d", 500+c.rented)
		m := &machine{id: id, typ: typ, yard: yard, spot: spot, since: time.Now()}
		c.machines[id] = m
		number := c.rented
		names = append(names, id)
		time.AfterFunc(c.rentals.boot, func() { c.boot(m, number) })
	}
	return names
}

// boot brings a rented machine up.
func (c *cluster) boot(m *machine, number int) {
	for _, t := range c.types {
		if t.Name != m.typ {
			continue
		}
		w := newWorker(c, m.id, t, m.yard)
		w.spot = m.spot
		if c.rentals.onRent != nil {
			c.rentals.onRent(w, number)
		}
		c.mu.Lock()
		gone := m.gone
		m.up, c.workers[m.id] = true, w
		c.mu.Unlock()
		if !gone {
			c.log("cloud: %s is up", m.id)
			go w.run()
		}
	}
}

// listed reports whether the cloud's list shows a machine: it lags by the time in the settings.
func (m *machine) listed() bool {
	return time.Since(m.since) >= listLag && (!m.gone || time.Since(m.end) < listLag)
}

// listLag is the lag of the cloud's list, as in the settings.
const listLag = 8 * time.Second

// cloud serves the cloud's interface: it has the machines that the case added, and the capacity that it set.
func (c *cluster) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{"hulls": c.types}) })
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := []map[string]any{}
		for _, m := range c.machines {
			if m.id > r.URL.Query().Get("after") && m.listed() {
				phase, addr := "booting", ""
				if m.up {
					phase, addr = "running", c.workers[m.id].addr
				}
				list = append(list, map[string]any{"id": m.id, "addr": addr, "hull": m.typ, "yard": m.yard, "loaners": m.spot,
					"phase": phase, "held_s": time.Since(m.since).Seconds()})
			}
		}
		sort.Slice(list, func(i, k int) bool { return list[i]["id"].(string) < list[k]["id"].(string) })
		reply(w, 200, map[string]any{"hosts": list, "truncated": false})
	})
	hires := map[string][]string{}
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Hire string `json:"hire"`
			Hull string `json:"hull"`
			Yard string `json:"yard"`
			Spot bool   `json:"loaners"`
			Many int    `json:"how_many"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.Many < 1 || in.Many > 50 {
			reply(w, 400, map[string]string{"error": "malformed"})
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if hires[in.Hire] == nil {
			if hires[in.Hire] = c.rent(in.Hull, in.Yard, in.Spot, in.Many); len(hires[in.Hire]) == 0 {
				delete(hires, in.Hire)
				reply(w, 503, map[string]string{"error": "no capacity"})
				return
			}
			c.logLocked("cloud: rents %d of %s in %s, spot %v: %v", in.Many, in.Hull, in.Yard, in.Spot, hires[in.Hire])
			c.lastRental = time.Now()
		}
		reply(w, 200, map[string]any{"hosts": hires[in.Hire]})
	})
	mux.HandleFunc("POST /rentals/return", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Hosts []string `json:"hosts"`
		}
		json.NewDecoder(r.Body).Decode(&in)
		for _, id := range in.Hosts {
			c.mu.Lock()
			m, wk := c.machines[id], c.workers[id]
			if m != nil && !m.gone {
				m.gone, m.end = true, time.Now()
			}
			c.mu.Unlock()
			c.log("cloud: %s is returned", id)
			if wk != nil {
				wk.remove()
			}
		}
		reply(w, 200, struct{}{})
	})
	return mux
}

// remove ends a machine with all that is on it.
func (w *worker) remove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.leave(t, "the machine is gone")
	}
	w.tasks, w.silenced, w.removed = nil, true, true
}

// jobOf returns the job of a task, or nil.
func (c *cluster) jobOf(shard string) *jobSpec {
	id, _, _ := strings.Cut(shard, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// started records that an attempt is on a machine from now on.
func (c *cluster) started(w *worker, t *taskState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intervals = append(c.intervals, &interval{w.id, t.Shard, t.Try, t.job, time.Now(), time.Time{}})
	if c.lists(t) {
		c.logLocked("machine %s (%s): %s attempt %d starts (%s, %g CPUs)", w.id, w.typ.Name, t.Shard, t.Try, t.job.Owner, t.job.CPUs)
	}
}

// maxListed is how many starts and ends of a job's tasks the record lists.
const maxListed = 200

// lists reports whether the record lists a start or an end of a task: of a job with very many tasks it lists those of the first three,
// and of any job the first maxListed. mu is held.
func (c *cluster) lists(t *taskState) bool {
	_, number, _ := strings.Cut(t.Shard, "/")
	if n, _ := strconv.Atoi(number); t.job.Shards >= 1000 && n >= 3 {
		return false
	}
	c.listed[t.job.ID]++
	if c.listed[t.job.ID] == maxListed {
		c.logLocked("further starts and ends of tasks of %s are not listed", t.job.ID)
	}
	return c.listed[t.job.ID] < maxListed
}

// ended records that an attempt is no longer on a machine.
func (c *cluster) ended(w *worker, t *taskState, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.intervals {
		if i.machine == w.id && i.shard == t.Shard && i.try == t.Try && i.to.IsZero() {
			i.to = time.Now()
		}
	}
	if c.lists(t) {
		c.logLocked("machine %s: %s attempt %d is off it: %s", w.id, t.Shard, t.Try, why)
	}
}

// present returns the attempts that are on machines now.
func (c *cluster) present() []interval {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []interval
	for _, i := range c.intervals {
		if i.to.IsZero() {
			out = append(out, *i)
		}
	}
	return out
}

// countAttempts returns how many attempts of a job have been on machines, and how many of these have run to their end.
func (c *cluster) countAttempts(id string) (starts, completed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.intervals {
		if i.job.ID == id {
			starts++
			if !i.to.IsZero() && i.to.Sub(i.from) >= seconds(i.job.RunS) {
				completed++
			}
		}
	}
	return starts, completed
}

var userClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// request sends a user's request to a node. Status 0 means no answer.
func (c *cluster) request(node int, method, path string, body any, timeout time.Duration) (status int, answer map[string]any) {
	var reader io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+c.nodes[node].listen+path, reader)
	if err != nil {
		return 0, nil
	}
	client := *userClient
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	json.NewDecoder(resp.Body).Decode(&answer)
	return resp.StatusCode, answer
}

// watchReady probes the nodes once a second, as the load balancer does. It goes on until the cluster stops.
func (c *cluster) watchReady() {
	for i := range c.nodes {
		go func() {
			for failures := 0; !c.isStopped(); time.Sleep(time.Second / 2) {
				status, _ := c.request(i, "GET", "/ready", nil, time.Second)
				if failures++; status == 200 {
					failures = 0
				}
				c.mu.Lock()
				c.ready[i] = status == 200 || c.ready[i] && failures < 2
				c.mu.Unlock()
			}
		}()
	}
}

// awaitReady waits until all nodes are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		n := 0
		for i := range c.nodes {
			if c.isReady(i) {
				n++
			}
		}
		if n == len(c.nodes) {
			c.log("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after %s", limit)
}

func (c *cluster) isReady(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready[i]
}

// anyReady returns a node that is ready, node preferred if it is one of them, or -1.
func (c *cluster) anyReady(preferred int) int {
	for k := range c.nodes {
		if i := (preferred + k) % len(c.nodes); c.isReady(i) {
			return i
		}
	}
	return -1
}

// submit submits a job as users do, with retries for up to 60 s. It reports whether the job was accepted.
func (c *cluster) submit(j *jobSpec, preferred int) bool {
	c.mu.Lock()
	c.jobs[j.ID] = j
	c.mu.Unlock()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Second) {
		i := c.anyReady(preferred)
		if i < 0 {
			continue
		}
		status, answer := c.request(i, "POST", "/api/jobs", j, 5*time.Second)
		c.log("user: submits %s to %s: %d %v", j.ID, c.nodes[i].host, status, answer)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
	}
	return false
}

// poll asks a node for a job's state.
func (c *cluster) poll(id string, node int) (status int, phase string, answer map[string]any) {
	status, answer = c.request(node, "GET", "/api/jobs/"+id, nil, 2*time.Second)
	phase, _ = answer["phase"].(string)
	c.log("user: polls %s at %s: %d %v", id, c.nodes[node].host, status, answer)
	return status, phase, answer
}

// withdraw asks a node to cancel a job.
func (c *cluster) withdraw(id string, node int) (status int, phase string) {
	status, answer := c.request(node, "POST", "/api/jobs/"+id+"/withdraw", struct{}{}, 5*time.Second)
	phase, _ = answer["phase"].(string)
	c.log("user: cancels %s at %s: %d %v", id, c.nodes[node].host, status, answer)
	return status, phase
}

// link is the way by which one controller calls another one.
type link struct {
	addr, target string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// forward copies between a connection and the target. While the link is blocked it closes the connection: the caller is refused.
func (l *link) forward(conn net.Conn) {
	defer conn.Close()
	if !l.keep(conn) {
		return
	}
	defer l.drop(conn)
	up, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		io.Copy(up, conn)
		up.Close()
	}()
	io.Copy(conn, up)
}

func (l *link) keep(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *link) drop(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// block blocks or opens the link. Blocking resets its connections.
func (l *link) block(v bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = v
	if v {
		for conn := range l.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
}
