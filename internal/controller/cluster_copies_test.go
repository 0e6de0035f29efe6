package controller

import (
	"encoding/json"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// keptCopy is an answered message that can be delivered once more.
type keptCopy struct {
	kind    fakes.MessageKind
	deliver func()
}

// copiesMessages reports whether copies of messages may be delivered.
func (c *cluster) copiesMessages() bool { return c.options.copies != nil || c.options.keepsCopies }

// keepCopy keeps an answered message, of which copies may be delivered by deliver.
func (c *cluster) keepCopy(kind fakes.MessageKind, deliver func()) {
	c.options.copies.Keep(kind, deliver)
	if !c.options.keepsCopies {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keptCopies = append(c.keptCopies, keptCopy{kind, deliver})
}

// deliverCopies delivers once more all messages of some kinds that were answered so far, the oldest first, and returns their number.
// Copies themselves are not kept.
func (c *cluster) deliverCopies(kinds ...fakes.MessageKind) (delivered int) {
	c.mu.Lock()
	kept := c.keptCopies
	c.mu.Unlock()
	for _, message := range kept {
		if slices.Contains(kinds, message.kind) {
			message.deliver()
			delivered++
		}
	}
	c.carryOutDeliveries()
	return delivered
}

// frozen returns a copy of a transaction whose values don't change any more.
func frozen(txn wire.Txn) wire.Txn {
	operations := slices.Clone(txn.Operations)
	for i := range operations {
		if operations[i].Put == "" {
			continue
		}
		if value, err := json.Marshal(operations[i].Value); err == nil {
			operations[i].Value = json.RawMessage(value)
		}
	}
	return wire.Txn{Conditions: slices.Clone(txn.Conditions), Operations: operations}
}
