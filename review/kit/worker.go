package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Job is a submission, in the form of the protocol page.
type Job struct {
	ID           string   `json:"id"`
	Class        string   `json:"jobclass"`
	Owner        string   `json:"owner"`
	Shape        string   `json:"shape"`
	Rank         string   `json:"rank"`
	Shards       int      `json:"shards"`
	CPUs         float64  `json:"cpus"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	Bundle       string   `json:"bundle"`
	SizeGB       float64  `json:"size_gb"`
	Hulls        []string `json:"hulls"`
	Yard         *string  `json:"yard"`
	OneZone      bool     `json:"one_zone"`
	Spread       bool     `json:"spread"`
	Loaners      bool     `json:"loaners"`
	GuessS       float64  `json:"guess_s"`
	SnapEveryS   float64  `json:"snap_every_s"`
	SnapS        float64  `json:"snap_s"`
	DueS         *float64 `json:"due_s"`

	RunS float64 `json:"-"` // run time of each task
}

// Fleet has the workers, the uploaded jobs, and what is on which machine.
type Fleet struct {
	ReportS, LeaseS float64
	FetchGBPS       float64

	mu         sync.Mutex
	nodes      []string // names of the controllers, in order
	addrs      []string // their addresses for workers
	jobs       map[string]*Job
	on         map[string]map[string]time.Time // task -> attempts that are on a machine, by machine and attempt
	Workers    map[string]*Worker
	Starts     []Start
	RanTwice   []string // starts of a task on one machine while it was on another
	doneAt     map[string]time.Time
	doneByTask map[string]bool
}

// Start is one start of a task.
type Start struct {
	Task, Machine string
	Try           uint64
	At            time.Time
}

// NewFleet returns a fleet without workers.
func NewFleet(reportS, leaseS float64) *Fleet {
	return &Fleet{ReportS: reportS, LeaseS: leaseS, FetchGBPS: 1, jobs: map[string]*Job{}, on: map[string]map[string]time.Time{},
		Workers: map[string]*Worker{}, doneAt: map[string]time.Time{}, doneByTask: map[string]bool{}}
}

// Upload makes a job's description known to the workers, as its user does.
func (f *Fleet) Upload(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// AllDoneAt returns when the last task of a job completed; ok is false while some have not.
func (f *Fleet) AllDoneAt(id string) (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok = f.doneAt[id]
	return at, ok
}

// TasksOn counts the tasks of jobs with a prefix that are on machines now.
func (f *Fleet) TasksOn(prefix string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, on := range f.on {
		if strings.HasPrefix(task, prefix) {
			n += len(on)
		}
	}
	return n
}

type workerTask struct {
	Shard  string `json:"shard"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
	end    time.Time
	job    *Job
}

type order struct {
	Verb  string   `json:"verb"`
	Shard string   `json:"shard"`
	Try   uint64   `json:"try"`
	Wind  *float64 `json:"wind_down_s"`
}

// Worker is a stand-in for the worker on one machine.
type Worker struct {
	ID, Addr, Hull, Yard string
	Spot                 bool
	CPUs, MemGB          float64

	fleet     *Fleet
	tenure    uint64
	tick      uint64
	epoch     uint64
	epochTold time.Time
	renewed   time.Time
	tasks     map[string]*workerTask // by shard and try
	images    map[string]bool
	results   map[string]bool // completed shards
	node      int
	change    chan struct{}
	gone      bool
	booted    bool
	rented    time.Time
}

// Boot adds a machine that is up after a time.
func (f *Fleet) Boot(w *Worker, after time.Duration) {
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	w.booted = true
	w.renewed = time.Now()
	if !w.gone {
		go w.reportLoop()
		go w.clockLoop()
	}
}

// AddWorker starts a worker.
func (f *Fleet) AddWorker(id, hull, yard string, cpus, memGB float64, node int) *Worker {
	w := &Worker{ID: id, Hull: hull, Yard: yard, CPUs: cpus, MemGB: memGB, fleet: f, tenure: 1, renewed: time.Now(),
		tasks: map[string]*workerTask{}, images: map[string]bool{}, results: map[string]bool{}, node: node, change: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.handleOrders)
	mux.HandleFunc("GET /show", w.handleShow)
	w.Addr = Listen(mux)
	f.mu.Lock()
	f.Workers[id] = w
	f.mu.Unlock()
	return w
}

// Run starts the reports of all workers to these nodes.
func (f *Fleet) Run(nodes, addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes, f.addrs = nodes, addrs
	for _, w := range f.Workers {
		w.booted, w.rented = true, time.Now()
		go w.reportLoop()
		go w.clockLoop()
	}
}

// Remove takes machines away, with all that is on them.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.Workers[id]; w != nil && !w.gone {
		w.gone = true
		w.killAll()
		Note("machine %s is gone", id)
	}
}

// killAll ends all tasks. The fleet's lock is held, as for all methods in lower case that don't say otherwise.
func (w *Worker) killAll() {
	for k, t := range w.tasks {
		w.off(t)
		delete(w.tasks, k)
	}
}

func (w *Worker) off(t *workerTask) {
	if t.Phase == "running" || t.Phase == "saving" {
		delete(w.fleet.on[t.Shard], fmt.Sprintf("%s %d", w.ID, t.Try))
	}
}

func (w *Worker) changed() {
	select {
	case w.change <- struct{}{}:
	default:
	}
}

func (w *Worker) advance(now time.Time) {
	if now.Sub(w.renewed).Seconds() > w.fleet.LeaseS {
		if len(w.tasks) > 0 {
			Note("%s: lease over, %d tasks killed", w.ID, len(w.tasks))
		}
		w.killAll()
		w.tenure++
		w.renewed = now
		w.changed()
	}
	for _, t := range w.tasks {
		if t.Phase == "fetching" && !now.Before(t.end) {
			w.images[t.job.Bundle] = true
			if w.results[t.Shard] {
				t.Phase, t.Cause = "exited", "done"
				w.changed()
				continue
			}
			t.Phase, t.end = "running", now.Add(time.Duration(t.job.RunS*float64(time.Second)))
			w.started(t, now)
			w.changed()
		}
		if t.Phase == "saving" && now.After(t.end) {
			w.off(t)
			Note("%s: %s try %d is saved and stopped", w.ID, t.Shard, t.Try)
			t.Phase, t.Cause, t.Stored = "exited", "stopped", true
			w.changed()
		}
		if t.Phase == "running" && now.After(t.end) {
			w.off(t)
			t.Phase, t.Cause = "exited", "done"
			w.results[t.Shard] = true
			w.completed(t, now)
			w.changed()
		}
	}
}

func (w *Worker) started(t *workerTask, now time.Time) {
	f := w.fleet
	for other := range f.on[t.Shard] {
		if !strings.HasPrefix(other, w.ID+" ") {
			f.RanTwice = append(f.RanTwice, fmt.Sprintf("%s started on %s (try %d) while it was on %s", t.Shard, w.ID, t.Try, other))
			Note("RAN TWICE: %s", f.RanTwice[len(f.RanTwice)-1])
		}
	}
	if f.on[t.Shard] == nil {
		f.on[t.Shard] = map[string]time.Time{}
	}
	f.on[t.Shard][fmt.Sprintf("%s %d", w.ID, t.Try)] = now
	f.Starts = append(f.Starts, Start{t.Shard, w.ID, t.Try, now})
	Note("%s: %s try %d starts", w.ID, t.Shard, t.Try)
}

func (w *Worker) completed(t *workerTask, now time.Time) {
	f := w.fleet
	Note("%s: %s try %d completes", w.ID, t.Shard, t.Try)
	f.doneByTask[t.Shard] = true
	for n := range t.job.Shards {
		if !f.doneByTask[fmt.Sprintf("%s/%d", t.job.ID, n)] {
			return
		}
	}
	if f.doneAt[t.job.ID].IsZero() {
		f.doneAt[t.job.ID] = now
	}
}

func (w *Worker) clockLoop() {
	for range time.Tick(50 * time.Millisecond) {
		w.fleet.mu.Lock()
		if w.gone {
			w.fleet.mu.Unlock()
			return
		}
		w.advance(time.Now())
		w.fleet.mu.Unlock()
	}
}

func (w *Worker) report() map[string]any {
	w.tick++
	shards := []workerTask{}
	for _, t := range w.tasks {
		shards = append(shards, *t)
	}
	sort.Slice(shards, func(a, b int) bool { return shards[a].Shard < shards[b].Shard })
	return map[string]any{"host": w.ID, "addr": w.Addr, "hull": w.Hull, "yard": w.Yard, "loaners": w.Spot,
		"tenure": w.tenure, "tick": w.tick, "epoch": w.epoch, "recall_s": nil, "shards": shards}
}

func (w *Worker) execute(orders []order, now time.Time) {
	defer w.advance(now)
	for _, o := range orders {
		key := fmt.Sprintf("%s %d", o.Shard, o.Try)
		t := w.tasks[key]
		switch o.Verb {
		case "run":
			if t == nil {
				w.tasks[key] = w.newTask(o, now)
				w.changed()
			}
		case "stop":
			if t != nil && t.Phase == "running" && t.job.SnapEveryS > 0 && o.Wind != nil && *o.Wind >= t.job.SnapS {
				t.Phase, t.end = "saving", now.Add(time.Duration(t.job.SnapS*float64(time.Second)))
				w.changed()
			} else if t != nil && t.Phase != "exited" && (t.Phase != "saving" || o.Wind == nil || *o.Wind == 0) {
				w.off(t)
				Note("%s: %s try %d is stopped", w.ID, t.Shard, t.Try)
				t.Phase, t.Cause = "exited", "stopped"
				w.changed()
			}
		case "forget":
			if t != nil && t.Phase == "exited" {
				delete(w.tasks, key)
				w.changed()
			}
		}
	}
}

func (w *Worker) newTask(o order, now time.Time) *workerTask {
	id, _, _ := strings.Cut(o.Shard, "/")
	t := &workerTask{Shard: o.Shard, Try: o.Try, Phase: "exited", job: w.fleet.jobs[id]}
	if t.job == nil {
		t.Cause = "no_such"
		return t
	}
	cpus, mem := w.CPUs, w.MemGB
	for _, other := range w.tasks {
		if other.Phase != "exited" {
			if other.Shard == o.Shard {
				t.Cause = "busy"
				return t
			}
			cpus -= other.job.CPUs
			mem -= other.job.MemGB
		}
	}
	if t.job.CPUs > cpus+1e-9 || t.job.MemGB > mem+1e-9 {
		t.Cause = "no_room"
		return t
	}
	t.Phase, t.end = "fetching", now
	if !w.images[t.job.Bundle] {
		t.end = now.Add(time.Duration(t.job.SizeGB / w.fleet.FetchGBPS * float64(time.Second)))
	}
	return t
}

// handleOrders executes a direct command message. It takes the fleet's lock.
func (w *Worker) handleOrders(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Epoch  *uint64 `json:"epoch"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Epoch == nil || in.Tenure == nil {
		Answer(rw, 400, nil)
		return
	}
	f := w.fleet
	f.mu.Lock()
	if w.gone {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer f.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if *in.Epoch < w.epoch || *in.Tenure != w.tenure {
		Answer(rw, 409, w.report())
		return
	}
	w.sawEpoch(*in.Epoch, now)
	w.execute(in.Orders, now)
	Answer(rw, 200, w.report())
}

func (w *Worker) sawEpoch(epoch uint64, now time.Time) {
	if epoch <= w.epoch {
		return
	}
	w.epoch = epoch
	if now.Sub(w.epochTold).Seconds() > w.fleet.LeaseS/2 {
		w.epochTold = now
		w.changed()
	}
}

// handleShow answers with the worker's report. It takes the fleet's lock.
func (w *Worker) handleShow(rw http.ResponseWriter, r *http.Request) {
	w.fleet.mu.Lock()
	if w.gone {
		w.fleet.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer w.fleet.mu.Unlock()
	Answer(rw, 200, w.report())
}

// reportLoop sends reports. It takes the fleet's lock for moments.
func (w *Worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
	for {
		sent := time.Now()
		pause := w.sendReport(client)
		if pause < 0 {
			return
		}
		if pause > 0 {
			time.Sleep(pause)
			continue
		}
		every := time.Duration(w.fleet.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		select {
		case <-time.After(every - time.Since(sent)):
		case <-w.change:
			time.Sleep(500*time.Millisecond - time.Since(sent))
		}
	}
}

// sendReport sends one report and returns the pause before the next one if another node is to be tried: 0 if the
// worker stays, below 0 if the machine is gone.
func (w *Worker) sendReport(client *http.Client) time.Duration {
	f := w.fleet
	f.mu.Lock()
	if w.gone {
		f.mu.Unlock()
		return -1
	}
	sent := time.Now()
	w.advance(sent)
	tenure := w.tenure
	b, _ := json.Marshal(w.report())
	node, addr := f.nodes[w.node], f.addrs[w.node]
	f.mu.Unlock()
	next := func() time.Duration {
		f.mu.Lock()
		w.node = (w.node + 1) % len(f.nodes)
		f.mu.Unlock()
		return time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(b))
	resp, err := client.Do(req)
	if err != nil {
		return next()
	}
	defer resp.Body.Close()
	var out struct {
		Epoch   *uint64 `json:"epoch"`
		Orders  []order `json:"orders"`
		Steward string  `json:"steward"`
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(body, &out) != nil {
		return next()
	}
	switch {
	case resp.StatusCode == 200:
		f.mu.Lock()
		defer f.mu.Unlock()
		now := time.Now()
		w.advance(now)
		if w.gone || out.Epoch == nil || *out.Epoch < w.epoch || w.tenure != tenure {
			return 0
		}
		w.renewed = sent
		w.sawEpoch(*out.Epoch, now)
		w.execute(out.Orders, now)
		return 0
	case resp.StatusCode == 421 && out.Steward != node:
		for i, name := range f.nodes {
			if name == out.Steward {
				f.mu.Lock()
				w.node = i
				f.mu.Unlock()
				return time.Duration(1 + rand.Float64()*5e8)
			}
		}
	}
	return next()
}

// FinishOn completes one running task of a job with a prefix on each machine that reports to a node, the machines
// one after the other at the given times: these are the tasks' run times. It returns the tasks.
func (f *Fleet) FinishOn(node int, prefix string, at []time.Time) (tasks []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, w := range f.Workers {
		if w.node == node && !w.gone {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		if len(tasks) == len(at) {
			break
		}
		w := f.Workers[id]
		for _, t := range w.tasks {
			if t.Phase != "running" || !strings.HasPrefix(t.Shard, prefix) {
				continue
			}
			time.AfterFunc(time.Until(at[len(tasks)]), func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				now := time.Now()
				t.end = now.Add(-time.Millisecond)
				w.advance(now)
			})
			tasks = append(tasks, t.Shard)
			break
		}
	}
	return tasks
}
