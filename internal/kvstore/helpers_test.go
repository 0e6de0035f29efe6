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

// absentResponse is the store's own response to a request for a key or a lease that does not exist.
var absentResponse = rawResponse(404, `{"ledger_rev":7}`)

// clientWithResponses makes a client of a server on loopback that sends one raw response per connection. For an empty response
// it closes the connection without sending anything.
func clientWithResponses(t *testing.T, responses ...string) *kvstore.Client {
	t.Helper()
	return clientWithRate(t, 1000, responses...)
}

// clientWithRate is clientWithResponses for a client that may send rps requests per second.
func clientWithRate(t *testing.T, rps float64, responses ...string) *kvstore.Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, response := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for line := "x"; strings.TrimSpace(line) != "" && err == nil; {
				line, err = reader.ReadString('\n')
			}
			fmt.Fprint(conn, response)
			conn.Close()
		}
	}()
	return kvstore.NewClient(listener.Addr().String(), rps, 1000, 1, 1<<20)
}

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}
