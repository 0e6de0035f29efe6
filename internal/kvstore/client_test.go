package kvstore_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Tests of what the client concludes from raw responses of the store.

func TestCommitErrorSeparatesRefusedFromUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     error
	}{
		"store unavailable":         {rawResponse(503, `{}`), kvstore.ErrRefused},
		"too many requests":         {rawResponse(429, `{}`), kvstore.ErrRefused},
		"condition did not hold":    {rawResponse(409, `{"failed":["a"],"ledger_rev":3}`), kvstore.ErrConflict},
		"internal error":            {rawResponse(500, `{}`), kvstore.ErrOutcomeUnknown},
		"body is not JSON":          {rawResponse(200, `not JSON`), kvstore.ErrOutcomeUnknown},
		"response is not HTTP":      {"HTTP/1.1 nonsense\r\n\r\n", kvstore.ErrOutcomeUnknown},
		"closed without a response": {"", kvstore.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := clientWithResponses(t, c.response).Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Drop: "k"}}})
			require.ErrorIs(t, err, c.want, "%q", c.response)
		})
	}
	rev, err := clientWithResponses(t, rawResponse(200, `{"ledger_rev":7}`)).Commit(t.Context(), wire.Txn{})
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
}

// Only the store's own response shows that a key is absent. A 404 of something on the way to the store, such as a proxy, does
// not.
func TestGetReportsAbsentKeyOnlyForStoreResponse(t *testing.T) {
	_, found, err := clientWithResponses(t, rawResponse(404, `{"ledger_rev":4}`)).Get(t.Context(), "k")
	require.NoError(t, err)
	require.False(t, found)
	for name, response := range map[string]string{
		"404 without a revision": rawResponse(404, `{}`),
		"404 without JSON":       rawResponse(404, `gone`),
		"another key":            rawResponse(200, `{"k":"another","stamp":1}`),
		"store unavailable":      rawResponse(503, `{}`),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := clientWithResponses(t, response).Get(t.Context(), "k")
			require.Error(t, err, "%q", response)
		})
	}
}

// A response that is cut off is an error. A watch response too large to be held makes the caller read the keys page by page.
func TestTruncatedOrTooLargeResponseIsRejected(t *testing.T) {
	long := rawResponse(200, `{"items":[{"k":"a","v":"`+strings.Repeat("x", 100_000)+`","stamp":1}],"ledger_rev":3}`)
	items, rev, err := clientWithResponses(t, long).List(t.Context(), "a")
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.EqualValues(t, 3, rev)
	_, _, err = clientWithResponses(t, long[:len(long)-5]).List(t.Context(), "a")
	require.ErrorIs(t, err, kvstore.ErrOutcomeUnknown)
	tooLarge := rawResponse(200, `{"ledger_rev":3,"log":[`+strings.Repeat(" ", 2<<20)+`]}`)
	_, err = clientWithResponses(t, tooLarge).Watch(t.Context(), "a", 1, 0)
	require.ErrorIs(t, err, kvstore.ErrCompacted)
}

// An error names what was attempted and wraps its cause.
func TestErrorNamesTheCall(t *testing.T) {
	unavailable := rawResponse(503, `{}`)
	for want, call := range map[string]func(*kvstore.Client) error{
		"read key k": func(c *kvstore.Client) error {
			_, _, err := c.Get(t.Context(), "k")
			return err
		},
		"list keys a": func(c *kvstore.Client) error {
			_, _, err := c.List(t.Context(), "a")
			return err
		},
		"commit transaction": func(c *kvstore.Client) error {
			_, err := c.Commit(t.Context(), wire.Txn{})
			return err
		},
		"create lease": func(c *kvstore.Client) error {
			_, err := c.GrantLease(t.Context(), time.Second)
			return err
		},
		"renew lease 1": func(c *kvstore.Client) error { return c.KeepAlive(t.Context(), 1, time.Second) },
		"watch a after revision 1": func(c *kvstore.Client) error {
			_, err := c.Watch(t.Context(), "a", 1, 0)
			return err
		},
	} {
		t.Run(want, func(t *testing.T) {
			err := call(clientWithResponses(t, unavailable))
			require.ErrorIs(t, err, kvstore.ErrRefused)
			require.ErrorContains(t, err, want)
		})
	}
}
