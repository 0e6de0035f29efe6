package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// txnOutcome is what becomes of a transaction that arrives at the key-value store.
type txnOutcome int

const (
	txnServed    txnOutcome = iota // carried out and answered
	responseLost                   // carried out, without an answer
	responseSlow                   // carried out, with a slow answer
	txnHeldBack                    // not carried out until the test does, without an answer
)

// slowResponse is by how much the answer of responseSlow is late.
const slowResponse = 700 * time.Millisecond

// setOnCommit has f decide on every transaction that arrives, before it is carried out; nil: all are served.
func (c *cluster) setOnCommit(f func(host string, m wire.Txn) txnOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCommit = f
}

// holdBackWrites has every transaction held back that writes a key with a prefix, and counts them as
// occurrenceHeldBack.
func (c *cluster) holdBackWrites(prefix string) {
	c.setOnCommit(func(_ string, m wire.Txn) txnOutcome {
		if writesTo(m, prefix) {
			c.addOccurrence(occurrenceHeldBack)
			return txnHeldBack
		}
		return txnServed
	})
}

// occurrenceHeldBack names that holdBackWrites has held a transaction back.
const occurrenceHeldBack = "a write was held back"

// commitOutcome decides on a transaction of a controller.
func (c *cluster) commitOutcome(host string, m wire.Txn) txnOutcome {
	c.mu.Lock()
	decide := c.onCommit
	c.mu.Unlock()
	if decide == nil {
		return txnServed
	}
	return decide(host, m)
}

// drawDelay draws whether a transaction is carried out late, and by how much.
func (c *cluster) drawDelay() (delay time.Duration, delayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng == nil || c.rng.Float64() >= c.delayedWriteShare {
		return 0, false
	}
	return time.Duration(2000+c.rng.IntN(10000)) * time.Millisecond, true
}

// holdBack keeps a transaction for takeHeldTransactions.
func (c *cluster) holdBack(commit func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldTransactions = append(c.heldTransactions, commit)
}

// takeHeldTransactions takes the transactions that were held back so far, to carry them out later.
func (c *cluster) takeHeldTransactions() []func() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.heldTransactions
	c.heldTransactions = nil
	return held
}

// releaseHeldTransactions carries out the transactions that were held back.
func (c *cluster) releaseHeldTransactions() {
	for _, commit := range c.takeHeldTransactions() {
		commit() //nolint:errcheck // it may come too late to change anything
	}
}

// faultyStore is a controller's client of the key-value store: it waits while the controller
// is paused, its replica may be late, and transactions may be carried out late or without an answer.
type faultyStore struct {
	*fakes.KVClient
	cluster *cluster
	host    string
}

// Get waits while the controller is paused.
func (s faultyStore) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	s.cluster.awaitResume(s.host)
	return s.KVClient.Get(ctx, key)
}

// GrantLease waits while the controller is paused, with the answer too.
func (s faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.cluster.awaitResume(s.host)
	id, err := s.KVClient.GrantLease(ctx, ttl)
	s.cluster.awaitResume(s.host)
	return id, err
}

// KeepAlive waits while the controller is paused, with the answer too.
func (s faultyStore) KeepAlive(ctx context.Context, id uint64, timeout time.Duration) error {
	s.cluster.awaitResume(s.host)
	err := s.KVClient.KeepAlive(ctx, id, timeout)
	s.cluster.awaitResume(s.host)
	return err
}

// Watch delivers the changes late where the controller's replica is to be late.
func (s faultyStore) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	changes, err := s.KVClient.Watch(ctx, prefix, rev, block)
	s.cluster.mu.Lock()
	delay := s.cluster.replicaDelay[s.host]
	s.cluster.mu.Unlock()
	time.Sleep(delay)
	s.cluster.awaitResume(s.host)
	return changes, err
}

// Commit carries a transaction out as onCommit decides, and of those that it lets pass some late, by the random draw.
func (s faultyStore) Commit(ctx context.Context, m wire.Txn) (uint64, error) {
	s.cluster.awaitResume(s.host)
	switch s.cluster.commitOutcome(s.host, m) {
	case responseLost:
		s.KVClient.Commit(ctx, m) //nolint:errcheck // its answer is lost
		return 0, fmt.Errorf("%w: the answer is lost", kvstore.ErrOutcomeUnknown)
	case responseSlow:
		defer time.Sleep(slowResponse)
	case txnHeldBack:
		s.cluster.holdBack(func() error {
			_, err := s.cluster.directClient().Commit(context.WithoutCancel(ctx), m)
			return err
		})
		return 0, fmt.Errorf("%w: held back", kvstore.ErrOutcomeUnknown)
	case txnServed:
	}
	if delay, delayed := s.cluster.drawDelay(); delayed {
		time.AfterFunc(delay, func() { s.KVClient.Commit(context.WithoutCancel(ctx), m) }) //nolint:errcheck // its answer is lost
		return 0, fmt.Errorf("%w: delayed", kvstore.ErrOutcomeUnknown)
	}
	rev, err := s.KVClient.Commit(ctx, m)
	s.cluster.awaitResume(s.host)
	return rev, err
}

// CommitWithCheck is Commit, unless sending fails.
func (s faultyStore) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	if err := sending(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return s.Commit(ctx, m)
}
