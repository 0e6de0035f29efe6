package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/console"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The load of a run: twelve workers in two zones run 48 tasks at a time. Users submit jobs of three priorities at a
// rate that is somewhat below the capacity of both zones, but above that of one zone, so that jobs queue up while a
// zone is cut off.
const (
	zoneWorkers       = 12
	zoneRunFor        = 5 * time.Second // run time of each task
	zoneTasksPerJob   = 6
	beforeIsolation   = 15 * time.Second  // from the start of the users' submissions until the zone is cut off
	isolationDuration = 40 * time.Second  // how long the zone is cut off
	afterIsolation    = 45 * time.Second  // how long users submit jobs after the zone is reconnected
	zoneDrainTimeout  = 120 * time.Second // how long the jobs may take to end after the last submission
	zoneJobRate       = 0.35              // jobs of each priority that are submitted a second
	isolatedZone      = "b"
)

const (
	// maxAnswerLag is how long a controller may take to learn of a job's final state, with a margin.
	maxAnswerLag = 4 * time.Second
	// historySkewMS is the assumed maximum difference in milliseconds between the clocks of controllers on one machine.
	historySkewMS = 200
)

// priorities lists the priorities of the jobs, in the order in which their work returns to a zone.
var priorities = []string{"high", "normal", "idle"}

// priorityCount is the number of priorities.
const priorityCount = 3

// ZoneReturn compares runs in which one of two zones is cut off and reconnected, with staged zone return off and on.
type ZoneReturn struct {
	Program string
	Seeds   int
}

// zoneResult is the pooled result of several runs.
type zoneResult struct {
	firstStarts [priorityCount]*telemetry.Distribution // time from the reconnection to the first start of a task in the zone
	durations   [priorityCount]*telemetry.Distribution // of jobs that were submitted after the reconnection, from submission to end
	jobs        int
	restarts    int // starts of tasks beyond the first start of each
	peakStarts  int // largest number of starts in the zone in one second after the reconnection
}

func newZoneResult() *zoneResult {
	r := &zoneResult{}
	for i := range priorities {
		r.firstStarts[i], r.durations[i] = telemetry.NewDistribution(), telemetry.NewDistribution()
	}
	return r
}

// Run executes the runs of all seeds with zone return off and on, and writes their results to out. It fails if a run
// fails, if a controller does not answer that a job is done, if a task runs on two machines, or if the controllers'
// history violates an invariant.
func (z *ZoneReturn) Run(ctx context.Context, out io.Writer) error {
	for _, zoneReturn := range []bool{false, true} {
		result := newZoneResult()
		for seed := range uint64(z.Seeds) {
			if err := z.runOnce(ctx, seed, zoneReturn, result); err != nil {
				return err
			}
		}
		z.writeResult(out, zoneReturn, result)
	}
	return nil
}

func (z *ZoneReturn) writeResult(out io.Writer, zoneReturn bool, result *zoneResult) {
	fmt.Fprintf(out, "zone return %v, %d seeds, %d jobs: each has one final answer at every controller; "+
		"%d tasks started again; at most %d starts a second in the zone\n",
		zoneReturn, z.Seeds, result.jobs, result.restarts, result.peakStarts)
	for i, priority := range priorities {
		fmt.Fprintf(out, "  %s: first start in the zone after the return p50/p95/p99 %s; submitted afterwards, until done %s\n",
			priority, formatQuantiles(result.firstStarts[i]), formatQuantiles(result.durations[i]))
	}
}

// zoneRun is one run. Its load groups jobs by priority.
type zoneRun struct {
	*cluster
	*load
	returnedAt time.Time // when the zone was reconnected
}

// runOnce executes one run and adds it to the result. It keeps the directory with the controllers' logs if the run
// fails.
func (z *ZoneReturn) runOnce(ctx context.Context, seed uint64, zoneReturn bool, result *zoneResult) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+beforeIsolation+isolationDuration+afterIsolation+zoneDrainTimeout+runMargin)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return err
	}
	r := &zoneRun{load: newLoad(zoneTasksPerJob)}
	if r.cluster, err = newCluster(ctx, z.setup(dir, zoneReturn), r.taskDone); err != nil {
		return err
	}
	defer r.stop()
	var users sync.WaitGroup
	for i := range priorities {
		users.Go(func() { r.submitPriority(ctx, seed*10+uint64(i), i) })
	}
	time.Sleep(beforeIsolation)
	r.setZoneIsolated(isolatedZone, true)
	time.Sleep(isolationDuration)
	r.setZoneIsolated(isolatedZone, false)
	r.returnedAt = time.Now()
	returnedMicros := r.clock.Now()
	users.Wait()
	if err := r.awaitFinished(ctx, zoneDrainTimeout); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	time.Sleep(maxAnswerLag)
	if err := r.check(ctx, dir); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	r.summarize(returnedMicros, result)
	return os.RemoveAll(dir)
}

// setup returns the description of a run's cluster: two controllers are in one zone, one is in the zone that is cut
// off.
func (z *ZoneReturn) setup(dir string, zoneReturn bool) Setup {
	setup := Setup{
		Program: z.Program,
		Workers: zoneWorkers,
		RunFor:  zoneRunFor,
		LogDir:  dir,
		Teams:   []config.Team{{Name: "team"}},
		Zones:   map[string]string{"a": defaultZone, "b": defaultZone, "c": isolatedZone},
		Policy:  "history = True\nzone_return = False\n",
	}
	if zoneReturn {
		setup.Policy = "history = True\nzone_return = True\n"
	}
	return setup
}

// reachableHosts is the number of controllers that are never cut off. They are the first ones in cluster.hosts.
const reachableHosts = 2

// submitPriority submits jobs of one priority to controllers that are not cut off.
func (r *zoneRun) submitPriority(ctx context.Context, seed uint64, priority int) {
	rng := fakes.Rand(seed)
	arrivals(ctx, rng, zoneJobRate, beforeIsolation+isolationDuration+afterIsolation, func(n int) {
		id := fmt.Sprintf("job-%d%05d", priority, n)
		r.addJob(id, priorities[priority])
		r.submitUntilAccepted(ctx, func() submission {
			host := r.hosts[rng.IntN(reachableHosts)]
			return submission{id: id, team: "team", priority: priorities[priority], tasks: zoneTasksPerJob, host: host}
		})
	})
}

// check fails if a controller does not answer that a job is done, if the workers saw a task on two machines, or if the
// controllers' history violates an invariant.
func (r *zoneRun) check(ctx context.Context, dir string) error {
	if err := r.checkFinalStates(ctx); err != nil {
		return err
	}
	r.fleet.mu.Lock()
	duplicates := r.duplicates
	r.fleet.mu.Unlock()
	if len(duplicates) > 0 {
		return fmt.Errorf("tasks ran on two machines: %v", duplicates)
	}
	settings, err := r.controllerSettings()
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "history.parquet")
	var output bytes.Buffer
	if err := console.ExportHistory(&output, console.Controllers(settings), path); err != nil {
		return err
	}
	return console.CheckHistory(&output, path, historySkewMS)
}

// checkFinalStates fails if a controller does not answer that a job is done.
func (r *zoneRun) checkFinalStates(ctx context.Context) error {
	client := &http.Client{Timeout: requestTimeout}
	for id := range r.jobs {
		for _, host := range r.hosts {
			status, state, err := r.jobState(ctx, client, host, id)
			if err != nil {
				return err
			}
			if state.Phase != wire.Done {
				return fmt.Errorf("%s answers %d %q for %s", host, status, state.Phase, id)
			}
		}
	}
	return nil
}

// jobState asks a controller for the state of a job. It returns a state without a phase if the answer can't be decoded.
func (r *zoneRun) jobState(ctx context.Context, client *http.Client, host, id string) (status int, state wire.JobState, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.controllers[host]+wire.PathJobs+"/"+id, nil)
	if err != nil {
		return 0, wire.JobState{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, wire.JobState{}, err
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&state) != nil {
		return resp.StatusCode, wire.JobState{}, nil
	}
	return resp.StatusCode, state, nil
}

// summarize adds the run's jobs and starts of tasks to the result. returnedMicros is when the zone was reconnected.
func (r *zoneRun) summarize(returnedMicros clock.Micros, result *zoneResult) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	firstStarts := [priorityCount]clock.Micros{}
	startsOfTask := map[string]int{}
	startsInSecond := map[clock.Micros]int{}
	for _, s := range r.starts {
		startsOfTask[s.task]++
		if s.zone != isolatedZone || s.at < returnedMicros {
			continue
		}
		startsInSecond[(s.at-returnedMicros)/clock.Second]++
		id, _, _ := wire.SplitTask(s.task)
		if j := r.jobs[id]; j != nil {
			priority := slices.Index(priorities, j.group)
			if firstStarts[priority] == 0 || s.at < firstStarts[priority] {
				firstStarts[priority] = s.at
			}
		}
	}
	for priority, at := range firstStarts {
		if at != 0 {
			result.firstStarts[priority].Record(at - returnedMicros)
		}
	}
	for _, n := range startsInSecond {
		result.peakStarts = max(result.peakStarts, n)
	}
	for _, n := range startsOfTask {
		result.restarts += n - 1
	}
	result.jobs += len(r.jobs)
	for _, j := range r.jobs {
		if j.submitted.After(r.returnedAt) {
			result.durations[slices.Index(priorities, j.group)].Record(clock.FromDuration(j.ended.Sub(j.submitted)))
		}
	}
}
