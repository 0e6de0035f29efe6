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
	// minReadBuffer is the minimum size in bytes by which a client connection's read buffer grows.
	minReadBuffer = 4 << 10
	// maxKeptBuffer is the maximum size in bytes of the read buffer that an idle client connection keeps.
	maxKeptBuffer = 64 << 10
)

// Client sends requests to one address and keeps idle connections open for later requests. It is safe for concurrent
// use, except for CountTraffic.
type Client struct {
	addr        string
	maxIdle     int // maximum number of idle connections
	maxResponse int // maximum size of a response's body in bytes
	// traffic counts the answered requests, with the bytes of the requests and of the responses' bodies. It may be nil.
	traffic *telemetry.Traffic

	mu   sync.Mutex // guards idle
	idle []*clientConnection
}

// NewClient returns a client for addr that keeps at most keep idle connections. A response whose body is larger than
// limit bytes is an error.
func NewClient(addr string, keep, limit int) *Client {
	return &Client{addr: addr, maxIdle: keep, maxResponse: limit}
}

// CountTraffic makes the client count its traffic in t. It must be called before the first request.
func (c *Client) CountTraffic(t *telemetry.Traffic) { c.traffic = t }

// Addr returns the address that the client calls.
func (c *Client) Addr() string { return c.addr }

// Do sends one request and waits for the response until ctx ends. After an error the server may have executed the
// request, or may still execute it later.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Response, error) {
	conn, err := c.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", c.addr, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.raw.SetDeadline(time.Unix(1, 0)) }) //nolint:errcheck // the read returns the error
	request := AppendRequest(nil, method, c.addr, target, body)
	response, err := conn.roundTrip(request, c.maxResponse)
	if response != nil {
		c.traffic.CountMessage(len(response.Body), len(request))
	}
	// A connection that failed, or whose deadline was set because ctx ended, can't be used again.
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

// acquire returns an idle connection, or dials a new one if there is none.
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

// takeIdle removes the most recently used idle connection and returns it, or returns nil if there is none.
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

// release keeps a connection for later requests, or closes it if there are already maxIdle idle connections.
func (c *Client) release(conn *clientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		conn.raw.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// clientConnection is an open connection with its read buffer. It carries one request at a time.
type clientConnection struct {
	raw    net.Conn
	buffer []byte
}

// roundTrip sends a request and reads its response, whose body may have at most maxBody bytes.
func (c *clientConnection) roundTrip(request []byte, maxBody int) (*Response, error) {
	if _, err := c.raw.Write(request); err != nil {
		return nil, err
	}
	c.buffer = c.buffer[:0]
	responseBytes := 0 // size of the whole response; 0 while it is unknown
	for {
		readErr := c.read(responseBytes, maxBody)
		if len(c.buffer) < responseBytes && readErr == nil {
			continue // a long response arrives in many pieces and is parsed only once, when it is complete
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

// read reads from the connection into the buffer once. A full buffer grows first, to at least twice its size. If the
// size of the response is known, the buffer gets room for all of it, up to limit bytes.
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
