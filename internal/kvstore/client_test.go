package kvstore_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// clientWithAnswers serves each connection with one raw answer, on loopback; an empty
// one closes without a word.
func clientWithAnswers(t *testing.T, answers ...string) *kvstore.Client {
	return clientWithRate(t, 1000, answers...)
}

// clientWithRate does so for a client that may send so many requests a second.
func clientWithRate(t *testing.T, rps float64, answers ...string) *kvstore.Client {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, a := range answers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for line := "x"; strings.TrimSpace(line) != "" && err == nil; {
				line, err = r.ReadString('\n')
			}
			fmt.Fprint(c, a)
			c.Close()
		}
	}()
	return kvstore.NewClient(l.Addr().String(), rps, 1000, 1, 1<<20)
}

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}

// What surely was not executed is told apart from what may have been.
func TestCommitErrorTellsRefusedFromUnknown(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   error
	}{
		{rawResponse(503, `{}`), kvstore.ErrRefused},
		{rawResponse(429, `{}`), kvstore.ErrRefused},
		{rawResponse(409, `{"failed":["a"],"ledger_rev":3}`), kvstore.ErrConflict},
		{rawResponse(500, `{}`), kvstore.ErrOutcomeUnknown},
		{rawResponse(200, `not JSON`), kvstore.ErrOutcomeUnknown},
		{"HTTP/1.1 nonsense\r\n\r\n", kvstore.ErrOutcomeUnknown},
		{"", kvstore.ErrOutcomeUnknown},
	} {
		_, err := clientWithAnswers(t, c.answer).Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Drop: "k"}}})
		require.ErrorIs(t, err, c.want, "%q", c.answer)
	}
	rev, err := clientWithAnswers(t, rawResponse(200, `{"ledger_rev":7}`)).Commit(t.Context(), wire.Txn{})
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// All controllers together ask for too much: what users wait for is tried again
// at once, not given up.
func TestPriorityCommitRetriesWhenRateLimited(t *testing.T) {
	c := clientWithAnswers(t, rawResponse(429, `{}`), rawResponse(429, `{}`), rawResponse(200, `{"ledger_rev":7}`))
	rev, err := kvstore.PriorityClient{Client: c}.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Drop: "k"}}})
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// A key is absent only by the service's own word.
func TestGetReportsAbsentOnlyByStoreAnswer(t *testing.T) {
	_, found, err := clientWithAnswers(t, rawResponse(404, `{"ledger_rev":4}`)).Get(t.Context(), "k")
	require.NoError(t, err)
	require.False(t, found)
	for _, odd := range []string{rawResponse(404, `{}`), rawResponse(404, `gone`), rawResponse(200, `{"k":"another","stamp":1}`), rawResponse(503, `{}`)} {
		_, _, err := clientWithAnswers(t, odd).Get(t.Context(), "k")
		require.Error(t, err, "%q", odd)
	}
}

// Answers that are cut off in the middle are no answers; one that is too large
// to be held sends the reader to the pages.
func TestTruncatedOrTooLargeAnswerIsRejected(t *testing.T) {
	long := rawResponse(200, `{"items":[{"k":"a","v":"`+strings.Repeat("x", 100_000)+`","stamp":1}],"ledger_rev":3}`)
	items, rev, err := clientWithAnswers(t, long).List(t.Context(), "a")
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.EqualValues(t, 3, rev)
	_, _, err = clientWithAnswers(t, long[:len(long)-5]).List(t.Context(), "a")
	require.ErrorIs(t, err, kvstore.ErrOutcomeUnknown)
	_, err = clientWithAnswers(t, rawResponse(200, `{"ledger_rev":3,"log":[`+strings.Repeat(" ", 2<<20)+`]}`)).Watch(t.Context(), "a", 1, 0)
	require.ErrorIs(t, err, kvstore.ErrCompacted)
}

// Users ask for jobs that nobody knows, again and again: their reads are refused
// when their part of the budget is spent, and a hold is renewed all the same.
func TestUserReadsLeaveBudgetForRenewals(t *testing.T) {
	answers := make([]string, 100)
	for i := range answers {
		answers[i] = rawResponse(404, `{"ledger_rev":7}`)
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
	// The stand-in's word is that there is no such hold: it was asked.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 3*time.Second), kvstore.ErrLeaseNotFound)
}

// With the request budget spent for ten seconds to come, a hold's renewal is sent at once.
func TestKeepAliveSkipsSpentBudget(t *testing.T) {
	none := rawResponse(404, `{"ledger_rev":7}`)
	c := clientWithRate(t, 0.1, none, none)
	_, _, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	// The stand-in's word is that there is no such hold: it was asked.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 5*time.Second), kvstore.ErrLeaseNotFound)
}
