package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// runFor lets time pass while workers report every second, and finishes tasks
// after lasts. It holds the rules against what runs.
func (c *cluster) runFor(d, lasts time.Duration) { c.runForEach(d, lasts, func() {}) }

// runForEach is run with something done after every half second.
func (c *cluster) runForEach(d, lasts time.Duration, then func()) {
	began := c.attemptSeenAt
	if began == nil {
		began = map[string]clock.Micros{}
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		now := c.clock.Now()
		on := map[string]string{}
		red := 0.0
		for _, w := range c.workers {
			if c.hungWorkers[w.ID] {
				w.Check(now) // it is over with its lease, if it goes on after that
			}
			for _, k := range w.InOrder() {
				attempt := fmt.Sprint(w.ID, k.Task, k.Attempt)
				if began[attempt] == 0 {
					began[attempt] = now
				}
				if c.hungWorkers[w.ID] {
					continue
				}
				if lasts > 0 && k.Phase != wire.TaskExited && now > began[attempt]+clock.FromDuration(lasts) {
					k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
				}
			}
			if !c.hungWorkers[w.ID] {
				c.sendHeartbeat(w)
			}
			for _, k := range w.InOrder() {
				if k.Phase != wire.TaskExited {
					require.Empty(c.t, on[k.Task], "%s runs on two machines", k.Task)
					on[k.Task] = w.ID
					if job, _, _ := wire.SplitTask(k.Task); !c.unlimitedJobs[job] {
						red += 2
					}
				}
			}
		}
		require.LessOrEqual(c.t, red, 12.0, "the team's limit")
		c.requireCancelledStopped()
		if c.everyFiveMS == nil {
			time.Sleep(500 * time.Millisecond)
		}
		for step := 0; c.everyFiveMS != nil && step < 100; step++ {
			time.Sleep(5 * time.Millisecond)
			c.everyFiveMS()
		}
		then()
	}
}

// runFleetFor lets time pass for a large fleet: workers report every five seconds
// and when something has changed. It holds the rules against what runs.
func (c *cluster) runFleetFor(d, lasts time.Duration) { c.runFleetForEach(d, lasts, func() {}) }

// runFleetForEach is runFleet with something done after every half second.
func (c *cluster) runFleetForEach(d, lasts time.Duration, then func()) {
	const step = 500 * time.Millisecond
	again := map[string]bool{} // reports that nobody has answered: to the next controller a moment later
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		now := c.clock.Now()
		on := map[string]string{}
		for i, w := range c.workers {
			changed := n%10 == i%10 || again[w.ID]
			for key, k := range w.Tasks {
				if c.taskSeenAt[key] == 0 {
					c.taskSeenAt[key], changed = now, true
				}
				if lasts > 0 && k.Phase != wire.TaskExited && now > c.taskSeenAt[key]+clock.FromDuration(lasts) {
					k.Phase, k.Cause, changed = wire.TaskExited, wire.CauseDone, true
				}
			}
			if changed {
				again[w.ID] = !c.sendHeartbeat(w)
			}
			for _, k := range w.Tasks {
				if k.Phase != wire.TaskExited {
					require.Empty(c.t, on[k.Task], "%s runs on two machines", k.Task)
					on[k.Task] = w.ID
				}
			}
		}
		time.Sleep(step)
		then()
	}
}

func (c *cluster) sendHeartbeat(w *fakes.Worker) (answered bool) {
	sent := c.clock.Now()
	r := w.Report(sent)
	r.Addr = "" // no way to the worker but by its reports
	b, err := json.Marshal(r)
	require.NoError(c.t, err)
	if c.recordsHeartbeats {
		c.recordedHeartbeats = append(c.recordedHeartbeats, b)
	}
	if h := c.pinnedTo[w.ID]; h != "" {
		c.reportsTo[w.ID] = h
	}
	host := c.reportsTo[w.ID]
	var resp httpx.Response
	if !c.unreachable[host] {
		resp = c.request(host, "POST", wire.PathHeartbeat, string(b))
	}
	var a wire.HeartbeatResponse
	var e wire.Error
	if c.unanswered[w.ID] {
		resp = httpx.Response{}
	}
	switch {
	case resp.Status == 200:
		require.NoError(c.t, json.Unmarshal(resp.Body, &a))
		w.Take(a, sent)
		return true
	case resp.Status == 421 && json.Unmarshal(resp.Body, &e) == nil && e.Leader != "":
		c.reportsTo[w.ID] = e.Leader
	default:
		for i, h := range hosts {
			if h == host {
				c.reportsTo[w.ID] = hosts[(i+1)%3]
			}
		}
	}
	return false
}

func (c *cluster) runningTasks() (n int) {
	for _, w := range c.workers {
		for _, k := range w.InOrder() {
			if k.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

func (c *cluster) taskStarts(id string) (n int) {
	for _, w := range c.workers {
		for task, k := range w.Starts {
			if strings.HasPrefix(task, id+"/") {
				n += k
			}
		}
	}
	return n
}

// tasksOn counts the tasks of a job tasksOn workers that report to a controller.
func (c *cluster) tasksOn(host, id string) (n int) {
	for _, w := range c.workers {
		for _, k := range w.InOrder() {
			if c.reportsTo[w.ID] == host && k.Phase != wire.TaskExited && strings.HasPrefix(k.Task, id+"/") {
				n++
			}
		}
	}
	return n
}

// finishTask has a task done.
func (c *cluster) finishTask(task string) {
	for _, w := range c.workers {
		w.Finish(task, wire.CauseDone)
	}
}

// requireStartedOnce holds that no task was ever started a second time.
func (c *cluster) requireStartedOnce() {
	starts := map[string]int{}
	for _, w := range c.workers {
		for task, n := range w.Starts {
			starts[task] += n
		}
	}
	for task, n := range starts {
		require.Equal(c.t, 1, n, task)
	}
}

// cancellationLimit is how long after the confirmation of its withdrawal a job's tasks may be there.
const cancellationLimit = 36 * time.Second

// confirmedCancellation is a job whose withdrawal was confirmed, when, and how often tasks of
// it had started by then.
type confirmedCancellation struct {
	confirmedAt time.Time
	starts      int
}

// requireCancelledStopped holds the workers' tasks against the withdrawals confirmed so far.
func (c *cluster) requireCancelledStopped() {
	for id, told := range c.cancelled {
		require.Equal(c.t, told.starts, c.taskStarts(id), "%s has started after its withdrawal was confirmed", id)
		if time.Since(told.confirmedAt) <= cancellationLimit {
			continue
		}
		for _, w := range c.workers {
			for _, k := range w.InOrder() {
				require.False(c.t, k.Phase != wire.TaskExited && strings.HasPrefix(k.Task, id+"/"),
					"%s is on %s %v after its withdrawal was confirmed", k.Task, w.ID, time.Since(told.confirmedAt))
			}
		}
	}
}
