package partition

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/wire"
)

// deliveryTimeout is the time that a delivery may take. After it the delivery counts as unanswered, and its commands
// may still be executed.
const deliveryTimeout = 1200 * time.Millisecond

// These are the HTTP statuses of a worker's response to a delivery. Both come with the worker's status, in the form
// of a heartbeat.
const (
	statusOK       = 200
	statusRejected = 409 // the worker has seen a higher token, or is in another incarnation
)

var (
	errUnexpectedResponse = errors.New("worker sent an unexpected response to a command delivery")
	errNotLeader          = errors.New("this process no longer leads the partition under the term of the commands")
)

// startDeliveries starts a delivery to each machine that needs one, as far as connections are available.
func (s *Server) startDeliveries(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, id := range s.state.PendingDeliveries(now) {
		partition, _ := s.state.PartitionOf(id)
		if term, _ := s.state.PartitionTerm(partition); !s.leads(partition, term) {
			continue
		}
		switch s.connections.check(id) {
		case connectionInUse:
			continue // its release wakes Run's loop
		case connectionsExhausted:
			return // the next release wakes Run's loop
		}
		addr, orders := s.state.NextDelivery(id, now)
		if orders == nil {
			continue
		}
		connection := s.connections.acquire(id, addr)
		s.background.Go(func() { s.deliver(ctx, partition, connection, orders) })
	}
}

// deliver sends commands to one worker's own address and passes its response, or the lack of one, to the State.
func (s *Server) deliver(ctx context.Context, partition int, connection *workerConnection, orders *wire.Orders) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	status, err := s.postCommands(ctx, partition, connection.client, orders)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections.release(connection) {
		s.wake.Notify()
	}
	now, id := s.clock.Now(), connection.machine
	if err != nil {
		s.log.Debug("command delivery unanswered", "machine", id, "error", err)
		s.state.HandleDeliveryTimeout(id, orders, now)
		return
	}
	s.state.HandleDeliveryResponse(id, orders, status, now)
	s.notifyChange()
}

// postCommands sends commands and returns the worker's status from the response. It sends nothing, and returns
// errNotLeader, if this process no longer leads the partition under the term of the commands' token. After any other
// error the worker may have executed the commands, or may still do so.
func (s *Server) postCommands(ctx context.Context, partition int, client WorkerClient, orders *wire.Orders) (*wire.Heartbeat, error) {
	body, err := json.Marshal(orders)
	if err != nil {
		return nil, fmt.Errorf("encode commands for a worker: %w", err)
	}
	if !s.leads(partition, orders.FencingToken>>termShift) {
		return nil, errNotLeader
	}
	resp, err := client.Do(ctx, "POST", wire.PathOrders, body)
	if err != nil {
		return nil, err
	}
	if resp.Status != statusOK && resp.Status != statusRejected {
		return nil, fmt.Errorf("%w: status %d", errUnexpectedResponse, resp.Status)
	}
	var hb wire.Heartbeat
	if err := json.Unmarshal(resp.Body, &hb); err != nil || hb.Machine == "" {
		return nil, fmt.Errorf("%w: %.80s", errUnexpectedResponse, resp.Body)
	}
	return &hb, nil
}
