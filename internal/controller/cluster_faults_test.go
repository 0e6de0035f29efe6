package controller

import (
	"time"
)

// setDisconnected cuts a controller off from its peers, or connects it again.
func (c *cluster) setDisconnected(host string, disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[host] = disconnected
}

// setStoreCut cuts a controller off from the key-value store, or connects it again.
func (c *cluster) setStoreCut(host string, cut bool) { c.process(host).storeClient.SetCut(cut) }

// setIsolated has a controller lose the key-value store and its peers, or reach them again;
// the workers that report to it reach nobody else meanwhile.
func (c *cluster) setIsolated(host string, isolated bool) {
	c.setStoreCut(host, isolated)
	c.setDisconnected(host, isolated)
	clear(c.pinnedTo)
	for _, w := range c.workers {
		if isolated && c.reportsTo[w.ID] == host {
			c.pinnedTo[w.ID] = host
		}
	}
}

// setPeerLatency lets every call between controllers take a while, each way.
func (c *cluster) setPeerLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerLatency = d
}

// setReplicaDelay lets a controller's replica be late.
func (c *cluster) setReplicaDelay(host string, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicaDelay[host] = by
}

// setDelayedWriteShare has a share of all transactions carried out late, without an answer.
func (c *cluster) setDelayedWriteShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedWriteShare = share
}

// pause pauses a controller for a while: what it sends and what it is
// sent waits, and goes on as though no time had passed.
func (c *cluster) pause(host string, d time.Duration) {
	gate := make(chan struct{})
	c.mu.Lock()
	c.paused[host] = gate
	c.mu.Unlock()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(gate)
		if c.paused[host] == gate {
			delete(c.paused, host)
		}
	})
}

// pauseGate returns what to wait for while a controller is paused; nil when it is not.
func (c *cluster) pauseGate(host string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused[host]
}

// awaitResume waits while a controller is paused.
func (c *cluster) awaitResume(host string) {
	if gate := c.pauseGate(host); gate != nil {
		<-gate
	}
}

// addOccurrence counts something that has occurred, and gives how often it has.
func (c *cluster) addOccurrence(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.occurrences[event]++
	return c.occurrences[event]
}

// occurrenceCount is how often something has occurred.
func (c *cluster) occurrenceCount(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.occurrences[event]
}
