package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// heartbeatInterval is how often a worker reports, and how often it looks for the ends of its tasks.
const heartbeatInterval = 500 * time.Millisecond

// fleet is all workers of a run. Their lock guards what runs where, so that a task on two
// machines is seen.
type fleet struct {
	mu          sync.Mutex
	clock       clock.Clock
	runFor      time.Duration
	controllers map[string]string // addresses for users and workers, by host
	hosts       []string
	startedAt   map[string]clock.Micros // by attempt on its machine
	machineOf   map[string]string       // by task: where it runs
	duplicates  []string                // tasks that ran on two machines
	starts      []taskStart
	cutFrom     map[string]bool // controllers that workers of a zone which is cut off don't reach
	taskDone    func(task string)
}

// taskStart is the start of a task on a machine.
type taskStart struct {
	task, zone string
	at         clock.Micros
}

// worker is a stand-in worker that reports to one controller at a time.
type worker struct {
	*fakes.Worker
	fleet      *fleet
	addr       string // its own
	cut        bool   // its zone is cut off
	controller int    // the controller that it reports to
}

// newWorker makes a worker that takes orders at an address of its own.
func newWorker(f *fleet, id string, lease clock.Micros, at int) (*worker, error) {
	w := &worker{Worker: fakes.NewWorker(id, lease, f.clock.Now()), fleet: f, controller: at}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(rw http.ResponseWriter, r *http.Request) {
		var o wire.Orders
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			writeJSON(rw, 400, nil)
			return
		}
		f.mu.Lock()
		if w.cut {
			f.mu.Unlock()
			writeJSON(rw, 504, nil) // a proxy's word: the worker has not heard
			return
		}
		report, ok := w.Orders(o, f.clock.Now())
		f.updateTasks(w)
		f.mu.Unlock()
		report.Addr = w.addr
		writeJSON(rw, map[bool]int{true: 200, false: 409}[ok], report)
	})
	addr, err := serve(mux)
	w.addr = addr
	return w, err
}

// updateTasks ends the worker's tasks whose time is over, and notes what runs. The lock is held.
func (f *fleet) updateTasks(w *worker) {
	now := f.clock.Now()
	for task, machine := range f.machineOf {
		if machine == w.ID && !w.Running(task) {
			delete(f.machineOf, task)
		}
	}
	for _, k := range w.InOrder() {
		if k.Phase == wire.TaskExited {
			continue
		}
		attempt := fmt.Sprint(w.ID, k.Task, k.Attempt, w.Session)
		if f.startedAt[attempt] == 0 {
			f.startedAt[attempt] = now
			f.starts = append(f.starts, taskStart{k.Task, w.Zone, now})
		}
		if now >= f.startedAt[attempt]+clock.FromDuration(f.runFor) {
			k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
			delete(f.machineOf, k.Task)
			f.taskDone(k.Task)
			continue
		}
		if other := f.machineOf[k.Task]; other != "" && other != w.ID {
			f.duplicates = append(f.duplicates, k.Task)
		}
		f.machineOf[k.Task] = w.ID
	}
}

// run reports until ctx ends.
func (w *worker) run(ctx context.Context) {
	client := &http.Client{Timeout: 4 * time.Second}
	for ctx.Err() == nil {
		w.sendHeartbeat(client)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (w *worker) sendHeartbeat(client *http.Client) {
	f := w.fleet
	f.mu.Lock()
	sent := f.clock.Now()
	w.Check(sent)
	f.updateTasks(w)
	r := w.Report(sent)
	unreachable := w.cut && f.cutFrom[f.hosts[w.controller]]
	f.mu.Unlock()
	if unreachable {
		w.controller = (w.controller + 1) % len(f.hosts)
		return
	}
	r.Addr = w.addr
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	host := f.hosts[w.controller]
	resp, err := client.Post("http://"+f.controllers[host]+wire.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		w.controller = (w.controller + 1) % len(f.hosts)
		return
	}
	defer resp.Body.Close()
	var a wire.HeartbeatResponse
	var e wire.Error
	switch resp.StatusCode {
	case 200:
		if json.NewDecoder(resp.Body).Decode(&a) == nil {
			f.mu.Lock()
			w.Take(a, sent)
			f.updateTasks(w)
			f.mu.Unlock()
		}
		return
	case 421:
		if json.NewDecoder(resp.Body).Decode(&e) == nil && e.Leader != "" && e.Leader != host {
			for i, h := range f.hosts {
				if h == e.Leader {
					w.controller = i
					return
				}
			}
		}
	}
	w.controller = (w.controller + 1) % len(f.hosts)
}
