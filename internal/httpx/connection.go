package httpx

import (
	"container/list"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// connection is the inbox between the event loop and the connection's goroutine.
type connection struct {
	raw  gnet.Conn
	wake chan struct{} // holds at most one notification

	mu             sync.Mutex // guards the fields below
	buffer         []byte     // bytes of requests that are not being answered
	closed         bool
	answering      bool // a request is being answered
	answeringBytes int  // bytes of that request

	// Only the event loop uses these.
	hasGoroutine bool
	lastUsed     time.Time     // when its last request began
	element      *list.Element // its place in connectionsByUse, nil once it is closed
}

// notify wakes the connection's goroutine; notifications that it has not taken yet are one.
func (c *connection) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeRequest takes a request off the buffer, nil while there is no complete one. The request before it is no
// longer being answered.
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
