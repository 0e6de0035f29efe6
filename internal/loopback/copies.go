package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The load of a run with copies.
const (
	copiesWorkers       = 12
	copiesRunFor        = 3 * time.Second // run time of each task
	copiesTasksPerJob   = 6
	copiesJobRate       = 1.5               // jobs that are submitted a second
	copiesDuration      = 90 * time.Second  // how long users submit jobs and controllers end
	copiesDrainTimeout  = 120 * time.Second // how long the jobs may take to end after that
	copiesShare         = 0.5               // share of answered messages that arrive once more
	copiesFailShare     = 0.1               // share of attempts that fail
	copiesCancelShare   = 0.25              // share of jobs that are cancelled
	copiesCancelWithin  = 4 * time.Second   // how long after its submission a job is cancelled, at most
	copiesKillInterval  = 9 * time.Second   // between the ends of two controllers, each of which returns at once
	cancelRetryInterval = 300 * time.Millisecond
)

// CopiedMessages runs a cluster whose network delivers copies of answered messages, while controllers end and return at once.
type CopiedMessages struct {
	Program string
	Seeds   int
}

// copiesRun is one run.
type copiesRun struct {
	*cluster
	*load
	cancelledMu sync.Mutex
	cancelledAt map[string]clock.Micros // by job; when a user was told that it is cancelled
}

// Run executes the runs of all seeds and writes their results to out. It fails if a task runs on two machines, if an ended attempt
// starts again, or if a task starts after a user was told that its job is cancelled.
func (c *CopiedMessages) Run(ctx context.Context, out io.Writer) error {
	for seed := range uint64(c.Seeds) {
		if err := c.runOnce(ctx, seed, out); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}

// runOnce executes one run. It keeps the directory with the controllers' logs if the run fails.
func (c *CopiedMessages) runOnce(ctx context.Context, seed uint64, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+copiesDuration+copiesDrainTimeout+runMargin)
	defer cancel()
	dir, err := os.MkdirTemp("", "merlinlatch-loopback-")
	if err != nil {
		return err
	}
	r := &copiesRun{load: newLoad(copiesTasksPerJob), cancelledAt: map[string]clock.Micros{}}
	if r.cluster, err = newCluster(ctx, c.setup(dir, seed), r.taskDone); err != nil {
		return err
	}
	defer r.stop()
	var users sync.WaitGroup
	users.Go(func() { r.submitAndCancel(ctx, fakes.Rand(seed+100)) })
	if err := r.killControllers(ctx, fakes.Rand(seed+200)); err != nil {
		return err
	}
	users.Wait()
	err = r.awaitFinished(ctx, copiesDrainTimeout)
	r.Copies.Stop()
	r.writeResult(out, seed)
	if violations := r.violations(); len(violations) > 0 {
		return fmt.Errorf("rules were broken: %s; logs are in %s", strings.Join(violations, "; "), dir)
	}
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return os.RemoveAll(dir)
}

// setup returns the description of a run's cluster. No machine is quarantined, since the cloud can't replace it.
func (c *CopiedMessages) setup(dir string, seed uint64) Setup {
	return Setup{
		Program:   c.Program,
		Policy:    "sick_errors = 1000\n",
		Workers:   copiesWorkers,
		Teams:     []config.Team{{Name: "team"}},
		RunFor:    copiesRunFor,
		LogDir:    dir,
		Copies:    fakes.NewCopies(seed, copiesShare),
		FailShare: copiesFailShare,
	}
}

// killControllers kills random controllers, one after the other, and starts each again at once.
func (r *copiesRun) killControllers(ctx context.Context, rng *rand.Rand) error {
	for end := time.Now().Add(copiesDuration); time.Now().Add(copiesKillInterval).Before(end) && ctx.Err() == nil; {
		time.Sleep(copiesKillInterval)
		host := r.hosts[rng.IntN(len(r.hosts))]
		r.kill(host)
		if err := r.start(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// submitAndCancel submits jobs and cancels some of them.
func (r *copiesRun) submitAndCancel(ctx context.Context, rng *rand.Rand) {
	var cancellations sync.WaitGroup
	arrivals(ctx, rng, copiesJobRate, copiesDuration, func(n int) {
		id := fmt.Sprintf("job-%06d", n)
		r.addJob(id, "")
		r.submitUntilAccepted(ctx, func() submission {
			return submission{id: id, team: "team", priority: "normal", tasks: copiesTasksPerJob, host: r.hosts[rng.IntN(len(r.hosts))]}
		})
		if rng.Float64() < copiesCancelShare {
			delay := time.Duration(rng.Float64() * float64(copiesCancelWithin))
			cancellations.Go(func() {
				time.Sleep(delay)
				r.cancelUntilAnswered(ctx, id)
			})
		}
	})
	cancellations.Wait()
}

// cancelUntilAnswered repeats a cancellation, at one controller after the other, until it gets a final answer or ctx ends.
func (r *copiesRun) cancelUntilAnswered(ctx context.Context, id string) {
	client := &http.Client{Timeout: requestTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		if phase := r.cancel(client, r.hosts[n%len(r.hosts)], id); phase == wire.Cancelled {
			r.cancelledMu.Lock()
			r.cancelledAt[id] = r.clock.Now()
			r.cancelledMu.Unlock()
			r.dropJob(id)
			return
		} else if phase == wire.Done {
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}

// cancel sends a cancellation and returns the phase that the answer gives, or "".
func (r *copiesRun) cancel(client *http.Client, host, id string) (phase string) {
	url := "http://" + r.controllers[host] + wire.PathJobs + "/" + id + "/withdraw"
	resp, err := client.Post(url, contentType, nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	r.Copies.Keep(fakes.UserRequest, func() { postUnanswered(url, nil) })
	var state wire.JobState
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&state) != nil {
		return ""
	}
	return state.Phase
}

// violations returns the rules that were broken.
func (r *copiesRun) violations() (out []string) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.cancelledMu.Lock()
	defer r.cancelledMu.Unlock()
	if len(r.duplicates) > 0 {
		out = append(out, fmt.Sprintf("tasks ran on two machines: %v", r.duplicates))
	}
	if len(r.restarted) > 0 {
		out = append(out, fmt.Sprintf("ended attempts started again: %v", r.restarted))
	}
	for _, s := range r.starts {
		job, _, _ := wire.SplitTask(s.task)
		if at, cancelled := r.cancelledAt[job]; cancelled && s.at > at {
			out = append(out, fmt.Sprintf("%s started %v after its cancellation was confirmed", s.task, (s.at-at).Duration()))
		}
	}
	return out
}

// writeResult writes what was carried out, and the controllers' metrics of deliveries and starts.
func (r *copiesRun) writeResult(out io.Writer, seed uint64) {
	r.fleet.mu.Lock()
	starts := len(r.starts)
	r.fleet.mu.Unlock()
	cancelled := len(r.cancelledAt)
	fmt.Fprintf(out, "seed %d: %d jobs, %d cancelled, %d starts of tasks; copies:", seed, len(r.jobs)+cancelled, cancelled, starts)
	kinds := []fakes.MessageKind{
		fakes.DirectCommand, fakes.Heartbeat, fakes.StoreRequest, fakes.CloudRequest, fakes.PeerCall, fakes.UserRequest,
	}
	for _, kind := range kinds {
		fmt.Fprintf(out, " %s %d", kind, r.Copies.Delivered(kind))
	}
	fmt.Fprintln(out)
	for _, host := range r.hosts {
		fmt.Fprintf(out, "  %s: %s\n", host, strings.Join(r.metricsOf(host), " "))
	}
}

// reportedMetrics are the prefixes of the metrics that a run reports.
var reportedMetrics = []string{
	"merlinlatch_deliveries_total", "merlinlatch_found_attempts_total", "merlinlatch_lease_to_start_seconds",
	"merlinlatch_fencing_token_raises_total", "merlinlatch_rejected_commands_total", "merlinlatch_heartbeats_total{outcome=\"answered\"}",
}

// metricsOf returns the lines of a controller's metrics that a run reports.
func (r *copiesRun) metricsOf(host string) (lines []string) {
	resp, err := http.Get("http://" + r.controllers[host] + "/metrics")
	if err != nil {
		return []string{err.Error()}
	}
	defer resp.Body.Close()
	var page bytes.Buffer
	if _, err := page.ReadFrom(resp.Body); err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(page.String()) {
		if slices.ContainsFunc(reportedMetrics, func(prefix string) bool { return strings.HasPrefix(line, prefix) }) {
			lines = append(lines, strings.ReplaceAll(strings.TrimSpace(strings.TrimPrefix(line, "merlinlatch_")), " ", "="))
		}
	}
	return lines
}
