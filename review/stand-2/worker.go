package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// machineType is an entry of the cloud's catalog.
type machineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"cache_gb"`
	FetchRate float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	LowPrice  float64  `json:"low_price"`
	ReadyS    float64  `json:"ready_s"`
	Yards     []string `json:"yards"`
}

// jobSpec is a job as its user submits it. RunS is the time that each of its tasks runs.
type jobSpec struct {
	ID      string   `json:"id"`
	Class   string   `json:"jobclass"`
	Owner   string   `json:"owner"`
	Shape   string   `json:"shape"`
	Rank    string   `json:"rank"`
	Shards  int      `json:"shards"`
	CPUs    float64  `json:"cpus"`
	GPUs    float64  `json:"accelerators"`
	MemGB   float64  `json:"mem_gb"`
	Bundle  string   `json:"bundle"`
	SizeGB  float64  `json:"size_gb"`
	Hulls   []string `json:"hulls"`
	Yard    *string  `json:"yard"`
	OneZone bool     `json:"one_zone"`
	Spread  bool     `json:"spread"`
	Loaners bool     `json:"loaners"`
	GuessS  float64  `json:"guess_s"`
	SnapS   float64  `json:"snap_s"`
	SnapAt  float64  `json:"snap_every_s"`
	DueS    *float64 `json:"due_s"`

	RunS float64 `json:"-"`
}

// taskState is an attempt on a worker.
type taskState struct {
	Shard  string `json:"shard"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`

	job     *jobSpec
	endsAt  time.Time // end of the run
	fetched time.Time // when the image is there
}

// worker is the worker of one machine, by PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".
type worker struct {
	c    *cluster
	id   string
	typ  machineType
	yard string
	addr string
	spot bool

	mu       sync.Mutex
	tenure   uint64
	tick     uint64
	epoch    uint64
	renewed  time.Time // sending of the last answered report, or begin of the session
	tasks    []*taskState
	images   map[string]time.Time
	node     int // index of the node that it reports to
	changed  chan struct{}
	silenced bool // it is behind a cut: it neither sends nor answers
	faulty   bool // it fails every task that it starts
	removed  bool // its machine is gone
}

type order struct {
	Verb  string   `json:"verb"`
	Shard string   `json:"shard"`
	Try   uint64   `json:"try"`
	Grace *float64 `json:"wind_down_s"`
}

func newWorker(c *cluster, id string, typ machineType, yard string) *worker {
	w := &worker{c: c, id: id, typ: typ, yard: yard, tenure: 1, renewed: time.Now(), images: map[string]time.Time{},
		changed: make(chan struct{}, 1), node: rand.IntN(len(c.nodes))}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.orders)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		reply(rw, 200, w.report())
	})
	w.addr = serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.isSilenced() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(rw, r)
	}))
	return w
}

func (w *worker) isSilenced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silenced
}

func (w *worker) isRemoved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.removed
}

func (w *worker) setSilenced(v bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silenced = v
}

func (w *worker) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report returns the next report. mu is held.
func (w *worker) report() map[string]any {
	w.tick++
	list := make([]taskState, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, *t)
	}
	return map[string]any{"host": w.id, "addr": w.addr, "hull": w.typ.Name, "yard": w.yard, "loaners": w.spot,
		"tenure": w.tenure, "tick": w.tick, "epoch": w.epoch, "recall_s": nil, "shards": list}
}

// advance applies what has happened by now: the lease's end, image fetches and ends of tasks. mu is held.
func (w *worker) advance() {
	if w.removed {
		return
	}
	now := time.Now()
	if now.Sub(w.renewed).Seconds() > w.c.leaseS {
		for _, t := range w.tasks {
			w.leave(t, "killed: the worker's lease is over")
		}
		w.tasks, w.tenure, w.renewed = nil, w.tenure+1, now
		w.c.log("worker %s: its lease is over, session %d", w.id, w.tenure)
		w.notify()
	}
	for _, t := range w.tasks {
		if t.Phase == "fetching" && !now.Before(t.fetched) {
			t.Phase, t.endsAt = "running", now.Add(seconds(t.job.RunS))
			w.c.started(w, t)
			w.notify()
		}
		if t.Phase == "running" && w.faulty && now.Sub(t.endsAt)+seconds(t.job.RunS) >= failAfter {
			w.exit(t, "error")
		}
		if t.Phase == "running" && !now.Before(t.endsAt) {
			w.exit(t, "done")
		}
	}
}

// failAfter is how long a task runs on a faulty machine.
const failAfter = time.Second

// exit ends a task. mu is held.
func (w *worker) exit(t *taskState, cause string) {
	w.leave(t, cause)
	t.Phase, t.Cause = "exited", cause
	w.notify()
}

// leave records that a task that was on the machine no longer is. mu is held.
func (w *worker) leave(t *taskState, why string) {
	if t.Phase == "running" || t.Phase == "saving" {
		w.c.ended(w, t, why)
	}
}

func (w *worker) find(shard string, try uint64) *taskState {
	for _, t := range w.tasks {
		if t.Shard == shard && t.Try == try {
			return t
		}
	}
	return nil
}

// execute executes commands in order. mu is held.
func (w *worker) execute(list []order) {
	for _, o := range list {
		t := w.find(o.Shard, o.Try)
		switch o.Verb {
		case "run":
			if t == nil {
				w.start(o)
			}
		case "stop":
			if t != nil && t.Phase != "exited" {
				w.exit(t, "stopped")
			}
		case "forget":
			if t != nil && t.Phase == "exited" {
				for i := range w.tasks {
					if w.tasks[i] == t {
						w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
						break
					}
				}
				w.notify()
			}
		}
	}
}

// start executes a run command. mu is held.
func (w *worker) start(o order) {
	t := &taskState{Shard: o.Shard, Try: o.Try, Phase: "fetching", job: w.c.jobOf(o.Shard)}
	cpus, mem := 0.0, 0.0
	busy := false
	for _, other := range w.tasks {
		if other.Phase != "exited" {
			cpus, mem = cpus+other.job.CPUs, mem+other.job.MemGB
			busy = busy || other.Shard == o.Shard
		}
	}
	w.tasks = append(w.tasks, t)
	w.notify()
	switch {
	case t.job == nil:
		t.Phase, t.Cause = "exited", "no_such"
	case busy:
		t.Phase, t.Cause = "exited", "busy"
	case cpus+t.job.CPUs > w.typ.CPUs+1e-6 || mem+t.job.MemGB > w.typ.MemGB+1e-6:
		t.Phase, t.Cause = "exited", "no_room"
	default:
		at, ok := w.images[t.job.Bundle]
		if !ok {
			at = time.Now().Add(seconds(t.job.SizeGB / w.typ.FetchRate))
			w.images[t.job.Bundle] = at
		}
		t.fetched = at
		w.advance()
		return
	}
	w.c.log("worker %s: refused %s attempt %d: %s", w.id, t.Shard, t.Try, t.Cause)
}

// orders handles POST /orders.
func (w *worker) orders(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Epoch  *uint64 `json:"epoch"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Epoch == nil || in.Tenure == nil {
		reply(rw, 400, map[string]string{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if *in.Epoch < w.epoch || *in.Tenure != w.tenure {
		reply(rw, 409, w.report())
		return
	}
	if *in.Epoch > w.epoch {
		w.epoch = *in.Epoch
		w.notify()
	}
	w.execute(in.Orders)
	reply(rw, 200, w.report())
}

// run sends reports until the cluster stops.
func (w *worker) run() {
	go func() {
		for !w.c.isStopped() {
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for !w.c.isStopped() && !w.isRemoved() {
		wait := w.sendReport(client)
		sent := time.Now()
		select {
		case <-time.After(wait):
		case <-w.changed:
			if rest := 500*time.Millisecond - time.Since(sent); rest > 0 {
				time.Sleep(rest)
			}
		}
	}
}

// maxBody is the largest body of a request, in bytes (PROTOCOL).
const maxBody = 64 << 10

// sendReport sends a report and returns how long to wait for the next one.
func (w *worker) sendReport(client *http.Client) time.Duration {
	w.mu.Lock()
	w.advance()
	sent, tenure := time.Now(), w.tenure
	body, _ := json.Marshal(w.report())
	node, silenced := w.node, w.silenced
	w.mu.Unlock()
	if silenced {
		return time.Second
	}
	if len(body) > maxBody {
		w.c.logOnce(w.id+fmt.Sprint(tenure), "worker %s: its report lists %d tasks in %d bytes; a request's body may have %d",
			w.id, bytes.Count(body, []byte(`"shard"`)), len(body), maxBody)
		return time.Second
	}
	resp, err := client.Post("http://"+w.c.nodes[node].listen+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		w.next(node)
		return time.Second
	}
	defer resp.Body.Close()
	var out struct {
		Epoch   *uint64 `json:"epoch"`
		Orders  []order `json:"orders"`
		Steward string  `json:"steward"`
	}
	decodeErr := json.NewDecoder(resp.Body).Decode(&out)
	w.mu.Lock()
	silenced = w.silenced
	w.mu.Unlock()
	if silenced {
		return time.Second
	}
	switch {
	case resp.StatusCode == 200 && decodeErr == nil:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		if out.Epoch == nil || *out.Epoch < w.epoch || w.tenure != tenure {
			break
		}
		if *out.Epoch > w.epoch {
			w.epoch = *out.Epoch
			w.notify()
		}
		w.renewed = sent
		w.execute(out.Orders)
	case resp.StatusCode == 421:
		for i, n := range w.c.nodes {
			if n.host == out.Steward && i != node {
				w.mu.Lock()
				w.node = i
				w.mu.Unlock()
				return 100 * time.Millisecond
			}
		}
		fallthrough
	default:
		w.next(node)
		return time.Second
	}
	return seconds(w.c.reportS * (0.75 + rand.Float64()/2))
}

// next makes the worker report to the next node.
func (w *worker) next(node int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node = (node + 1) % len(w.c.nodes)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serve starts an HTTP server on a free port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprint("listen: ", err))
	}
	go http.Serve(l, h)
	return l.Addr().String()
}
