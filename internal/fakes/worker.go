package fakes

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Worker is a fake of the worker on one machine. It follows the documented protocol, except that tasks start
// without an image fetch and stop at once, without a checkpoint. It is not safe for concurrent use.
type Worker struct {
	ID           string
	Type         string
	Zone         string
	Spot         bool
	Lease        clock.Micros
	Incarnation  uint64                      // grows when the worker's lease expires
	Tick         uint64                      // number of the latest heartbeat
	FencingToken uint64                      // highest that the worker has seen
	Tasks        map[string]*wire.TaskStatus // by task and attempt (attemptName)
	Starts       map[string]int              // number of starts by task, over all attempts
	// AttemptStarts is the number of starts by task and attempt (attemptName). It is more than one if an attempt was started again
	// after it was forgotten.
	AttemptStarts map[string]int
	NoticeS       *float64     // seconds until eviction, as in its heartbeats; nil: no notice
	renewedAt     clock.Micros // last renewal of the worker's lease
}

// NewWorker returns a worker without tasks, of type "big" in zone "a", whose lease starts now.
func NewWorker(id string, lease, now clock.Micros) *Worker {
	return &Worker{ID: id, Type: "big", Zone: "a", Lease: lease, Incarnation: 1, Tasks: map[string]*wire.TaskStatus{},
		Starts: map[string]int{}, AttemptStarts: map[string]int{}, renewedAt: now}
}

// ExpireLease drops all tasks and begins a new incarnation if the worker's lease has expired.
func (w *Worker) ExpireLease(now clock.Micros) {
	if now > w.renewedAt+w.Lease {
		clear(w.Tasks)
		w.Incarnation++
		w.renewedAt = now
	}
}

// Renew renews the worker's lease, which then lasts for its full duration from now.
func (w *Worker) Renew(now clock.Micros) { w.renewedAt = now }

// RenewedAt returns when the heartbeat was sent that last renewed the worker's lease, or when the incarnation began.
func (w *Worker) RenewedAt() clock.Micros { return w.renewedAt }

// Heartbeat returns the worker's next heartbeat. If the worker's lease has expired, Heartbeat first drops the tasks
// (ExpireLease).
func (w *Worker) Heartbeat(now clock.Micros) wire.Heartbeat {
	w.ExpireLease(now)
	w.Tick++
	heartbeat := wire.Heartbeat{Machine: w.ID, Addr: "10.0.0.9:9000", Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Incarnation, Tick: w.Tick, FencingToken: w.FencingToken, EvictionNoticeS: w.NoticeS}
	for _, t := range w.SortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, *t)
	}
	return heartbeat
}

// SortedTasks returns the worker's tasks sorted by name and attempt, so that tests do not depend on the order of a map.
func (w *Worker) SortedTasks() []*wire.TaskStatus {
	keys := slices.Sorted(maps.Keys(w.Tasks))
	out := make([]*wire.TaskStatus, 0, len(keys))
	for _, k := range keys {
		out = append(out, w.Tasks[k])
	}
	return out
}

// HandleHeartbeatResponse renews the worker's lease as of sentAt, when the heartbeat was sent, and executes the
// response's commands. It ignores a response with a lower fencing token than the highest seen, and returns false.
func (w *Worker) HandleHeartbeatResponse(response wire.HeartbeatResponse, sentAt clock.Micros) bool {
	if response.FencingToken < w.FencingToken {
		return false
	}
	w.FencingToken = response.FencingToken
	w.renewedAt = sentAt
	w.executeCommands(response.Orders)
	return true
}

// HandleCommands executes the commands of a delivery and returns the worker's heartbeat. It ignores a delivery with a
// lower fencing token than the highest seen, or for another incarnation; ok is then false, which is status 409 in the
// protocol.
func (w *Worker) HandleCommands(delivery wire.Orders, now clock.Micros) (heartbeat wire.Heartbeat, ok bool) {
	w.ExpireLease(now)
	if ok = delivery.FencingToken >= w.FencingToken && delivery.Incarnation == w.Incarnation; ok {
		w.FencingToken = delivery.FencingToken
		w.executeCommands(delivery.Orders)
	}
	return w.Heartbeat(now), ok
}

// attemptName returns the key of an attempt in Tasks.
func attemptName(task string, attempt uint64) string {
	return wire.TaskName(task, int(attempt))
}

// executeCommands executes commands in their order. A repeated command has no effect, except for a run after the
// attempt was forgotten, which starts it again.
func (w *Worker) executeCommands(orders []wire.Order) {
	for _, order := range orders {
		name := attemptName(order.Task, order.Attempt)
		t := w.Tasks[name]
		switch order.Verb {
		case wire.VerbRun:
			if t == nil {
				w.Tasks[name] = &wire.TaskStatus{Task: order.Task, Attempt: order.Attempt, Phase: wire.TaskRunning}
				w.Starts[order.Task]++
				w.AttemptStarts[name]++
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

// Running reports whether the worker has an attempt of a task that has not exited.
func (w *Worker) Running(task string) bool {
	for _, t := range w.Tasks {
		if t.Task == task && t.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// StartsOf returns how often the worker has started an attempt that it lists.
func (w *Worker) StartsOf(t *wire.TaskStatus) int {
	return w.AttemptStarts[attemptName(t.Task, t.Attempt)]
}

// Finish makes all running attempts of a task exit with a cause.
func (w *Worker) Finish(task, cause string) {
	for _, t := range w.Tasks {
		if t.Task == task && t.Phase != wire.TaskExited {
			t.Phase, t.Cause = wire.TaskExited, cause
		}
	}
}

// Restart ends all tasks and begins anew within the incarnation, as a process that is back within a moment: with ticks from one,
// without a token, and with a whole lease.
func (w *Worker) Restart(now clock.Micros) {
	clear(w.Tasks)
	w.Tick, w.FencingToken, w.renewedAt = 0, 0, now
}
