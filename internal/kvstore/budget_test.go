package kvstore_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Tests of the client's request budget: who waits for it and who does not.

// All controllers together ask for too much: what users wait for is tried again, not given up.
func TestPriorityCommitRetriesWhenRateLimited(t *testing.T) {
	c := clientWithAnswers(t, rawResponse(429, `{}`), rawResponse(429, `{}`), rawResponse(200, `{"ledger_rev":7}`))
	txn := wire.Txn{Operations: []wire.Operation{{Drop: "k"}}}
	rev, err := kvstore.PriorityClient{Client: c}.Commit(t.Context(), txn)
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// Users ask for jobs that nobody knows, again and again: their reads are refused when their part of the budget is spent, and a
// lease is renewed all the same.
func TestUserReadsLeaveBudgetForRenewals(t *testing.T) {
	answers := make([]string, 100)
	for i := range answers {
		answers[i] = absentResponse
	}
	c := clientWithRate(t, 5, answers...)
	users := kvstore.UserClient{PriorityClient: kvstore.PriorityClient{Client: c}}
	began, read := time.Now(), 0
	for range 50 {
		if _, _, err := users.Get(t.Context(), "k"); !errors.Is(err, kvstore.ErrBudgetExhausted) {
			read++
		}
	}
	require.LessOrEqual(t, read, 3+int(2*time.Since(began).Seconds()))
	// The store's answer is that there is no such lease: the renewal was sent.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 3*time.Second), kvstore.ErrLeaseNotFound)
}

// With the request budget spent for ten seconds to come, a lease renewal is sent immediately.
func TestKeepAliveSkipsSpentBudget(t *testing.T) {
	c := clientWithRate(t, 0.1, absentResponse, absentResponse)
	_, _, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	// The store's answer is that there is no such lease: the renewal was sent.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 5*time.Second), kvstore.ErrLeaseNotFound)
}
