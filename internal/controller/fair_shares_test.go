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

// The load of the fair-share tests. Twenty workers with 8 CPUs run up to 80 tasks of 2 CPUs at a time, and complete twenty
// tasks a second. Each of five teams submits a job of six tasks about every four seconds, which together is nearly two fifths
// of what the fleet can complete. In a burst, the hot team submits ten times as many jobs for a minute, so that all teams
// together submit 21 tasks a second, which is more than the fleet can complete.
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
	drainDuration   = 90 * time.Second // after the burst, for all jobs to end
	// maxOnTimeLoss is the amount by which the burst may lower another team's on-time share.
	maxOnTimeLoss = 0.05
	// pairedSeeds is the number of pairs of runs whose counts are pooled. A team has about fourteen jobs in a run, so in a
	// single run one late job would already exceed maxOnTimeLoss.
	pairedSeeds = 5
)

// burstRun has the parameters of one run of the fleet under the teams' load.
type burstRun struct {
	seed                   uint64
	fairShares             bool             // fair shares are enabled
	burst                  bool             // the hot team submits hotRateMultiple times as many jobs
	failure                func(c *cluster) // called in the middle of the burst; may be nil
	hostsWithoutShares     []string         // hosts on which fair shares are disabled even if fairShares is set
	hotTeamLeadsPartitions bool             // the hot team's leader leads all partitions; other leaders reach them in 40 ms each way
}

// options returns the cluster's options for a run.
func (r *burstRun) options() clusterOptions {
	o := clusterOptions{hostScripts: map[string]string{}}
	if r.fairShares {
		o.policyScript = "fair_shares = True"
	}
	if r.hotTeamLeadsPartitions {
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

// rate returns the number of jobs that a team submits per second.
func (r *burstRun) rate(team string) float64 {
	if r.burst && team == hotTeam {
		return teamRate * hotRateMultiple
	}
	return teamRate
}

// arrivals returns the random times, from the start of the load, at which a team submits its jobs. Teams with the same rate in
// both runs of a pair submit at the same times in both.
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

// jobProgress is the progress of a job.
type jobProgress struct {
	team      string
	submitted clock.Micros
	done      map[string]bool // tasks that are done
	ended     clock.Micros    // when the last task was done; zero until then
}

// burstLoad is the cluster of one run, with the jobs that the teams submit to it.
type burstLoad struct {
	*cluster
	rng             *rand.Rand                 // chooses the hosts at which jobs are submitted
	submissionTimes map[string][]time.Duration // by team; when its next jobs are due, from the start of the load
	jobs            map[string]*jobProgress    // by job
	seenAt          map[string]clock.Micros    // by attemptKey; when it was first seen
}

func newBurstLoad(t *testing.T, r *burstRun) *burstLoad {
	l := &burstLoad{rng: fakes.Rand(r.seed), submissionTimes: map[string][]time.Duration{}, jobs: map[string]*jobProgress{},
		seenAt: map[string]clock.Micros{}}
	for i := range teamCount {
		l.submissionTimes[teamName(i)] = arrivals(r.seed, i, r.rate(teamName(i)))
	}
	l.cluster = newClusterWithOptions(t, burstWorkers, r.options())
	return l
}

// runAndCountOnTime executes the run, requires that every job is done, and counts each team's jobs that were on time.
func (r *burstRun) runAndCountOnTime(t *testing.T) onTimeByTeam {
	l := newBurstLoad(t, r)
	l.runFleetFor(8*time.Second, 0)
	failed := false
	for start := time.Now(); time.Since(start) < burstDuration+drainDuration; time.Sleep(stepInterval) {
		elapsed := time.Since(start)
		l.submitDue(elapsed)
		if r.failure != nil && !failed && elapsed > burstDuration/2 {
			failed = true
			r.failure(l.cluster)
		}
		l.step()
	}
	require.Equal(t, r.failure != nil, failed)
	return l.requireAllDone()
}

// submitDue submits the jobs that are due. A job that is not accepted is submitted again in the next step.
func (l *burstLoad) submitDue(elapsed time.Duration) {
	for i := range teamCount {
		team := teamName(i)
		for len(l.submissionTimes[team]) > 0 && l.submissionTimes[team][0] <= elapsed {
			id := fmt.Sprintf("job-%d%05d", i, len(l.submissionTimes[team]))
			if !l.submitForTeam(id, team) {
				break
			}
			l.jobs[id] = &jobProgress{team: team, submitted: l.clock.Now(), done: map[string]bool{}}
			l.submissionTimes[team] = l.submissionTimes[team][1:]
		}
	}
}

// submitForTeam submits a job at a random controller and reports whether it was accepted.
func (l *burstLoad) submitForTeam(id, team string) (accepted bool) {
	body := fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":%q,"shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":4,"snap_every_s":0,"snap_s":0}`, id, team, tasksPerJob)
	status := l.post(hosts[l.rng.IntN(len(hosts))], wire.PathJobs, body).Status
	return status == http.StatusOK || status == http.StatusCreated
}

// step makes all workers run their tasks and send a heartbeat, and checks that no task runs on two machines.
func (l *burstLoad) step() {
	now := l.clock.Now()
	placed := placements{}
	for _, w := range l.workers {
		for _, task := range w.SortedTasks() {
			attempt := attemptKey(w, task)
			if l.seenAt[attempt] == 0 {
				l.seenAt[attempt] = now
			}
			if task.Phase != wire.TaskExited && now >= l.seenAt[attempt]+clock.FromDuration(taskDuration) {
				task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
				l.recordDone(task.Task, now)
			}
		}
		l.sendHeartbeat(w)
		placed.add(l.t, w)
	}
}

// recordDone records that a task is done, and that its job has ended if it was the last task.
func (l *burstLoad) recordDone(task string, now clock.Micros) {
	id, _, _ := wire.SplitTask(task)
	j := l.jobs[id]
	j.done[task] = true
	if len(j.done) == tasksPerJob && j.ended == 0 {
		j.ended = now
	}
}

// requireAllDone requires that every job is done, and counts each team's jobs that were on time.
func (l *burstLoad) requireAllDone() onTimeByTeam {
	out := onTimeByTeam{}
	for id, j := range l.jobs {
		require.Len(l.t, j.done, tasksPerJob, "%s is not done", id)
		counts := jobCounts{0, 1}
		if j.ended <= j.submitted+onTimeLimit {
			counts.onTime = 1
		}
		out.add(onTimeByTeam{j.team: counts})
	}
	require.Len(l.t, out, teamCount)
	return out
}

// jobCounts has the numbers of a team's jobs: those that were on time, and all.
type jobCounts struct{ onTime, total int }

func (j jobCounts) share() float64 { return float64(j.onTime) / float64(j.total) }

// onTimeByTeam has the counts of jobs by team.
type onTimeByTeam map[string]jobCounts

// add adds the counts of another run.
func (o onTimeByTeam) add(other onTimeByTeam) {
	for team, counts := range other {
		o[team] = jobCounts{o[team].onTime + counts.onTime, o[team].total + counts.total}
	}
}

// worstLoss returns the largest amount by which the burst lowered the on-time share of a team other than the hot one.
func worstLoss(without, burst onTimeByTeam) (worst float64) {
	for team, counts := range without {
		if team != hotTeam {
			worst = max(worst, counts.share()-burst[team].share())
		}
	}
	return worst
}

// runPairs executes pairs of runs with the same seed, one without and one with the burst, and sums each team's
// counts over all seeds, separately for the runs without and with the burst.
func runPairs(t *testing.T, template burstRun, failure func(t *testing.T, c *cluster)) (without, burst onTimeByTeam) {
	without, burst = onTimeByTeam{}, onTimeByTeam{}
	for seed := range uint64(pairedSeeds) {
		for hot, pool := range map[bool]onTimeByTeam{false: without, true: burst} {
			synctest.Test(t, func(t *testing.T) {
				r := template
				r.seed, r.burst = seed, hot
				if failure != nil {
					r.failure = func(c *cluster) { failure(t, c) }
				}
				pool.add(r.runAndCountOnTime(t))
			})
		}
	}
	return without, burst
}

// leadingProcess returns the host whose process considers itself the leader of a team.
func (c *cluster) leadingProcess(t *testing.T, team string) string {
	for _, h := range hosts {
		if _, leading := c.process(h).elector.Leading(scheduler.TeamDuty(team)); leading {
			return h
		}
	}
	require.Fail(t, "no controller leads the team", team)
	return ""
}

// Guards against a burst of one team that delays the jobs of the others. With fair shares enabled, the other teams' on-time
// share must not drop by more than maxOnTimeLoss. With fair shares disabled it must drop by much more, which shows that the
// load suffices for the test.
func TestFairSharesProtectOtherTeamsFromBurst(t *testing.T) {
	for name, template := range map[string]burstRun{
		"partitions are split among the controllers": {},
		// The team leader with the lowest latency to the partition leader asks first, and without fair shares it would get
		// all resources that become free.
		"the hot team's leader leads all partitions": {hotTeamLeadsPartitions: true},
	} {
		t.Run(name, func(t *testing.T) {
			losses := map[bool]float64{}
			for _, shares := range []bool{false, true} {
				template.fairShares = shares
				without, burst := runPairs(t, template, nil)
				losses[shares] = worstLoss(without, burst)
				t.Logf("fair shares %v: worst loss %.3f; on time without the burst %v, with it %v", shares, losses[shares], without, burst)
			}
			require.LessOrEqual(t, losses[true], maxOnTimeLoss)
			require.Greater(t, losses[false], 4*maxOnTimeLoss, "with fair shares disabled the burst must harm other teams")
		})
	}
}

// Guards against fair shares that fail to protect the other teams during a failure. In the middle of both runs of a pair, the
// hot team's leader crashes and restarts three seconds later, or a partition leader is disconnected from its peers for ten
// seconds. Both runs have the failure, so that its own cost does not count as loss by the burst.
func TestFairSharesProtectOtherTeamsFromBurstDuringFailures(t *testing.T) {
	for name, failure := range map[string]func(t *testing.T, c *cluster){
		"the hot team's leader crashes": func(t *testing.T, c *cluster) {
			leader := c.leadingProcess(t, hotTeam)
			c.crash(leader)
			time.Sleep(3 * time.Second)
			c.start(leader)
		},
		"a partition leader is disconnected": func(_ *testing.T, c *cluster) {
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

// Guards against failures while operators enable fair shares on one controller after the other. Controllers with fair shares
// enabled and disabled must work together: no task runs on two machines and every job is done.
func TestMixedFairShareSettingsCompleteAllJobs(t *testing.T) {
	for _, without := range [][]string{{"a"}, {"a", "b"}, {"c"}} {
		synctest.Test(t, func(t *testing.T) {
			r := burstRun{seed: 1, fairShares: true, burst: true, hostsWithoutShares: without}
			counts := r.runAndCountOnTime(t)
			t.Logf("without %v: %v", without, counts)
			for i := range teamCount {
				require.Positive(t, counts[teamName(i)].onTime)
			}
		})
	}
}
