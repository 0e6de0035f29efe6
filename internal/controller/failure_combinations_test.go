package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Guards against rules that hold under each kind of fault but not under their combinations. Random faults, drawn with fixed
// seeds, coincide: controllers pause, crash and restart, and lose the key-value store, their peers or their workers; the store
// is down; and transactions are carried out late. Meanwhile users cancel and query jobs. No task may run twice, the limit must
// hold, and answers to users must not contradict earlier ones. Within 75 s after the last fault every controller must answer
// for every job, and after another 120 s every accepted job must have ended.
func TestRulesHoldUnderRandomFailureCombinations(t *testing.T) {
	failureSeeds.run(t, runRandomFailures)
}

var failureSeeds = newSeedRange("failure", 16)

// firstLongLeaseSeed is the first seed whose workers have the long lease: a lease that is extended once too often then outlasts
// cancellationLimit.
const firstLongLeaseSeed = 8

// failureClusterOptions returns the options of a seed's cluster.
func failureClusterOptions(seed uint64) clusterOptions {
	if seed < firstLongLeaseSeed {
		return clusterOptions{}
	}
	return clusterOptions{workerLease: longWorkerLease}
}

// Kinds of faults that endFaults ends.
const (
	faultStore   = "store"   // a controller can't reach the key-value store
	faultPeers   = "peers"   // a controller can't reach its peers
	faultWorkers = "workers" // no worker can reach a controller
	faultOutage  = "outage"  // the key-value store is down
)

// fault is a kind of fault at a host; the host is empty for an outage.
type fault struct{ kind, host string }

// randomFailures is a run of a cluster under random faults.
type randomFailures struct {
	*cluster
	faultRNG  *rand.Rand          // chooses the faults and the requests of users
	faultEnds map[fault]time.Time // when each of the present faults is to end
	jobs      []string            // jobs that users have submitted
	// restartsAtOnce makes crashed controllers return within a moment.
	restartsAtOnce bool
	// failedMachines are the machines on which a task has failed; on each at most one does, so that none is quarantined. If nil, no
	// task fails.
	failedMachines map[string]bool
	// restartsWorkers makes workers restart within their incarnation now and then.
	restartsWorkers bool
}

// newRandomFailures makes a run of a cluster. seed chooses the transactions that are delayed, faultSeed the faults and the requests of
// users.
func newRandomFailures(c *cluster, seed, faultSeed uint64) *randomFailures {
	c.mu.Lock()
	c.rng = fakes.Rand(seed)
	c.mu.Unlock()
	c.attemptSeenAt = map[string]clock.Micros{}
	return &randomFailures{cluster: c, faultRNG: fakes.Rand(faultSeed), faultEnds: map[fault]time.Time{}}
}

func runRandomFailures(t *testing.T, seed uint64) {
	newRandomFailures(newClusterWithOptions(t, 6, failureClusterOptions(seed)), seed, seed+100).run(seed)
}

// run plays the faults, and requires that the cluster recovers. The seed chooses how long tasks run.
func (r *randomFailures) run(seed uint64) {
	r.runFor(5*time.Second, 0)
	runTime := []time.Duration{6 * time.Second, 25 * time.Second, 90 * time.Second}[seed%3]
	for step := range 40 {
		r.causeFault()
		if step < 30 {
			id := jobName(step)
			r.jobs = append(r.jobs, id)
			r.submitJob(r.anyHost(), submission(id, 1+r.faultRNG.IntN(4)), id)
		}
		r.runFor(time.Duration(500+r.faultRNG.IntN(4000))*time.Millisecond, runTime)
		r.failRandomTask()
		r.restartWorker()
		for range 4 {
			r.queryJob(r.anyHost(), r.anyJob())
		}
		r.endFaults(time.Now())
	}
	r.setDelayedWriteShare(0)
	r.endFaults(time.Now().Add(time.Hour))
	for _, h := range hosts {
		r.awaitResume(h)
	}
	r.requireJobsAnsweredAndEnded()
}

func (r *randomFailures) anyHost() string { return hosts[r.faultRNG.IntN(3)] }

func (r *randomFailures) anyJob() string { return r.jobs[r.faultRNG.IntN(len(r.jobs))] }

// causeFault causes a random fault, or has a user cancel a job.
func (r *randomFailures) causeFault() {
	duration := time.Duration(3+r.faultRNG.IntN(45)) * time.Second
	host := r.anyHost()
	until := time.Now().Add(duration)
	switch r.faultRNG.IntN(12) {
	case 0:
		if r.resumeSignal(host) == nil {
			r.pause(host, duration)
		}
	case 1:
		r.loseStore(host, until)
	case 2:
		r.losePeers(host, until)
	case 3:
		r.loseStore(host, until)
		r.losePeers(host, until)
	case 4:
		r.unreachableHosts[host] = true
		r.faultEnds[fault{faultWorkers, host}] = until
	case 5, 6:
		if r.resumeSignal(host) == nil {
			r.crash(host)
			r.sleepBeforeRestart()
			r.start(host)
		}
	case 7:
		r.store.SetDown(true)
		r.faultEnds[fault{kind: faultOutage}] = until
	case 8:
		r.setDelayedWriteShare(0.4 * float64(r.faultRNG.IntN(2)))
	default:
		if len(r.jobs) > 0 {
			r.cancelJob(host, r.anyJob())
		}
	}
}

// sleepBeforeRestart sleeps for as long as a crashed controller is away.
func (r *randomFailures) sleepBeforeRestart() {
	away := time.Duration(r.faultRNG.IntN(3000)) * time.Millisecond
	if r.restartsAtOnce {
		away /= 10
	}
	time.Sleep(away)
}

// failRandomTask lets a running task fail now and then.
func (r *randomFailures) failRandomTask() {
	if r.failedMachines == nil || r.faultRNG.IntN(2) == 0 {
		return
	}
	w := r.workers[r.faultRNG.IntN(len(r.workers))]
	if r.failedMachines[w.ID] {
		return
	}
	for _, task := range w.SortedTasks() {
		if task.Phase != wire.TaskExited {
			w.Finish(task.Task, wire.CauseError)
			r.failedMachines[w.ID] = true
			return
		}
	}
}

// restartWorker lets a worker restart within its incarnation now and then.
func (r *randomFailures) restartWorker() {
	if r.restartsWorkers && r.faultRNG.IntN(3) == 0 {
		r.workers[r.faultRNG.IntN(len(r.workers))].Restart(r.clock.Now())
	}
}

func (r *randomFailures) loseStore(host string, until time.Time) {
	r.setStoreDisconnected(host, true)
	r.faultEnds[fault{faultStore, host}] = until
}

func (r *randomFailures) losePeers(host string, until time.Time) {
	r.setDisconnected(host, true)
	r.faultEnds[fault{faultPeers, host}] = until
}

// endFaults ends the faults that are to end by a time.
func (r *randomFailures) endFaults(now time.Time) {
	for f, at := range r.faultEnds {
		if now.Before(at) {
			continue
		}
		switch f.kind {
		case faultStore:
			r.setStoreDisconnected(f.host, false)
		case faultPeers:
			r.setDisconnected(f.host, false)
		case faultWorkers:
			r.unreachableHosts[f.host] = false
		case faultOutage:
			r.store.SetDown(false)
		}
		delete(r.faultEnds, f)
	}
}

// requireJobsAnsweredAndEnded requires that every controller gives the phase of every accepted job within 75 s after the
// faults, and that every accepted job has ended after another 120 s.
func (r *randomFailures) requireJobsAnsweredAndEnded() {
	r.runFor(75*time.Second, 4*time.Second)
	for _, id := range r.jobs {
		for _, h := range hosts {
			r.queryJob(h, id)
			require.True(r.t, !r.accepted[id] || isPhase(r.jobPhase(h, id)), "%s gets no phase at %s", id, h)
		}
	}
	r.runFor(120*time.Second, 4*time.Second)
	for _, id := range r.jobs {
		r.queryJob(r.anyHost(), id)
		require.True(r.t, !r.accepted[id] || r.finalAnswers[id] != "", "%s has not ended: %s", id, r.jobPhase("a", id))
	}
}
