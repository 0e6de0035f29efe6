package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// Faults of all kinds coincide, from fixed seeds: controllers pause, crash, are
// back within a moment, lose the key-value store, their peers, their workers, or some
// of these; the store is down; transactions are carried out late; users
// cancel and ask. Nothing runs twice, quotas hold, what users were answered stays true, and
// 75 s after the last fault every job is answered for by every controller, and comes to its end.
func TestRulesHoldUnderRandomFailureCombinations(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFailures(t, seed) })
		})
	}
}

// Kinds of faults that last until a time.
const (
	faultStore   = "store"   // a controller has no key-value store
	faultPeers   = "peers"   // a controller has no peers
	faultWorkers = "workers" // a controller has no workers
	faultOutage  = "outage"  // the key-value store is down
)

// fault is a kind of fault at a controller; none for an outage.
type fault struct{ kind, host string }

// randomFailures is a run of a cluster under random faults.
type randomFailures struct {
	*cluster
	draw *rand.Rand
	ends map[fault]time.Time // of the faults that last
	jobs []string            // that users have submitted
}

func runRandomFailures(t *testing.T, seed uint64) {
	r := &randomFailures{cluster: newCluster(t, 6), draw: fakes.Rand(seed + 100), ends: map[fault]time.Time{}}
	r.mu.Lock()
	r.rng = fakes.Rand(seed)
	r.mu.Unlock()
	r.runFor(5*time.Second, 0)
	r.attemptSeenAt = map[string]clock.Micros{}
	runTime := []time.Duration{6 * time.Second, 25 * time.Second, 90 * time.Second}[seed%3]
	for step := range 40 {
		r.causeFault()
		if step < 30 {
			id := jobName(step)
			r.jobs = append(r.jobs, id)
			r.submitJob(r.anyHost(), submission(id, 1+r.draw.IntN(4)), id)
		}
		r.runFor(time.Duration(500+r.draw.IntN(4000))*time.Millisecond, runTime)
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

func (r *randomFailures) anyHost() string { return hosts[r.draw.IntN(3)] }

func (r *randomFailures) anyJob() string { return r.jobs[r.draw.IntN(len(r.jobs))] }

// causeFault draws a fault, or has a user cancel a job.
func (r *randomFailures) causeFault() {
	spell := time.Duration(3+r.draw.IntN(45)) * time.Second
	host := r.anyHost()
	until := time.Now().Add(spell)
	switch r.draw.IntN(12) {
	case 0:
		if r.pauseGate(host) == nil {
			r.pause(host, spell)
		}
	case 1:
		r.loseStore(host, until)
	case 2:
		r.losePeers(host, until)
	case 3:
		r.loseStore(host, until)
		r.losePeers(host, until)
	case 4:
		r.unreachable[host] = true
		r.ends[fault{faultWorkers, host}] = until
	case 5, 6:
		if r.pauseGate(host) == nil {
			r.crash(host)
			time.Sleep(time.Duration(r.draw.IntN(3000)) * time.Millisecond)
			r.start(host)
		}
	case 7:
		r.store.SetDown(true)
		r.ends[fault{kind: faultOutage}] = until
	case 8:
		r.setDelayedWriteShare(0.4 * float64(r.draw.IntN(2)))
	default:
		if len(r.jobs) > 0 {
			r.cancelJob(host, r.anyJob())
		}
	}
}

func (r *randomFailures) loseStore(host string, until time.Time) {
	r.setStoreCut(host, true)
	r.ends[fault{faultStore, host}] = until
}

func (r *randomFailures) losePeers(host string, until time.Time) {
	r.setDisconnected(host, true)
	r.ends[fault{faultPeers, host}] = until
}

// endFaults ends the faults that are over by now.
func (r *randomFailures) endFaults(now time.Time) {
	for f, at := range r.ends {
		if now.Before(at) {
			continue
		}
		switch f.kind {
		case faultStore:
			r.setStoreCut(f.host, false)
		case faultPeers:
			r.setDisconnected(f.host, false)
		case faultWorkers:
			r.unreachable[f.host] = false
		case faultOutage:
			r.store.SetDown(false)
		}
		delete(r.ends, f)
	}
}

// requireJobsAnsweredAndEnded holds that after the faults every controller answers for every accepted job
// within 75 s, and that every accepted job ends.
func (r *randomFailures) requireJobsAnsweredAndEnded() {
	r.runFor(75*time.Second, 4*time.Second)
	for _, id := range r.jobs {
		for _, h := range hosts {
			r.queryJob(h, id)
			require.True(r.t, !r.accepted[id] || isPhase(r.jobPhase(h, id)), "%s at %s is not answered for", id, h)
		}
	}
	r.runFor(120*time.Second, 4*time.Second)
	for _, id := range r.jobs {
		r.queryJob(r.anyHost(), id)
		require.True(r.t, !r.accepted[id] || r.finalAnswers[id] != "", "%s: %s", id, r.jobPhase("a", id))
	}
}
