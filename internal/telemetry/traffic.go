// Package telemetry counts what a controller process does and logs it at intervals: traffic by kind
// (Traffic), rounds of its loops (Duty), and the Go runtime's processor time and memory (Runtime). Reporter
// holds the counters and logs them; Distribution summarizes durations. Counting is a few atomic additions
// and does not allocate; nothing here decides anything.
package telemetry

import (
	"net"
	"sync/atomic"
)

// Kind is a kind of traffic, by the other end of the connection.
type Kind int

// Kinds of traffic.
const (
	Users Kind = iota
	Workers
	WorkerOrders
	Peers
	StateService
	Cloud
	kindCount
)

var kindNames = [kindCount]string{"users", "workers", "worker_orders", "peers", "state_service", "cloud"}

// String names a kind as the log does.
func (k Kind) String() string { return kindNames[k] }

// Traffic counts the messages and bytes of one kind. A message is a request with its response. It is safe
// for concurrent use; a nil Traffic counts nothing.
type Traffic struct {
	messages atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// Message counts one exchange and the bytes of both directions.
func (t *Traffic) Message(received, sent int) {
	if t == nil {
		return
	}
	t.messages.Add(1)
	t.received.Add(int64(received))
	t.sent.Add(int64(sent))
}

// Conn counts the bytes that pass through a connection, one message for each write.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{Conn: c, traffic: t}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.messages.Add(1)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// trafficTotals is a reading of one kind's counters.
type trafficTotals struct{ messages, received, sent int64 }

func (t *Traffic) readTotals() trafficTotals {
	return trafficTotals{t.messages.Load(), t.received.Load(), t.sent.Load()}
}

func (a trafficTotals) minus(b trafficTotals) trafficTotals {
	return trafficTotals{a.messages - b.messages, a.received - b.received, a.sent - b.sent}
}
