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

// Server takes inbound connections on gnet and serves each with a goroutine.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	max     int64
	budget  int64
	idle    time.Duration
	log     *slog.Logger

	ctx   context.Context
	open  atomic.Int64
	held  atomic.Int64 // bytes of requests that are not complete yet
	used  *list.List   // connections, the latest used last; the event loop's own
	eng   gnet.Engine
	ready chan struct{}
	wg    sync.WaitGroup
}

// NewServer makes a server that holds at most max connections and budget bytes
// of requests that are not complete, and closes connections that are idle: after
// a while, or when others come and there is no room for more.
func NewServer(handler Handler, max int, budget int64, idle time.Duration, log *slog.Logger) *Server {
	return &Server{handler: handler, max: int64(max), budget: budget, idle: idle, log: log, ready: make(chan struct{}), used: list.New()}
}

// conn is the inbox between the event loop and the connection's goroutine.
type conn struct {
	c    gnet.Conn
	mu   sync.Mutex
	buf  []byte
	wake chan struct{}
	gone bool
	busy bool          // a request of it is being answered
	at   *list.Element // its place among those that the event loop knows
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

// OnOpen starts the connection's goroutine. When there are too many, the one that
// was idle for longest makes room: a controller that is left alone with a fleet
// holds the connections of workers that have given up on it, too.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s.open.Add(1) > s.max && !s.closeIdle() {
		return AppendResponse(nil, Response{Status: 503, RetryAfter: 1, Close: true,
			Body: []byte(`{"error":"too many connections"}`)}), gnet.Close
	}
	k := &conn{c: c, wake: make(chan struct{}, 1)}
	k.at = s.used.PushBack(k)
	c.SetContext(k)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.serve(k)
	}()
	return nil, gnet.None
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
		s.used.Remove(e)
		k.at = nil
		if err := k.c.Close(); err != nil {
			s.log.Debug("closing an idle connection", "err", err)
		}
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
	if k.at != nil {
		s.used.MoveToBack(k.at)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buf = append(k.buf, b...)
	held := s.held.Add(int64(len(b)))
	// One request at a time: whoever sends much more, or reads no answers, is
	// cut off, and so is everyone who adds to what can't be held.
	if len(k.buf) > bodyLimit+maxHead+1024 || c.OutboundBuffered() > maxUnread || held > s.budget {
		return gnet.Close
	}
	k.poke()
	return gnet.None
}

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

// next waits for a whole request; nil when the connection is over.
func (s *Server) next(k *conn) (*Request, error) {
	timer := time.NewTimer(s.idle)
	defer timer.Stop()
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
			s.held.Add(-int64(used))
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
		case <-timer.C:
			return nil, nil
		case <-s.ctx.Done():
			return nil, nil
		}
	}
}

func (s *Server) serve(k *conn) {
	for {
		r, err := s.next(k)
		if err != nil {
			status, text := 400, `{"error":"malformed request"}`
			if errors.Is(err, ErrTooLarge) {
				status, text = 413, `{"error":"request too large"}`
			}
			s.write(k, Response{Status: status, Body: []byte(text), Close: true})
			return
		}
		if r == nil {
			if err := k.c.Close(); err != nil {
				s.log.Debug("closing a connection", "err", err)
			}
			return
		}
		resp := s.handler(s.ctx, r)
		resp.Close = resp.Close || r.Close
		s.write(k, resp)
		if resp.Close {
			return
		}
	}
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
