package partition

import (
	"container/list"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// maxWorkerResponse bounds a worker's answer in bytes.
const maxWorkerResponse = 256 << 10

// workerConnections are the connections to workers' own addresses. Each machine has one at
// most, and all of them together stay below a limit: a controller that is left alone with a fleet has the connections
// of the workers' heartbeats to hold as well. At the limit the idle one that was used longest ago is closed.
//
// Guarded by the Server's lock.
type workerConnections struct {
	limit           int
	byMachine       map[string]*workerConnection
	idle            *list.List // of machine ids, the one used longest ago first
	deliveryWaiting bool       // a delivery found none available

	traffic *telemetry.Traffic
}

type workerConnection struct {
	client *httpx.Client
	idle   *list.Element // nil while a delivery has it
}

func newWorkerConnections(limit int, traffic *telemetry.Traffic) *workerConnections {
	return &workerConnections{limit: limit, traffic: traffic, byMachine: map[string]*workerConnection{}, idle: list.New()}
}

// available reports whether a delivery to a machine may start now. One that may not is remembered: release reports it.
func (c *workerConnections) available(id string) bool {
	ok := len(c.byMachine) < c.limit || c.idle.Len() > 0 || c.byMachine[id] != nil
	c.deliveryWaiting = c.deliveryWaiting || !ok
	return ok
}

// acquire lends a machine's connection to a delivery.
func (c *workerConnections) acquire(id, addr string) *httpx.Client {
	w := c.byMachine[id]
	if w != nil && w.client.Addr() != addr {
		c.close(id)
		w = nil
	}
	if w == nil {
		if len(c.byMachine) >= c.limit && c.idle.Len() > 0 {
			c.close(c.idle.Front().Value.(string))
		}
		w = &workerConnection{client: httpx.NewClient(addr, 1, maxWorkerResponse)}
		w.client.Count(c.traffic)
		c.byMachine[id] = w
	}
	if w.idle != nil {
		c.idle.Remove(w.idle)
		w.idle = nil
	}
	return w.client
}

// release takes a connection back from its delivery, and reports whether others wait for one.
func (c *workerConnections) release(id string, client *httpx.Client) (deliveryWaiting bool) {
	if w := c.byMachine[id]; w != nil && w.client == client {
		w.idle = c.idle.PushBack(id)
	} else {
		client.Close() // closed in the meantime
	}
	deliveryWaiting, c.deliveryWaiting = c.deliveryWaiting, false
	return deliveryWaiting
}

// retain closes the connections to machines that are not known any more.
func (c *workerConnections) retain(known func(id string) bool) {
	for id := range c.byMachine {
		if !known(id) {
			c.close(id)
		}
	}
}

func (c *workerConnections) close(id string) {
	w := c.byMachine[id]
	if w.idle != nil {
		c.idle.Remove(w.idle)
	}
	w.client.Close()
	delete(c.byMachine, id)
}
