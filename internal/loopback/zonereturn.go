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

// The load of a run: twelve workers in two zones run 48 tasks at a time, users of three priorities keep
// submitting somewhat less than the fleet can do, and more than one zone can.
const (
	zoneWorkers = 12
	zoneRunFor  = 5 * time.Second // of each task
	zoneTasks   = 6               // of each job
	zoneBefore  = 15 * time.Second
	zoneCut     = 40 * time.Second
	zoneAfter   = 45 * time.Second
	zoneDrain   = 120 * time.Second // until the last job is done, at most
	zoneRate    = 0.35              // jobs a second and priority
	cutZone     = "b"
)

const (
	// answerLag is by how much answers about jobs may be behind, with a margin.
	answerLag = 4 * time.Second
	// historySkewMS is by how much the times of controllers on one machine are assumed to differ.
	historySkewMS = 200
)

// priorities are the priorities of the jobs, by what returns first.
var priorities = []string{"high", "normal", "idle"}

// priorityCount is the number of priorities.
const priorityCount = 3

// ZoneReturn plays runs in which one of two zones is cut off and reconnected.
type ZoneReturn struct {
	Program string
	Seeds   int
}

// zoneResult is the result of several runs.
type zoneResult struct {
	firstStarts [priorityCount]*telemetry.Distribution // from the return until a task starts in the zone
	durations   [priorityCount]*telemetry.Distribution // from submission to end, of jobs submitted after the return
	jobs        int
	restarts    int // starts beyond one for each task
	peakStarts  int // starts in the zone in the busiest second after the return
}

func newZoneResult() *zoneResult {
	r := &zoneResult{}
	for i := range priorities {
		r.firstStarts[i], r.durations[i] = telemetry.NewDistribution(), telemetry.NewDistribution()
	}
	return r
}

// Run writes the results of the runs, zone return off and on. An error means that a run failed, that a job had
// not one final state, or that a task was on two machines.
func (z *ZoneReturn) Run(ctx context.Context, out io.Writer) error {
	for _, on := range []bool{false, true} {
		result := newZoneResult()
		for seed := range uint64(z.Seeds) {
			if err := z.runOnce(ctx, seed, on, result); err != nil {
				return err
			}
		}
		z.writeResult(out, on, result)
	}
	return nil
}

func (z *ZoneReturn) writeResult(out io.Writer, on bool, result *zoneResult) {
	fmt.Fprintf(out, "zone return %v, %d seeds, %d jobs: each has one final answer at every controller; "+
		"%d tasks started again; at most %d starts a second in the zone\n",
		on, z.Seeds, result.jobs, result.restarts, result.peakStarts)
	for i, priority := range priorities {
		fmt.Fprintf(out, "  %s: first start in the zone after the return p50/p95/p99 %s; submitted afterwards, until done %s\n",
			priority, quantiles(result.firstStarts[i]), quantiles(result.durations[i]))
	}
}

// zoneRun is one run; jobs are grouped by priority.
type zoneRun struct {
	*cluster
	*load
	returnedAt time.Time // when the zone was reconnected
}

// runOnce plays one run and adds it to the result.
func (z *ZoneReturn) runOnce(ctx context.Context, seed uint64, on bool, result *zoneResult) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+zoneBefore+zoneCut+zoneAfter+zoneDrain+runMargin)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return err
	}
	r := &zoneRun{load: newLoad(zoneTasks)}
	if r.cluster, err = newCluster(ctx, z.setup(dir, on), r.taskDone); err != nil {
		return err
	}
	defer r.stop()
	var users sync.WaitGroup
	for i := range priorities {
		users.Go(func() { r.submitPriority(ctx, seed*10+uint64(i), i) })
	}
	time.Sleep(zoneBefore)
	r.setZoneCut(cutZone, true)
	time.Sleep(zoneCut)
	r.setZoneCut(cutZone, false)
	r.returnedAt = time.Now()
	returned := r.clock.Now()
	users.Wait()
	if err := r.awaitFinished(ctx, zoneDrain); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	time.Sleep(answerLag)
	if err := r.check(ctx, dir); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	r.summarize(returned, result)
	return os.RemoveAll(dir)
}

// setup is the cluster of a run: two controllers in one zone, one in the zone that is cut off.
func (z *ZoneReturn) setup(dir string, on bool) Setup {
	setup := Setup{
		Program: z.Program,
		Workers: zoneWorkers,
		RunFor:  zoneRunFor,
		LogDir:  dir,
		Teams:   []config.Team{{Name: "team"}},
		Zones:   map[string]string{"a": defaultZone, "b": defaultZone, "c": cutZone},
		Policy:  "history = True\nzone_return = False\n",
	}
	if on {
		setup.Policy = "history = True\nzone_return = True\n"
	}
	return setup
}

// reachableHosts is how many of the controllers, from the first on, are never cut off.
const reachableHosts = 2

// submitPriority submits jobs of one priority, at controllers that are not cut off.
func (r *zoneRun) submitPriority(ctx context.Context, seed uint64, priority int) {
	rng := fakes.Rand(seed)
	arrivals(ctx, rng, zoneRate, zoneBefore+zoneCut+zoneAfter, func(n int) {
		id := fmt.Sprintf("job-%d%05d", priority, n)
		r.addJob(id, priorities[priority])
		r.submitUntilAccepted(ctx, func() submission {
			host := r.hosts[rng.IntN(reachableHosts)]
			return submission{id: id, team: "team", priority: priorities[priority], tasks: zoneTasks, host: host}
		})
	})
}

// check asks every controller for every job, and checks the invariants on the controllers' history.
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

// checkFinalStates checks that every controller answers that every job is done.
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

// jobState asks a controller for a job. An answer that can't be decoded has no phase.
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

// summarize adds the run to the result.
func (r *zoneRun) summarize(returned clock.Micros, result *zoneResult) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	firstStarts := [priorityCount]clock.Micros{}
	startsOfTask := map[string]int{}
	startsInSecond := map[clock.Micros]int{}
	for _, s := range r.starts {
		startsOfTask[s.task]++
		if s.zone != cutZone || s.at < returned {
			continue
		}
		startsInSecond[(s.at-returned)/clock.Second]++
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
			result.firstStarts[priority].Record(at - returned)
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
