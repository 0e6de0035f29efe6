package controller

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

func (c *cluster) setDisconnected(host string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[host] = cut
}

// isolate has a controller lose the state service and its peers, or reach them again;
// the workers that report to it reach nobody else meanwhile.
func (c *cluster) isolate(host string, alone bool) {
	c.processes[host].storeClient.SetCut(alone)
	c.setDisconnected(host, alone)
	clear(c.pinnedTo)
	for _, w := range c.workers {
		if alone && c.reportsTo[w.ID] == host {
			c.pinnedTo[w.ID] = host
		}
	}
}

// setPeerLatency lets every word between controllers take a while, each way.
func (c *cluster) setPeerLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerLatency = d
}

// setReplicaDelay lets a controller's replica be late.
func (c *cluster) setReplicaDelay(host string, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicaDelay[host] = by
}

// setDelayedWriteShare has a share of all transactions carried out late, without an answer.
func (c *cluster) setDelayedWriteShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedWriteShare = share
}

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

// peerConnection is a controller's connection to a peer.
type peerConnection struct {
	cluster *cluster
	to      string
	from    string
}

var errDisconnected = errors.New("cut")

func (l peerConnection) Call(method string, in, out any, timeout time.Duration) error {
	l.cluster.awaitResume(l.from)
	if g := l.cluster.pauseGate(l.to); g != nil {
		return l.deliverLate(g, method, in, out, timeout)
	}
	err := l.deliver(method, in, out)
	l.cluster.awaitResume(l.from)
	return err
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

func (l peerConnection) deliver(method string, in, out any) error {
	l.cluster.mu.Lock()
	lag := l.cluster.peerLatency
	l.cluster.mu.Unlock()
	time.Sleep(lag)
	defer time.Sleep(lag)
	p := l.cluster.processReachedBy(l.from, l.to)
	if p == nil {
		time.Sleep(50 * time.Millisecond)
		return errDisconnected
	}
	s := &rpcService{p.Controller}
	switch method {
	case "Round":
		return s.Round(in.(peer.Batch), out.(*peer.BatchResponse))
	case "Poll":
		return s.Poll(in.(peer.PollRequest), out.(*peer.PollResponse))
	case "Hello":
		return s.Hello(in.(peer.Heartbeat), out.(*peer.Heartbeat))
	case "Status":
		return s.Status(in.(peer.JobRequest), out.(*peer.JobResponse))
	case "Submit":
		return s.Submit(in.(peer.SubmitRequest), out.(*peer.SubmitResponse))
	case "Demand":
		return s.Demand(in.(peer.Heartbeat), out.(*peer.DemandResponse))
	case "HoldZone":
		return s.HoldZone(in.(peer.ZoneHoldRequest), out.(*peer.ZoneHoldResponse))
	case "Withdraw":
		return s.Withdraw(in.(peer.JobRequest), out.(*peer.JobResponse))
	}
	return fmt.Errorf("no such method: %s", method)
}

// processReachedBy gives the process that a peer reaches at a host, nil for none.
func (c *cluster) processReachedBy(from, to string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected[to] || c.disconnected[from] {
		return nil
	}
	return c.processes[to]
}
