package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
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
	hotRateMultiple = 10
	taskDuration    = 4 * time.Second
	onTimeLimit     = 15 * clock.Second // from submission to the end of the job's last task
	burstDuration   = time.Minute
	drainDuration   = 90 * time.Second
	teamRate        = 0.25 // jobs a second
	// maxOnTimeLoss is by how much the burst may lower another team's on-time share.
	maxOnTimeLoss = 0.05
)

// burstRun is one run of the fleet under the teams' load.
type burstRun struct {
	seed               uint64
	fairShares         bool // fair shares are on
	burst              bool
	failure            func(c *cluster) // in the middle of the burst
	hostsWithoutShares []string         // hosts with fair shares off all the same
	hotTeamNear        bool             // the hot team's placer owns all machines, the others are 40 ms away
}

// jobProgress is a job's way to its end.
type jobProgress struct {
	team      string
	submitted clock.Micros
	done      map[string]bool
	ended     clock.Micros
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

// jobCounts counts a team's jobs that were on time, of all.
type jobCounts struct{ onTime, all int }

func (o jobCounts) share() float64 { return float64(o.onTime) / float64(o.all) }

// onTimeByTeam is onTime by team.
type onTimeByTeam map[string]jobCounts

// add pools the counts of another run.
func (c onTimeByTeam) add(other onTimeByTeam) {
	for team, o := range other {
		c[team] = jobCounts{c[team].onTime + o.onTime, c[team].all + o.all}
	}
}

// countOnTime counts each team's jobs that were on time.
func (r burstRun) countOnTime(t *testing.T) onTimeByTeam {
	given := clusterOptions{}
	if r.fairShares {
		given.policyScript = "fair_shares = True"
	}
	if r.hotTeamNear {
		given.hostZones, given.peerLatency = map[string]string{"a": "a", "b": "b", "c": "b"}, 40*time.Millisecond
	}
	given.hostScripts = map[string]string{}
	for _, host := range r.hostsWithoutShares {
		given.hostScripts[host] = "fair_shares = False"
	}
	pending := map[string][]time.Duration{}
	for i := range teamCount {
		team := fmt.Sprintf("team-%d", i)
		given.teams = append(given.teams, config.Team{Name: team})
		rate := teamRate
		if r.burst && team == hotTeam {
			rate *= hotRateMultiple
		}
		pending[team] = arrivals(r.seed, i, rate)
	}
	c := newClusterWithOptions(t, burstWorkers, given)
	c.runFleetFor(8*time.Second, 0)
	jobs := map[string]*jobProgress{}
	began := map[string]clock.Micros{}
	rng := fakes.Rand(r.seed)
	failed := false
	for start := time.Now(); time.Since(start) < burstDuration+drainDuration; time.Sleep(500 * time.Millisecond) {
		at := time.Since(start)
		for i := range teamCount {
			team := fmt.Sprintf("team-%d", i)
			for len(pending[team]) > 0 && pending[team][0] <= at {
				id := fmt.Sprintf("job-%d%05d", i, len(pending[team]))
				if c.submitForTeam(rng, id, team) {
					jobs[id] = &jobProgress{team: team, submitted: c.clock.Now(), done: map[string]bool{}}
					pending[team] = pending[team][1:]
				} else {
					break // again in a moment
				}
			}
		}
		if r.failure != nil && !failed && at > burstDuration/2 {
			failed = true
			r.failure(c)
		}
		c.stepFleet(jobs, began)
	}
	require.Equal(t, r.failure != nil, failed)
	out := onTimeByTeam{}
	for id, j := range jobs {
		require.Len(t, j.done, tasksPerJob, "%s is not done", id)
		one := jobCounts{0, 1}
		if j.ended <= j.submitted+onTimeLimit {
			one.onTime = 1
		}
		out.add(onTimeByTeam{j.team: one})
	}
	require.Len(t, out, teamCount)
	return out
}

// submitForTeam submits a job at one of the controllers that are up.
func (c *cluster) submitForTeam(rng *rand.Rand, id, team string) (accepted bool) {
	body := fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":%q,"shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":4,"snap_every_s":0,"snap_s":0}`, id, team, tasksPerJob)
	status := c.post(hosts[rng.IntN(len(hosts))], wire.PathJobs, body).Status
	return status == 200 || status == 201
}

// stepFleet has all workers run their tasks for a step and report. It holds the rules against what runs.
func (c *cluster) stepFleet(jobs map[string]*jobProgress, began map[string]clock.Micros) {
	now := c.clock.Now()
	on := map[string]string{}
	for _, w := range c.workers {
		for _, k := range w.InOrder() {
			attempt := fmt.Sprint(w.ID, k.Task, k.Attempt)
			if began[attempt] == 0 {
				began[attempt] = now
			}
			if k.Phase != wire.TaskExited && now >= began[attempt]+clock.FromDuration(taskDuration) {
				k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
				id, _, _ := wire.SplitTask(k.Task)
				j := jobs[id]
				if j.done[k.Task] = true; len(j.done) == tasksPerJob && j.ended == 0 {
					j.ended = now
				}
			}
		}
		c.sendHeartbeat(w)
		for _, k := range w.InOrder() {
			if k.Phase != wire.TaskExited {
				require.Empty(c.t, on[k.Task], "%s runs on two machines", k.Task)
				on[k.Task] = w.ID
			}
		}
	}
}

// teamLeadingHost is the controller that places a team's jobs.
func (c *cluster) teamLeadingHost(t *testing.T, team string) string {
	for _, h := range hosts {
		if _, mine := c.processes[h].elector.Leading("team-" + team); mine {
			return h
		}
	}
	require.Fail(t, "nobody places", team)
	return ""
}

// worstLoss is by how much the burst lowered the on-time share of the team that it hit
// hardest, the hot one left out.
func worstLoss(calm, burst onTimeByTeam) (worst float64) {
	for team, o := range calm {
		if team != hotTeam {
			worst = max(worst, o.share()-burst[team].share())
		}
	}
	return worst
}

// pairedSeeds is how many pairs of runs are pooled: a team has some fourteen jobs in each, and
// one late job must not be more than the loss that is allowed.
const pairedSeeds = 5

// runPairs plays runPairs of runs, and pools the counts without and with the burst.
func runPairs(t *testing.T, given burstRun, failure func(t *testing.T, c *cluster)) (calm, burst onTimeByTeam) {
	calm, burst = onTimeByTeam{}, onTimeByTeam{}
	for seed := range uint64(pairedSeeds) {
		for hot, pool := range map[bool]onTimeByTeam{false: calm, true: burst} {
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
	return calm, burst
}

// One team's burst does not crowd out the others where fair shares are on; with them off
// it does, so the load is a burst indeed.
func TestFairSharesProtectOtherTeamsFromBurst(t *testing.T) {
	for name, given := range map[string]burstRun{
		"machines are split among the controllers": {},
		// Whoever is nearest to the owner asks first, and has all that comes free.
		"the hot team's placer owns all machines": {hotTeamNear: true},
	} {
		t.Run(name, func(t *testing.T) {
			losses := map[bool]float64{}
			for _, shares := range []bool{false, true} {
				given.fairShares = shares
				calm, burst := runPairs(t, given, nil)
				losses[shares] = worstLoss(calm, burst)
				t.Logf("fair shares %v: worst loss %.3f; on time without the burst %v, with it %v", shares, losses[shares], calm, burst)
			}
			require.LessOrEqual(t, losses[true], maxOnTimeLoss)
			require.Greater(t, losses[false], 4*maxOnTimeLoss, "with fair shares off the burst does harm")
		})
	}
}

// The same pairs of runs, with a failure in the middle of both: the hot team's placer ends and
// is back three seconds later, or a controller that owns machines is cut off from its peers
// for ten seconds. What a failure costs by itself it costs in both runs.
func TestFairSharesProtectOtherTeamsFromBurstDuringFailures(t *testing.T) {
	for name, failure := range map[string]func(t *testing.T, c *cluster){
		"the hot team's placer ends": func(t *testing.T, c *cluster) {
			holder := c.teamLeadingHost(t, hotTeam)
			c.crash(holder)
			time.Sleep(3 * time.Second)
			c.start(holder)
		},
		"an owner is cut off": func(_ *testing.T, c *cluster) {
			c.setDisconnected("b", true)
			time.AfterFunc(10*time.Second, func() { c.setDisconnected("b", false) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			calm, burst := runPairs(t, burstRun{fairShares: true}, failure)
			t.Logf("worst loss %.3f; on time without the burst %v, with it %v", worstLoss(calm, burst), calm, burst)
			require.LessOrEqual(t, worstLoss(calm, burst), maxOnTimeLoss)
		})
	}
}

// Controllers that are switched one after the other work together: the rules hold and every
// job is done. What is without shares meanwhile is as it was.
func TestMixedFairShareSettingsCompleteAllJobs(t *testing.T) {
	for _, without := range [][]string{{"a"}, {"a", "b"}, {"c"}} {
		synctest.Test(t, func(t *testing.T) {
			shares := burstRun{seed: 1, fairShares: true, burst: true, hostsWithoutShares: without}.countOnTime(t)
			t.Logf("without %v: %v", without, shares)
			for i := range teamCount {
				require.Positive(t, shares[fmt.Sprintf("team-%d", i)].onTime)
			}
		})
	}
}
