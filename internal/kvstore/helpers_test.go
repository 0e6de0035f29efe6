package kvstore_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// absentResponse is the store's own answer to a request for a key or a lease that does not exist.
var absentResponse = rawResponse(404, `{"ledger_rev":7}`)

// clientWithAnswers makes a client whose store gives one raw answer per connection, on loopback; an empty one closes the
// connection without an answer.
func clientWithAnswers(t *testing.T, answers ...string) *kvstore.Client {
	t.Helper()
	return clientWithRate(t, 1000, answers...)
}

// clientWithRate is clientWithAnswers for a client that may send so many requests a second.
func clientWithRate(t *testing.T, rps float64, answers ...string) *kvstore.Client {
	t.Helper()
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
