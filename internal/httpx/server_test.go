package httpx

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
)

// startServer starts a server on loopback that answers a request with its path and body, and returns its address.
func startServer(t *testing.T, budget int64) string {
	t.Helper()
	return startServerWith(t, budget, func(_ context.Context, r *Request) Response {
		return Response{Status: 200, Body: append([]byte(r.Path+" "), r.Body...)}
	})
}

// isNonBlockingRequest selects the requests that the servers of the tests answer in the event loop.
func isNonBlockingRequest(r *Request) bool { return r.Path == "/prompt" }

func startServerWith(t *testing.T, budget int64, handler Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	srv := NewServer(handler, isNonBlockingRequest, 8, budget, time.Minute, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- srv.Run(ctx, addr) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
	})
	<-srv.ready
	return addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	var c net.Conn
	require.Eventually(t, func() bool {
		var err error
		c, err = net.Dial("tcp4", addr)
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	t.Cleanup(func() { c.Close() })
	// Only a failing test reaches the deadline.
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

// A connection must serve several requests, also when a request arrives in pieces. Otherwise every request would need a
// connection of its own, and large requests would never be answered.
func TestServerAnswersClientOneRequestAfterTheOther(t *testing.T) {
	addr := startServer(t, 1<<20)
	dial(t, addr)
	c := NewClient(addr, 1, 1<<20)
	defer c.Close()
	for range 3 {
		r, err := c.Do(t.Context(), "POST", "/x", []byte("hello"))
		require.NoError(t, err)
		require.Equal(t, "/x hello", string(r.Body))
	}
	require.Len(t, c.idle, 1)
	conn := dial(t, addr)
	for _, piece := range []string{"POST /y HTTP/1.1\r\nConte", "nt-Length: 3\r\nConnection: close\r\n\r\na", "bc"} {
		_, err := conn.Write([]byte(piece))
		require.NoError(t, err)
	}
	b, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(b), "\r\n\r\n/y abc"), string(b))
}

// After a malformed or too large request the server can't tell where the next one begins. It must answer with the
// right status and close the connection, or it would take parts of a body for requests.
func TestServerAnswersMalformedOrLargeRequestAndCloses(t *testing.T) {
	addr := startServer(t, 1<<20)
	for text, want := range map[string]string{
		"nonsense\r\n\r\n": "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n": "HTTP/1.1 413 ",
	} {
		conn := dial(t, addr)
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
		b, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(b), want), "%q", b)
	}
}

// Clients that send incomplete requests must not make the server hold more bytes than its budget. Together the two
// requests exceed it, so the server must close one of the connections.
func TestServerOverBudgetClosesAConnection(t *testing.T) {
	addr := startServer(t, 10_000)
	a, b := dial(t, addr), dial(t, addr)
	head := "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"
	_, err := a.Write([]byte(head + strings.Repeat("x", 6000)))
	require.NoError(t, err)
	_, err = b.Write([]byte(head + strings.Repeat("x", 9000)))
	require.NoError(t, err)
	closed := make(chan struct{}, 2)
	for _, c := range []net.Conn{a, b} {
		go func() {
			io.Copy(io.Discard, c) //nolint:errcheck // only the end of the connection counts
			closed <- struct{}{}
		}()
	}
	<-closed // the server closed one of the two
}

// A server at its limit of connections must accept a new one and close one idle connection for it. Otherwise
// connections that clients have abandoned would lock out everyone else. All other connections stay usable.
func TestServerAtConnectionLimitClosesAnIdleOne(t *testing.T) {
	addr := startServer(t, 1<<20)
	ask := func(c net.Conn) bool {
		if _, err := c.Write([]byte("GET /x HTTP/1.1\r\n\r\n")); err != nil {
			return false
		}
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		return strings.Contains(string(b[:n]), "200 OK")
	}
	var conns []net.Conn
	for range 8 {
		c := dial(t, addr)
		require.True(t, ask(c))
		conns = append(conns, c)
	}
	require.True(t, ask(dial(t, addr)), "the new connection")
	served := 0
	for _, c := range conns {
		if ask(c) {
			served++
		}
	}
	require.Equal(t, 7, served)
}

// fakeConn is a gnet.Conn that only records whether it was closed.
type fakeConn struct {
	gnet.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// At the limit of connections the server closes the least recently used one. It must skip connections with an
// incomplete request or one that is being answered, since their clients would lose it.
func TestConnectionIdleForLongestIsClosedFirst(t *testing.T) {
	s := NewServer(nil, nil, 4, 1<<20, time.Minute, slog.New(slog.NewTextHandler(io.Discard, nil)))
	var conns []*fakeConn
	for i := range 4 {
		c := &fakeConn{}
		conn := &connection{raw: c, answering: i == 0}
		if i == 1 {
			conn.buffer = []byte("GET /x")
		}
		conn.element = s.connectionsByUse.PushBack(conn)
		conns = append(conns, c)
	}
	for _, next := range []int{2, 3} {
		require.True(t, s.closeIdle())
		for i, c := range conns {
			require.Equal(t, i >= 2 && i <= next, c.closed, "%d", i)
		}
	}
	require.False(t, s.closeIdle(), "the remaining connections have requests")
}

// Workers' heartbeats are non-blocking requests. They must be answered while slow requests of users occupy other
// connections, or worker leases would expire. This also holds for a non-blocking request that arrives in pieces, and
// for a connection that alternates between both kinds of requests.
func TestNonBlockingRequestIsAnsweredWhileOthersWait(t *testing.T) {
	slow := make(chan struct{})
	addr := startServerWith(t, 1<<20, func(_ context.Context, r *Request) Response {
		if r.Path == "/slow" {
			<-slow
		}
		return Response{Status: 200, Body: []byte(r.Path)}
	})
	ask := func(c net.Conn, pieces ...string) {
		for _, p := range pieces {
			_, err := c.Write([]byte(p))
			require.NoError(t, err)
		}
	}
	answer := func(c net.Conn) string {
		b := make([]byte, 4096)
		n, err := c.Read(b)
		require.NoError(t, err)
		_, body, _ := strings.Cut(string(b[:n]), "\r\n\r\n")
		return body
	}
	waiting, other := dial(t, addr), dial(t, addr)
	ask(waiting, "GET /slow HTTP/1.1\r\n\r\n")
	for range 3 {
		ask(other, "GET /prompt HTTP/1.1\r\n\r\n")
		require.Equal(t, "/prompt", answer(other))
		ask(other, "GET /prompt HT", "TP/1.1\r\n\r\n")
		require.Equal(t, "/prompt", answer(other))
		ask(other, "GET /x HTTP/1.1\r\n\r\n")
		require.Equal(t, "/x", answer(other))
	}
	close(slow)
	require.Equal(t, "/slow", answer(waiting))
}

// A connection must be closed when its last request began longer ago than the idle timeout, also if the request is
// incomplete: a client could otherwise occupy connections forever by sending a request in small pieces. A connection
// whose request is being answered must stay open.
func TestConnectionWithoutRequestForIdleTimeoutIsClosed(t *testing.T) {
	s := NewServer(nil, isNonBlockingRequest, 4, 1<<20, time.Minute, slog.New(slog.NewTextHandler(io.Discard, nil)))
	begun := time.Unix(1000, 0)
	add := func(conn *connection) *fakeConn {
		c := &fakeConn{}
		conn.raw = c
		conn.element = s.connectionsByUse.PushBack(conn)
		return c
	}
	idle := add(&connection{lastUsed: begun})
	incomplete := add(&connection{lastUsed: begun.Add(time.Second), buffer: []byte("GET /x")})
	busy := add(&connection{lastUsed: begun.Add(2 * time.Second), answering: true})
	recent := add(&connection{lastUsed: begun.Add(time.Minute)})
	s.closeExpired(begun.Add(59 * time.Second))
	require.False(t, idle.closed)
	s.closeExpired(begun.Add(90 * time.Second))
	require.True(t, idle.closed)
	require.True(t, incomplete.closed)
	require.False(t, busy.closed)
	require.False(t, recent.closed)
}

// Requests that are being answered count against the budget as well. While they use it up, further requests must be
// rejected immediately with 503; once they are answered, new requests must be served again.
func TestServerOverBudgetRejectsUntilRequestsAreAnswered(t *testing.T) {
	begun, end := make(chan struct{}, 8), make(chan struct{})
	addr := startServerWith(t, 10_000, func(context.Context, *Request) Response {
		begun <- struct{}{}
		<-end
		return Response{Status: 200, Body: []byte("done")}
	})
	request := "POST /x HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("x", 4000)
	head := func(c net.Conn) string {
		b := make([]byte, 4096)
		n, err := c.Read(b)
		require.NoError(t, err)
		return string(b[:n])
	}
	send := func() net.Conn {
		c := dial(t, addr)
		_, err := c.Write([]byte(request))
		require.NoError(t, err)
		return c
	}
	first, second := send(), send()
	<-begun
	<-begun
	rejected := head(send())
	require.Contains(t, rejected, "HTTP/1.1 503 ")
	require.Contains(t, rejected, "Retry-After: 1")
	close(end)
	require.Contains(t, head(first), "200 OK")
	require.Contains(t, head(second), "200 OK")
	require.Contains(t, head(send()), "200 OK")
}
