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

// stand has a controller stand still for a while: what it sends and what it is
// sent waits, and goes on as though no time had passed.
func (c *cluster) stand(host string, d time.Duration) {
	gate := make(chan struct{})
	c.mu.Lock()
	c.still[host] = gate
	c.mu.Unlock()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(gate)
		if c.still[host] == gate {
			delete(c.still, host)
		}
	})
}

// gate gives what to wait for while a controller stands still; nil when it does not.
func (c *cluster) gate(host string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.still[host]
}

func (c *cluster) wait(host string) {
	if g := c.gate(host); g != nil {
		<-g
	}
}

// setLateWrites has a share of all transactions carried out late, without an answer.
func (c *cluster) setLateWrites(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateWrites = share
}

// lot is what becomes of a transaction: it is carried out and answered, carried out
// without an answer or with a slow one, or held back until release, without an answer.
type lot int

const (
	served lot = iota
	answerLost
	answerSlow
	heldBack
)

// setBefore has f decide on every transaction that arrives, before it is carried out.
func (c *cluster) setBefore(f func(host string, m wire.Txn) lot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before = f
}

// note counts something that has occurred, and gives how often it has.
func (c *cluster) note(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noted[what]++
	return c.noted[what]
}

func (c *cluster) count(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noted[what]
}

// setLag lets every word between controllers take a while, each way.
func (c *cluster) setLag(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag = d
}

// direct is a way to the state service that no controller's trouble concerns.
func (c *cluster) direct() *fakes.KVClient { return &fakes.KVClient{KVStore: c.st} }

// setBehind lets a controller's replica be late.
func (c *cluster) setBehind(host string, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind[host] = by
}

// release carries out the transactions that were held back.
func (c *cluster) release() {
	for _, write := range c.takeKept() {
		write() //nolint:errcheck // it may come too late to change anything
	}
}

// takeKept takes the transactions that were held back so far, to carry them out later.
func (c *cluster) takeKept() []func() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.kept
	c.kept = nil
	return kept
}

// held is a controller's way to the state service: it waits while the controller
// stands still, and transactions may be carried out late and without an answer.
type held struct {
	*fakes.KVClient
	c    *cluster
	host string
}

func (h held) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	h.c.wait(h.host)
	return h.KVClient.Get(ctx, key)
}

func (h held) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	h.c.wait(h.host)
	id, err := h.KVClient.GrantLease(ctx, ttl)
	h.c.wait(h.host)
	return id, err
}

func (h held) KeepAlive(ctx context.Context, id uint64, timeout time.Duration) error {
	h.c.wait(h.host)
	err := h.KVClient.KeepAlive(ctx, id, timeout)
	h.c.wait(h.host)
	return err
}

func (h held) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	ch, err := h.KVClient.Watch(ctx, prefix, rev, block)
	h.c.mu.Lock()
	behind := h.c.behind[h.host]
	h.c.mu.Unlock()
	time.Sleep(behind)
	h.c.wait(h.host)
	return ch, err
}

func (h held) Commit(ctx context.Context, m wire.Txn) (uint64, error) {
	h.c.wait(h.host)
	h.c.mu.Lock()
	before := h.c.before
	h.c.mu.Unlock()
	if before != nil {
		switch before(h.host, m) {
		case answerLost:
			h.KVClient.Commit(ctx, m) //nolint:errcheck // nobody hears of it
			return 0, fmt.Errorf("%w: the answer is lost", kvstore.ErrOutcomeUnknown)
		case answerSlow:
			defer time.Sleep(700 * time.Millisecond)
		case heldBack:
			h.c.mu.Lock()
			defer h.c.mu.Unlock()
			h.c.kept = append(h.c.kept, func() error {
				_, err := h.c.direct().Commit(context.WithoutCancel(ctx), m)
				return err
			})
			return 0, fmt.Errorf("%w: held back", kvstore.ErrOutcomeUnknown)
		}
	}
	h.c.mu.Lock()
	late, after := h.c.rng != nil && h.c.rng.Float64() < h.c.lateWrites, time.Duration(0)
	if late {
		after = time.Duration(2000+h.c.rng.IntN(10000)) * time.Millisecond
	}
	h.c.mu.Unlock()
	if late {
		time.AfterFunc(after, func() { h.KVClient.Commit(context.WithoutCancel(ctx), m) }) //nolint:errcheck // nobody hears of it
		return 0, fmt.Errorf("%w: held up", kvstore.ErrOutcomeUnknown)
	}
	rev, err := h.KVClient.Commit(ctx, m)
	h.c.wait(h.host)
	return rev, err
}

func (h held) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	if err := sending(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return h.Commit(ctx, m)
}

// late delivers a call to a controller that stands still, once it goes on.
func (l line) late(gate chan struct{}, method string, in, out any, timeout time.Duration) error {
	go func() {
		<-gate
		l.deliver(method, in, reflect.New(reflect.TypeOf(out).Elem()).Interface()) //nolint:errcheck // nobody hears of it
	}()
	time.Sleep(timeout)
	return errCut
}

// Troubles of all kinds meet, from fixed seeds: controllers stand still, end, are
// back within a moment, lose the state service, their peers, their workers, or some
// of these; the state service is out; transactions are carried out late; users
// withdraw and ask. Nothing runs twice, limits hold, what was told stays true, and
// 75 s after the last of them every job is answered for everywhere, and comes to its end.
func TestMeetingsOfTroubles(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { meet(t, seed) })
		})
	}
}

func meet(t *testing.T, seed uint64) {
	c := newCluster(t, 6)
	rng := fakes.Rand(seed + 100)
	c.mu.Lock()
	c.rng = fakes.Rand(seed)
	c.mu.Unlock()
	c.run(5*time.Second, 0)
	c.ages = map[string]clock.Micros{}
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
				c.up[host].view.SetCut(false)
			case "peers":
				c.setCut(host, false)
			case "workers":
				c.unreachable[host] = false
			case "outage":
				c.st.SetDown(false)
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
			if c.gate(h) == nil {
				c.stand(h, spell)
			}
		case 1:
			c.up[h].view.SetCut(true)
			ends["state "+h] = until
		case 2:
			c.setCut(h, true)
			ends["peers "+h] = until
		case 3:
			c.up[h].view.SetCut(true)
			c.setCut(h, true)
			ends["state "+h], ends["peers "+h] = until, until
		case 4:
			c.unreachable[h] = true
			ends["workers "+h] = until
		case 5, 6:
			if c.gate(h) == nil {
				c.crash(h)
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				c.start(h)
			}
		case 7:
			c.st.SetDown(true)
			ends["outage "] = until
		case 8:
			c.setLateWrites(0.4 * float64(rng.IntN(2)))
		default:
			if len(names) > 0 {
				c.cancel(h, names[rng.IntN(len(names))])
			}
		}
		if step < 30 {
			id := jobName(step)
			names = append(names, id)
			c.submit(someone(), submission(id, 1+rng.IntN(4)), id)
		}
		c.run(time.Duration(500+rng.IntN(4000))*time.Millisecond, lasts)
		for range 4 {
			c.ask(someone(), names[rng.IntN(len(names))])
		}
		over(time.Now())
	}
	c.setLateWrites(0)
	over(time.Now().Add(time.Hour))
	for _, h := range hosts {
		c.wait(h)
	}
	c.run(75*time.Second, 4*time.Second)
	for _, id := range names {
		for _, h := range hosts {
			c.ask(h, id)
			require.True(t, !c.accepted[id] || len(c.phase(h, id)) > 3, "%s at %s is not answered for", id, h)
		}
	}
	c.run(120*time.Second, 4*time.Second)
	for _, id := range names {
		c.ask(someone(), id)
		require.True(t, !c.accepted[id] || c.told[id] != "", "%s: %s", id, c.phase("a", id))
	}
}
