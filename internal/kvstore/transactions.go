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

// rateLimitPause is how long a transaction with priority waits when the store has had too many changes from all controllers
// together: several tries fit into callTimeout.
const rateLimitPause = 120 * time.Millisecond

// Commit carries out a transaction and returns its revision; ErrConflict if a condition did not hold.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	return c.commit(ctx, txn, c.budget.writes, nil)
}

// CommitWithCheck is Commit with a call of beforeSend right before the transaction is sent: what holds only from then on, or must
// still hold at that moment, is settled there and not before the wait for the budget. If it fails nothing is sent.
func (c *Client) CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error) {
	return c.commit(ctx, txn, c.budget.writes, beforeSend)
}

// commit carries out a transaction; its operations are taken from a part of the budget, or were already if writes is nil.
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
			return 0, errBudget()
		}
	}
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{} // the store wants a list
	}
	r, err := c.call(ctx, request{method: http.MethodPost, target: wire.PathTxn, body: txn, timeout: callTimeout, beforeSend: beforeSend})
	if err != nil {
		return 0, err
	}
	var a wire.TxnResponse
	if err := decode(r, &a); err != nil {
		return 0, err
	}
	switch r.Status {
	case http.StatusOK:
		return a.Revision, nil
	case http.StatusConflict:
		return a.Revision, fmt.Errorf("%w: %v", ErrConflict, a.Failed)
	}
	return 0, errUnexpectedStatus(r)
}

// PriorityClient is a client whose changes have a part of the budget to themselves: those that users or other controllers wait for.
type PriorityClient struct{ *Client }

// Commit carries out a transaction that must not queue behind others. It takes what the others have left of their part when its
// own is spent: after an outage users come all together.
func (p PriorityClient) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	return p.CommitWithCheck(ctx, txn, nil)
}

// CommitWithCheck is Commit with a call of beforeSend right before the transaction is sent, as Client.CommitWithCheck; beforeSend is
// called before each try.
func (p PriorityClient) CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := p.budget.priorityWrites
	if now := time.Now(); writes.AllowN(now, len(txn.Operations)) || p.budget.writes.AllowN(now, len(txn.Operations)) {
		writes = nil // taken
	}
	for {
		rev, err := p.commit(ctx, txn, writes, beforeSend)
		if !errors.Is(err, errRateLimited) || !loop.Pause(ctx, rateLimitPause) {
			return rev, err
		}
		writes = nil // taken by the first try
	}
}

// UserClient is the client of what users ask: reads for them have a part of the budget and no more, so that however often they
// ask, also for jobs that nobody knows, leases are renewed and jobs accepted. Their changes have priority.
type UserClient struct{ PriorityClient }

// Get reads a key while the users' part of the budget lasts; it does not wait for it.
func (u UserClient) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	if !u.budget.userReads.Allow() {
		return wire.Item{}, false, fmt.Errorf("read key %s for a user: %w", key, errBudget())
	}
	return u.Client.Get(ctx, key)
}
