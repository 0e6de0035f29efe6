package httpx

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Handler answers one request.
type Handler func(ctx context.Context, r *Request) Response

// Server takes inbound connections on gnet and serves each with a goroutine. Requests
// that need no waiting are answered by the event loop itself: a hand-over to the
// goroutine and back takes three times as many system calls.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	// isPrompt tells which requests the handler answers without waiting for anything.
	isPrompt        func(*Request) bool
	maxConnections  int64
	maxPendingBytes int64
	idleTimeout     time.Duration
	log             *slog.Logger

	ctx              context.Context
	connectionCount  atomic.Int64
	pendingBytes     atomic.Int64 // bytes of requests that are not answered yet
	connectionsByUse *list.List   // connections, the latest used last; the event loop's own
	engine           gnet.Engine
	ready            chan struct{}
	wg               sync.WaitGroup
}

// NewServer makes a server that holds at most max connections and budget bytes
// of requests that are not answered yet, and closes connections that are idle: after
// a while, or when others come and there is no room for more. Requests that prompt
// picks are answered by the event loop.
func NewServer(handler Handler, prompt func(*Request) bool, max int, budget int64, idle time.Duration, log *slog.Logger) *Server {
	return &Server{handler: handler, isPrompt: prompt, maxConnections: int64(max), maxPendingBytes: budget, idleTimeout: idle, log: log, ready: make(chan struct{}), connectionsByUse: list.New()}
}

// connection is the inbox between the event loop and the connection's goroutine.
type connection struct {
	raw       gnet.Conn
	mu        sync.Mutex
	buffer    []byte
	wake      chan struct{}
	closed    bool
	answering bool // a request of it is being answered

	answeringBytes int // bytes of that request

	// The event loop's own.
	hasGoroutine bool          // it has its goroutine
	lastUsed     time.Time     // when its last request began
	element      *list.Element // its place among those that the event loop knows
}

// Run serves on addr until ctx ends.
func (s *Server) Run(ctx context.Context, addr string) error {
	s.ctx = ctx
	go func() {
		select {
		case <-s.ready:
		case <-ctx.Done():
			return
		}
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := s.engine.Stop(stop); err != nil {
			s.log.Debug("stopping the server", "err", err)
		}
	}()
	err := gnet.Run(s, "tcp4://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(engineLog{s.log}),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReuseAddr(true), gnet.WithReadBufferCap(8<<10), gnet.WithWriteBufferCap(8<<10))
	s.wg.Wait()
	return err
}

// OnBoot notes the engine.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	close(s.ready)
	return gnet.None
}

// OnOpen takes a connection. When there are too many, the one that was idle for
// longest makes room: a controller that is left alone with a fleet
// holds the connections of workers that have given up on it, too.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s.connectionCount.Add(1) > s.maxConnections && !s.closeIdle() {
		return AppendResponse(nil, Response{Status: 503, RetryAfter: 1, Close: true,
			Body: []byte(`{"error":"too many connections"}`)}), gnet.Close
	}
	now := time.Now()
	s.closeExpired(now)
	k := &connection{raw: c, wake: make(chan struct{}, 1), lastUsed: now}
	k.element = s.connectionsByUse.PushBack(k)
	c.SetContext(k)
	return nil, gnet.None
}

// closeExpired closes the connections whose last request began too long ago and is not
// being answered: it was answered since, or has not come as a whole, however often a
// piece of it comes.
func (s *Server) closeExpired(now time.Time) {
	for e := s.connectionsByUse.Front(); e != nil; e = s.connectionsByUse.Front() {
		k := e.Value.(*connection)
		k.mu.Lock()
		busy := k.answering
		k.mu.Unlock()
		if busy || now.Sub(k.lastUsed) < s.idleTimeout {
			return
		}
		s.closeConnection(k)
	}
}

// closeConnection closes a connection that the event loop knows.
func (s *Server) closeConnection(k *connection) {
	s.connectionsByUse.Remove(k.element)
	k.element = nil
	if err := k.raw.Close(); err != nil {
		s.log.Debug("closing an idle connection", "err", err)
	}
}

// closeIdle closes the connection that was used longest ago and has no request
// under way; false when there is none.
func (s *Server) closeIdle() bool {
	for e := s.connectionsByUse.Front(); e != nil; e = e.Next() {
		k := e.Value.(*connection)
		k.mu.Lock()
		idle := !k.answering && len(k.buffer) == 0
		k.mu.Unlock()
		if !idle {
			continue
		}
		s.closeConnection(k)
		return true
	}
	return false
}

// OnClose tells the goroutine that its peer is gone.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.connectionCount.Add(-1)
	if k, ok := c.Context().(*connection); ok {
		if k.element != nil {
			s.connectionsByUse.Remove(k.element)
			k.element = nil
		}
		k.mu.Lock()
		k.closed = true
		s.pendingBytes.Add(-int64(len(k.buffer)))
		k.buffer = nil
		k.mu.Unlock()
		k.notify()
	}
	return gnet.None
}

// OnTraffic hands bytes to the connection's goroutine. A peer that sends far
// more than one request may hold is cut off here: it can't fill the memory.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	k, ok := c.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	b, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	k.mu.Lock()
	begins := !k.answering && len(k.buffer) == 0
	k.mu.Unlock()
	if begins && k.element != nil {
		k.lastUsed = time.Now()
		s.connectionsByUse.MoveToBack(k.element)
		s.closeExpired(k.lastUsed)
	}
	if begins && s.answerPromptly(c, b) {
		return gnet.None
	}
	return s.enqueue(k, b)
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
	answer := s.handler(s.ctx, r)
	if _, err := c.Write(AppendResponse(nil, answer)); err != nil {
		s.log.Debug("writing a response", "err", err)
	}
	return true
}

// enqueue gives bytes to the connection's goroutine, which begins with the first
// request that it is needed for.
func (s *Server) enqueue(k *connection, b []byte) gnet.Action {
	if !k.hasGoroutine {
		k.hasGoroutine = true
		s.wg.Go(func() { s.serveConnection(k) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buffer = append(k.buffer, b...)
	held := s.pendingBytes.Add(int64(len(b)))
	// One request at a time: whoever sends much more, or reads no answers, is cut off.
	if len(k.buffer) > maxBody+maxHead+1024 || k.raw.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	if held > s.maxPendingBytes {
		// Whoever adds to what can't be held is told at once to come back.
		if _, err := k.raw.Write(AppendResponse(nil, overloadedResponse)); err != nil {
			s.log.Debug("writing a response", "err", err)
		}
		return gnet.Close
	}
	k.notify()
	return gnet.None
}

// overloadedResponse is the answer to a request for which there is no memory.
var overloadedResponse = Response{Status: 503, RetryAfter: 1, Close: true, Body: []byte(`{"error":"too many requests at a time"}`)}

// Limits of a connection.
const (
	maxBody        = 64 << 10
	maxUnreadBytes = 256 << 10 // bytes of answers that the peer has not read
)

func (k *connection) notify() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// nextRequest waits for a whole request; nil when the connection is over. The bytes that the
// request took are held until it is answered.
func (s *Server) nextRequest(k *connection) (*Request, error) {
	for {
		k.mu.Lock()
		if k.closed {
			k.mu.Unlock()
			return nil, nil
		}
		k.answering = false
		var r *Request
		var used int
		var err error
		if len(k.buffer) > 0 {
			r, used, err = ParseRequest(k.buffer, maxBody)
		}
		if r != nil {
			k.answering = true
			k.answeringBytes = used
			k.buffer = append(k.buffer[:0], k.buffer[used:]...)
			if len(k.buffer) == 0 && cap(k.buffer) > 16<<10 {
				k.buffer = nil
			}
		}
		k.mu.Unlock()
		if r != nil || err != nil {
			return r, err
		}
		select {
		case <-k.wake:
		case <-s.ctx.Done():
			return nil, nil
		}
	}
}

// serveConnection answers a connection's requests, one after the other, until it is over.
func (s *Server) serveConnection(k *connection) {
	for {
		r, err := s.nextRequest(k)
		if err != nil {
			s.writeResponse(k, errorResponse(err))
			return
		}
		if r == nil {
			if err := k.raw.Close(); err != nil {
				s.log.Debug("closing a connection", "err", err)
			}
			return
		}
		resp := s.handler(s.ctx, r)
		s.releaseBytes(k)
		resp.Close = resp.Close || r.Close
		s.writeResponse(k, resp)
		if resp.Close {
			return
		}
	}
}

// releaseBytes lets go of the bytes of the last request.
func (s *Server) releaseBytes(k *connection) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.pendingBytes.Add(-int64(k.answeringBytes))
	k.answeringBytes = 0
}

// errorResponse is the answer to what is not a request.
func errorResponse(err error) Response {
	if errors.Is(err, ErrTooLarge) {
		return Response{Status: 413, Body: []byte(`{"error":"request too large"}`), Close: true}
	}
	return Response{Status: 400, Body: []byte(`{"error":"malformed request"}`), Close: true}
}

func (s *Server) writeResponse(k *connection, r Response) {
	var done gnet.AsyncCallback
	if r.Close {
		done = func(c gnet.Conn, _ error) error { return c.Close() }
	}
	if err := k.raw.AsyncWrite(AppendResponse(nil, r), done); err != nil {
		s.log.Debug("writing a response", "err", err)
	}
}

// engineLog passes the event loop's own messages on, at a level below ours.
type engineLog struct{ log *slog.Logger }

func (l engineLog) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l engineLog) Infof(format string, args ...any)  { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l engineLog) Warnf(format string, args ...any)  { l.log.Info(fmt.Sprintf(format, args...)) }
func (l engineLog) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
func (l engineLog) Fatalf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
