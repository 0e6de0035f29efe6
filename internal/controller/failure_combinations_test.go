package controller

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// pause has a controller pause still for a while: what it sends and what it is
// sent waits, and goes on as though no time had passed.
func (c *cluster) pause(host string, d time.Duration) {
	gate := make(chan struct{})
	c.mu.Lock()
	c.paused[host] = gate
	c.mu.Unlock()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(gate)
		if c.paused[host] == gate {
			delete(c.paused, host)
		}
	})
}

// pauseGate gives what to wait for while a controller stands still; nil when it does not.
func (c *cluster) pauseGate(host string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused[host]
}

func (c *cluster) awaitResume(host string) {
	if g := c.pauseGate(host); g != nil {
		<-g
	}
}

// setDelayedWriteShare has a share of all transactions carried out late, without an answer.
func (c *cluster) setDelayedWriteShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedWriteShare = share
}

// txnOutcome is what becomes of a transaction: it is carried out and answered, carried out
// without an answer or with a slow one, or held back until release, without an answer.
type txnOutcome int

const (
	txnServed txnOutcome = iota
	responseLost
	responseSlow
	txnHeldBack
)

// setOnCommit has f decide on every transaction that arrives, before it is carried out.
func (c *cluster) setOnCommit(f func(host string, m wire.Txn) txnOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCommit = f
}

// addOccurrence counts something that has occurred, and gives how often it has.
func (c *cluster) addOccurrence(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.occurrences[what]++
	return c.occurrences[what]
}

func (c *cluster) occurrenceCount(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.occurrences[what]
}

// setPeerLatency lets every word between controllers take a while, each way.
func (c *cluster) setPeerLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerLatency = d
}

// directClient is a way to the state service that no controller's trouble concerns.
func (c *cluster) directClient() *fakes.KVClient { return &fakes.KVClient{KVStore: c.store} }

// setReplicaDelay lets a controller's replica be late.
func (c *cluster) setReplicaDelay(host string, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicaDelay[host] = by
}

// releaseHeldTransactions carries out the transactions that were held back.
func (c *cluster) releaseHeldTransactions() {
	for _, write := range c.takeHeldTransactions() {
		write() //nolint:errcheck // it may come too late to change anything
	}
}

// takeHeldTransactions takes the transactions that were held back so far, to carry them out later.
func (c *cluster) takeHeldTransactions() []func() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.heldTransactions
	c.heldTransactions = nil
	return kept
}

// faultyStore is a controller's way to the state service: it waits while the controller
// stands still, and transactions may be carried out late and without an answer.
type faultyStore struct {
	*fakes.KVClient
	cluster *cluster
	host    string
}

func (h faultyStore) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	h.cluster.awaitResume(h.host)
	return h.KVClient.Get(ctx, key)
}

func (h faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	h.cluster.awaitResume(h.host)
	id, err := h.KVClient.GrantLease(ctx, ttl)
	h.cluster.awaitResume(h.host)
	return id, err
}

func (h faultyStore) KeepAlive(ctx context.Context, id uint64, timeout time.Duration) error {
	h.cluster.awaitResume(h.host)
	err := h.KVClient.KeepAlive(ctx, id, timeout)
	h.cluster.awaitResume(h.host)
	return err
}

func (h faultyStore) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	ch, err := h.KVClient.Watch(ctx, prefix, rev, block)
	h.cluster.mu.Lock()
	behind := h.cluster.replicaDelay[h.host]
	h.cluster.mu.Unlock()
	time.Sleep(behind)
	h.cluster.awaitResume(h.host)
	return ch, err
}

func (h faultyStore) Commit(ctx context.Context, m wire.Txn) (uint64, error) {
	h.cluster.awaitResume(h.host)
	h.cluster.mu.Lock()
	before := h.cluster.onCommit
	h.cluster.mu.Unlock()
	if before != nil {
		switch before(h.host, m) {
		case responseLost:
			h.KVClient.Commit(ctx, m) //nolint:errcheck // nobody hears of it
			return 0, fmt.Errorf("%w: the answer is lost", kvstore.ErrOutcomeUnknown)
		case responseSlow:
			defer time.Sleep(700 * time.Millisecond)
		case txnHeldBack:
			h.cluster.mu.Lock()
			defer h.cluster.mu.Unlock()
			h.cluster.heldTransactions = append(h.cluster.heldTransactions, func() error {
				_, err := h.cluster.directClient().Commit(context.WithoutCancel(ctx), m)
				return err
			})
			return 0, fmt.Errorf("%w: held back", kvstore.ErrOutcomeUnknown)
		}
	}
	h.cluster.mu.Lock()
	late, after := h.cluster.rng != nil && h.cluster.rng.Float64() < h.cluster.delayedWriteShare, time.Duration(0)
	if late {
		after = time.Duration(2000+h.cluster.rng.IntN(10000)) * time.Millisecond
	}
	h.cluster.mu.Unlock()
	if late {
		time.AfterFunc(after, func() { h.KVClient.Commit(context.WithoutCancel(ctx), m) }) //nolint:errcheck // nobody hears of it
		return 0, fmt.Errorf("%w: held up", kvstore.ErrOutcomeUnknown)
	}
	rev, err := h.KVClient.Commit(ctx, m)
	h.cluster.awaitResume(h.host)
	return rev, err
}

func (h faultyStore) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	if err := sending(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return h.Commit(ctx, m)
}

// deliverLate delivers a call to a controller that stands still, once it goes on.
func (l peerConnection) deliverLate(gate chan struct{}, method string, in, out any, timeout time.Duration) error {
	go func() {
		<-gate
		l.deliver(method, in, reflect.New(reflect.TypeOf(out).Elem()).Interface()) //nolint:errcheck // nobody hears of it
	}()
	time.Sleep(timeout)
	return errDisconnected
}

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
