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

// ErrUnavailable means that a peer can't be reached, or has not answered in time.
var ErrUnavailable = errors.New("peer can't be reached")

const (
	// dialTimeout bounds how long a call waits for its connection: controllers are in one network, and a
	// call to one that is down must not use up the time of its caller.
	dialTimeout = 500 * time.Millisecond
	// redialInterval is the time after a failed dial in which calls fail immediately: many callers share a
	// client, and each would wait for a dial of its own.
	redialInterval = 200 * time.Millisecond
)

// Client calls one peer over one connection, dialled anew after it broke. It may be used concurrently; the
// connection is closed when a call over it fails.
type Client struct {
	addr    string
	traffic *telemetry.Traffic

	mu              sync.Mutex // guards what follows; held while dialling, so that there is one dial at a time
	conn            *rpc.Client
	lastDialFailure time.Time // zero unless the last dial failed
}

// NewClient makes a client for a peer's address that counts its traffic.
func NewClient(addr string, traffic *telemetry.Traffic) *Client {
	return &Client{addr: addr, traffic: traffic}
}

// connection returns the present connection, or dials one. Its errors wrap ErrUnavailable.
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
	c.conn = rpc.NewClient(c.traffic.Conn(conn))
	return c.conn, nil
}

// Call calls a method of Service and waits at most timeout for the response, which it decodes into out.
// An error of the peer's own is an rpc.ServerError. After any other error the call may have been carried
// out, or may yet be: its connection is closed, but what was sent can still arrive.
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

// isServerError reports that a call was answered, with an error of the peer's own.
func isServerError(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered)
}

// drop closes a connection that is of no more use; the next call dials.
func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}
