package controller

import (
	"sync"
	"time"
)

// setDisconnected disconnects a controller from its peers, or reconnects it.
func (c *cluster) setDisconnected(host string, disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[host] = disconnected
}

// setStoreDisconnected disconnects a controller from the key-value store, or reconnects it.
func (c *cluster) setStoreDisconnected(host string, disconnected bool) {
	c.process(host).storeClient.SetDisconnected(disconnected)
}

// setIsolated disconnects a controller from the key-value store and its peers, or reconnects it. While it is isolated, the
// workers that report to it reach no other controller.
func (c *cluster) setIsolated(host string, isolated bool) {
	c.setStoreDisconnected(host, isolated)
	c.setDisconnected(host, isolated)
	clear(c.pinnedTo)
	for _, w := range c.workers {
		if isolated && c.reportsTo[w.ID] == host {
			c.pinnedTo[w.ID] = host
		}
	}
}

// setPeerLatency sets the latency of every call between controllers, each way.
func (c *cluster) setPeerLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerLatency = d
}

// setReplicaDelay sets the delay of the changes that a controller's replica receives.
func (c *cluster) setReplicaDelay(host string, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicaDelay[host] = by
}

// setDelayedWriteShare sets the share of all transactions that are carried out late and without an answer.
func (c *cluster) setDelayedWriteShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedWriteShare = share
}

// pause pauses a controller for a duration. What the controller sends and what is sent to it waits until it resumes.
func (c *cluster) pause(host string, d time.Duration) { c.block(c.paused, host, d) }

// cutFromStoreAndPeers cuts a controller from the store for a duration, and from its peers for peerCutExcess longer. What it sends to
// them, and they to it, waits until the cut ends. Workers and users still reach it.
func (c *cluster) cutFromStoreAndPeers(host string, d time.Duration) {
	c.block(c.cutFromStore, host, d)
	c.block(c.cutFromPeers, host, d+peerCutExcess)
}

// peerCutExcess lets an answer of the store reach a controller before the peers' heartbeats, which may end its incarnation.
const peerCutExcess = 50 * time.Millisecond

// block puts a channel into blocked for a host, and closes and removes it after a duration, or when the test ends.
func (c *cluster) block(blocked map[string]chan struct{}, host string, d time.Duration) {
	passable := make(chan struct{})
	c.mu.Lock()
	blocked[host] = passable
	c.mu.Unlock()
	unblock := sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(passable)
		if blocked[host] == passable {
			delete(blocked, host)
		}
	})
	time.AfterFunc(d, unblock)
	c.t.Cleanup(unblock)
}

// signal returns the channel of a host in paused, cutFromStore or cutFromPeers, or nil if there is none.
func (c *cluster) signal(blocked map[string]chan struct{}, host string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return blocked[host]
}

// resumeSignal returns the channel that is closed when a paused controller resumes, or nil if the controller is not paused.
func (c *cluster) resumeSignal(host string) chan struct{} { return c.signal(c.paused, host) }

// awaitResume waits while a controller is paused.
func (c *cluster) awaitResume(host string) {
	if resumed := c.resumeSignal(host); resumed != nil {
		<-resumed
	}
}

// awaitStore waits while a controller is paused or cut from the store.
func (c *cluster) awaitStore(host string) {
	c.awaitResume(host)
	if passable := c.signal(c.cutFromStore, host); passable != nil {
		<-passable
	}
}

// addOccurrence counts an event and returns how often it has occurred.
func (c *cluster) addOccurrence(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.occurrences[event]++
	return c.occurrences[event]
}

// occurrenceCount returns how often an event has occurred.
func (c *cluster) occurrenceCount(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.occurrences[event]
}
