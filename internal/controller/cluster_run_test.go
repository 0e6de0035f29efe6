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

// stepInterval is the time between two steps of the workers. In each step they run their tasks and send heartbeats.
const stepInterval = 500 * time.Millisecond

// runFor lets time pass while workers send a heartbeat every stepInterval. Tasks end as done once they have run for
// runTime; if it is zero, none ends. In every step runFor checks the rules: no task runs on two machines, limitedTeam stays
// within its limit, and the tasks of cancelled jobs end.
func (c *cluster) runFor(d, runTime time.Duration) { c.runForEach(d, runTime, func() {}) }

// runForEach does what runFor does and calls then after every step.
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

// stepWorkers makes each worker in turn run its tasks and send a heartbeat, and requires each time that no task runs twice. Hung workers
// send no heartbeats, and their tasks don't end unless the worker lease has expired.
func (c *cluster) stepWorkers(seenAt map[string]clock.Micros, runTime time.Duration) {
	now := c.clock.Now()
	limitedCPUs := 0.0
	for _, w := range c.workers {
		w.ExpireLease(now)
	}
	for _, w := range c.workers {
		if c.hungWorkers[w.ID] {
			advanceTasks(w, seenAt, now, 0)
		} else {
			advanceTasks(w, seenAt, now, runTime)
			c.sendHeartbeat(w)
		}
		c.requireNoTaskRunsTwice()
		limitedCPUs += c.limitedCPUs(w)
	}
	require.LessOrEqual(c.t, limitedCPUs, float64(limitedTeamCPUs), "the limited team exceeds its limit")
}

// requireNoTaskRunsTwice requires that no task runs on two workers, or twice on one, at this moment, and returns where they run.
func (c *cluster) requireNoTaskRunsTwice() placements {
	placed := placements{}
	for _, w := range c.workers {
		placed.add(c.t, w)
	}
	return placed
}

// advanceTasks records when each attempt on a worker is first seen, and ends the attempts that have run for runTime. If
// runTime is zero, none ends.
func advanceTasks(w *fakes.Worker, seenAt map[string]clock.Micros, now clock.Micros, runTime time.Duration) {
	for _, task := range w.SortedTasks() {
		attempt := attemptKey(w, task)
		if seenAt[attempt] == 0 {
			seenAt[attempt] = now
		}
		if runTime > 0 && task.Phase != wire.TaskExited && now > seenAt[attempt]+clock.FromDuration(runTime) {
			task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
		}
	}
}

// attemptKey returns a key for an attempt on a machine.
func attemptKey(w *fakes.Worker, task *wire.TaskStatus) string {
	return fmt.Sprint(w.ID, task.Task, task.Attempt)
}

// placements maps running tasks to their machines.
type placements map[string]string

// add adds the tasks that run on a worker, and requires that none of them runs anywhere else.
func (p placements) add(t *testing.T, w *fakes.Worker) {
	t.Helper()
	for _, task := range w.Tasks {
		if task.Phase != wire.TaskExited {
			require.Empty(t, p[task.Task], "%s runs on two machines", task.Task)
			p[task.Task] = w.ID
		}
	}
}

// remove removes the tasks that run on a worker.
func (p placements) remove(w *fakes.Worker) {
	for _, task := range w.Tasks {
		if p[task.Task] == w.ID {
			delete(p, task.Task)
		}
	}
}

// limitedCPUs returns the CPUs that limitedTeam's tasks take on a worker.
func (c *cluster) limitedCPUs(w *fakes.Worker) (cpus float64) {
	for _, task := range w.Tasks {
		if job, _, _ := wire.SplitTask(task.Task); task.Phase != wire.TaskExited && !c.unlimitedJobs[job] {
			cpus += taskCPUs
		}
	}
	return cpus
}

// sleepStep sleeps for stepInterval, and meanwhile carries out deliveries, and calls everyFiveMS if it is set.
func (c *cluster) sleepStep() {
	const fineStep = 5 * time.Millisecond
	fine := func() bool { return c.everyFiveMS != nil || c.options.deliveries }
	if !fine() {
		time.Sleep(stepInterval)
		return
	}
	for step := 0; fine() && step < int(stepInterval/fineStep); step++ {
		time.Sleep(fineStep)
		c.carryOutDeliveries()
		if c.everyFiveMS != nil {
			c.everyFiveMS()
		}
	}
}

// runFleetFor lets time pass in a large fleet, like runFor, but workers send a heartbeat only every ten steps and when a
// task has started or ended. In every step it checks that no task runs on two machines.
func (c *cluster) runFleetFor(d, runTime time.Duration) {
	const stepsPerHeartbeat = 10
	resend := map[string]bool{} // workers whose last heartbeat was not answered; they send one again in the next step
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		now := c.clock.Now()
		placed := placements{}
		for i, w := range c.workers {
			due := n%stepsPerHeartbeat == i%stepsPerHeartbeat || resend[w.ID]
			if c.advanceFleetTasks(w, now, runTime) || due {
				resend[w.ID] = !c.sendHeartbeat(w)
			}
			placed.add(c.t, w)
		}
		c.sleepStep()
	}
}

// advanceFleetTasks does what advanceTasks does, for runFleetFor. It reports whether a task was first seen or has ended.
func (c *cluster) advanceFleetTasks(w *fakes.Worker, now clock.Micros, runTime time.Duration) (changed bool) {
	for key, task := range w.Tasks {
		if c.taskSeenAt[key] == 0 {
			c.taskSeenAt[key], changed = now, true
		}
		if runTime > 0 && task.Phase != wire.TaskExited && now > c.taskSeenAt[key]+clock.FromDuration(runTime) {
			task.Phase, task.Cause, changed = wire.TaskExited, wire.CauseDone, true
		}
	}
	return changed
}

// sendHeartbeat sends a worker's heartbeat to the controller that the worker reports to, and passes the answer to the worker.
// If the heartbeat is rejected or not answered, the worker reports to the leader that the rejection names, or to the next
// host if it names none.
func (c *cluster) sendHeartbeat(w *fakes.Worker) (answered bool) {
	sent := c.clock.Now()
	r := w.Heartbeat(sent)
	r.Addr = "" // without an address, the worker gets commands only in answers to heartbeats
	if c.options.deliveries {
		r.Addr = w.ID
	}
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
	if !c.unreachableHosts[host] {
		response = c.post(host, wire.PathHeartbeat, string(body))
	}
	if c.workersWithoutAnswers[w.ID] {
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

// nextHost returns the host that follows another one in a cycle through all hosts.
func nextHost(host string) string {
	return map[string]string{"a": "b", "b": "c", "c": "a"}[host]
}

// runningTasks counts the tasks that run on all workers.
func (c *cluster) runningTasks() (n int) {
	for _, w := range c.workers {
		for _, task := range w.Tasks {
			if task.Phase != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

// taskStarts counts how often workers have started tasks of a job.
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
		for _, task := range w.Tasks {
			if c.reportsTo[w.ID] == host && task.Phase != wire.TaskExited && strings.HasPrefix(task.Task, id+"/") {
				n++
			}
		}
	}
	return n
}

// finishTask ends a task as done on every worker that runs it.
func (c *cluster) finishTask(task string) { c.endTask(task, wire.CauseDone) }

// endTask ends a task with a cause on every worker that runs it.
func (c *cluster) endTask(task, cause string) {
	for _, w := range c.workers {
		w.Finish(task, cause)
	}
}

// requireStartedOnce requires that no task was started more than once.
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

// cancellationMargin is how much longer than the worker lease tasks of a job may still run after its cancellation was confirmed.
const cancellationMargin = 20 * time.Second

// cancellationLimit is how long tasks of a job may still run after its cancellation was confirmed.
func (c *cluster) cancellationLimit() time.Duration {
	return c.options.workerLease.Duration() + cancellationMargin
}

// confirmedCancellation says when a job's cancellation was confirmed, and how often tasks of the job had started by then.
type confirmedCancellation struct {
	confirmedAt time.Time
	starts      int
}

// requireCancelledStopped requires that no task of a cancelled job has started since the cancellation was confirmed, and
// that none runs after cancellationLimit.
func (c *cluster) requireCancelledStopped() {
	for id, confirmed := range c.cancelled {
		require.Equal(c.t, confirmed.starts, c.taskStarts(id), "%s has started after its cancellation was confirmed", id)
		age := time.Since(confirmed.confirmedAt)
		if age <= c.cancellationLimit() {
			continue
		}
		for _, w := range c.workers {
			for _, task := range w.SortedTasks() {
				require.False(c.t, task.Phase != wire.TaskExited && strings.HasPrefix(task.Task, id+"/"),
					"%s runs on %s %v after its cancellation was confirmed", task.Task, w.ID, age)
			}
		}
	}
}
