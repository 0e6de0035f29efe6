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

// send starts a delivery for each machine that has something to be sent.
func (o *Server) send(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, id := range o.table.PendingDeliveries(now) {
		part, _ := o.table.PartitionOf(id)
		if term, _ := o.table.PartitionTerm(part); !o.holds(part, term) {
			continue
		}
		if !o.lines.room(id) {
			return // they are looked at again when a delivery is over
		}
		addr, orders := o.table.NextDelivery(id, now)
		if orders == nil {
			continue
		}
		go o.deliver(ctx, id, part, o.lines.take(id, addr), orders)
	}
}

const orderTimeout = 1200 * time.Millisecond

// deliver sends orders to one worker's own address and takes its answer.
func (o *Server) deliver(ctx context.Context, id string, part int, c *httpx.Client, orders *wire.Orders) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := o.post(ctx, part, c, orders)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lines.put(id, c) {
		o.poke()
	}
	now := o.clock.Now()
	if err != nil {
		o.log.Debug("orders had no answer", "machine", id, "err", err)
		o.table.HandleDeliveryTimeout(id, orders, now)
		return
	}
	o.table.HandleDeliveryResponse(id, orders, r, now)
	o.notify()
}

var (
	errOdd     = errors.New("odd answer")
	errNotHeld = errors.New("the partition's claim is over")
)

// post sends orders while their partition is held under the term of their token.
func (o *Server) post(ctx context.Context, part int, c *httpx.Client, orders *wire.Orders) (*wire.Heartbeat, error) {
	b, err := json.Marshal(orders)
	if err != nil {
		return nil, err
	}
	if !o.holds(part, orders.FencingToken>>termShift) {
		return nil, errNotHeld
	}
	resp, err := c.Do(ctx, "POST", wire.PathOrders, b)
	if err != nil {
		return nil, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return nil, fmt.Errorf("%w: status %d", errOdd, resp.Status)
	}
	var r wire.Heartbeat
	if err := json.Unmarshal(resp.Body, &r); err != nil || r.Machine == "" {
		return nil, fmt.Errorf("%w: %.80s", errOdd, resp.Body)
	}
	return &r, nil
}
