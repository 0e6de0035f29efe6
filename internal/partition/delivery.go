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

// startDeliveries starts a delivery for each machine that has something to be sent.
func (s *Server) startDeliveries(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, id := range s.state.PendingDeliveries(now) {
		part, _ := s.state.PartitionOf(id)
		if term, _ := s.state.PartitionTerm(part); !s.leads(part, term) {
			continue
		}
		if !s.connections.available(id) {
			return // they are looked at again when a delivery is over
		}
		addr, orders := s.state.NextDelivery(id, now)
		if orders == nil {
			continue
		}
		go s.deliver(ctx, id, part, s.connections.acquire(id, addr), orders)
	}
}

const deliveryTimeout = 1200 * time.Millisecond

// deliver sends orders to one worker's own address and takes its answer.
func (s *Server) deliver(ctx context.Context, id string, part int, c *httpx.Client, orders *wire.Orders) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	r, err := s.postCommands(ctx, part, c, orders)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections.release(id, c) {
		s.wakeDelivery()
	}
	now := s.clock.Now()
	if err != nil {
		s.log.Debug("orders had no answer", "machine", id, "err", err)
		s.state.HandleDeliveryTimeout(id, orders, now)
		return
	}
	s.state.HandleDeliveryResponse(id, orders, r, now)
	s.notifyChange()
}

var (
	errUnexpectedAnswer = errors.New("odd answer")
	errNotLeader        = errors.New("the partition's claim is over")
)

// postCommands sends orders while their partition is held under the term of their token.
func (s *Server) postCommands(ctx context.Context, part int, c *httpx.Client, orders *wire.Orders) (*wire.Heartbeat, error) {
	b, err := json.Marshal(orders)
	if err != nil {
		return nil, err
	}
	if !s.leads(part, orders.FencingToken>>termShift) {
		return nil, errNotLeader
	}
	resp, err := c.Do(ctx, "POST", wire.PathOrders, b)
	if err != nil {
		return nil, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return nil, fmt.Errorf("%w: status %d", errUnexpectedAnswer, resp.Status)
	}
	var r wire.Heartbeat
	if err := json.Unmarshal(resp.Body, &r); err != nil || r.Machine == "" {
		return nil, fmt.Errorf("%w: %.80s", errUnexpectedAnswer, resp.Body)
	}
	return &r, nil
}
