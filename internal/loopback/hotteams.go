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

// The load of a run is that of the test of fair shares in internal/controller: twenty workers run 80 tasks at a time.
const (
	hotWorkers      = 20
	hotTeamCount    = 5
	hotTasksPerJob  = 6
	burstFactor     = 10               // the hot team's job rate in a run with a burst, as a multiple of hotJobRate
	hotRunFor       = 4 * time.Second  // run time of each task
	hotOnTimeLimit  = 10 * time.Second // a job is on time if it takes no longer from submission to end
	submitDuration  = time.Minute      // how long users submit jobs
	hotDrainTimeout = 75 * time.Second // how long the jobs may take to end after the last submission
	hotJobRate      = 0.25             // jobs per second that each team submits, without a burst
	hotTeam         = "team-0"         // the team whose load has a burst
)

// Times of the failure that is injected into a run.
const (
	failureDelay  = submitDuration / 2 // from the start of the users' submissions to the failure
	pauseDuration = 10 * time.Second   // how long PartitionLeaderPaused pauses a controller
	restartDelay  = 3 * time.Second    // how long after SchedulerKilled the controller is started again
)

// runMargin is added to the sum of the timeouts of a run's parts. A run that takes longer is aborted.
const runMargin = 30 * time.Second

// submitRetryInterval is how long a user waits before repeating a submission that was not accepted.
const submitRetryInterval = time.Second

// requestTimeout is how long a user waits for a controller's answer.
const requestTimeout = 5 * time.Second

// Failure is the kind of failure that is injected in the middle of a run.
type Failure string

// Failures that can be injected.
const (
	NoFailure             Failure = "none"
	SchedulerKilled       Failure = "placer" // the hot team's leader is killed, and started again after restartDelay
	PartitionLeaderPaused Failure = "owner"  // controller b, which leads partitions, is paused for pauseDuration
)

// ErrFailure means that HotTeams.Failure is none of the failures above.
var ErrFailure = errors.New("the failure must be none, placer or owner")

// HotTeams compares runs without and with a burst of one team's jobs, with fair shares off and on. It measures how
// much the burst delays the other teams' jobs.
type HotTeams struct {
	Program string
	Seeds   int
	Failure Failure
}

// runVariant identifies one of the four runs of each seed.
type runVariant struct{ fairShares, burst bool }

var runVariants = []runVariant{{false, false}, {false, true}, {true, false}, {true, true}}

// Run executes the runs of all seeds, pools their results, and writes them to out for fair shares off and on. It fails
// if a run fails, for example because a job does not end in time or a task runs on two machines.
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

// runSeed executes the four runs of a seed concurrently, and adds their results to pooled. The runs may be concurrent
// because their clusters share only this machine's resources.
func (h *HotTeams) runSeed(ctx context.Context, seed uint64, pooled map[runVariant]*hotTeamsResult) error {
	var mu sync.Mutex // guards pooled
	group, ctx := errgroup.WithContext(ctx)
	for _, variant := range runVariants {
		group.Go(func() error {
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
	return group.Wait()
}

// writeResult writes how the burst changes the share of jobs that end on time and the durations of jobs, for each team,
// and the output of "merlinlatch teams" from a run with the burst.
func (h *HotTeams) writeResult(out io.Writer, fairShares bool, baseline, burst *hotTeamsResult) {
	worstOnTimeLoss := 0.0
	for team := range baseline.submitted {
		if team != hotTeam {
			worstOnTimeLoss = max(worstOnTimeLoss, baseline.onTimeShare(team)-burst.onTimeShare(team))
		}
	}
	fmt.Fprintf(out, "fair shares %v, failure %s, %d seeds: worst loss of another team's on-time share %.3f\n",
		fairShares, h.Failure, h.Seeds, worstOnTimeLoss)
	for _, team := range slices.Sorted(maps.Keys(baseline.submitted)) {
		fmt.Fprintf(out, "  %s: on time %.3f of %d -> %.3f of %d; from submission to end p50/p95/p99 %s -> %s\n",
			team, baseline.onTimeShare(team), baseline.submitted[team], burst.onTimeShare(team), burst.submitted[team],
			formatQuantiles(baseline.durations[team]), formatQuantiles(burst.durations[team]))
	}
	fmt.Fprint(out, burst.teamsOutput)
}

// formatQuantiles formats the median, the 95th and the 99th percentile of a distribution in seconds.
func formatQuantiles(d *telemetry.Distribution) string {
	q := d.Quantiles()
	return fmt.Sprintf("%.1f/%.1f/%.1f s", q.P50.Seconds(), q.P95.Seconds(), q.P99.Seconds())
}

// hotTeamsResult is the result of one run, or the pooled result of several.
type hotTeamsResult struct {
	onTime      map[string]int                     // jobs that ended on time, by team
	submitted   map[string]int                     // submitted jobs, by team
	durations   map[string]*telemetry.Distribution // of jobs from submission to end, by team
	teamsOutput string                             // output of "merlinlatch teams" after the last submission
}

func newHotTeamsResult() *hotTeamsResult {
	return &hotTeamsResult{onTime: map[string]int{}, submitted: map[string]int{}, durations: map[string]*telemetry.Distribution{}}
}

// onTimeShare returns the share of a team's jobs that ended on time, from 0 to 1.
func (r *hotTeamsResult) onTimeShare(team string) float64 {
	return float64(r.onTime[team]) / float64(max(r.submitted[team], 1))
}

// add adds the jobs of another run, and replaces the output of "merlinlatch teams" by that run's.
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

// runOnce executes one run. It keeps the directory with the controllers' logs if the run fails.
func (h *HotTeams) runOnce(ctx context.Context, seed uint64, variant runVariant) (*hotTeamsResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+submitDuration+hotDrainTimeout+runMargin)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return nil, err
	}
	userLoad := newLoad(hotTasksPerJob)
	c, err := newCluster(ctx, h.setup(dir, variant), userLoad.taskDone)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var users sync.WaitGroup
	for i, t := range c.Teams {
		rate := hotJobRate
		if variant.burst && t.Name == hotTeam {
			rate *= burstFactor
		}
		users.Go(func() { userLoad.submit(ctx, c, seed*100+uint64(i), i, t.Name, rate) })
	}
	failureResult := make(chan error, 1)
	time.AfterFunc(failureDelay, func() { failureResult <- h.injectFailure(ctx, c) })
	users.Wait()
	result := newHotTeamsResult()
	result.teamsOutput = c.teamsOutput()
	if err := <-failureResult; err != nil {
		return nil, err
	}
	if err := userLoad.awaitFinished(ctx, hotDrainTimeout); err != nil {
		return nil, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.duplicates) > 0 {
		return nil, fmt.Errorf("tasks ran on two machines: %v; logs are in %s", c.duplicates, dir)
	}
	userLoad.summarize(result)
	return result, os.RemoveAll(dir)
}

// setup returns the description of a run's cluster.
func (h *HotTeams) setup(dir string, variant runVariant) Setup {
	setup := Setup{Program: h.Program, Workers: hotWorkers, RunFor: hotRunFor, LogDir: dir, Policy: "fair_shares = False\n"}
	if variant.fairShares {
		setup.Policy = "fair_shares = True\n"
	}
	for i := range hotTeamCount {
		setup.Teams = append(setup.Teams, config.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	return setup
}

// summarize adds the load's jobs to a result.
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
		if took <= hotOnTimeLimit {
			result.onTime[j.group]++
		}
	}
}

// errNoLeader means that SchedulerKilled found no controller to kill.
var errNoLeader = errors.New("no controller leads the hot team")

// injectFailure injects the run's failure into the cluster.
func (h *HotTeams) injectFailure(ctx context.Context, c *cluster) error {
	switch h.Failure {
	case SchedulerKilled:
		host := c.schedulerOf(hotTeam)
		if host == "" {
			return errNoLeader
		}
		c.kill(host)
		time.Sleep(restartDelay)
		return c.start(ctx, host)
	case PartitionLeaderPaused:
		return c.pause("b", pauseDuration)
	}
	return nil
}

// submit submits jobs of one team at a rate a second, for submitDuration.
func (l *load) submit(ctx context.Context, c *cluster, seed uint64, team int, name string, rate float64) {
	rng := fakes.Rand(seed)
	arrivals(ctx, rng, rate, submitDuration, func(n int) {
		id := fmt.Sprintf("job-%d%05d", team, n)
		l.addJob(id, name)
		c.submitUntilAccepted(ctx, func() submission {
			return submission{id: id, team: name, priority: "normal", tasks: hotTasksPerJob, host: c.hosts[rng.IntN(len(c.hosts))]}
		})
	})
}

// arrivals calls arrive with the numbers 0, 1, 2 and so on at random intervals, rate times a second on average, until
// duration has passed or ctx ends.
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

// submission is a job that a user submits, and the controller that receives it.
type submission struct {
	id, team, priority, host string
	tasks                    int
}

// submitUntilAccepted repeats a submission until it is accepted or ctx ends. It calls next before each attempt, so
// that each may go to a different controller.
func (c *cluster) submitUntilAccepted(ctx context.Context, next func() submission) {
	client := &http.Client{Timeout: requestTimeout}
	for !c.submit(ctx, client, next()) && ctx.Err() == nil {
		time.Sleep(submitRetryInterval)
	}
}

// submit sends a submission to its controller, and reports whether the controller accepted it.
func (c *cluster) submit(ctx context.Context, client *http.Client, s submission) (accepted bool) {
	body, err := json.Marshal(wire.Job{
		ID: s.id, Class: "x", Team: s.team, Shape: "array", Priority: s.priority, Tasks: s.tasks,
		CPUs: 2, MemGB: 1, Image: "img", ImageGB: 1, Spot: true, RuntimeEstimateS: c.RunFor.Seconds(),
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
	c.Copies.Keep(fakes.UserRequest, func() { postUnanswered(req.URL.String(), body) })
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status matters
	return resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated
}

// controllerSettings reads the first controller's settings as the program does.
func (c *cluster) controllerSettings() (*config.Settings, error) {
	return config.Load(filepath.Join(c.LogDir, c.hosts[0]+".json"))
}

// teamsOutput returns the output of "merlinlatch teams", or the text of its error.
func (c *cluster) teamsOutput() string {
	settings, err := c.controllerSettings()
	if err != nil {
		return err.Error()
	}
	var out bytes.Buffer
	if err := console.Teams(&out, settings, console.Controllers(settings), ""); err != nil {
		return err.Error() + "\n"
	}
	return out.String()
}

// schedulerOf returns the controller that leads a team, or "" if none of the controllers that answer does.
func (c *cluster) schedulerOf(team string) string {
	settings, err := c.controllerSettings()
	if err != nil {
		return ""
	}
	return console.SchedulerOf(console.Controllers(settings), team)
}
