package partition

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// deliveryTimeout is how long a delivery may take; without an answer by then it counts as unanswered.
const deliveryTimeout = 1200 * time.Millisecond

// Statuses with which a worker answers a delivery; both come with its status as a heartbeat.
const (
	statusOK       = 200
	statusRejected = 409 // it has seen a higher token, or is of another incarnation
)

var (
	errUnexpectedResponse = errors.New("unexpected response")
	errNotLeader          = errors.New("partition not led under this term")
)

// startDeliveries starts a delivery for each machine that has something to be delivered.
func (s *Server) startDeliveries(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, id := range s.state.PendingDeliveries(now) {
		partition, _ := s.state.PartitionOf(id)
		if term, _ := s.state.PartitionTerm(partition); !s.leads(partition, term) {
			continue
		}
		if !s.connections.available(id) {
			return // they are looked at again when a delivery is over
		}
		addr, orders := s.state.NextDelivery(id, now)
		if orders == nil {
			continue
		}
		client := s.connections.acquire(id, addr)
		s.background.Go(func() { s.deliver(ctx, id, partition, client, orders) })
	}
}

// deliver sends commands to one worker's own address and takes its answer.
func (s *Server) deliver(ctx context.Context, id string, partition int, c *httpx.Client, orders *wire.Orders) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	status, err := s.postCommands(ctx, partition, c, orders)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections.release(id, c) {
		s.wake.Notify()
	}
	now := s.clock.Now()
	if err != nil {
		s.log.Debug("command delivery unanswered", "machine", id, "error", err)
		s.state.HandleDeliveryTimeout(id, orders, now)
		return
	}
	s.state.HandleDeliveryResponse(id, orders, status, now)
	s.notifyChange()
}

// postCommands sends commands while their partition is led under the term of their token, and gives the worker's status.
// After an error the commands may have been executed, or may
// yet be, except after errNotLeader.
func (s *Server) postCommands(ctx context.Context, partition int, c *httpx.Client, orders *wire.Orders) (*wire.Heartbeat, error) {
	body, err := json.Marshal(orders)
	if err != nil {
		return nil, fmt.Errorf("encoding commands: %w", err)
	}
	if !s.leads(partition, orders.FencingToken>>termShift) {
		return nil, errNotLeader
	}
	resp, err := c.Do(ctx, "POST", wire.PathOrders, body)
	if err != nil {
		return nil, err
	}
	if resp.Status != statusOK && resp.Status != statusRejected {
		return nil, fmt.Errorf("%w: status %d", errUnexpectedResponse, resp.Status)
	}
	var r wire.Heartbeat
	if err := json.Unmarshal(resp.Body, &r); err != nil || r.Machine == "" {
		return nil, fmt.Errorf("%w: %.80s", errUnexpectedResponse, resp.Body)
	}
	return &r, nil
}
