package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// heartbeatInterval is how often a worker sends a heartbeat, and how often it looks for the ends of its tasks.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response.
	heartbeatTimeout = 4 * time.Second
)

// fleet is all workers of a run. Its lock guards what runs where, so that a task on two machines is seen.
type fleet struct {
	clock       clock.Clock
	runFor      time.Duration     // of every task
	hosts       []string          // the controllers
	controllers map[string]string // addresses for users and workers, by controller; set before the workers run
	taskDone    func(task string)

	mu         sync.Mutex              // guards the fields below and the workers
	startedAt  map[string]clock.Micros // by attempt on its machine
	machineOf  map[string]string       // by task: where it runs
	duplicates []string                // tasks that ran on two machines
	starts     []taskStart
	cutFrom    map[string]bool // controllers that workers of a zone which is cut off don't reach
}

// newFleet makes a fleet of three controllers' workers, without workers.
func newFleet(runFor time.Duration, taskDone func(task string)) *fleet {
	return &fleet{
		clock:       clock.NewSteady(),
		runFor:      runFor,
		hosts:       []string{"a", "b", "c"},
		controllers: map[string]string{},
		taskDone:    taskDone,
		startedAt:   map[string]clock.Micros{},
		machineOf:   map[string]string{},
	}
}

// taskStart is the start of a task on a machine.
type taskStart struct {
	task, zone string
	at         clock.Micros
}

// worker is a fake worker that sends its heartbeats to one controller at a time.
type worker struct {
	*fakes.Worker
	fleet      *fleet
	addr       string // for deliveries
	cut        bool   // its zone is cut off
	controller int    // index of the controller that it sends heartbeats to; only run uses it
}

// newWorker makes a worker that takes deliveries at an address of its own.
func newWorker(f *fleet, id string, lease clock.Micros, controller int) (*worker, error) {
	w := &worker{Worker: fakes.NewWorker(id, lease, f.clock.Now()), fleet: f, controller: controller}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.handleDelivery)
	addr, err := serve(mux)
	w.addr = addr
	return w, err
}

// handleDelivery answers a delivery of commands with the worker's state.
func (w *worker) handleDelivery(rw http.ResponseWriter, r *http.Request) {
	var delivery wire.Orders
	if json.NewDecoder(r.Body).Decode(&delivery) != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	heartbeat, accepted, reached := w.deliver(delivery)
	switch {
	case !reached:
		writeJSON(rw, http.StatusGatewayTimeout, nil) // what a proxy says: the worker was not reached
	case !accepted:
		writeJSON(rw, http.StatusConflict, heartbeat)
	default:
		writeJSON(rw, http.StatusOK, heartbeat)
	}
}

// deliver hands a delivery to the worker; it does not reach a worker whose zone is cut off.
func (w *worker) deliver(delivery wire.Orders) (heartbeat wire.Heartbeat, accepted, reached bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.cut {
		return wire.Heartbeat{}, false, false
	}
	heartbeat, accepted = w.HandleCommands(delivery, f.clock.Now())
	f.updateTasks(w)
	heartbeat.Addr = w.addr
	return heartbeat, accepted, true
}

// updateTasks ends the worker's tasks whose run time is over, and records what runs. The lock is held.
func (f *fleet) updateTasks(w *worker) {
	now := f.clock.Now()
	for task, machine := range f.machineOf {
		if machine == w.ID && !w.Running(task) {
			delete(f.machineOf, task)
		}
	}
	for _, status := range w.InOrder() {
		if status.Phase == wire.TaskExited {
			continue
		}
		attempt := fmt.Sprint(w.ID, status.Task, status.Attempt, w.Incarnation)
		if f.startedAt[attempt] == 0 {
			f.startedAt[attempt] = now
			f.starts = append(f.starts, taskStart{status.Task, w.Zone, now})
		}
		if now >= f.startedAt[attempt]+clock.FromDuration(f.runFor) {
			status.Phase, status.Cause = wire.TaskExited, wire.CauseDone
			delete(f.machineOf, status.Task)
			f.taskDone(status.Task)
			continue
		}
		if other := f.machineOf[status.Task]; other != "" && other != w.ID {
			f.duplicates = append(f.duplicates, status.Task)
		}
		f.machineOf[status.Task] = w.ID
	}
}

// run sends heartbeats until ctx ends, which the caller of newCluster does at the end of a run.
func (w *worker) run(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil {
		w.sendHeartbeat(client)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends a heartbeat to the worker's controller and handles the response. A worker whose controller
// is not reached, or doesn't lead its partition, goes to another one.
func (w *worker) sendHeartbeat(client *http.Client) {
	f := w.fleet
	heartbeat, sentAt, reachable := w.nextHeartbeat()
	if !reachable {
		w.nextController()
		return
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return
	}
	host := f.hosts[w.controller]
	resp, err := client.Post("http://"+f.controllers[host]+wire.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		w.nextController()
		return
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if json.NewDecoder(resp.Body).Decode(&response) == nil {
			w.handleResponse(response, sentAt)
		}
		return
	case http.StatusMisdirectedRequest:
		var misdirected wire.Error
		if json.NewDecoder(resp.Body).Decode(&misdirected) == nil && misdirected.Leader != host {
			if i := slices.Index(f.hosts, misdirected.Leader); i >= 0 {
				w.controller = i
				return
			}
		}
	}
	w.nextController()
}

// nextHeartbeat makes a heartbeat; reachable is false when the worker is cut off from its controller.
func (w *worker) nextHeartbeat() (heartbeat wire.Heartbeat, sentAt clock.Micros, reachable bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	sentAt = f.clock.Now()
	w.Check(sentAt)
	f.updateTasks(w)
	heartbeat = w.Heartbeat(sentAt)
	heartbeat.Addr = w.addr
	return heartbeat, sentAt, !w.cut || !f.cutFrom[f.hosts[w.controller]]
}

// handleResponse handles the response to a heartbeat.
func (w *worker) handleResponse(response wire.HeartbeatResponse, sentAt clock.Micros) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.HandleHeartbeatResponse(response, sentAt)
	f.updateTasks(w)
}

// nextController has the worker send its heartbeats to the next controller.
func (w *worker) nextController() { w.controller = (w.controller + 1) % len(w.fleet.hosts) }
