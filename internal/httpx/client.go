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
	addr        string
	maxIdle     int
	maxResponse int
	// traffic counts the requests, their answers and their bytes; it may be nil.
	traffic *telemetry.Traffic

	mu   sync.Mutex
	idle []*clientConnection
}

type clientConnection struct {
	raw    net.Conn
	buffer []byte
}

// NewClient makes a client for addr; answers over limit bytes are refused.
func NewClient(addr string, keep, limit int) *Client {
	return &Client{addr: addr, maxIdle: keep, maxResponse: limit}
}

// Count has the client count its traffic.
func (c *Client) Count(t *telemetry.Traffic) { c.traffic = t }

// Addr is the address that the client calls.
func (c *Client) Addr() string { return c.addr }

// Do sends one request and waits for its response until ctx ends. After an
// error the request may have been executed, or may yet be executed later.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Response, error) {
	k, err := c.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", c.addr, err)
	}
	stop := context.AfterFunc(ctx, func() { k.raw.SetDeadline(time.Unix(1, 0)) }) //nolint:errcheck // the read tells
	request := AppendRequest(nil, method, c.addr, target, body)
	r, err := k.roundTrip(request, c.maxResponse)
	if r != nil {
		c.traffic.Message(len(r.Body), len(request))
	}
	if !stop() || err != nil {
		k.raw.Close()
		if err == nil {
			return r, nil
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	if r.Close {
		k.raw.Close()
	} else {
		c.release(k)
	}
	return r, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.raw.Close()
	}
	c.idle = nil
}

func (c *Client) acquire(ctx context.Context) (*clientConnection, error) {
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
	return &clientConnection{raw: conn}, nil
}

func (c *Client) release(k *clientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		k.raw.Close()
		return
	}
	c.idle = append(c.idle, k)
}

func (k *clientConnection) roundTrip(req []byte, limit int) (*Response, error) {
	if _, err := k.raw.Write(req); err != nil {
		return nil, err
	}
	k.buffer = k.buffer[:0]
	whole := 0 // bytes of the response, once its head tells
	for {
		if len(k.buffer) == cap(k.buffer) {
			k.buffer = append(k.buffer, make([]byte, max(4096, len(k.buffer), min(whole, limit)-len(k.buffer)))...)[:len(k.buffer)]
		}
		n, err := k.raw.Read(k.buffer[len(k.buffer):cap(k.buffer)])
		k.buffer = k.buffer[:len(k.buffer)+n]
		if len(k.buffer) < whole && err == nil {
			continue // a long list comes in many pieces: it is looked at once
		}
		if whole == 0 {
			if whole = responseSize(k.buffer); len(k.buffer) < whole && whole <= limit && err == nil {
				continue
			}
		}
		r, _, perr := ParseResponse(k.buffer, limit)
		if perr != nil {
			return nil, perr
		}
		if r != nil {
			if cap(k.buffer) > 64<<10 {
				k.buffer = nil
			}
			return r, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
