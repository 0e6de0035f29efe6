package kvstore_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Tests of the request budget: which calls wait for it and which do not.

// All controllers together exceed the rate that the store allows. A transaction that users wait for is retried, not given up.
func TestPriorityCommitRetriesWhenRateLimited(t *testing.T) {
	c := clientWithResponses(t, rawResponse(429, `{}`), rawResponse(429, `{}`), rawResponse(200, `{"ledger_rev":7}`))
	txn := wire.Txn{Operations: []wire.Operation{{Drop: "k"}}}
	rev, err := kvstore.PriorityClient{Client: c}.Commit(t.Context(), txn)
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// Users poll again and again for jobs that do not exist. Their reads are refused once their part of the budget is spent, and a
// lease is still renewed.
func TestUserReadsLeaveBudgetForRenewals(t *testing.T) {
	responses := make([]string, 100)
	for i := range responses {
		responses[i] = absentResponse
	}
	c := clientWithRate(t, 5, responses...)
	users := kvstore.UserClient{PriorityClient: kvstore.PriorityClient{Client: c}}
	started, read := time.Now(), 0
	for range 50 {
		if _, _, err := users.Get(t.Context(), "k"); !errors.Is(err, kvstore.ErrBudgetExhausted) {
			read++
		}
	}
	require.LessOrEqual(t, read, 3+int(2*time.Since(started).Seconds()))
	// The store responds that the lease does not exist, which shows that the renewal was sent.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 3*time.Second), kvstore.ErrLeaseNotFound)
}

// The request budget is spent for the next ten seconds. A lease renewal is still sent immediately.
func TestKeepAliveSkipsSpentBudget(t *testing.T) {
	c := clientWithRate(t, 0.1, absentResponse, absentResponse)
	_, _, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	// The store responds that the lease does not exist, which shows that the renewal was sent.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 5*time.Second), kvstore.ErrLeaseNotFound)
}
