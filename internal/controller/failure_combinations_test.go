package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// Troubles of all kinds meet, from fixed seeds: controllers stand still, end, are
// back within a moment, lose the state service, their peers, their workers, or some
// of these; the state service is out; transactions are carried out late; users
// withdraw and ask. Nothing runs twice, limits hold, what was told stays true, and
// 75 s after the last of them every job is answered for everywhere, and comes to its end.
func TestRulesHoldUnderRandomFailureCombinations(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFailures(t, seed) })
		})
	}
}

func runRandomFailures(t *testing.T, seed uint64) {
	c := newCluster(t, 6)
	rng := fakes.Rand(seed + 100)
	c.mu.Lock()
	c.rng = fakes.Rand(seed)
	c.mu.Unlock()
	c.runFor(5*time.Second, 0)
	c.attemptSeenAt = map[string]clock.Micros{}
	lasts := []time.Duration{6 * time.Second, 25 * time.Second, 90 * time.Second}[seed%3]
	ends := map[string]time.Time{} // of troubles, by kind and controller
	var names []string
	someone := func() string { return hosts[rng.IntN(3)] }
	over := func(now time.Time) {
		for k, at := range ends {
			if now.Before(at) {
				continue
			}
			kind, host, _ := strings.Cut(k, " ")
			switch kind {
			case "state":
				c.processes[host].storeClient.SetCut(false)
			case "peers":
				c.setDisconnected(host, false)
			case "workers":
				c.unreachable[host] = false
			case "outage":
				c.store.SetDown(false)
			}
			delete(ends, k)
		}
	}
	for step := range 40 {
		spell := time.Duration(3+rng.IntN(45)) * time.Second
		h := someone()
		until := time.Now().Add(spell)
		switch rng.IntN(12) {
		case 0:
			if c.pauseGate(h) == nil {
				c.pause(h, spell)
			}
		case 1:
			c.processes[h].storeClient.SetCut(true)
			ends["state "+h] = until
		case 2:
			c.setDisconnected(h, true)
			ends["peers "+h] = until
		case 3:
			c.processes[h].storeClient.SetCut(true)
			c.setDisconnected(h, true)
			ends["state "+h], ends["peers "+h] = until, until
		case 4:
			c.unreachable[h] = true
			ends["workers "+h] = until
		case 5, 6:
			if c.pauseGate(h) == nil {
				c.crash(h)
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				c.start(h)
			}
		case 7:
			c.store.SetDown(true)
			ends["outage "] = until
		case 8:
			c.setDelayedWriteShare(0.4 * float64(rng.IntN(2)))
		default:
			if len(names) > 0 {
				c.cancelJob(h, names[rng.IntN(len(names))])
			}
		}
		if step < 30 {
			id := jobName(step)
			names = append(names, id)
			c.submitJob(someone(), submission(id, 1+rng.IntN(4)), id)
		}
		c.runFor(time.Duration(500+rng.IntN(4000))*time.Millisecond, lasts)
		for range 4 {
			c.queryJob(someone(), names[rng.IntN(len(names))])
		}
		over(time.Now())
	}
	c.setDelayedWriteShare(0)
	over(time.Now().Add(time.Hour))
	for _, h := range hosts {
		c.awaitResume(h)
	}
	c.runFor(75*time.Second, 4*time.Second)
	for _, id := range names {
		for _, h := range hosts {
			c.queryJob(h, id)
			require.True(t, !c.accepted[id] || len(c.jobPhase(h, id)) > 3, "%s at %s is not answered for", id, h)
		}
	}
	c.runFor(120*time.Second, 4*time.Second)
	for _, id := range names {
		c.queryJob(someone(), id)
		require.True(t, !c.accepted[id] || c.finalAnswers[id] != "", "%s: %s", id, c.jobPhase("a", id))
	}
}
