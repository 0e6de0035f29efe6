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

// reportEvery is how often a worker reports, and how often it looks for the ends of its tasks.
const reportEvery = 500 * time.Millisecond

// fleet is all workers of a run. Their lock guards what runs where, so that a task on two
// machines is seen.
type fleet struct {
	mu          sync.Mutex
	clock       clock.Clock
	runFor      time.Duration
	controllers map[string]string // addresses for users and workers, by host
	hosts       []string
	began       map[string]clock.Micros // by attempt on its machine
	on          map[string]string       // by task: where it runs
	twice       []string                // tasks that ran on two machines
	started     []start
	cutFrom     map[string]bool // controllers that workers of a zone which is cut off don't reach
	done        func(task string)
}

// start is a task's start on a machine.
type start struct {
	task, zone string
	at         clock.Micros
}

// worker is a stand-in worker that reports to one controller at a time.
type worker struct {
	*fakes.Worker
	fleet *fleet
	addr  string // its own
	cut   bool   // its zone is cut off
	at    int    // the controller that it reports to
}

// newWorker makes a worker that takes orders at an address of its own.
func newWorker(f *fleet, id string, lease clock.Micros, at int) (*worker, error) {
	w := &worker{Worker: fakes.NewWorker(id, lease, f.clock.Now()), fleet: f, at: at}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(rw http.ResponseWriter, r *http.Request) {
		var o wire.Orders
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			answer(rw, 400, nil)
			return
		}
		f.mu.Lock()
		if w.cut {
			f.mu.Unlock()
			answer(rw, 504, nil) // a proxy's word: the worker has not heard
			return
		}
		report, ok := w.Orders(o, f.clock.Now())
		f.look(w)
		f.mu.Unlock()
		report.Addr = w.addr
		answer(rw, map[bool]int{true: 200, false: 409}[ok], report)
	})
	addr, err := serve(mux)
	w.addr = addr
	return w, err
}

// look ends the worker's tasks whose time is over, and notes what runs. The lock is held.
func (f *fleet) look(w *worker) {
	now := f.clock.Now()
	for task, machine := range f.on {
		if machine == w.ID && !w.Running(task) {
			delete(f.on, task)
		}
	}
	for _, k := range w.InOrder() {
		if k.Phase == wire.TaskExited {
			continue
		}
		attempt := fmt.Sprint(w.ID, k.Task, k.Attempt, w.Session)
		if f.began[attempt] == 0 {
			f.began[attempt] = now
			f.started = append(f.started, start{k.Task, w.Zone, now})
		}
		if now >= f.began[attempt]+clock.FromDuration(f.runFor) {
			k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
			delete(f.on, k.Task)
			f.done(k.Task)
			continue
		}
		if other := f.on[k.Task]; other != "" && other != w.ID {
			f.twice = append(f.twice, k.Task)
		}
		f.on[k.Task] = w.ID
	}
}

// run reports until ctx ends.
func (w *worker) run(ctx context.Context) {
	client := &http.Client{Timeout: 4 * time.Second}
	for ctx.Err() == nil {
		w.report(client)
		select {
		case <-time.After(reportEvery):
		case <-ctx.Done():
		}
	}
}

func (w *worker) report(client *http.Client) {
	f := w.fleet
	f.mu.Lock()
	sent := f.clock.Now()
	w.Check(sent)
	f.look(w)
	r := w.Report(sent)
	unreachable := w.cut && f.cutFrom[f.hosts[w.at]]
	f.mu.Unlock()
	if unreachable {
		w.at = (w.at + 1) % len(f.hosts)
		return
	}
	r.Addr = w.addr
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	host := f.hosts[w.at]
	resp, err := client.Post("http://"+f.controllers[host]+wire.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		w.at = (w.at + 1) % len(f.hosts)
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
			f.look(w)
			f.mu.Unlock()
		}
		return
	case 421:
		if json.NewDecoder(resp.Body).Decode(&e) == nil && e.Leader != "" && e.Leader != host {
			for i, h := range f.hosts {
				if h == e.Leader {
					w.at = i
					return
				}
			}
		}
	}
	w.at = (w.at + 1) % len(f.hosts)
}
