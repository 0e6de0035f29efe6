package fakes

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// MessageKind is a kind of message between two hosts.
type MessageKind string

// The kinds of messages of which a network may deliver copies.
const (
	DirectCommand MessageKind = "direct command"
	Heartbeat     MessageKind = "heartbeat"
	StoreRequest  MessageKind = "store request"
	CloudRequest  MessageKind = "cloud request"
	PeerCall      MessageKind = "peer call"
	UserRequest   MessageKind = "user request"
)

// The delay of a copy is drawn between these bounds, evenly on a logarithmic scale.
const (
	minCopyDelay = time.Millisecond
	maxCopyDelay = 3 * time.Minute
)

// Copies is a stand-in for a network that keeps messages which were carried out and answered, and delivers some of them once
// more after a random delay. Nobody waits for the answer to a copy. It is safe for concurrent use; a nil Copies delivers
// none.
type Copies struct {
	share float64 // of all messages, those that are delivered once more

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	stopped   bool
	delivered map[MessageKind]int
}

// NewCopies returns a Copies that delivers a share of all messages once more.
func NewCopies(seed uint64, share float64) *Copies {
	return &Copies{share: share, rng: Rand(seed), delivered: map[MessageKind]int{}}
}

// Keep keeps an answered message, which deliver delivers once more. Deliver is called in a goroutine of its own, or never.
func (c *Copies) Keep(kind MessageKind, deliver func()) {
	delay, kept := c.draw()
	if !kept {
		return
	}
	time.AfterFunc(delay, func() {
		if c.count(kind) {
			deliver()
		}
	})
}

// draw decides whether a message is kept, and for how long.
func (c *Copies) draw() (delay time.Duration, kept bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng.Float64() >= c.share {
		return 0, false
	}
	exponent := c.rng.Float64() * math.Log(float64(maxCopyDelay)/float64(minCopyDelay))
	return time.Duration(float64(minCopyDelay) * math.Exp(exponent)), true
}

// count counts a copy that is about to be delivered; it returns false once Stop has been called.
func (c *Copies) count(kind MessageKind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.delivered[kind]++
	}
	return !c.stopped
}

// Delivered returns how many copies of a kind of message have been delivered.
func (c *Copies) Delivered(kind MessageKind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered[kind]
}

// Stop ends the delivery of copies.
func (c *Copies) Stop() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}
