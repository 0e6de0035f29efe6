package partition

import (
	"container/list"
	"context"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// maxWorkerResponse is the largest response of a worker that is accepted, in bytes.
const maxWorkerResponse = 256 << 10

// WorkerClient sends requests to one worker's own address.
type WorkerClient interface {
	Addr() string
	// Do sends a request and waits for the response until ctx ends. After an error the worker may have executed the request, or
	// may still execute it later.
	Do(ctx context.Context, method, target string, body []byte) (*httpx.Response, error)
	Close()
}

// dialHTTP returns a function that makes clients with one HTTP connection each, whose traffic is counted.
func dialHTTP(traffic *telemetry.Traffic) func(addr string) WorkerClient {
	return func(addr string) WorkerClient {
		client := httpx.NewClient(addr, 1, maxWorkerResponse)
		client.CountTraffic(traffic)
		return client
	}
}

// workerConnections holds the connections to the workers' own addresses. Each machine has at most one, and their
// total is limited, because a controller that leads a whole fleet alone also holds the connections of all workers'
// heartbeats. At the limit the least recently used idle connection is closed to make way for a new one.
//
// A connection is idle, in use by the one delivery that has acquired it, or closed. A delivery may outlast what its machine's state
// says of it: the state begins anew when the partition is lost and acquired again, or the machine is removed and added. So whether a
// connection is in use is decided here, and a delivery gives back the very connection that it has acquired.
//
// The Server's lock guards it.
type workerConnections struct {
	limit           int
	byMachine       map[string]*workerConnection // those that are not closed
	idle            *list.List                   // of *workerConnection, the least recently used first
	closedInUse     int                          // number of closed connections whose deliveries have not ended
	deliveryWaiting bool                         // a delivery found no connection available

	dial func(addr string) WorkerClient
}

// workerConnection is a connection to the own address of one machine's worker.
type workerConnection struct {
	machine string
	client  WorkerClient
	idle    *list.Element // its place among the idle connections; nil if it is in use or closed
	inUse   bool          // a delivery has acquired it and not released it yet
}

func newWorkerConnections(limit int, dial func(addr string) WorkerClient) *workerConnections {
	return &workerConnections{limit: limit, dial: dial, byMachine: map[string]*workerConnection{}, idle: list.New()}
}

// availability says whether a delivery to a machine may start.
type availability int

const (
	connectionAvailable  availability = iota
	connectionInUse                   // an earlier delivery to the machine has not ended; other machines may have a connection
	connectionsExhausted              // all connections are in use
)

// check reports whether a delivery to a machine may start now. If not, the next release reports that a delivery waits.
func (c *workerConnections) check(id string) availability {
	result := connectionAvailable
	switch conn := c.byMachine[id]; {
	case conn != nil && conn.inUse:
		result = connectionInUse
	case conn == nil && c.open() >= c.limit && c.idle.Len() == 0:
		result = connectionsExhausted
	}
	c.deliveryWaiting = c.deliveryWaiting || result != connectionAvailable
	return result
}

// open returns the number of connections that are open or may still be.
func (c *workerConnections) open() int { return len(c.byMachine) + c.closedInUse }

// acquire hands a machine's connection to a delivery, creating it if there is none to that address. check must have found it
// available.
func (c *workerConnections) acquire(id, addr string) *workerConnection {
	conn := c.byMachine[id]
	if conn != nil && conn.client.Addr() != addr {
		c.close(conn)
		conn = nil
	}
	if conn == nil {
		if leastRecent := c.idle.Front(); c.open() >= c.limit && leastRecent != nil {
			c.close(leastRecent.Value.(*workerConnection))
		}
		conn = &workerConnection{machine: id, client: c.dial(addr)}
		c.byMachine[id] = conn
	}
	c.removeFromIdle(conn)
	conn.inUse = true
	return conn
}

// release takes a connection back after its delivery, and reports whether another delivery waits for one. A connection that is
// not in use stays as it is.
func (c *workerConnections) release(conn *workerConnection) (deliveryWaiting bool) {
	if !conn.inUse {
		return false
	}
	conn.inUse = false
	if c.byMachine[conn.machine] == conn {
		conn.idle = c.idle.PushBack(conn)
	} else {
		c.closedInUse--
		conn.client.Close() // the delivery may have opened it again after it was closed
	}
	deliveryWaiting, c.deliveryWaiting = c.deliveryWaiting, false
	return deliveryWaiting
}

// retain closes the connections to machines that are no longer known.
func (c *workerConnections) retain(known func(id string) bool) {
	for id, conn := range c.byMachine {
		if !known(id) {
			c.close(conn)
		}
	}
}

// close closes a connection that is in byMachine.
func (c *workerConnections) close(conn *workerConnection) {
	c.removeFromIdle(conn)
	delete(c.byMachine, conn.machine)
	if conn.inUse {
		c.closedInUse++
	}
	conn.client.Close()
}

func (c *workerConnections) removeFromIdle(conn *workerConnection) {
	if conn.idle != nil {
		c.idle.Remove(conn.idle)
		conn.idle = nil
	}
}
