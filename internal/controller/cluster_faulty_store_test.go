package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// txnOutcome is the outcome of a controller's transaction.
type txnOutcome int

const (
	txnServed    txnOutcome = iota // carried out and answered
	responseLost                   // carried out, but the controller gets no answer
	responseSlow                   // carried out, but the answer is delayed by slowResponseDelay
	txnHeldBack                    // carried out only when the test does so; the controller gets no answer
)

// slowResponseDelay is the delay of the answer to a transaction with the outcome responseSlow.
const slowResponseDelay = 700 * time.Millisecond

// commitTimeout is how long a transaction waits for the end of a cut. One that times out is carried out when the cut ends, or never.
const commitTimeout = 3 * time.Second

// setOnCommit makes f decide the outcome of every transaction before it is carried out. If f is nil, all are served.
func (c *cluster) setOnCommit(f func(host string, m wire.Txn) txnOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCommit = f
}

// holdBackWrites holds back every transaction that writes a key with a prefix, and counts these transactions as
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

// occurrenceHeldBack is counted when holdBackWrites holds back a transaction.
const occurrenceHeldBack = "a write was held back"

// commitOutcome returns the outcome of a controller's transaction, by onCommit.
func (c *cluster) commitOutcome(host string, m wire.Txn) txnOutcome {
	c.mu.Lock()
	decide := c.onCommit
	c.mu.Unlock()
	if decide == nil {
		return txnServed
	}
	return decide(host, m)
}

// drawDelay decides at random whether a transaction is carried out late, and by how much.
func (c *cluster) drawDelay() (delay time.Duration, delayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng == nil || c.rng.Float64() >= c.delayedWriteShare {
		return 0, false
	}
	return time.Duration(2000+c.rng.IntN(10000)) * time.Millisecond, true
}

// drawLateArrival decides at random whether a transaction that has timed out in a cut is carried out when the cut ends.
func (c *cluster) drawLateArrival() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng != nil && c.rng.IntN(2) == 0
}

// holdBack adds a transaction to those that takeHeldTransactions returns.
func (c *cluster) holdBack(commit func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldTransactions = append(c.heldTransactions, commit)
}

// takeHeldTransactions removes and returns the transactions that were held back so far. The test may carry them out later.
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
		commit() //nolint:errcheck // its conditions may not hold any more
	}
}

// faultyStore is a controller's client of the key-value store. Its calls wait while the controller is paused or cut off, changes may
// reach the controller's replica late, and transactions may be carried out late or without an answer.
type faultyStore struct {
	*fakes.KVClient
	cluster *cluster
	host    string
}

// Get waits while the controller is paused or cut off.
func (s faultyStore) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	s.cluster.awaitStore(s.host)
	return s.KVClient.Get(ctx, key)
}

// GrantLease waits while the controller is paused or cut off, both before the call and before it returns the answer.
func (s faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.cluster.awaitStore(s.host)
	id, err := s.KVClient.GrantLease(ctx, ttl)
	s.cluster.keepCopy(fakes.StoreRequest, func() {
		s.cluster.directClient().GrantLease(context.WithoutCancel(ctx), ttl) //nolint:errcheck // nobody waits
	})
	s.cluster.awaitStore(s.host)
	return id, err
}

// KeepAlive waits while the controller is paused or cut off, both before the call and before it returns the answer. A renewal that
// has timed out during a cut still reaches the store when the cut ends.
func (s faultyStore) KeepAlive(ctx context.Context, id uint64, timeout time.Duration) error {
	if s.cluster.signal(s.cluster.cutFromStore, s.host) == nil {
		return s.keepAlive(ctx, id, timeout)
	}
	return fakes.AnswerWithin(timeout, func() error { return s.keepAlive(ctx, id, timeout) })
}

func (s faultyStore) keepAlive(ctx context.Context, id uint64, timeout time.Duration) error {
	s.cluster.awaitStore(s.host)
	err := s.KVClient.KeepAlive(ctx, id, timeout)
	s.cluster.keepCopy(fakes.StoreRequest, func() {
		s.cluster.directClient().KeepAlive(context.WithoutCancel(ctx), id, timeout) //nolint:errcheck // nobody waits
	})
	s.cluster.awaitStore(s.host)
	return err
}

// Watch delays the changes by the controller's replicaDelay.
func (s faultyStore) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	changes, err := s.KVClient.Watch(ctx, prefix, rev, block)
	s.cluster.mu.Lock()
	delay := s.cluster.replicaDelay[s.host]
	s.cluster.mu.Unlock()
	time.Sleep(delay)
	s.cluster.awaitStore(s.host)
	return changes, err
}

// Commit gives a transaction the outcome that onCommit decides. Of the transactions that onCommit lets pass, it carries out
// those that drawDelay chooses late and without an answer.
func (s faultyStore) Commit(ctx context.Context, m wire.Txn) (uint64, error) {
	s.cluster.awaitResume(s.host)
	if passable := s.cluster.signal(s.cluster.cutFromStore, s.host); passable != nil {
		select {
		case <-passable:
		case <-time.After(commitTimeout):
			if s.cluster.drawLateArrival() {
				go func() {
					<-passable
					s.KVClient.Commit(context.WithoutCancel(ctx), m) //nolint:errcheck // its sender has given up
				}()
			}
			return 0, fmt.Errorf("%w: cut off", kvstore.ErrOutcomeUnknown)
		}
	}
	switch s.cluster.commitOutcome(s.host, m) {
	case responseLost:
		s.KVClient.Commit(ctx, m) //nolint:errcheck // its answer is lost
		return 0, fmt.Errorf("%w: the answer is lost", kvstore.ErrOutcomeUnknown)
	case responseSlow:
		defer time.Sleep(slowResponseDelay)
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
	if s.cluster.copiesMessages() && (err == nil || errors.Is(err, kvstore.ErrConflict)) {
		copied := frozen(m)
		s.cluster.keepCopy(fakes.StoreRequest, func() {
			s.cluster.directClient().Commit(context.WithoutCancel(ctx), copied) //nolint:errcheck // nobody waits
		})
	}
	s.cluster.awaitStore(s.host)
	return rev, err
}

// CommitWithCheck refuses the transaction if sending fails, and otherwise does what Commit does.
func (s faultyStore) CommitWithCheck(ctx context.Context, m wire.Txn, beforeSend func() error) (uint64, error) {
	if err := beforeSend(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return s.Commit(ctx, m)
}
