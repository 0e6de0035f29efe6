package httpx

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Handler returns the response to a request.
type Handler func(ctx context.Context, r *Request) Response

const (
	// maxBody is the maximum size of a request's body in bytes.
	maxBody = 64 << 10
	// maxUnreadBytes is the maximum size in bytes of the responses that a client leaves unread. The server closes the
	// connection of a client that leaves more and sends further bytes.
	maxUnreadBytes = 256 << 10
	// maxBuffered is the maximum size in bytes of a connection's buffer. It has room for one request of the maximum
	// size and the beginning of the next.
	maxBuffered = maxBody + maxHead + 1<<10
	// maxKeptServerBuffer is the maximum size in bytes of the empty buffer that a connection keeps between requests.
	maxKeptServerBuffer = 16 << 10
	// socketBuffer is the size in bytes of the event loop's read buffer and of its write buffer.
	socketBuffer = 8 << 10
	// stopTimeout bounds the time that the event loop takes to stop.
	stopTimeout = time.Second
)

// Responses that the server sends without calling its handler.
var (
	tooManyConnectionsResponse = Response{Status: 503, RetryAfter: 1, Close: true, Body: []byte(`{"error":"too many connections"}`)}
	// overloadedResponse answers a request that exceeds the budget of pending bytes.
	overloadedResponse = Response{Status: 503, RetryAfter: 1, Close: true, Body: []byte(`{"error":"too many requests at a time"}`)}
	tooLargeResponse   = Response{Status: 413, Body: []byte(`{"error":"request too large"}`), Close: true}
	malformedResponse  = Response{Status: 400, Body: []byte(`{"error":"malformed request"}`), Close: true}
)

// Server accepts connections on gnet and serves each with a goroutine. Its event loop answers non-blocking requests
// that arrive whole itself, because passing a request to the goroutine and the response back takes three times as many system calls.
//
// Goroutines: The event loop calls the methods whose names begin with On. Each connection gets a goroutine with its
// first request that the event loop does not answer. That goroutine ends with the connection or with the context of
// Run, and Run waits for it. Fields whose comment does not say otherwise are set before the event loop starts and
// only read afterwards.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	// isNonBlocking reports whether the handler answers a request without waiting for anything, so that it can run in
	// the event loop without delaying other connections. It may be nil.
	isNonBlocking   func(*Request) bool
	maxConnections  int64
	maxPendingBytes int64
	idleTimeout     time.Duration
	log             *slog.Logger

	handle func(r *Request) Response // calls handler with the context of Run
	done   <-chan struct{}           // closed when the context of Run ends
	ready  chan struct{}             // closed when the event loop has started and engine is set
	engine gnet.Engine
	wg     sync.WaitGroup // the connections' goroutines

	connectionCount  atomic.Int64
	pendingBytes     atomic.Int64 // size in bytes of all unanswered requests that were passed to the goroutines
	connectionsByUse *list.List   // *connection elements, the most recently used last; only the event loop uses it
}

// NewServer returns a server that holds at most limit connections and at most budget bytes of unanswered requests. When a
// connection or a request arrives, it closes the connections that have been unused for the duration idle, and at the limit
// also one that has been unused for less. The event loop itself answers the requests for which nonBlocking returns true, if
// they arrive whole, alone and without asking for the connection to be closed.
func NewServer(handler Handler, nonBlocking func(*Request) bool, limit int, budget int64, idle time.Duration, log *slog.Logger) *Server {
	return &Server{
		handler:          handler,
		isNonBlocking:    nonBlocking,
		maxConnections:   int64(limit),
		maxPendingBytes:  budget,
		idleTimeout:      idle,
		log:              log,
		ready:            make(chan struct{}),
		connectionsByUse: list.New(),
	}
}

// Run serves connections on addr until ctx ends, and waits for their goroutines.
func (s *Server) Run(ctx context.Context, addr string) error {
	s.handle = func(r *Request) Response { return s.handler(ctx, r) }
	s.done = ctx.Done()
	// This goroutine ends at most stopTimeout after ctx. Run does not wait for it, because gnet.Run returns as soon as
	// the engine stops.
	go s.stopWithContext(ctx)
	err := gnet.Run(s, "tcp4://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(engineLog{s.log}),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(socketBuffer), gnet.WithWriteBufferCap(socketBuffer))
	s.wg.Wait()
	return err
}

// stopWithContext waits for ctx to end and then stops the event loop, if it has started.
func (s *Server) stopWithContext(ctx context.Context) {
	select {
	case <-s.ready:
	case <-ctx.Done():
		return
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.engine.Stop(stop); err != nil {
		s.log.Debug("server stop failed", "error", err)
	}
}

// OnBoot stores the engine, with which stopWithContext stops the event loop.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	close(s.ready)
	return gnet.None
}

// OnOpen accepts a connection. At the limit of connections it closes the one that has been idle for the longest time,
// or rejects the new one if none is idle. The limit is reached when one controller is left alone with a large fleet,
// because it still holds connections that the workers have abandoned.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s.connectionCount.Add(1) > s.maxConnections && !s.closeIdle() {
		return AppendResponse(nil, tooManyConnectionsResponse), gnet.Close
	}
	now := time.Now()
	s.closeExpired(now)
	conn := &connection{raw: c, wake: make(chan struct{}, 1), lastUsed: now}
	conn.element = s.connectionsByUse.PushBack(conn)
	c.SetContext(conn)
	return nil, gnet.None
}

// closeExpired closes connections whose last request began at least idleTimeout ago and was answered, or is still
// incomplete. A client that keeps a request incomplete by sending it in small pieces is closed as well. The function
// goes through the connections by last use and stops at the first that is not expired or has a request being answered.
func (s *Server) closeExpired(now time.Time) {
	for e := s.connectionsByUse.Front(); e != nil; e = s.connectionsByUse.Front() {
		conn := e.Value.(*connection)
		conn.mu.Lock()
		answering := conn.answering
		conn.mu.Unlock()
		if answering || now.Sub(conn.lastUsed) < s.idleTimeout {
			return
		}
		s.closeConnection(conn)
	}
}

// closeConnection closes a connection and removes it from connectionsByUse, which must contain it.
func (s *Server) closeConnection(conn *connection) {
	s.connectionsByUse.Remove(conn.element)
	conn.element = nil
	if err := conn.raw.Close(); err != nil {
		s.log.Debug("idle connection close failed", "error", err)
	}
}

// closeIdle closes the least recently used connection that has no request, not even an incomplete one. It returns
// false if there is none.
func (s *Server) closeIdle() bool {
	for e := s.connectionsByUse.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*connection)
		conn.mu.Lock()
		idle := !conn.answering && len(conn.buffer) == 0
		conn.mu.Unlock()
		if !idle {
			continue
		}
		s.closeConnection(conn)
		return true
	}
	return false
}

// OnClose returns the bytes in a closed connection's buffer to the budget and wakes its goroutine, which then ends.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.connectionCount.Add(-1)
	if conn, ok := c.Context().(*connection); ok {
		if conn.element != nil {
			s.connectionsByUse.Remove(conn.element)
			conn.element = nil
		}
		conn.mu.Lock()
		conn.closed = true
		s.pendingBytes.Add(-int64(len(conn.buffer)))
		conn.buffer = nil
		conn.mu.Unlock()
		conn.notify()
	}
	return gnet.None
}

// OnTraffic answers a non-blocking request that arrives whole, and passes all other bytes to the connection's goroutine.
// It closes the connection of a client that sends far more than one request, so that such a client can't exhaust the
// memory.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	conn, ok := c.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	b, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	conn.mu.Lock()
	begins := !conn.answering && len(conn.buffer) == 0
	conn.mu.Unlock()
	if begins && conn.element != nil {
		conn.lastUsed = time.Now()
		s.connectionsByUse.MoveToBack(conn.element)
		s.closeExpired(conn.lastUsed)
	}
	if begins && s.answerNonBlocking(c, b) {
		return gnet.None
	}
	return s.enqueue(conn, b)
}

// answerNonBlocking answers b in the event loop if b is exactly one non-blocking request that does not ask for the
// connection to be closed, and the client reads its responses. It returns whether it did.
func (s *Server) answerNonBlocking(c gnet.Conn, b []byte) bool {
	if s.isNonBlocking == nil || c.OutboundBuffered() > maxUnreadBytes {
		return false // enqueue closes the connection of a client that reads no responses
	}
	r, used, err := ParseRequest(b, maxBody)
	if r == nil || err != nil || used < len(b) || r.Close || !s.isNonBlocking(r) {
		return false
	}
	if _, err := c.Write(AppendResponse(nil, s.handle(r))); err != nil {
		s.log.Debug("response write failed", "error", err)
	}
	return true
}

// enqueue passes received bytes to the connection's goroutine, which it starts on the first call.
func (s *Server) enqueue(conn *connection, b []byte) gnet.Action {
	if !conn.hasGoroutine {
		conn.hasGoroutine = true
		s.wg.Go(func() { s.serveConnection(conn) })
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.buffer = append(conn.buffer, b...)
	pending := s.pendingBytes.Add(int64(len(b)))
	// Clients send one request at a time. One that sends much more, or reads no responses, loses its connection.
	if len(conn.buffer) > maxBuffered || conn.raw.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	if pending > s.maxPendingBytes {
		// The request that exceeds the budget is rejected immediately, with a Retry-After header.
		if _, err := conn.raw.Write(AppendResponse(nil, overloadedResponse)); err != nil {
			s.log.Debug("response write failed", "error", err)
		}
		return gnet.Close
	}
	conn.notify()
	return gnet.None
}

// nextRequest waits for a complete request. It returns nil when the connection is closed or the server stops. The
// request's bytes count against the budget until releaseBytes is called.
func (s *Server) nextRequest(conn *connection) (*Request, error) {
	for {
		r, closed, err := conn.takeRequest()
		if closed || r != nil || err != nil {
			return r, err
		}
		select {
		case <-conn.wake:
		case <-s.done:
			return nil, nil
		}
	}
}

// serveConnection answers a connection's requests one after the other until the connection or the server ends.
func (s *Server) serveConnection(conn *connection) {
	for {
		r, err := s.nextRequest(conn)
		if err != nil {
			s.writeResponse(conn, errorResponse(err))
			return
		}
		if r == nil {
			if err := conn.raw.Close(); err != nil {
				s.log.Debug("connection close failed", "error", err)
			}
			return
		}
		response := s.handle(r)
		s.releaseBytes(conn)
		response.Close = response.Close || r.Close
		s.writeResponse(conn, response)
		if response.Close {
			return
		}
	}
}

// releaseBytes returns the bytes of the answered request to the budget.
func (s *Server) releaseBytes(conn *connection) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	s.pendingBytes.Add(-int64(conn.answeringBytes))
	conn.answeringBytes = 0
}

// errorResponse returns the response to a request that the parser rejected with err.
func errorResponse(err error) Response {
	if errors.Is(err, ErrTooLarge) {
		return tooLargeResponse
	}
	return malformedResponse
}

// writeResponse passes a response to the event loop, which writes it and, with r.Close, closes the connection.
func (s *Server) writeResponse(conn *connection, r Response) {
	var written gnet.AsyncCallback
	if r.Close {
		written = func(c gnet.Conn, _ error) error { return c.Close() }
	}
	if err := conn.raw.AsyncWrite(AppendResponse(nil, r), written); err != nil {
		s.log.Debug("response write failed", "error", err)
	}
}
