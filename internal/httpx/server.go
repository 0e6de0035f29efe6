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
	// prompt tells which requests the handler answers without waiting for anything.
	prompt func(*Request) bool
	max    int64
	budget int64
	idle   time.Duration
	log    *slog.Logger

	ctx   context.Context
	open  atomic.Int64
	held  atomic.Int64 // bytes of requests that are not answered yet
	used  *list.List   // connections, the latest used last; the event loop's own
	eng   gnet.Engine
	ready chan struct{}
	wg    sync.WaitGroup
}

// NewServer makes a server that holds at most max connections and budget bytes
// of requests that are not answered yet, and closes connections that are idle: after
// a while, or when others come and there is no room for more. Requests that prompt
// picks are answered by the event loop.
func NewServer(handler Handler, prompt func(*Request) bool, max int, budget int64, idle time.Duration, log *slog.Logger) *Server {
	return &Server{handler: handler, prompt: prompt, max: int64(max), budget: budget, idle: idle, log: log, ready: make(chan struct{}), used: list.New()}
}

// conn is the inbox between the event loop and the connection's goroutine.
type conn struct {
	c    gnet.Conn
	mu   sync.Mutex
	buf  []byte
	wake chan struct{}
	gone bool
	busy bool // a request of it is being answered

	answering int // bytes of that request

	// The event loop's own.
	served bool          // it has its goroutine
	usedAt time.Time     // when its last request began
	at     *list.Element // its place among those that the event loop knows
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
		if err := s.eng.Stop(stop); err != nil {
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
	s.eng = eng
	close(s.ready)
	return gnet.None
}

// OnOpen takes a connection. When there are too many, the one that was idle for
// longest makes room: a controller that is left alone with a fleet
// holds the connections of workers that have given up on it, too.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s.open.Add(1) > s.max && !s.closeIdle() {
		return AppendResponse(nil, Response{Status: 503, RetryAfter: 1, Close: true,
			Body: []byte(`{"error":"too many connections"}`)}), gnet.Close
	}
	now := time.Now()
	s.closeExpired(now)
	k := &conn{c: c, wake: make(chan struct{}, 1), usedAt: now}
	k.at = s.used.PushBack(k)
	c.SetContext(k)
	return nil, gnet.None
}

// closeExpired closes the connections whose last request began too long ago and is not
// being answered: it was answered since, or has not come as a whole, however often a
// piece of it comes.
func (s *Server) closeExpired(now time.Time) {
	for e := s.used.Front(); e != nil; e = s.used.Front() {
		k := e.Value.(*conn)
		k.mu.Lock()
		busy := k.busy
		k.mu.Unlock()
		if busy || now.Sub(k.usedAt) < s.idle {
			return
		}
		s.close(k)
	}
}

// close closes a connection that the event loop knows.
func (s *Server) close(k *conn) {
	s.used.Remove(k.at)
	k.at = nil
	if err := k.c.Close(); err != nil {
		s.log.Debug("closing an idle connection", "err", err)
	}
}

// closeIdle closes the connection that was used longest ago and has no request
// under way; false when there is none.
func (s *Server) closeIdle() bool {
	for e := s.used.Front(); e != nil; e = e.Next() {
		k := e.Value.(*conn)
		k.mu.Lock()
		idle := !k.busy && len(k.buf) == 0
		k.mu.Unlock()
		if !idle {
			continue
		}
		s.close(k)
		return true
	}
	return false
}

// OnClose tells the goroutine that its peer is gone.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.open.Add(-1)
	if k, ok := c.Context().(*conn); ok {
		if k.at != nil {
			s.used.Remove(k.at)
			k.at = nil
		}
		k.mu.Lock()
		k.gone = true
		s.held.Add(-int64(len(k.buf)))
		k.buf = nil
		k.mu.Unlock()
		k.poke()
	}
	return gnet.None
}

// OnTraffic hands bytes to the connection's goroutine. A peer that sends far
// more than one request may hold is cut off here: it can't fill the memory.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	b, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	k.mu.Lock()
	begins := !k.busy && len(k.buf) == 0
	k.mu.Unlock()
	if begins && k.at != nil {
		k.usedAt = time.Now()
		s.used.MoveToBack(k.at)
		s.closeExpired(k.usedAt)
	}
	if begins && s.answerPromptly(c, b) {
		return gnet.None
	}
	return s.handOver(k, b)
}

// answerPromptly answers a whole request of a kind that needs no waiting.
func (s *Server) answerPromptly(c gnet.Conn, b []byte) bool {
	if s.prompt == nil || c.OutboundBuffered() > maxUnread {
		return false // a peer that reads no answers is cut off
	}
	r, used, err := ParseRequest(b, bodyLimit)
	if r == nil || err != nil || used < len(b) || r.Close || !s.prompt(r) {
		return false
	}
	answer := s.handler(s.ctx, r)
	if _, err := c.Write(AppendResponse(nil, answer)); err != nil {
		s.log.Debug("writing a response", "err", err)
	}
	return true
}

// handOver gives bytes to the connection's goroutine, which begins with the first
// request that it is needed for.
func (s *Server) handOver(k *conn, b []byte) gnet.Action {
	if !k.served {
		k.served = true
		s.wg.Go(func() { s.serve(k) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buf = append(k.buf, b...)
	held := s.held.Add(int64(len(b)))
	// One request at a time: whoever sends much more, or reads no answers, is cut off.
	if len(k.buf) > bodyLimit+maxHead+1024 || k.c.OutboundBuffered() > maxUnread {
		return gnet.Close
	}
	if held > s.budget {
		// Whoever adds to what can't be held is told at once to come back.
		if _, err := k.c.Write(AppendResponse(nil, overloaded)); err != nil {
			s.log.Debug("writing a response", "err", err)
		}
		return gnet.Close
	}
	k.poke()
	return gnet.None
}

// overloaded is the answer to a request for which there is no memory.
var overloaded = Response{Status: 503, RetryAfter: 1, Close: true, Body: []byte(`{"error":"too many requests at a time"}`)}

// Limits of a connection.
const (
	bodyLimit = 64 << 10
	maxUnread = 256 << 10 // bytes of answers that the peer has not read
)

func (k *conn) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// next waits for a whole request; nil when the connection is over. The bytes that the
// request took are held until it is answered.
func (s *Server) next(k *conn) (*Request, error) {
	for {
		k.mu.Lock()
		if k.gone {
			k.mu.Unlock()
			return nil, nil
		}
		k.busy = false
		var r *Request
		var used int
		var err error
		if len(k.buf) > 0 {
			r, used, err = ParseRequest(k.buf, bodyLimit)
		}
		if r != nil {
			k.busy = true
			k.answering = used
			k.buf = append(k.buf[:0], k.buf[used:]...)
			if len(k.buf) == 0 && cap(k.buf) > 16<<10 {
				k.buf = nil
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

// serve answers a connection's requests, one after the other, until it is over.
func (s *Server) serve(k *conn) {
	for {
		r, err := s.next(k)
		if err != nil {
			s.write(k, refusal(err))
			return
		}
		if r == nil {
			if err := k.c.Close(); err != nil {
				s.log.Debug("closing a connection", "err", err)
			}
			return
		}
		resp := s.handler(s.ctx, r)
		s.release(k)
		resp.Close = resp.Close || r.Close
		s.write(k, resp)
		if resp.Close {
			return
		}
	}
}

// release lets go of the bytes of the last request.
func (s *Server) release(k *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.held.Add(-int64(k.answering))
	k.answering = 0
}

// refusal is the answer to what is not a request.
func refusal(err error) Response {
	if errors.Is(err, ErrTooLarge) {
		return Response{Status: 413, Body: []byte(`{"error":"request too large"}`), Close: true}
	}
	return Response{Status: 400, Body: []byte(`{"error":"malformed request"}`), Close: true}
}

func (s *Server) write(k *conn, r Response) {
	var done gnet.AsyncCallback
	if r.Close {
		done = func(c gnet.Conn, _ error) error { return c.Close() }
	}
	if err := k.c.AsyncWrite(AppendResponse(nil, r), done); err != nil {
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
