package httpx

import (
	"container/list"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// connection is an inbound connection. Its buffer passes received bytes from the event loop to the connection's
// goroutine.
type connection struct {
	raw  gnet.Conn
	wake chan struct{} // wakes the goroutine; holds at most one notification

	mu             sync.Mutex // guards the fields below
	buffer         []byte     // received bytes after the request that is being answered
	closed         bool
	answering      bool // a request is being answered
	answeringBytes int  // size of that request, which counts against the server's budget

	// Only the event loop uses the fields below.
	hasGoroutine bool
	lastUsed     time.Time     // when the first bytes of the last request arrived
	element      *list.Element // element in Server.connectionsByUse; nil once the connection is closed
}

// notify wakes the connection's goroutine. Several notifications that the goroutine has not received yet count as one.
func (c *connection) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeRequest removes the next request from the buffer and returns it, or returns nil while no complete request has
// arrived; closed means that the connection is closed. The goroutine calls it only after it has answered the previous
// request.
func (c *connection) takeRequest() (r *Request, closed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, true, nil
	}
	c.answering = false
	if len(c.buffer) == 0 {
		return nil, false, nil
	}
	r, used, err := ParseRequest(c.buffer, maxBody)
	if r == nil {
		return nil, false, err
	}
	c.answering = true
	c.answeringBytes = used
	c.buffer = append(c.buffer[:0], c.buffer[used:]...)
	if len(c.buffer) == 0 && cap(c.buffer) > maxKeptServerBuffer {
		c.buffer = nil
	}
	return r, false, nil
}
