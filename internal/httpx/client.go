package httpx

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// Client calls one address and keeps a few connections open.
type Client struct {
	addr  string
	keep  int
	limit int
	// traffic counts the requests, their answers and their bytes; it may be nil.
	traffic *telemetry.Traffic

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	c   net.Conn
	buf []byte
}

// NewClient makes a client for addr; answers over limit bytes are refused.
func NewClient(addr string, keep, limit int) *Client {
	return &Client{addr: addr, keep: keep, limit: limit}
}

// Count has the client count its traffic.
func (c *Client) Count(t *telemetry.Traffic) { c.traffic = t }

// Addr is the address that the client calls.
func (c *Client) Addr() string { return c.addr }

// Do sends one request and waits for its response until ctx ends. After an
// error the request may have been executed, or may yet be executed later.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Response, error) {
	k, err := c.get(ctx)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", c.addr, err)
	}
	stop := context.AfterFunc(ctx, func() { k.c.SetDeadline(time.Unix(1, 0)) }) //nolint:errcheck // the read tells
	request := AppendRequest(nil, method, c.addr, target, body)
	r, err := k.roundTrip(request, c.limit)
	if r != nil {
		c.traffic.Message(len(r.Body), len(request))
	}
	if !stop() || err != nil {
		k.c.Close()
		if err == nil {
			return r, nil
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	if r.Close {
		k.c.Close()
	} else {
		c.put(k)
	}
	return r, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.c.Close()
	}
	c.idle = nil
}

func (c *Client) get(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", c.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{c: conn}, nil
}

func (c *Client) put(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.keep {
		k.c.Close()
		return
	}
	c.idle = append(c.idle, k)
}

func (k *clientConn) roundTrip(req []byte, limit int) (*Response, error) {
	if _, err := k.c.Write(req); err != nil {
		return nil, err
	}
	k.buf = k.buf[:0]
	whole := 0 // bytes of the response, once its head tells
	for {
		if len(k.buf) == cap(k.buf) {
			k.buf = append(k.buf, make([]byte, max(4096, len(k.buf), min(whole, limit)-len(k.buf)))...)[:len(k.buf)]
		}
		n, err := k.c.Read(k.buf[len(k.buf):cap(k.buf)])
		k.buf = k.buf[:len(k.buf)+n]
		if len(k.buf) < whole && err == nil {
			continue // a long list comes in many pieces: it is looked at once
		}
		if whole == 0 {
			if whole = responseSize(k.buf); len(k.buf) < whole && whole <= limit && err == nil {
				continue
			}
		}
		r, _, perr := ParseResponse(k.buf, limit)
		if perr != nil {
			return nil, perr
		}
		if r != nil {
			if cap(k.buf) > 64<<10 {
				k.buf = nil
			}
			return r, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
