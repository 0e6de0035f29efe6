package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// heartbeatInterval is how often a worker checks which of its tasks have ended, and sends a heartbeat.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
)

// fleet is the state that all workers of a run share. It records under one lock which worker runs which task, so that
// it detects a task that runs on two machines at a time.
type fleet struct {
	clock       clock.Clock
	runFor      time.Duration     // run time of every task
	hosts       []string          // names of the controllers
	controllers map[string]string // addresses for users and workers, by controller; set before the workers run
	taskDone    func(task string) // called when a task is done
	copies      *fakes.Copies     // of answered messages; nil: none
	failShare   float64           // share of the attempts that fail

	mu          sync.Mutex              // guards the fields below and the workers
	startedAt   map[string]clock.Micros // start of each attempt, by machine, task, attempt, worker incarnation and number of the start
	machineOf   map[string]string       // machine that runs a task, by task
	duplicates  []string                // tasks that ran on two machines at a time
	restarted   []string                // attempts that were started again after they had ended
	failing     map[string]bool         // attempts that are to fail, by the keys of startedAt
	rng         *rand.Rand              // chooses the attempts that fail
	starts      []taskStart
	unreachable map[string]bool // controllers outside the zone that is cut off, which the workers of that zone don't reach
}

// newFleet returns the shared state for the workers of three controllers. It has no workers yet.
func newFleet(runFor time.Duration, taskDone func(task string)) *fleet {
	return &fleet{
		clock:       clock.NewMonotonic(),
		runFor:      runFor,
		hosts:       []string{"a", "b", "c"},
		controllers: map[string]string{},
		taskDone:    taskDone,
		startedAt:   map[string]clock.Micros{},
		machineOf:   map[string]string{},
		failing:     map[string]bool{},
		rng:         fakes.Rand(fakes.Seed),
	}
}

// taskStart records in which zone and when a task started.
type taskStart struct {
	task, zone string
	at         clock.Micros
}

// worker is a fake worker that sends its heartbeats to one controller at a time.
type worker struct {
	*fakes.Worker
	fleet      *fleet
	addr       string // at which it accepts deliveries of commands
	isolated   bool   // the worker's zone is cut off
	controller int    // index in fleet.hosts of the controller that it sends heartbeats to; only run's goroutine uses it
}

// newWorker returns a worker that accepts deliveries of commands at its own address.
func newWorker(f *fleet, id string, lease clock.Micros, controller int) (*worker, error) {
	w := &worker{Worker: fakes.NewWorker(id, lease, f.clock.Now()), fleet: f, controller: controller}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.handleDelivery)
	addr, err := serve(withCopies(f.copies, fakes.DirectCommand, mux))
	w.addr = addr
	return w, err
}

// handleDelivery passes a delivery of commands to the worker, and answers with the worker's heartbeat.
func (w *worker) handleDelivery(rw http.ResponseWriter, r *http.Request) {
	var delivery wire.Orders
	if json.NewDecoder(r.Body).Decode(&delivery) != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	heartbeat, accepted, reached := w.deliver(delivery)
	switch {
	case !reached:
		writeJSON(rw, http.StatusGatewayTimeout, nil) // as a proxy answers when it can't reach the worker
	case !accepted:
		writeJSON(rw, http.StatusConflict, heartbeat)
	default:
		writeJSON(rw, http.StatusOK, heartbeat)
	}
}

// deliver executes a delivery's commands on the worker. reached is false while the worker's zone is cut off.
func (w *worker) deliver(delivery wire.Orders) (heartbeat wire.Heartbeat, accepted, reached bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.isolated {
		return wire.Heartbeat{}, false, false
	}
	heartbeat, accepted = w.HandleCommands(delivery, f.clock.Now())
	f.updateTasks(w)
	heartbeat.Addr = w.addr
	return heartbeat, accepted, true
}

// updateTasks makes the worker's tasks exit whose run time has passed, and records which tasks start and run. The
// caller holds mu.
func (f *fleet) updateTasks(w *worker) {
	now := f.clock.Now()
	for task, machine := range f.machineOf {
		if machine == w.ID && !w.Running(task) {
			delete(f.machineOf, task)
		}
	}
	for _, status := range w.SortedTasks() {
		if status.Phase == wire.TaskExited {
			continue
		}
		attempt := fmt.Sprint(w.ID, status.Task, status.Attempt, w.Incarnation, w.StartsOf(status))
		if f.startedAt[attempt] == 0 {
			f.recordStart(w, attempt, status, now)
		}
		if f.failing[attempt] && now >= f.startedAt[attempt]+clock.FromDuration(f.runFor)/failAfter {
			status.Phase, status.Cause = wire.TaskExited, wire.CauseError
			delete(f.machineOf, status.Task)
			continue
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

// failAfter is the part of its run time after which a failing attempt ends, as a divisor.
const failAfter = 3

// recordStart records the start of an attempt, and decides whether the attempt fails. The caller holds mu.
func (f *fleet) recordStart(w *worker, attempt string, status *wire.TaskStatus, now clock.Micros) {
	f.startedAt[attempt] = now
	f.starts = append(f.starts, taskStart{status.Task, w.Zone, now})
	if w.StartsOf(status) > 1 {
		f.restarted = append(f.restarted, fmt.Sprintf("%s attempt %d on %s", status.Task, status.Attempt, w.ID))
	}
	if f.rng.Float64() < f.failShare {
		f.failing[attempt] = true
	}
}

// run sends heartbeats until ctx ends. The caller of newCluster cancels ctx at the end of a run.
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

// sendHeartbeat sends a heartbeat to the worker's controller and handles the response. A controller that does not lead
// the worker's partition names the leader, and the worker changes to it. If the controller is unreachable, answers with
// another error or names no other controller, the worker changes to the next controller.
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
	url := "http://" + f.controllers[host] + wire.PathHeartbeat
	resp, err := client.Post(url, contentType, bytes.NewReader(body))
	if err != nil {
		w.nextController()
		return
	}
	defer resp.Body.Close()
	f.copies.Keep(fakes.Heartbeat, func() { postUnanswered(url, body) })
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

// nextHeartbeat returns the worker's next heartbeat. reachable is false if the worker is cut off from its controller.
func (w *worker) nextHeartbeat() (heartbeat wire.Heartbeat, sentAt clock.Micros, reachable bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	sentAt = f.clock.Now()
	w.ExpireLease(sentAt)
	f.updateTasks(w)
	heartbeat = w.Heartbeat(sentAt)
	heartbeat.Addr = w.addr
	return heartbeat, sentAt, !w.isolated || !f.unreachable[f.hosts[w.controller]]
}

// handleResponse executes the commands in the response to a heartbeat and updates the worker's tasks.
func (w *worker) handleResponse(response wire.HeartbeatResponse, sentAt clock.Micros) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.HandleHeartbeatResponse(response, sentAt)
	f.updateTasks(w)
}

// nextController makes the worker send its heartbeats to the next controller in fleet.hosts from now on.
func (w *worker) nextController() { w.controller = (w.controller + 1) % len(w.fleet.hosts) }
