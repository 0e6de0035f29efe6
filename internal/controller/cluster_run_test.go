package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// stepInterval is how often workers act while a test lets time pass.
const stepInterval = 500 * time.Millisecond

// runFor lets time pass while workers send a heartbeat every stepInterval, and tasks are done once they have run for
// runTime; zero: none is. It holds the rules against what runs: no task on two machines, no team over its
// quota, nothing of a cancelled job.
func (c *cluster) runFor(d, runTime time.Duration) { c.runForEach(d, runTime, func() {}) }

// runForEach is runFor with then called after every step.
func (c *cluster) runForEach(d, runTime time.Duration, then func()) {
	seenAt := c.attemptSeenAt
	if seenAt == nil {
		seenAt = map[string]clock.Micros{}
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.stepWorkers(seenAt, runTime)
		c.requireCancelledStopped()
		c.sleepStep()
		then()
	}
}

// stepWorkers has every worker run its tasks and send a heartbeat, one after the other.
func (c *cluster) stepWorkers(seenAt map[string]clock.Micros, runTime time.Duration) {
	now := c.clock.Now()
	on := placements{}
	limitedCPUs := 0.0
	for _, w := range c.workers {
		if c.hungWorkers[w.ID] {
			w.Check(now) // its lease runs out, and it notices that once it goes on
			advanceTasks(w, seenAt, now, 0)
		} else {
			advanceTasks(w, seenAt, now, runTime)
			c.sendHeartbeat(w)
		}
		on.add(c.t, w)
		limitedCPUs += c.limitedCPUs(w)
	}
	require.LessOrEqual(c.t, limitedCPUs, float64(limitedTeamCPUs), "the team's limit")
}

// advanceTasks notes when attempts are first seen, and ends those that have run for runTime; zero: none.
func advanceTasks(w *fakes.Worker, seenAt map[string]clock.Micros, now clock.Micros, runTime time.Duration) {
	for _, k := range w.InOrder() {
		attempt := attemptKey(w, k)
		if seenAt[attempt] == 0 {
			seenAt[attempt] = now
		}
		if runTime > 0 && k.Phase != wire.TaskExited && now > seenAt[attempt]+clock.FromDuration(runTime) {
			k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
		}
	}
}

// attemptKey names an attempt on a machine.
func attemptKey(w *fakes.Worker, k *wire.TaskStatus) string {
	return fmt.Sprint(w.ID, k.Task, k.Attempt)
}

// placements maps running tasks to their machines.
type placements map[string]string

// add adds the tasks that run on a worker, and requires that none of them runs anywhere else.
func (p placements) add(t *testing.T, w *fakes.Worker) {
	t.Helper()
	for _, k := range w.Tasks {
		if k.Phase != wire.TaskExited {
			require.Empty(t, p[k.Task], "%s runs on two machines", k.Task)
			p[k.Task] = w.ID
		}
	}
}

// limitedCPUs is what the team with a limit uses on a worker.
func (c *cluster) limitedCPUs(w *fakes.Worker) (cpus float64) {
	for _, k := range w.Tasks {
		if job, _, _ := wire.SplitTask(k.Task); k.Phase != wire.TaskExited && !c.unlimitedJobs[job] {
			cpus += taskCPUs
		}
	}
	return cpus
}

// sleepStep lets a step's time pass, and calls everyFiveMS meanwhile where it is set.
func (c *cluster) sleepStep() {
	const fineStep = 5 * time.Millisecond
	if c.everyFiveMS == nil {
		time.Sleep(stepInterval)
		return
	}
	for step := 0; c.everyFiveMS != nil && step < int(stepInterval/fineStep); step++ {
		time.Sleep(fineStep)
		c.everyFiveMS()
	}
}

// runFleetFor lets time pass for a large fleet: workers send a heartbeat every ten steps
// and when something has changed. It holds the rules against what runs: no task on two machines.
func (c *cluster) runFleetFor(d, runTime time.Duration) {
	const stepsPerHeartbeat = 10
	resend := map[string]bool{} // workers whose heartbeat had no answer: to the next controller a moment later
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		now := c.clock.Now()
		on := placements{}
		for i, w := range c.workers {
			due := n%stepsPerHeartbeat == i%stepsPerHeartbeat || resend[w.ID]
			if c.advanceFleetTasks(w, now, runTime) || due {
				resend[w.ID] = !c.sendHeartbeat(w)
			}
			on.add(c.t, w)
		}
		time.Sleep(stepInterval)
	}
}

// advanceFleetTasks is advanceTasks for a large fleet; changed is whether an attempt was first seen or has ended.
func (c *cluster) advanceFleetTasks(w *fakes.Worker, now clock.Micros, runTime time.Duration) (changed bool) {
	for key, k := range w.Tasks {
		if c.taskSeenAt[key] == 0 {
			c.taskSeenAt[key], changed = now, true
		}
		if runTime > 0 && k.Phase != wire.TaskExited && now > c.taskSeenAt[key]+clock.FromDuration(runTime) {
			k.Phase, k.Cause, changed = wire.TaskExited, wire.CauseDone, true
		}
	}
	return changed
}

// sendHeartbeat sends a worker's heartbeat to the controller that it reports to, and has it take the answer. Where there
// is none the worker turns to the controller that the answer names, or to the next one.
func (c *cluster) sendHeartbeat(w *fakes.Worker) (answered bool) {
	sent := c.clock.Now()
	r := w.Heartbeat(sent)
	r.Addr = "" // commands come in answers to heartbeats only
	body, err := json.Marshal(r)
	require.NoError(c.t, err)
	if c.recordsHeartbeats {
		c.recordedHeartbeats = append(c.recordedHeartbeats, body)
	}
	if h := c.pinnedTo[w.ID]; h != "" {
		c.reportsTo[w.ID] = h
	}
	host := c.reportsTo[w.ID]
	var response httpx.Response
	if !c.unreachable[host] {
		response = c.post(host, wire.PathHeartbeat, string(body))
	}
	if c.unanswered[w.ID] {
		response = httpx.Response{}
	}
	var answer wire.HeartbeatResponse
	var rejection wire.Error
	switch {
	case response.Status == 200:
		require.NoError(c.t, json.Unmarshal(response.Body, &answer))
		w.HandleHeartbeatResponse(answer, sent)
		return true
	case response.Status == 421 && json.Unmarshal(response.Body, &rejection) == nil && rejection.Leader != "":
		c.reportsTo[w.ID] = rejection.Leader
	default:
		c.reportsTo[w.ID] = nextHost(host)
	}
	return false
}

// nextHost is the host after another, in a ring.
func nextHost(host string) string {
	return map[string]string{"a": "b", "b": "c", "c": "a"}[host]
}

// runningTasks counts the tasks that run on all workers.
func (c *cluster) runningTasks() (n int) {
	for _, w := range c.workers {
		for _, k := range w.Tasks {
			if k.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

// taskStarts counts how often tasks of a job have started.
func (c *cluster) taskStarts(id string) (n int) {
	for _, w := range c.workers {
		for task, starts := range w.Starts {
			if strings.HasPrefix(task, id+"/") {
				n += starts
			}
		}
	}
	return n
}

// tasksOn counts the tasks of a job that run on workers which report to a controller.
func (c *cluster) tasksOn(host, id string) (n int) {
	for _, w := range c.workers {
		for _, k := range w.Tasks {
			if c.reportsTo[w.ID] == host && k.Phase != wire.TaskExited && strings.HasPrefix(k.Task, id+"/") {
				n++
			}
		}
	}
	return n
}

// finishTask has a task done wherever it runs.
func (c *cluster) finishTask(task string) {
	for _, w := range c.workers {
		w.Finish(task, wire.CauseDone)
	}
}

// requireStartedOnce holds that no task was ever started a second time.
func (c *cluster) requireStartedOnce() {
	c.t.Helper()
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

// cancellationLimit is how long after the confirmation of its cancellation a job's tasks may still run.
const cancellationLimit = 36 * time.Second

// confirmedCancellation is when a job's cancellation was confirmed, and how often tasks of
// it had started by then.
type confirmedCancellation struct {
	confirmedAt time.Time
	starts      int
}

// requireCancelledStopped holds the workers' tasks against the cancellations confirmed so far: nothing has started
// since, and after cancellationLimit nothing runs.
func (c *cluster) requireCancelledStopped() {
	for id, confirmed := range c.cancelled {
		require.Equal(c.t, confirmed.starts, c.taskStarts(id), "%s has started after its cancellation was confirmed", id)
		age := time.Since(confirmed.confirmedAt)
		if age <= cancellationLimit {
			continue
		}
		for _, w := range c.workers {
			for _, k := range w.InOrder() {
				require.False(c.t, k.Phase != wire.TaskExited && strings.HasPrefix(k.Task, id+"/"),
					"%s is on %s %v after its cancellation was confirmed", k.Task, w.ID, age)
			}
		}
	}
}
