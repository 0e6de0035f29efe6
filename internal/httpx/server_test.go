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

// serve starts a server on loopback that answers with what it was sent.
func serve(t *testing.T, budget int64) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	echo := func(_ context.Context, r *Request) Response {
		return Response{Status: 200, Body: append([]byte(r.Path+" "), r.Body...)}
	}
	srv := NewServer(echo, 8, budget, time.Minute, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() { over <- srv.Run(ctx, addr) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-over)
	})
	<-srv.ready
	return addr
}

func dial(t *testing.T, addr string) net.Conn {
	var c net.Conn
	require.Eventually(t, func() bool {
		var err error
		c, err = net.Dial("tcp4", addr)
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	t.Cleanup(func() { c.Close() })
	return c
}

// A connection serves requests one after the other, also when they come in pieces.
func TestServerAndClient(t *testing.T) {
	addr := serve(t, 1<<20)
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

// What is malformed or too large gets its answer, and the connection ends.
func TestServerRefuses(t *testing.T) {
	addr := serve(t, 1<<20)
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

// Requests that never end can't hold more memory than there is for them.
func TestServerHoldsNoMoreThanItsBudget(t *testing.T) {
	addr := serve(t, 10_000)
	a, b := dial(t, addr), dial(t, addr)
	head := "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"
	_, err := a.Write([]byte(head + strings.Repeat("x", 6000)))
	require.NoError(t, err)
	_, err = b.Write([]byte(head + strings.Repeat("x", 9000)))
	require.NoError(t, err)
	one := make(chan struct{}, 2)
	for _, c := range []net.Conn{a, b} {
		go func() {
			io.Copy(io.Discard, c) //nolint:errcheck // its end is what counts
			one <- struct{}{}
		}()
	}
	<-one // one of the two was cut off
}

// With all its connections in use a server makes room for a newcomer: one of the
// others is closed, and all the rest are served as before.
func TestServerMakesRoomForNewcomers(t *testing.T) {
	addr := serve(t, 1<<20)
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
	require.True(t, ask(dial(t, addr)), "the newcomer")
	served := 0
	for _, c := range conns {
		if ask(c) {
			served++
		}
	}
	require.Equal(t, 7, served)
}

// closing is a connection that only remembers whether it was closed.
type closing struct {
	gnet.Conn
	closed bool
}

func (c *closing) Close() error {
	c.closed = true
	return nil
}

// The connection closed is the one used longest ago of those without a request
// under way; when all have one, none is closed.
func TestTheConnectionIdleForLongestIsClosed(t *testing.T) {
	s := NewServer(nil, 4, 1<<20, time.Minute, slog.New(slog.NewTextHandler(io.Discard, nil)))
	var conns []*closing
	for i := range 4 {
		c := &closing{}
		k := &conn{c: c, busy: i == 0}
		if i == 1 {
			k.buf = []byte("GET /x")
		}
		k.at = s.used.PushBack(k)
		conns = append(conns, c)
	}
	for _, next := range []int{2, 3} {
		require.True(t, s.closeIdle())
		for i, c := range conns {
			require.Equal(t, i >= 2 && i <= next, c.closed, "%d", i)
		}
	}
	require.False(t, s.closeIdle(), "the others are being served")
}
