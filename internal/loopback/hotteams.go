package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
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

// The load of a run: as in the test of internal/node, twenty workers run 80 tasks at a time.
const (
	hotWorkers   = 20
	hotTeams     = 5
	hotTasks     = 6
	burstFactor  = 10
	hotRunFor    = 4 * time.Second
	hotOnTime    = 10 * time.Second
	hotBurst     = time.Minute
	hotDrain     = 75 * time.Second // at most
	hotRate      = 0.25             // jobs a second and team
	hotTeam      = "team-0"
	pauseFor     = 10 * time.Second
	restartAfter = 3 * time.Second
	failAfter    = hotBurst / 2
)

// Failure is what happens in the middle of a run.
type Failure string

// Failures.
const (
	NoFailure    Failure = "none"
	PlacerKilled Failure = "placer" // the hot team's placer is killed and started three seconds later
	OwnerStands  Failure = "owner"  // a controller that owns machines stands still for ten seconds
)

// ErrFailure means that there is no such failure.
var ErrFailure = errors.New("the failure must be none, placer or owner")

// HotTeams plays pairs of runs, without and with one team's burst.
type HotTeams struct {
	Program string
	Seeds   int
	Failure Failure
}

// runVariant names one of the four runs of a seed.
type runVariant struct{ shares, burst bool }

// Run writes what came of the runs, fair shares off and on, with all seeds pooled. An error tells that
// a run failed or a rule broke.
func (h *HotTeams) Run(ctx context.Context, out io.Writer) error {
	if !slices.Contains([]Failure{NoFailure, PlacerKilled, OwnerStands}, h.Failure) {
		return ErrFailure
	}
	pooled := map[runVariant]*hotTeamsResult{}
	for seed := range uint64(h.Seeds) {
		// The four runs of a seed go side by side: their clusters share nothing but this machine.
		var mu sync.Mutex
		g, ctx := errgroup.WithContext(ctx)
		for _, key := range []runVariant{{false, false}, {false, true}, {true, false}, {true, true}} {
			g.Go(func() error {
				r, err := h.runOnce(ctx, seed, key)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				if pooled[key] == nil {
					pooled[key] = newHotTeamsResult()
				}
				pooled[key].add(r)
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		fmt.Fprintf(out, "%d of %d seeds played\n", seed+1, h.Seeds)
	}
	for _, shares := range []bool{false, true} {
		h.writeResult(out, shares, pooled[runVariant{shares, false}], pooled[runVariant{shares, true}])
	}
	return nil
}

// writeResult writes what the burst did.
func (h *HotTeams) writeResult(out io.Writer, shares bool, calm, burst *hotTeamsResult) {
	worst := 0.0
	for team := range calm.submitted {
		if team != hotTeam {
			worst = max(worst, calm.onTimeShare(team)-burst.onTimeShare(team))
		}
	}
	fmt.Fprintf(out, "fair shares %v, failure %s, %d seeds: worst loss of another team's on-time share %.3f\n", shares, h.Failure, h.Seeds, worst)
	for _, team := range slices.Sorted(maps.Keys(calm.submitted)) {
		fmt.Fprintf(out, "  %s: on time %.3f of %d -> %.3f of %d; from submission to end p50/p95/p99 %s -> %s\n", team, calm.onTimeShare(team),
			calm.submitted[team], burst.onTimeShare(team), burst.submitted[team], quantiles(calm.durations[team]), quantiles(burst.durations[team]))
	}
	fmt.Fprint(out, burst.teamsOutput)
}

func quantiles(d *telemetry.Distribution) string {
	q := d.Quantiles()
	return fmt.Sprintf("%.1f/%.1f/%.1f s", q.P50.Seconds(), q.P95.Seconds(), q.P99.Seconds())
}

// hotTeamsResult of one run, or of several that are pooled.
type hotTeamsResult struct {
	onTime, submitted map[string]int // jobs, by team
	durations         map[string]*telemetry.Distribution
	teamsOutput       string // merlinlatch teams at the end of the burst
}

func newHotTeamsResult() *hotTeamsResult {
	return &hotTeamsResult{onTime: map[string]int{}, submitted: map[string]int{}, durations: map[string]*telemetry.Distribution{}}
}

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

// runOnce runs a cluster under the teams' load.
func (h *HotTeams) runOnce(ctx context.Context, seed uint64, key runVariant) (*hotTeamsResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+hotBurst+hotDrain+30*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return nil, err
	}
	setup := Setup{Program: h.Program, Workers: hotWorkers, RunFor: hotRunFor, LogDir: dir, Policy: "fair_shares = False\n"}
	if key.shares {
		setup.Policy = "fair_shares = True\n"
	}
	for i := range hotTeams {
		setup.Teams = append(setup.Teams, config.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	l := newLoad(hotTasks)
	c, err := newCluster(ctx, setup, l.taskDone)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var users sync.WaitGroup
	for i, t := range setup.Teams {
		rate := hotRate
		if key.burst && t.Name == hotTeam {
			rate *= burstFactor
		}
		users.Go(func() { l.submit(ctx, c, seed*100+uint64(i), i, t.Name, rate) })
	}
	failed := make(chan error, 1)
	time.AfterFunc(failAfter, func() { failed <- h.injectFailure(ctx, c) })
	users.Wait()
	out := newHotTeamsResult()
	out.teamsOutput = c.teams()
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
	l.sumUp(out)
	return out, os.RemoveAll(dir)
}

func (l *load) sumUp(out *hotTeamsResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if out.durations[j.group] == nil {
			out.durations[j.group] = telemetry.NewDistribution()
		}
		took := j.ended.Sub(j.submitted)
		out.durations[j.group].Record(clock.FromDuration(took))
		out.submitted[j.group]++
		if took <= hotOnTime {
			out.onTime[j.group]++
		}
	}
}

// injectFailure brings the failure about.
func (h *HotTeams) injectFailure(ctx context.Context, c *cluster) error {
	switch h.Failure {
	case PlacerKilled:
		host := c.schedulerOf(hotTeam)
		if host == "" {
			return errors.New("nobody places the hot team")
		}
		c.kill(host)
		time.Sleep(restartAfter)
		return c.start(ctx, host)
	case OwnerStands:
		return c.pause("b", pauseFor)
	}
	return nil
}

// submit submits jobs of one team until the burst is over.
func (l *load) submit(ctx context.Context, c *cluster, seed uint64, team int, name string, rate float64) {
	client := &http.Client{Timeout: 5 * time.Second}
	rng := fakes.Rand(seed)
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		if at += time.Duration((0.5 + rng.Float64()) / rate * float64(time.Second)); at >= hotBurst {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		id := fmt.Sprintf("job-%d%05d", team, n)
		l.addJob(id, name)
		for !c.submit(ctx, client, submission{id: id, team: name, rank: "normal", tasks: hotTasks, host: c.hosts[rng.IntN(len(c.hosts))]}) && ctx.Err() == nil {
			time.Sleep(time.Second)
		}
	}
}

// submission is what a user submits, and where.
type submission struct {
	id, team, rank, host string
	tasks                int
}

// submit sends a submission to a controller.
func (c *cluster) submit(ctx context.Context, client *http.Client, j submission) (accepted bool) {
	body, err := json.Marshal(map[string]any{"id": j.id, "jobclass": "x", "owner": j.team, "shape": "array", "rank": j.rank, "shards": j.tasks,
		"cpus": 2, "accelerators": 0, "mem_gb": 1, "bundle": "img", "size_gb": 1, "one_zone": false, "spread": false, "loaners": true,
		"guess_s": c.RunFor.Seconds(), "snap_every_s": 0, "snap_s": 0})
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.controllers[j.host]+wire.PathJobs, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status matters
	return resp.StatusCode == 200 || resp.StatusCode == 201
}

// controllerSettings reads a host's settings as the program does.
func (c *cluster) controllerSettings() (*config.Settings, error) {
	return config.Load(filepath.Join(c.LogDir, c.hosts[0]+".json"))
}

// teams is what merlinlatch teams writes.
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

// schedulerOf is the controller that places a team, empty where none says so.
func (c *cluster) schedulerOf(team string) string {
	set, err := c.controllerSettings()
	if err != nil {
		return ""
	}
	return console.SchedulerOf(console.Controllers(set), team)
}
