package fakes

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Worker is a machine's worker, by the protocol's page. Images take no time. It is not safe for concurrent use.
type Worker struct {
	ID           string
	Type         string
	Zone         string
	Spot         bool
	Lease        clock.Micros
	Incarnation  uint64 // incarnation
	Tick         uint64
	FencingToken uint64                      // highest fencing token seen
	Tasks        map[string]*wire.TaskStatus // by name and attempt
	Starts       map[string]int              // how often each task has started
	NoticeS      *float64                    // eviction notice that its heartbeats carry
	renewedAt    clock.Micros                // start of the worker lease
}

// NewWorker makes a worker whose lease starts now.
func NewWorker(id string, lease, now clock.Micros) *Worker {
	return &Worker{ID: id, Type: "big", Zone: "a", Lease: lease, Incarnation: 1, Tasks: map[string]*wire.TaskStatus{},
		Starts: map[string]int{}, renewedAt: now}
}

// Check ends all tasks, and begins a new incarnation, if the worker lease has expired.
func (w *Worker) Check(now clock.Micros) {
	if now > w.renewedAt+w.Lease {
		clear(w.Tasks)
		w.Incarnation++
		w.renewedAt = now
	}
}

// Renew starts the worker's lease anew.
func (w *Worker) Renew(now clock.Micros) { w.renewedAt = now }

// Heartbeat makes the worker's next heartbeat.
func (w *Worker) Heartbeat(now clock.Micros) wire.Heartbeat {
	w.Check(now)
	w.Tick++
	r := wire.Heartbeat{Machine: w.ID, Addr: "10.0.0.9:9000", Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Incarnation, Tick: w.Tick, FencingToken: w.FencingToken, EvictionNoticeS: w.NoticeS}
	for _, t := range w.InOrder() {
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

// InOrder lists the worker's tasks in a fixed order.
func (w *Worker) InOrder() []*wire.TaskStatus {
	keys := slices.Sorted(maps.Keys(w.Tasks))
	out := make([]*wire.TaskStatus, 0, len(keys))
	for _, k := range keys {
		out = append(out, w.Tasks[k])
	}
	return out
}

// HandleHeartbeatResponse handles the response to a heartbeat that was sent at a time; false for a fencing token that is too low.
func (w *Worker) HandleHeartbeatResponse(a wire.HeartbeatResponse, sent clock.Micros) bool {
	if a.FencingToken < w.FencingToken {
		return false
	}
	w.FencingToken = a.FencingToken
	w.renewedAt = sent
	w.execute(a.Orders)
	return true
}

// HandleCommands handles a delivery of commands; ok is false for a 409: its fencing token is too low, or it is meant for
// another incarnation.
func (w *Worker) HandleCommands(o wire.Orders, now clock.Micros) (r wire.Heartbeat, ok bool) {
	w.Check(now)
	if ok = o.FencingToken >= w.FencingToken && o.Incarnation == w.Incarnation; ok {
		w.FencingToken = o.FencingToken
		w.execute(o.Orders)
	}
	return w.Heartbeat(now), ok
}

// attemptName is the key of an attempt in Tasks.
func attemptName(task string, attempt uint64) string {
	return wire.TaskName(task, int(attempt))
}

// execute carries out commands; repeated ones change nothing.
func (w *Worker) execute(orders []wire.Order) {
	for _, order := range orders {
		name := attemptName(order.Task, order.Attempt)
		t := w.Tasks[name]
		switch order.Verb {
		case wire.VerbRun:
			if t == nil {
				w.Tasks[name] = &wire.TaskStatus{Task: order.Task, Attempt: order.Attempt, Phase: wire.TaskRunning}
				w.Starts[order.Task]++
			}
		case wire.VerbStop:
			if t != nil && t.Phase != wire.TaskExited {
				t.Phase, t.Cause = wire.TaskExited, wire.CauseStopped
			}
		case wire.VerbForget:
			if t != nil && t.Phase == wire.TaskExited {
				delete(w.Tasks, name)
			}
		}
	}
}

// Running reports whether an attempt of a task runs here.
func (w *Worker) Running(task string) bool {
	for _, t := range w.Tasks {
		if t.Task == task && t.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// Finish ends a task with a cause.
func (w *Worker) Finish(task, cause string) {
	for _, t := range w.Tasks {
		if t.Task == task && t.Phase != wire.TaskExited {
			t.Phase, t.Cause = wire.TaskExited, cause
		}
	}
}
