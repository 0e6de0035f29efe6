package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Twenty workers of 8 CPUs run 80 tasks of 2 CPUs at a time, twenty a second. Five teams
// submit a job of six tasks every four seconds or so, nearly two fifths of that; the hot one ten times
// as many for a minute, which is half as much again as the fleet can do together with the others.
const (
	burstWorkers    = 20
	hotTeam         = "team-0"
	teamCount       = 5
	tasksPerJob     = 6
	teamRate        = 0.25 // jobs a second
	hotRateMultiple = 10
	taskDuration    = 4 * time.Second
	onTimeLimit     = 15 * clock.Second // from submission to the end of the job's last task
	burstDuration   = time.Minute
	drainDuration   = 90 * time.Second
	// maxOnTimeLoss is by how much the burst may lower another team's on-time share.
	maxOnTimeLoss = 0.05
	// pairedSeeds is how many pairs of runs are pooled: a team has some fourteen jobs in each, and
	// one late job must not be more than the loss that is allowed.
	pairedSeeds = 5
)

// burstRun is one run of the fleet under the teams' load.
type burstRun struct {
	seed               uint64
	fairShares         bool             // fair shares are on
	burst              bool             // the hot team submits more than its rate
	failure            func(c *cluster) // in the middle of the burst; nil: none
	hostsWithoutShares []string         // hosts with fair shares off all the same
	hotTeamNear        bool             // the hot team's leader leads all partitions, the others are 40 ms away
}

// options returns the cluster's settings for a run.
func (r *burstRun) options() clusterOptions {
	o := clusterOptions{hostScripts: map[string]string{}}
	if r.fairShares {
		o.policyScript = "fair_shares = True"
	}
	if r.hotTeamNear {
		o.hostZones, o.peerLatency = map[string]string{"a": "a", "b": "b", "c": "b"}, 40*time.Millisecond
	}
	for _, host := range r.hostsWithoutShares {
		o.hostScripts[host] = "fair_shares = False"
	}
	for i := range teamCount {
		o.teams = append(o.teams, config.Team{Name: teamName(i)})
	}
	return o
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// rate is how many jobs a second a team submits.
func (r *burstRun) rate(team string) float64 {
	if r.burst && team == hotTeam {
		return teamRate * hotRateMultiple
	}
	return teamRate
}

// arrivals draws when a team submits: the same for both runs of a pair.
func arrivals(seed uint64, team int, rate float64) (out []time.Duration) {
	rng := fakes.Rand(seed*100 + uint64(team))
	for at := time.Duration(0); ; {
		at += time.Duration((0.5 + rng.Float64()) / rate * float64(time.Second))
		if at >= burstDuration {
			return out
		}
		out = append(out, at)
	}
}

// jobProgress is how far a job is.
type jobProgress struct {
	team      string
	submitted clock.Micros
	done      map[string]bool // tasks
	ended     clock.Micros    // its last task; zero: not yet
}

// burstLoad is the load of a run on its cluster.
type burstLoad struct {
	*cluster
	rng     *rand.Rand                 // draws where jobs are submitted
	pending map[string][]time.Duration // by team: when its next jobs are due, from the start
	jobs    map[string]*jobProgress
	seenAt  map[string]clock.Micros // by attempt
}

func newBurstLoad(t *testing.T, r *burstRun) *burstLoad {
	l := &burstLoad{rng: fakes.Rand(r.seed), pending: map[string][]time.Duration{}, jobs: map[string]*jobProgress{},
		seenAt: map[string]clock.Micros{}}
	for i := range teamCount {
		l.pending[teamName(i)] = arrivals(r.seed, i, r.rate(teamName(i)))
	}
	l.cluster = newClusterWithOptions(t, burstWorkers, r.options())
	return l
}

// countOnTime plays the run, requires every job to be done, and counts each team's jobs that were on time.
func (r *burstRun) countOnTime(t *testing.T) onTimeByTeam {
	l := newBurstLoad(t, r)
	l.runFleetFor(8*time.Second, 0)
	failed := false
	for start := time.Now(); time.Since(start) < burstDuration+drainDuration; time.Sleep(stepInterval) {
		at := time.Since(start)
		l.submitDue(at)
		if r.failure != nil && !failed && at > burstDuration/2 {
			failed = true
			r.failure(l.cluster)
		}
		l.step()
	}
	require.Equal(t, r.failure != nil, failed)
	return l.requireAllDone()
}

// submitDue submits the jobs that are due; one that is not accepted is submitted again in the next step.
func (l *burstLoad) submitDue(at time.Duration) {
	for i := range teamCount {
		team := teamName(i)
		for len(l.pending[team]) > 0 && l.pending[team][0] <= at {
			id := fmt.Sprintf("job-%d%05d", i, len(l.pending[team]))
			if !l.submitForTeam(id, team) {
				break
			}
			l.jobs[id] = &jobProgress{team: team, submitted: l.clock.Now(), done: map[string]bool{}}
			l.pending[team] = l.pending[team][1:]
		}
	}
}

// submitForTeam submits a job at any controller.
func (l *burstLoad) submitForTeam(id, team string) (accepted bool) {
	body := fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":%q,"shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":4,"snap_every_s":0,"snap_s":0}`, id, team, tasksPerJob)
	status := l.post(hosts[l.rng.IntN(len(hosts))], wire.PathJobs, body).Status
	return status == http.StatusOK || status == http.StatusCreated
}

// step has all workers run their tasks for a step and send a heartbeat. It holds the rules against what runs.
func (l *burstLoad) step() {
	now := l.clock.Now()
	on := placements{}
	for _, w := range l.workers {
		for _, k := range w.InOrder() {
			attempt := attemptKey(w, k)
			if l.seenAt[attempt] == 0 {
				l.seenAt[attempt] = now
			}
			if k.Phase != wire.TaskExited && now >= l.seenAt[attempt]+clock.FromDuration(taskDuration) {
				k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
				l.recordDone(k.Task, now)
			}
		}
		l.sendHeartbeat(w)
		on.add(l.t, w)
	}
}

// recordDone records that a task is done, and its job if it is the last one.
func (l *burstLoad) recordDone(task string, now clock.Micros) {
	id, _, _ := wire.SplitTask(task)
	j := l.jobs[id]
	j.done[task] = true
	if len(j.done) == tasksPerJob && j.ended == 0 {
		j.ended = now
	}
}

// requireAllDone requires every job to be done, and counts those that were on time.
func (l *burstLoad) requireAllDone() onTimeByTeam {
	out := onTimeByTeam{}
	for id, j := range l.jobs {
		require.Len(l.t, j.done, tasksPerJob, "%s is not done", id)
		one := jobCounts{0, 1}
		if j.ended <= j.submitted+onTimeLimit {
			one.onTime = 1
		}
		out.add(onTimeByTeam{j.team: one})
	}
	require.Len(l.t, out, teamCount)
	return out
}

// jobCounts counts a team's jobs that were on time, of all.
type jobCounts struct{ onTime, all int }

func (j jobCounts) share() float64 { return float64(j.onTime) / float64(j.all) }

// onTimeByTeam has the counts of each team.
type onTimeByTeam map[string]jobCounts

// add pools the counts of another run.
func (o onTimeByTeam) add(other onTimeByTeam) {
	for team, counts := range other {
		o[team] = jobCounts{o[team].onTime + counts.onTime, o[team].all + counts.all}
	}
}

// worstLoss is by how much the burst lowered the on-time share of the team that it hit
// hardest, the hot one left out.
func worstLoss(without, burst onTimeByTeam) (worst float64) {
	for team, counts := range without {
		if team != hotTeam {
			worst = max(worst, counts.share()-burst[team].share())
		}
	}
	return worst
}

// runPairs plays pairs of runs, and pools the counts without and with the burst.
func runPairs(t *testing.T, given burstRun, failure func(t *testing.T, c *cluster)) (without, burst onTimeByTeam) {
	without, burst = onTimeByTeam{}, onTimeByTeam{}
	for seed := range uint64(pairedSeeds) {
		for hot, pool := range map[bool]onTimeByTeam{false: without, true: burst} {
			synctest.Test(t, func(t *testing.T) {
				r := given
				r.seed, r.burst = seed, hot
				if failure != nil {
					r.failure = func(c *cluster) { failure(t, c) }
				}
				pool.add(r.countOnTime(t))
			})
		}
	}
	return without, burst
}

// leadingProcess is the controller that leads a team by what it says itself.
func (c *cluster) leadingProcess(t *testing.T, team string) string {
	for _, h := range hosts {
		if _, leading := c.process(h).elector.Leading(scheduler.Duty(team)); leading {
			return h
		}
	}
	require.Fail(t, "nobody leads", team)
	return ""
}

// One team's burst does not crowd out the others where fair shares are on; with them off
// it does, so the load is a burst indeed.
func TestFairSharesProtectOtherTeamsFromBurst(t *testing.T) {
	for name, given := range map[string]burstRun{
		"partitions are split among the controllers": {},
		// Whoever is nearest to the partition leader asks first, and has all that comes free.
		"the hot team's leader leads all partitions": {hotTeamNear: true},
	} {
		t.Run(name, func(t *testing.T) {
			losses := map[bool]float64{}
			for _, shares := range []bool{false, true} {
				given.fairShares = shares
				without, burst := runPairs(t, given, nil)
				losses[shares] = worstLoss(without, burst)
				t.Logf("fair shares %v: worst loss %.3f; on time without the burst %v, with it %v", shares, losses[shares], without, burst)
			}
			require.LessOrEqual(t, losses[true], maxOnTimeLoss)
			require.Greater(t, losses[false], 4*maxOnTimeLoss, "with fair shares off the burst does harm")
		})
	}
}

// The same pairs of runs, with a failure in the middle of both: the hot team's leader crashes and
// is back three seconds later, or a controller that leads partitions is cut off from its peers
// for ten seconds. What a failure costs by itself it costs in both runs.
func TestFairSharesProtectOtherTeamsFromBurstDuringFailures(t *testing.T) {
	for name, failure := range map[string]func(t *testing.T, c *cluster){
		"the hot team's leader crashes": func(t *testing.T, c *cluster) {
			leader := c.leadingProcess(t, hotTeam)
			c.crash(leader)
			time.Sleep(3 * time.Second)
			c.start(leader)
		},
		"a partition leader is cut off": func(_ *testing.T, c *cluster) {
			c.setDisconnected("b", true)
			time.AfterFunc(10*time.Second, func() { c.setDisconnected("b", false) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			without, burst := runPairs(t, burstRun{fairShares: true}, failure)
			t.Logf("worst loss %.3f; on time without the burst %v, with it %v", worstLoss(without, burst), without, burst)
			require.LessOrEqual(t, worstLoss(without, burst), maxOnTimeLoss)
		})
	}
}

// Controllers that are switched one after the other work together: the rules hold and every
// job is done.
func TestMixedFairShareSettingsCompleteAllJobs(t *testing.T) {
	for _, without := range [][]string{{"a"}, {"a", "b"}, {"c"}} {
		synctest.Test(t, func(t *testing.T) {
			r := burstRun{seed: 1, fairShares: true, burst: true, hostsWithoutShares: without}
			counts := r.countOnTime(t)
			t.Logf("without %v: %v", without, counts)
			for i := range teamCount {
				require.Positive(t, counts[teamName(i)].onTime)
			}
		})
	}
}
