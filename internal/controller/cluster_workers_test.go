package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/wire"
)

// workerDelivery is a delivery of commands on its way to a worker's own address.
type workerDelivery struct {
	machine string
	body    []byte
	answer  chan<- *httpx.Response // has room for the answer; nil for a copy, for whose answer nobody waits
}

// workerClient is a controller's connection to the own address of a worker, which is its machine's name.
type workerClient struct {
	cluster *cluster
	host    string
	machine string
}

// dialWorker returns a function that connects a controller to workers.
func (c *cluster) dialWorker(host string) func(addr string) partition.WorkerClient {
	return func(addr string) partition.WorkerClient { return workerClient{c, host, addr} }
}

// Addr returns the worker's address.
func (w workerClient) Addr() string { return w.machine }

// Close does nothing.
func (workerClient) Close() {}

// Do sends a delivery, which carryOutDeliveries carries out, even if the caller has given up meanwhile.
func (w workerClient) Do(ctx context.Context, _, _ string, body []byte) (*httpx.Response, error) {
	w.cluster.awaitResume(w.host)
	answer := make(chan *httpx.Response, 1)
	w.cluster.sendToWorker(workerDelivery{w.machine, body, answer})
	select {
	case response := <-answer:
		w.cluster.awaitResume(w.host)
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendToWorker puts a delivery on its way.
func (c *cluster) sendToWorker(d workerDelivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveries = append(c.deliveries, d)
}

// takeDeliveries removes and returns the deliveries that are on their way.
func (c *cluster) takeDeliveries() []workerDelivery {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.deliveries
	c.deliveries = nil
	return taken
}

// carryOutDeliveries has the workers execute the deliveries that have arrived, and checks after each that no task runs twice.
// Deliveries to hung workers wait.
func (c *cluster) carryOutDeliveries() {
	deliveries := c.takeDeliveries()
	if len(deliveries) == 0 {
		return
	}
	placed := c.requireNoTaskRunsTwice()
	for _, d := range deliveries {
		if c.hungWorkers[d.machine] {
			c.sendToWorker(d)
			continue
		}
		w := c.workerOn(d.machine)
		placed.remove(w)
		c.carryOut(w, d)
		placed.add(c.t, w)
	}
}

// carryOut has a worker execute a delivery and answers it.
func (c *cluster) carryOut(w *fakes.Worker, d workerDelivery) {
	var orders wire.Orders
	require.NoError(c.t, json.Unmarshal(d.body, &orders))
	status, executed := w.HandleCommands(orders, c.clock.Now())
	status.Addr = w.ID
	if d.answer == nil || c.workersWithoutAnswers[w.ID] {
		return
	}
	body, err := json.Marshal(status)
	require.NoError(c.t, err)
	response := &httpx.Response{Status: http.StatusOK, Body: body}
	if !executed {
		response.Status = http.StatusConflict
	}
	d.answer <- response
	c.keepCopy(fakes.DirectCommand, func() { c.sendToWorker(workerDelivery{d.machine, d.body, nil}) })
}

// workerOn returns the worker of a machine.
func (c *cluster) workerOn(machine string) *fakes.Worker {
	i, found := slices.BinarySearchFunc(c.workers, machine, func(w *fakes.Worker, id string) int { return strings.Compare(w.ID, id) })
	require.True(c.t, found, "no such machine: %s", machine)
	return c.workers[i]
}

// requireNoAttemptStartedTwice requires that no worker has started an attempt more than once.
func (c *cluster) requireNoAttemptStartedTwice() {
	c.t.Helper()
	for _, w := range c.workers {
		for attempt, starts := range w.AttemptStarts {
			require.LessOrEqual(c.t, starts, 1, "%s has started %s again", w.ID, attempt)
		}
	}
}
