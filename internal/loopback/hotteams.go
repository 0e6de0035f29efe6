package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/console"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The load of a run: as in the test of internal/controller, twenty workers run 80 tasks at a time.
const (
	hotWorkers  = 20
	hotTeams    = 5
	hotTasks    = 6                // of each job
	burstFactor = 10               // the hot team's rate during a burst, in multiples of hotRate
	hotRunFor   = 4 * time.Second  // of each task
	hotOnTime   = 10 * time.Second // a job that takes no longer is on time
	hotBurst    = time.Minute      // how long jobs are submitted
	hotDrain    = 75 * time.Second // until the last job is done, at most
	hotRate     = 0.25             // jobs a second and team
	hotTeam     = "team-0"
)

// The failure in the middle of a run.
const (
	failAfter    = hotBurst / 2
	pauseFor     = 10 * time.Second
	restartAfter = 3 * time.Second
)

// runMargin is how much longer than its parts a run may take before it is ended.
const runMargin = 30 * time.Second

// submitRetry is how long a user waits before a submission that was not accepted is repeated.
const submitRetry = time.Second

// requestTimeout is how long users wait for an answer.
const requestTimeout = 5 * time.Second

// Failure is what fails in the middle of a run.
type Failure string

// Failures.
const (
	NoFailure             Failure = "none"
	SchedulerKilled       Failure = "placer" // the hot team's leader is killed, and started again after restartAfter
	PartitionLeaderPaused Failure = "owner"  // a controller that leads partitions is paused for pauseFor
)

// ErrFailure means that a run has no such failure.
var ErrFailure = errors.New("the failure must be none, placer or owner")

// HotTeams plays pairs of runs, without and with one team's burst.
type HotTeams struct {
	Program string
	Seeds   int
	Failure Failure
}

// runVariant is one of the four runs of a seed.
type runVariant struct{ fairShares, burst bool }

var runVariants = []runVariant{{false, false}, {false, true}, {true, false}, {true, true}}

// Run writes the results of the runs, fair shares off and on, with all seeds pooled. An error means that a run
// failed or violated an invariant.
func (h *HotTeams) Run(ctx context.Context, out io.Writer) error {
	if !slices.Contains([]Failure{NoFailure, SchedulerKilled, PartitionLeaderPaused}, h.Failure) {
		return ErrFailure
	}
	pooled := map[runVariant]*hotTeamsResult{}
	for _, variant := range runVariants {
		pooled[variant] = newHotTeamsResult()
	}
	for seed := range uint64(h.Seeds) {
		if err := h.runSeed(ctx, seed, pooled); err != nil {
			return err
		}
		fmt.Fprintf(out, "%d of %d seeds played\n", seed+1, h.Seeds)
	}
	for _, fairShares := range []bool{false, true} {
		h.writeResult(out, fairShares, pooled[runVariant{fairShares, false}], pooled[runVariant{fairShares, true}])
	}
	return nil
}

// runSeed plays the four runs of a seed concurrently, and adds them to the pooled results: their clusters share
// nothing but this machine.
func (h *HotTeams) runSeed(ctx context.Context, seed uint64, pooled map[runVariant]*hotTeamsResult) error {
	var mu sync.Mutex // guards pooled
	g, ctx := errgroup.WithContext(ctx)
	for _, variant := range runVariants {
		g.Go(func() error {
			result, err := h.runOnce(ctx, seed, variant)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			pooled[variant].add(result)
			return nil
		})
	}
	return g.Wait()
}

// writeResult writes the effect of the burst.
func (h *HotTeams) writeResult(out io.Writer, fairShares bool, baseline, burst *hotTeamsResult) {
	worst := 0.0
	for team := range baseline.submitted {
		if team != hotTeam {
			worst = max(worst, baseline.onTimeShare(team)-burst.onTimeShare(team))
		}
	}
	fmt.Fprintf(out, "fair shares %v, failure %s, %d seeds: worst loss of another team's on-time share %.3f\n",
		fairShares, h.Failure, h.Seeds, worst)
	for _, team := range slices.Sorted(maps.Keys(baseline.submitted)) {
		fmt.Fprintf(out, "  %s: on time %.3f of %d -> %.3f of %d; from submission to end p50/p95/p99 %s -> %s\n",
			team, baseline.onTimeShare(team), baseline.submitted[team], burst.onTimeShare(team), burst.submitted[team],
			quantiles(baseline.durations[team]), quantiles(burst.durations[team]))
	}
	fmt.Fprint(out, burst.teamsOutput)
}

// quantiles formats a distribution's quantiles in seconds.
func quantiles(d *telemetry.Distribution) string {
	q := d.Quantiles()
	return fmt.Sprintf("%.1f/%.1f/%.1f s", q.P50.Seconds(), q.P95.Seconds(), q.P99.Seconds())
}

// hotTeamsResult is the result of one run, or of several that are pooled.
type hotTeamsResult struct {
	onTime      map[string]int                     // jobs, by team
	submitted   map[string]int                     // jobs, by team
	durations   map[string]*telemetry.Distribution // from submission to end, by team
	teamsOutput string                             // merlinlatch teams at the end of the burst
}

func newHotTeamsResult() *hotTeamsResult {
	return &hotTeamsResult{onTime: map[string]int{}, submitted: map[string]int{}, durations: map[string]*telemetry.Distribution{}}
}

// onTimeShare is the share of a team's jobs that were on time.
func (r *hotTeamsResult) onTimeShare(team string) float64 {
	return float64(r.onTime[team]) / float64(max(r.submitted[team], 1))
}

// add pools another run.
func (r *hotTeamsResult) add(other *hotTeamsResult) {
	for team, n := range other.submitted {
		r.submitted[team] += n
		r.onTime[team] += other.onTime[team]
		if r.durations[team] == nil {
			r.durations[team] = telemetry.NewDistribution()
		}
		r.durations[team].Add(other.durations[team])
	}
	r.teamsOutput = other.teamsOutput
}

// runOnce plays one run.
func (h *HotTeams) runOnce(ctx context.Context, seed uint64, variant runVariant) (*hotTeamsResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+hotBurst+hotDrain+runMargin)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return nil, err
	}
	l := newLoad(hotTasks)
	c, err := newCluster(ctx, h.setup(dir, variant), l.taskDone)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var users sync.WaitGroup
	for i, t := range c.Teams {
		rate := hotRate
		if variant.burst && t.Name == hotTeam {
			rate *= burstFactor
		}
		users.Go(func() { l.submit(ctx, c, seed*100+uint64(i), i, t.Name, rate) })
	}
	failed := make(chan error, 1)
	time.AfterFunc(failAfter, func() { failed <- h.injectFailure(ctx, c) })
	users.Wait()
	result := newHotTeamsResult()
	result.teamsOutput = c.teams()
	if err := <-failed; err != nil {
		return nil, err
	}
	if err := l.awaitFinished(ctx, hotDrain); err != nil {
		return nil, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.duplicates) > 0 {
		return nil, fmt.Errorf("tasks ran on two machines: %v; logs are in %s", c.duplicates, dir)
	}
	l.summarize(result)
	return result, os.RemoveAll(dir)
}

// setup is the cluster of a run.
func (h *HotTeams) setup(dir string, variant runVariant) Setup {
	setup := Setup{Program: h.Program, Workers: hotWorkers, RunFor: hotRunFor, LogDir: dir, Policy: "fair_shares = False\n"}
	if variant.fairShares {
		setup.Policy = "fair_shares = True\n"
	}
	for i := range hotTeams {
		setup.Teams = append(setup.Teams, config.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	return setup
}

// summarize adds the jobs of the load to a result.
func (l *load) summarize(result *hotTeamsResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if result.durations[j.group] == nil {
			result.durations[j.group] = telemetry.NewDistribution()
		}
		took := j.ended.Sub(j.submitted)
		result.durations[j.group].Record(clock.FromDuration(took))
		result.submitted[j.group]++
		if took <= hotOnTime {
			result.onTime[j.group]++
		}
	}
}

var errNoLeader = errors.New("nobody places the hot team")

// injectFailure causes the failure of the run.
func (h *HotTeams) injectFailure(ctx context.Context, c *cluster) error {
	switch h.Failure {
	case SchedulerKilled:
		host := c.schedulerOf(hotTeam)
		if host == "" {
			return errNoLeader
		}
		c.kill(host)
		time.Sleep(restartAfter)
		return c.start(ctx, host)
	case PartitionLeaderPaused:
		return c.pause("b", pauseFor)
	}
	return nil
}

// submit submits jobs of one team until the burst is over.
func (l *load) submit(ctx context.Context, c *cluster, seed uint64, team int, name string, rate float64) {
	rng := fakes.Rand(seed)
	arrivals(ctx, rng, rate, hotBurst, func(n int) {
		id := fmt.Sprintf("job-%d%05d", team, n)
		l.addJob(id, name)
		c.submitUntilAccepted(ctx, func() submission {
			return submission{id: id, team: name, priority: "normal", tasks: hotTasks, host: c.hosts[rng.IntN(len(c.hosts))]}
		})
	})
}

// arrivals calls a function with the number of each arrival, at a random rate a second, for a while or until
// ctx ends.
func arrivals(ctx context.Context, rng *rand.Rand, rate float64, duration time.Duration, arrive func(n int)) {
	start, at := time.Now(), time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		at += time.Duration((0.5 + rng.Float64()) / rate * float64(time.Second))
		if at >= duration {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		arrive(n)
	}
}

// submission is what a user submits, and to which controller.
type submission struct {
	id, team, priority, host string
	tasks                    int
}

// submitUntilAccepted repeats a submission, each time to the controller that next picks, until it is accepted or
// ctx ends.
func (c *cluster) submitUntilAccepted(ctx context.Context, next func() submission) {
	client := &http.Client{Timeout: requestTimeout}
	for !c.submit(ctx, client, next()) && ctx.Err() == nil {
		time.Sleep(submitRetry)
	}
}

// submit sends a submission to a controller.
func (c *cluster) submit(ctx context.Context, client *http.Client, s submission) (accepted bool) {
	body, err := json.Marshal(map[string]any{
		"id": s.id, "jobclass": "x", "owner": s.team, "shape": "array", "rank": s.priority, "shards": s.tasks,
		"cpus": 2, "accelerators": 0, "mem_gb": 1, "bundle": "img", "size_gb": 1, "one_zone": false, "spread": false,
		"loaners": true, "guess_s": c.RunFor.Seconds(), "snap_every_s": 0, "snap_s": 0,
	})
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.controllers[s.host]+wire.PathJobs, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status matters
	return resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated
}

// controllerSettings reads a controller's settings as the program does.
func (c *cluster) controllerSettings() (*config.Settings, error) {
	return config.Load(filepath.Join(c.LogDir, c.hosts[0]+".json"))
}

// teams is the output of merlinlatch teams.
func (c *cluster) teams() string {
	set, err := c.controllerSettings()
	if err != nil {
		return err.Error()
	}
	var out bytes.Buffer
	if err := console.Teams(&out, set, console.Controllers(set), ""); err != nil {
		return err.Error() + "\n"
	}
	return out.String()
}

// schedulerOf is the controller that leads a team, empty where none says so.
func (c *cluster) schedulerOf(team string) string {
	set, err := c.controllerSettings()
	if err != nil {
		return ""
	}
	return console.SchedulerOf(console.Controllers(set), team)
}
