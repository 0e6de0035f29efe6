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

// Handler answers one request.
type Handler func(ctx context.Context, r *Request) Response

const (
	// maxBody is the limit of a request's body, in bytes.
	maxBody = 64 << 10
	// maxUnreadBytes is how many bytes of responses a peer may leave unread before it is cut off.
	maxUnreadBytes = 256 << 10
	// maxBuffered is how many bytes a connection may buffer: one request, with some of the next.
	maxBuffered = maxBody + maxHead + 1<<10
	// maxKeptServerBuffer is the largest buffer that a connection without a request keeps.
	maxKeptServerBuffer = 16 << 10
	// socketBuffer is the size of the event loop's buffers for reading and writing, in bytes.
	socketBuffer = 8 << 10
	// stopTimeout is how long the event loop may take to stop.
	stopTimeout = time.Second
)

// Responses of the server itself.
var (
	tooManyConnectionsResponse = Response{Status: 503, RetryAfter: 1, Close: true, Body: []byte(`{"error":"too many connections"}`)}
	// overloadedResponse answers a request for which there is no memory.
	overloadedResponse = Response{Status: 503, RetryAfter: 1, Close: true, Body: []byte(`{"error":"too many requests at a time"}`)}
	tooLargeResponse   = Response{Status: 413, Body: []byte(`{"error":"request too large"}`), Close: true}
	malformedResponse  = Response{Status: 400, Body: []byte(`{"error":"malformed request"}`), Close: true}
)

// Server takes inbound connections on gnet and serves each with a goroutine. Requests that need no waiting are
// answered by the event loop itself: handing them to the goroutine and back takes three times as many system
// calls.
//
// Goroutines: the event loop, which calls the methods On...; one for each connection, from its first request
// that is not answered by the event loop until the connection or Run's context ends, waited for by Run. Fields
// without another note are set before the event loop starts.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	// isPrompt tells which requests the handler answers without waiting for anything.
	isPrompt        func(*Request) bool
	maxConnections  int64
	maxPendingBytes int64
	idleTimeout     time.Duration
	log             *slog.Logger

	handle func(r *Request) Response // handler with the context of Run
	done   <-chan struct{}           // closed when the context of Run ends
	ready  chan struct{}             // closed when the event loop has started; engine is set then
	engine gnet.Engine
	wg     sync.WaitGroup // the connections' goroutines

	connectionCount  atomic.Int64
	pendingBytes     atomic.Int64 // bytes of requests that are not answered yet
	connectionsByUse *list.List   // of *connection, the latest used last; only the event loop uses it
}

// NewServer makes a server that holds at most limit connections and budget bytes of requests that are not
// answered yet, and closes connections that are idle: after a while, or when others come and there is no room
// for more. Requests for which prompt returns true are answered by the event loop.
func NewServer(handler Handler, prompt func(*Request) bool, limit int, budget int64, idle time.Duration, log *slog.Logger) *Server {
	return &Server{
		handler:          handler,
		isPrompt:         prompt,
		maxConnections:   int64(limit),
		maxPendingBytes:  budget,
		idleTimeout:      idle,
		log:              log,
		ready:            make(chan struct{}),
		connectionsByUse: list.New(),
	}
}

// Run serves on addr until ctx ends.
func (s *Server) Run(ctx context.Context, addr string) error {
	s.handle = func(r *Request) Response { return s.handler(ctx, r) }
	s.done = ctx.Done()
	// It ends at most stopTimeout after ctx. Run doesn't wait for it: gnet.Run returns once the engine stops.
	go s.stopWithContext(ctx)
	err := gnet.Run(s, "tcp4://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(engineLog{s.log}),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(socketBuffer), gnet.WithWriteBufferCap(socketBuffer))
	s.wg.Wait()
	return err
}

// stopWithContext stops the event loop, if it has started, when ctx ends.
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

// OnBoot keeps the engine, which stops the event loop.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	close(s.ready)
	return gnet.None
}

// OnOpen takes a connection. When there are too many, the one that was idle for longest is closed: a
// controller that is left alone with a fleet also holds the connections of workers that have given up on it.
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

// closeExpired closes the connections whose last request began too long ago and is not being answered: it was
// answered since, or is still incomplete, however often a piece of it arrives.
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

// closeConnection closes a connection that is in connectionsByUse.
func (s *Server) closeConnection(conn *connection) {
	s.connectionsByUse.Remove(conn.element)
	conn.element = nil
	if err := conn.raw.Close(); err != nil {
		s.log.Debug("idle connection close failed", "error", err)
	}
}

// closeIdle closes the connection that was used longest ago of those without a request; false when there is
// none.
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

// OnClose tells the connection's goroutine that it is closed.
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

// OnTraffic answers a request that needs no waiting, and hands the bytes of others to the connection's
// goroutine. A peer that sends far more than one request may hold is cut off here: it can't fill the memory.
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
	if begins && s.answerPromptly(c, b) {
		return gnet.None
	}
	return s.enqueue(conn, b)
}

// answerPromptly answers a whole request of a kind that needs no waiting.
func (s *Server) answerPromptly(c gnet.Conn, b []byte) bool {
	if s.isPrompt == nil || c.OutboundBuffered() > maxUnreadBytes {
		return false // a peer that reads no answers is cut off
	}
	r, used, err := ParseRequest(b, maxBody)
	if r == nil || err != nil || used < len(b) || r.Close || !s.isPrompt(r) {
		return false
	}
	if _, err := c.Write(AppendResponse(nil, s.handle(r))); err != nil {
		s.log.Debug("response write failed", "error", err)
	}
	return true
}

// enqueue hands bytes to the connection's goroutine, and starts that with the first request that needs it.
func (s *Server) enqueue(conn *connection, b []byte) gnet.Action {
	if !conn.hasGoroutine {
		conn.hasGoroutine = true
		s.wg.Go(func() { s.serveConnection(conn) })
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.buffer = append(conn.buffer, b...)
	pending := s.pendingBytes.Add(int64(len(b)))
	// One request at a time: a peer that sends much more, or reads no responses, is cut off.
	if len(conn.buffer) > maxBuffered || conn.raw.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	if pending > s.maxPendingBytes {
		// The request that exceeds the budget is rejected immediately, with a time to retry.
		if _, err := conn.raw.Write(AppendResponse(nil, overloadedResponse)); err != nil {
			s.log.Debug("response write failed", "error", err)
		}
		return gnet.Close
	}
	conn.notify()
	return gnet.None
}

// nextRequest waits for a complete request; nil when the connection or the server is over. The bytes that the
// request took are pending until releaseBytes.
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

// serveConnection answers a connection's requests, one after the other, until it is over.
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

// releaseBytes takes the bytes of the answered request off the budget.
func (s *Server) releaseBytes(conn *connection) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	s.pendingBytes.Add(-int64(conn.answeringBytes))
	conn.answeringBytes = 0
}

// errorResponse answers what can't be parsed.
func errorResponse(err error) Response {
	if errors.Is(err, ErrTooLarge) {
		return tooLargeResponse
	}
	return malformedResponse
}

// writeResponse hands a response to the event loop, which writes it and closes the connection if it says so.
func (s *Server) writeResponse(conn *connection, r Response) {
	var written gnet.AsyncCallback
	if r.Close {
		written = func(c gnet.Conn, _ error) error { return c.Close() }
	}
	if err := conn.raw.AsyncWrite(AppendResponse(nil, r), written); err != nil {
		s.log.Debug("response write failed", "error", err)
	}
}
