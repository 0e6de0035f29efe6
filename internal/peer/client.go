// Package peer holds what the controllers say to each other, and the net/rpc
// client and server that carry it.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

const serviceName = "Merlinlatch"

// ErrUnavailable means that a peer can't be reached.
var ErrUnavailable = errors.New("peer can't be reached")

// Serve answers peers on addr until ctx ends, and counts the traffic.
func Serve(ctx context.Context, addr string, svc any, traffic *telemetry.Traffic) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, svc); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	context.AfterFunc(ctx, func() { l.Close() })
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		go srv.ServeConn(traffic.Conn(c))
	}
}

// Client calls one peer over one connection, made anew when it breaks.
type Client struct {
	addr    string
	traffic *telemetry.Traffic

	mu              sync.Mutex
	conn            *rpc.Client
	lastDialFailure time.Time
}

// NewClient makes a client for a peer's address that counts its traffic.
func NewClient(addr string, traffic *telemetry.Traffic) *Client {
	return &Client{addr: addr, traffic: traffic}
}

func (c *Client) connection() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	if !c.lastDialFailure.IsZero() && time.Since(c.lastDialFailure) < 200*time.Millisecond {
		return nil, ErrUnavailable
	}
	nc, err := net.DialTimeout("tcp4", c.addr, 500*time.Millisecond)
	if err != nil {
		c.lastDialFailure = time.Now()
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.lastDialFailure = time.Time{}
	c.conn = rpc.NewClient(c.traffic.Conn(nc))
	return c.conn, nil
}

// Call calls a method. After an error other than one of the peer's own the
// call may have been executed, or may yet be.
func (c *Client) Call(method string, in, out any, timeout time.Duration) error {
	conn, err := c.connection()
	if err != nil {
		return err
	}
	call := conn.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-call.Done:
		var own rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &own) {
			c.drop(conn)
		}
		return call.Error
	case <-t.C:
		c.drop(conn)
		return fmt.Errorf("%w: %s: no answer", ErrUnavailable, method)
	}
}

func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}
