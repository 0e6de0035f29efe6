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

// The load of a run: twelve workers in two zones run 48 tasks at a time, three teams of ranks keep
// submitting somewhat less than the fleet can do, and more than one zone can.
const (
	zoneWorkers = 12
	zoneRunFor  = 5 * time.Second
	zoneTasks   = 6
	zoneBefore  = 15 * time.Second
	zoneCut     = 40 * time.Second
	zoneAfter   = 45 * time.Second
	zoneDrain   = 120 * time.Second // at most
	zoneRate    = 0.35              // jobs a second and rank
)

// priorities are the priorities of the teams' jobs, by what returns first.
var priorities = []string{"high", "normal", "idle"}

// ZoneReturn plays runs in which one of two zones is cut off and joined again.
type ZoneReturn struct {
	Program string
	Seeds   int
}

// zoneResult is what came of runs.
type zoneResult struct {
	firstStarts [3]*telemetry.Distribution // by rank: from the return until a task starts in the zone
	durations   [3]*telemetry.Distribution // by rank: of the jobs submitted after the return, until their end
	jobs        int
	restarts    int // starts beyond one for each task
	peakStarts  int // starts in the zone in the busiest second after the return
}

// Run writes what came of the runs, zone return off and on. An error tells that a run failed, that a job
// had not one final answer, or that a task was on two machines.
func (z *ZoneReturn) Run(ctx context.Context, out io.Writer) error {
	for _, on := range []bool{false, true} {
		sum := zoneResult{}
		for i := range priorities {
			sum.firstStarts[i], sum.durations[i] = telemetry.NewDistribution(), telemetry.NewDistribution()
		}
		for seed := range uint64(z.Seeds) {
			if err := z.runOnce(ctx, seed, on, &sum); err != nil {
				return err
			}
		}
		fmt.Fprintf(out, "zone return %v, %d seeds, %d jobs: each has one final answer at every controller; %d tasks started again; at most %d starts a second in the zone\n",
			on, z.Seeds, sum.jobs, sum.restarts, sum.peakStarts)
		for i, rank := range priorities {
			fmt.Fprintf(out, "  %s: first start in the zone after the return p50/p95/p99 %s; submitted afterwards, until done %s\n", rank,
				quantiles(sum.firstStarts[i]), quantiles(sum.durations[i]))
		}
	}
	return nil
}

// zoneRun is one run; jobs are grouped by rank.
type zoneRun struct {
	*cluster
	*load
	returnedAt time.Time
}

func (z *ZoneReturn) runOnce(ctx context.Context, seed uint64, on bool, sum *zoneResult) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+zoneBefore+zoneCut+zoneAfter+zoneDrain+30*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return err
	}
	setup := Setup{Program: z.Program, Workers: zoneWorkers, RunFor: zoneRunFor, LogDir: dir, Teams: []config.Team{{Name: "team"}},
		Zones: map[string]string{"a": "a", "b": "a", "c": "b"}, Policy: "history = True\nzone_return = False\n"}
	if on {
		setup.Policy = "history = True\nzone_return = True\n"
	}
	r := &zoneRun{load: newLoad(zoneTasks)}
	if r.cluster, err = newCluster(ctx, setup, r.taskDone); err != nil {
		return err
	}
	defer r.stop()
	var users sync.WaitGroup
	for i := range priorities {
		users.Go(func() { r.submitPriority(ctx, seed*10+uint64(i), i) })
	}
	time.Sleep(zoneBefore)
	r.setZoneCut("b", true)
	time.Sleep(zoneCut)
	r.setZoneCut("b", false)
	r.returnedAt = time.Now()
	returned := r.clock.Now()
	users.Wait()
	if err := r.awaitFinished(ctx, zoneDrain); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	time.Sleep(4 * time.Second) // answers may be three seconds behind
	if err := r.check(ctx, dir); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	r.sumUp(returned, sum)
	return os.RemoveAll(dir)
}

// submitPriority submits jobs of one rank, at controllers that are not cut off.
func (r *zoneRun) submitPriority(ctx context.Context, seed uint64, rank int) {
	client := &http.Client{Timeout: 5 * time.Second}
	rng := fakes.Rand(seed)
	start, at := time.Now(), time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		if at += time.Duration((0.5 + rng.Float64()) / zoneRate * float64(time.Second)); at >= zoneBefore+zoneCut+zoneAfter {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		id := fmt.Sprintf("job-%d%05d", rank, n)
		r.addJob(id, priorities[rank])
		for !r.cluster.submit(ctx, client, submission{id: id, team: "team", rank: priorities[rank], tasks: zoneTasks, host: r.hosts[rng.IntN(2)]}) && ctx.Err() == nil {
			time.Sleep(time.Second)
		}
	}
}

// check asks every controller for every job, and holds the rules against the controllers' history.
func (r *zoneRun) check(ctx context.Context, dir string) error {
	client := &http.Client{Timeout: 5 * time.Second}
	for id := range r.jobs {
		for _, h := range r.hosts {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.controllers[h]+wire.PathJobs+"/"+id, nil)
			if err != nil {
				return err
			}
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			var s wire.JobState
			err = json.NewDecoder(resp.Body).Decode(&s)
			resp.Body.Close()
			if err != nil || s.Phase != wire.Done {
				return fmt.Errorf("%s answers %d %q for %s", h, resp.StatusCode, s.Phase, id)
			}
		}
	}
	r.fleet.mu.Lock()
	twice := r.duplicates
	r.fleet.mu.Unlock()
	if len(twice) > 0 {
		return fmt.Errorf("tasks ran on two machines: %v", twice)
	}
	set, err := r.controllerSettings()
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "history.parquet")
	var told bytes.Buffer
	if err := console.ExportHistory(&told, console.Controllers(set), path); err != nil {
		return err
	}
	return console.CheckHistory(&told, path, 200)
}

// sumUp adds what came of the run.
func (r *zoneRun) sumUp(returned clock.Micros, sum *zoneResult) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	first := [3]clock.Micros{}
	starts := map[string]int{}
	second := map[clock.Micros]int{}
	for _, s := range r.starts {
		starts[s.task]++
		if s.zone != "b" || s.at < returned {
			continue
		}
		second[(s.at-returned)/clock.Second]++
		id, _, _ := wire.SplitTask(s.task)
		if j := r.jobs[id]; j != nil {
			rank := slices.Index(priorities, j.group)
			if first[rank] == 0 || s.at < first[rank] {
				first[rank] = s.at
			}
		}
	}
	for rank, at := range first {
		if at != 0 {
			sum.firstStarts[rank].Record(at - returned)
		}
	}
	for _, n := range second {
		sum.peakStarts = max(sum.peakStarts, n)
	}
	for _, n := range starts {
		sum.restarts += n - 1
	}
	sum.jobs += len(r.jobs)
	for _, j := range r.jobs {
		if j.submitted.After(r.returnedAt) {
			sum.durations[slices.Index(priorities, j.group)].Record(clock.FromDuration(j.ended.Sub(j.submitted)))
		}
	}
}
