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

// answering serves each connection with one raw answer, on loopback; an empty
// one closes without a word.
func answering(t *testing.T, answers ...string) *kvstore.Client {
	return answeringAt(t, 1000, answers...)
}

// answeringAt does so for a client that may send so many requests a second.
func answeringAt(t *testing.T, rps float64, answers ...string) *kvstore.Client {
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

func raw(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}

// What surely was not executed is told apart from what may have been.
func TestWhatAnAnswerProves(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   error
	}{
		{raw(503, `{}`), kvstore.ErrRefused},
		{raw(429, `{}`), kvstore.ErrRefused},
		{raw(409, `{"failed":["a"],"ledger_rev":3}`), kvstore.ErrConflict},
		{raw(500, `{}`), kvstore.ErrOutcomeUnknown},
		{raw(200, `not JSON`), kvstore.ErrOutcomeUnknown},
		{"HTTP/1.1 nonsense\r\n\r\n", kvstore.ErrOutcomeUnknown},
		{"", kvstore.ErrOutcomeUnknown},
	} {
		_, err := answering(t, c.answer).Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Drop: "k"}}})
		require.ErrorIs(t, err, c.want, "%q", c.answer)
	}
	rev, err := answering(t, raw(200, `{"ledger_rev":7}`)).Commit(t.Context(), wire.Txn{})
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// All controllers together ask for too much: what users wait for is tried again
// at once, not given up.
func TestUrgentChangesOutlastABusyMoment(t *testing.T) {
	c := answering(t, raw(429, `{}`), raw(429, `{}`), raw(200, `{"ledger_rev":7}`))
	rev, err := kvstore.PriorityClient{Client: c}.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Drop: "k"}}})
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// A key is absent only by the service's own word.
func TestAbsence(t *testing.T) {
	_, found, err := answering(t, raw(404, `{"ledger_rev":4}`)).Get(t.Context(), "k")
	require.NoError(t, err)
	require.False(t, found)
	for _, odd := range []string{raw(404, `{}`), raw(404, `gone`), raw(200, `{"k":"another","stamp":1}`), raw(503, `{}`)} {
		_, _, err := answering(t, odd).Get(t.Context(), "k")
		require.Error(t, err, "%q", odd)
	}
}

// Answers that are cut off in the middle are no answers; one that is too large
// to be held sends the reader to the pages.
func TestLongAnswers(t *testing.T) {
	long := raw(200, `{"items":[{"k":"a","v":"`+strings.Repeat("x", 100_000)+`","stamp":1}],"ledger_rev":3}`)
	items, rev, err := answering(t, long).List(t.Context(), "a")
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.EqualValues(t, 3, rev)
	_, _, err = answering(t, long[:len(long)-5]).List(t.Context(), "a")
	require.ErrorIs(t, err, kvstore.ErrOutcomeUnknown)
	_, err = answering(t, raw(200, `{"ledger_rev":3,"log":[`+strings.Repeat(" ", 2<<20)+`]}`)).Watch(t.Context(), "a", 1, 0)
	require.ErrorIs(t, err, kvstore.ErrCompacted)
}

// Users ask for jobs that nobody knows, again and again: their reads are refused
// when their part of the budget is spent, and a hold is renewed all the same.
func TestAskingLeavesRoomForHolds(t *testing.T) {
	answers := make([]string, 100)
	for i := range answers {
		answers[i] = raw(404, `{"ledger_rev":7}`)
	}
	c := answeringAt(t, 5, answers...)
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
func TestRenewalsDontWaitForTheBudget(t *testing.T) {
	none := raw(404, `{"ledger_rev":7}`)
	c := answeringAt(t, 0.1, none, none)
	_, _, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	// The stand-in's word is that there is no such hold: it was asked.
	require.ErrorIs(t, c.KeepAlive(t.Context(), 1, 5*time.Second), kvstore.ErrLeaseNotFound)
}
