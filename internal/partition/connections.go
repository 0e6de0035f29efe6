package partition

import (
	"container/list"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// workerConnections are the connections to workers' own addresses. Each machine has one at
// most, and all of them together stay below a bound: a controller that is left
// alone with a fleet has the workers' reports to hold as well. The one used
// longest ago makes room for another.
type workerConnections struct {
	limit           int
	byMachine       map[string]*workerConnection
	idle            *list.List // of machines, the one used longest ago first
	deliveryWaiting bool       // a delivery had to wait

	traffic *telemetry.Traffic
}

type workerConnection struct {
	client *httpx.Client
	idle   *list.Element // nil while a delivery has it
}

func newWorkerConnections(most int, traffic *telemetry.Traffic) *workerConnections {
	return &workerConnections{limit: most, traffic: traffic, byMachine: map[string]*workerConnection{}, idle: list.New()}
}

// available tells whether a delivery may start for a machine now.
func (l *workerConnections) available(id string) bool {
	ok := len(l.byMachine) < l.limit || l.idle.Len() > 0 || l.byMachine[id] != nil
	l.deliveryWaiting = l.deliveryWaiting || !ok
	return ok
}

// acquire gives a machine's line to a delivery.
func (l *workerConnections) acquire(id, addr string) *httpx.Client {
	w := l.byMachine[id]
	if w != nil && w.client.Addr() != addr {
		l.close(id)
		w = nil
	}
	if w == nil {
		if len(l.byMachine) >= l.limit && l.idle.Len() > 0 {
			l.close(l.idle.Front().Value.(string))
		}
		w = &workerConnection{client: httpx.NewClient(addr, 1, 256<<10)}
		w.client.Count(l.traffic)
		l.byMachine[id] = w
	}
	if w.idle != nil {
		l.idle.Remove(w.idle)
		w.idle = nil
	}
	return w.client
}

// release takes a line back from its delivery, and tells whether others wait for one.
func (l *workerConnections) release(id string, c *httpx.Client) (wanted bool) {
	if w := l.byMachine[id]; w != nil && w.client == c {
		w.idle = l.idle.PushBack(id)
	} else {
		c.Close() // dropped in the meantime
	}
	wanted, l.deliveryWaiting = l.deliveryWaiting, false
	return wanted
}

// retain closes the lines of machines that are no longer here.
func (l *workerConnections) retain(here func(id string) bool) {
	for id := range l.byMachine {
		if !here(id) {
			l.close(id)
		}
	}
}

func (l *workerConnections) close(id string) {
	w := l.byMachine[id]
	if w.idle != nil {
		l.idle.Remove(w.idle)
	}
	w.client.Close()
	delete(l.byMachine, id)
}
