package peer

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// ErrUnavailable means that a peer can't be reached or has not answered in time.
var ErrUnavailable = errors.New("peer can't be reached")

const (
	// dialTimeout bounds how long a call waits for its connection. All controllers are in one network, so a
	// dial that takes longer means that the peer is down, and the call must not use up its caller's time.
	dialTimeout = 500 * time.Millisecond
	// redialInterval is how long after a failed dial calls fail without dialling again. Many callers share a
	// client, and each of them would otherwise wait for a dial of its own.
	redialInterval = 200 * time.Millisecond
)

// Client calls one peer over one connection, which all callers share. When a call fails without an answer
// from the peer, the client closes the connection, and the next call dials a new one. A Client may be used
// concurrently.
type Client struct {
	addr    string
	traffic *telemetry.Traffic

	mu              sync.Mutex // guards the fields below; held while dialling, so that only one dial runs at a time
	conn            *rpc.Client
	lastDialFailure time.Time // zero unless the last dial failed
}

// NewClient returns a client that calls the peer at addr and counts the bytes in traffic.
func NewClient(addr string, traffic *telemetry.Traffic) *Client {
	return &Client{addr: addr, traffic: traffic}
}

// connection returns the open connection, or dials a new one. Its errors wrap ErrUnavailable.
func (c *Client) connection() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	if !c.lastDialFailure.IsZero() && time.Since(c.lastDialFailure) < redialInterval {
		return nil, ErrUnavailable
	}
	conn, err := net.DialTimeout("tcp4", c.addr, dialTimeout)
	if err != nil {
		c.lastDialFailure = time.Now()
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.lastDialFailure = time.Time{}
	c.conn = rpc.NewClient(c.traffic.CountConn(conn))
	return c.conn, nil
}

// Call calls a method of Service and waits at most timeout for the response, which it decodes into out.
// When the peer answers with an error, Call returns an error that wraps rpc.ServerError. After any other
// error the peer may have carried out the call, or may yet do so: the connection is closed, but a request
// that was sent can still arrive.
func (c *Client) Call(method string, in, out any, timeout time.Duration) error {
	conn, err := c.connection()
	if err != nil {
		return fmt.Errorf("calling %s: %w", method, err)
	}
	call := conn.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		if !isServerError(call.Error) {
			c.drop(conn)
		}
		return fmt.Errorf("calling %s: %w", method, call.Error)
	case <-timer.C:
		c.drop(conn)
		return fmt.Errorf("calling %s: %w: no answer", method, ErrUnavailable)
	}
}

// isServerError reports whether the peer answered a call with an error, so that the connection still works.
func isServerError(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered)
}

// drop closes a connection on which a call failed. The next call dials a new one.
func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}
