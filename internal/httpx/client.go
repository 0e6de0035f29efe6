package httpx

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

const (
	// minReadBuffer is how many bytes a client's connection can read at a time, at least.
	minReadBuffer = 4 << 10
	// maxKeptBuffer is the largest buffer that an idle connection keeps.
	maxKeptBuffer = 64 << 10
)

// Client calls one address and keeps a few connections open. It is safe for concurrent use once Count was
// called, if at all.
type Client struct {
	addr        string
	maxIdle     int // connections kept open
	maxResponse int // bytes of a body
	// traffic counts the requests, their responses and their bytes; it may be nil.
	traffic *telemetry.Traffic

	mu   sync.Mutex // guards idle
	idle []*clientConnection
}

// NewClient makes a client for addr that keeps so many idle connections; responses with a body over limit
// bytes are an error.
func NewClient(addr string, keep, limit int) *Client {
	return &Client{addr: addr, maxIdle: keep, maxResponse: limit}
}

// Count has the client count its traffic. It is called before the first request.
func (c *Client) Count(t *telemetry.Traffic) { c.traffic = t }

// Addr is the address that the client calls.
func (c *Client) Addr() string { return c.addr }

// Do sends one request and waits for its response until ctx ends. After an
// error the request may have been executed, or may yet be executed later.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Response, error) {
	conn, err := c.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", c.addr, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.raw.SetDeadline(time.Unix(1, 0)) }) //nolint:errcheck // the read returns the error
	request := AppendRequest(nil, method, c.addr, target, body)
	response, err := conn.roundTrip(request, c.maxResponse)
	if response != nil {
		c.traffic.Message(len(response.Body), len(request))
	}
	// A connection whose deadline was set, or that failed, can't be used again.
	if !stop() || err != nil {
		conn.raw.Close()
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	if response.Close {
		conn.raw.Close()
	} else {
		c.release(conn)
	}
	return response, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.raw.Close()
	}
	c.idle = nil
}

// acquire returns an idle connection, or a new one.
func (c *Client) acquire(ctx context.Context) (*clientConnection, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp4", c.addr)
	if err != nil {
		return nil, err
	}
	return &clientConnection{raw: raw}, nil
}

// takeIdle takes the connection used last off the idle ones, nil when there is none.
func (c *Client) takeIdle() *clientConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	conn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return conn
}

// release keeps a connection for later requests, or closes it when there are enough.
func (c *Client) release(conn *clientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		conn.raw.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// clientConnection is an open connection with its read buffer; one request at a time uses it.
type clientConnection struct {
	raw    net.Conn
	buffer []byte
}

// roundTrip writes a request and reads its response.
func (c *clientConnection) roundTrip(request []byte, maxBody int) (*Response, error) {
	if _, err := c.raw.Write(request); err != nil {
		return nil, err
	}
	c.buffer = c.buffer[:0]
	responseBytes := 0 // of the whole response; 0 while its head doesn't say
	for {
		readErr := c.read(responseBytes, maxBody)
		if len(c.buffer) < responseBytes && readErr == nil {
			continue // a long list comes in many pieces: it is parsed once
		}
		if responseBytes == 0 {
			responseBytes = responseSize(c.buffer)
			if len(c.buffer) < responseBytes && responseBytes <= maxBody && readErr == nil {
				continue
			}
		}
		response, _, err := ParseResponse(c.buffer, maxBody)
		if err != nil {
			return nil, err
		}
		if response != nil {
			if cap(c.buffer) > maxKeptBuffer {
				c.buffer = nil
			}
			return response, nil
		}
		if readErr != nil {
			return nil, readErr
		}
	}
}

// read appends what has arrived to the buffer, which grows at least to the expected size, within the limit.
func (c *clientConnection) read(expected, limit int) error {
	length := len(c.buffer)
	if length == cap(c.buffer) {
		growth := max(minReadBuffer, length, min(expected, limit)-length)
		c.buffer = append(c.buffer, make([]byte, growth)...)[:length]
	}
	n, err := c.raw.Read(c.buffer[length:cap(c.buffer)])
	c.buffer = c.buffer[:length+n]
	return err
}
