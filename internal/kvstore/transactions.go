package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

// rateLimitPause is how long a priority transaction waits after the store has rejected it because all controllers together
// exceed the rate that it allows. Several attempts fit into callTimeout.
const rateLimitPause = 120 * time.Millisecond

// Commit executes a transaction and returns its revision. It returns ErrConflict if a condition did not hold.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	return c.commit(ctx, txn, c.budget.writes, nil)
}

// CommitWithCheck is Commit with a call of beforeSend right before the transaction is sent, after the wait for the budget.
// beforeSend does what must not happen earlier, and checks what must still hold at that moment. If it fails, nothing is sent.
func (c *Client) CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error) {
	return c.commit(ctx, txn, c.budget.writes, beforeSend)
}

// commit executes a transaction. It takes the operations from the limiter writes; nil means that they were taken already.
func (c *Client) commit(ctx context.Context, txn wire.Txn, writes *rate.Limiter, beforeSend func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := c.sendTxn(ctx, txn, writes, beforeSend)
	if err != nil {
		return rev, fmt.Errorf("commit transaction: %w", err)
	}
	return rev, nil
}

func (c *Client) sendTxn(ctx context.Context, txn wire.Txn, writes *rate.Limiter, beforeSend func() error) (uint64, error) {
	if n := len(txn.Operations); n > 0 && writes != nil {
		if err := writes.WaitN(ctx, n); err != nil {
			return 0, budgetError()
		}
	}
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{} // the store expects a list, not null
	}
	resp, err := c.call(ctx, request{
		method:     http.MethodPost,
		target:     wire.PathTxn,
		body:       txn,
		timeout:    callTimeout,
		beforeSend: beforeSend,
	})
	if err != nil {
		return 0, err
	}
	var result wire.TxnResponse
	if err := decode(resp, &result); err != nil {
		return 0, err
	}
	switch resp.Status {
	case http.StatusOK:
		return result.Revision, nil
	case http.StatusConflict:
		return result.Revision, fmt.Errorf("%w: %v", ErrConflict, result.Failed)
	}
	return 0, unexpectedStatusError(resp)
}

// PriorityClient is a client whose changes have a part of the budget of their own, for writes that users or other controllers
// wait for.
type PriorityClient struct{ *Client }

// Commit executes a transaction that must not queue behind writes that can wait. When its own part of the budget is spent, it
// takes what those writes have left of theirs, and waits if that is not enough: after an outage many users submit at once.
func (p PriorityClient) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	return p.CommitWithCheck(ctx, txn, nil)
}

// CommitWithCheck is Commit with a call of beforeSend right before each attempt to send the transaction; see
// Client.CommitWithCheck.
func (p PriorityClient) CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := p.budget.priorityWrites
	if now := time.Now(); writes.AllowN(now, len(txn.Operations)) || p.budget.writes.AllowN(now, len(txn.Operations)) {
		writes = nil // the operations are taken from the budget
	}
	for {
		rev, err := p.commit(ctx, txn, writes, beforeSend)
		if !errors.Is(err, errRateLimited) || !loop.Pause(ctx, rateLimitPause) {
			return rev, err
		}
		writes = nil // the first attempt has taken the operations from the budget
	}
}

// UserClient is the client for requests of users. Its calls of Get are limited to a part of the budget, so that leases are
// still renewed and jobs still accepted however often users ask, including for unknown jobs. Its changes have priority.
type UserClient struct{ PriorityClient }

// Get reads a key. If the users' part of the budget is spent, it returns ErrBudgetExhausted without waiting.
func (u UserClient) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	if !u.budget.userReads.Allow() {
		return wire.Item{}, false, fmt.Errorf("read key %s for a user: %w", key, budgetError())
	}
	return u.Client.Get(ctx, key)
}
