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
// The Server's lock guards it.
type workerConnections struct {
	limit           int
	byMachine       map[string]*workerConnection
	idle            *list.List // of machine ids, the least recently used first
	deliveryWaiting bool       // a delivery found no connection available

	dial func(addr string) WorkerClient
}

type workerConnection struct {
	client WorkerClient
	idle   *list.Element // nil while a delivery uses the connection
}

func newWorkerConnections(limit int, dial func(addr string) WorkerClient) *workerConnections {
	return &workerConnections{limit: limit, dial: dial, byMachine: map[string]*workerConnection{}, idle: list.New()}
}

// available reports whether a delivery to a machine may start now. If not, the next release reports that a delivery
// waits.
func (c *workerConnections) available(id string) bool {
	ok := len(c.byMachine) < c.limit || c.idle.Len() > 0 || c.byMachine[id] != nil
	c.deliveryWaiting = c.deliveryWaiting || !ok
	return ok
}

// acquire hands a machine's connection to a delivery, creating it if there is none to that address. available must
// have returned true.
func (c *workerConnections) acquire(id, addr string) WorkerClient {
	conn := c.byMachine[id]
	if conn != nil && conn.client.Addr() != addr {
		c.close(id)
		conn = nil
	}
	if conn == nil {
		if len(c.byMachine) >= c.limit && c.idle.Len() > 0 {
			c.close(c.idle.Front().Value.(string))
		}
		conn = &workerConnection{client: c.dial(addr)}
		c.byMachine[id] = conn
	}
	if conn.idle != nil {
		c.idle.Remove(conn.idle)
		conn.idle = nil
	}
	return conn.client
}

// release takes a connection back after its delivery, and reports whether another delivery waits for one.
func (c *workerConnections) release(id string, client WorkerClient) (deliveryWaiting bool) {
	if conn := c.byMachine[id]; conn != nil && conn.client == client {
		conn.idle = c.idle.PushBack(id)
	} else {
		client.Close() // the machine's connection was closed or replaced in the meantime
	}
	deliveryWaiting, c.deliveryWaiting = c.deliveryWaiting, false
	return deliveryWaiting
}

// retain closes the connections to machines that are no longer known.
func (c *workerConnections) retain(known func(id string) bool) {
	for id := range c.byMachine {
		if !known(id) {
			c.close(id)
		}
	}
}

func (c *workerConnections) close(id string) {
	conn := c.byMachine[id]
	if conn.idle != nil {
		c.idle.Remove(conn.idle)
	}
	conn.client.Close()
	delete(c.byMachine, id)
}
