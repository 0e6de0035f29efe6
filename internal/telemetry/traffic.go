// Package telemetry counts what a controller process does: traffic by kind (Traffic), rounds of its loops (Duty),
// the Go runtime's processor time and memory (Runtime), and events by name (Counter). Reporter holds the counters: it logs
// the first three at intervals and writes the last for GET /metrics. Distribution summarizes durations. Updating a
// counter takes a few atomic operations and does not allocate. No decision of a controller depends on this package.
package telemetry

import (
	"net"
	"sync/atomic"
)

// Kind is a kind of traffic, named after the other end of the connection.
type Kind int

// Kinds of traffic.
const (
	Users Kind = iota
	Workers
	WorkerOrders
	Peers
	KVStore
	Cloud
	kindCount
)

var kindNames = [kindCount]string{"users", "workers", "worker_orders", "peers", "state_service", "cloud"}

// String returns the kind's name in the log.
func (k Kind) String() string { return kindNames[k] }

// Traffic counts the messages and bytes of one kind. It is safe for concurrent use; a nil Traffic counts nothing.
type Traffic struct {
	messages atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// CountMessage counts a request with its response as one message, and adds the bytes received and sent.
func (t *Traffic) CountMessage(received, sent int) {
	if t == nil {
		return
	}
	t.messages.Add(1)
	t.received.Add(int64(received))
	t.sent.Add(int64(sent))
}

// CountConn returns a connection that forwards to c, counts the bytes received and sent, and counts each write as one
// message. For a nil Traffic it returns c itself.
func (t *Traffic) CountConn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{Conn: c, traffic: t}
}

// countedConn is a connection that adds its messages and bytes to traffic.
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

// trafficTotals holds the counters of one kind at one moment, summed since the start of the process.
type trafficTotals struct{ messages, received, sent int64 }

func (t *Traffic) readTotals() trafficTotals {
	return trafficTotals{t.messages.Load(), t.received.Load(), t.sent.Load()}
}

func (a trafficTotals) minus(b trafficTotals) trafficTotals {
	return trafficTotals{a.messages - b.messages, a.received - b.received, a.sent - b.sent}
}
