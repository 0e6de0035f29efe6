package controller

import (
	"context"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

const (
	// peerHeartbeatInterval is how often controllers exchange heartbeats.
	peerHeartbeatInterval = time.Second
	// peerHeartbeatTimeout is how long an answer may take; it is shorter than the interval, so that a slow peer
	// delays no heartbeat after it.
	peerHeartbeatTimeout = 800 * time.Millisecond
	// peerStatusMaxAge is how old a peer's status may be to count: two heartbeats may be lost.
	peerStatusMaxAge = 3 * time.Second
)

// PeerClient calls a method of another controller.
type PeerClient interface {
	Call(method string, in, out any, timeout time.Duration) error
}

// peerStatus is what a peer's last heartbeat said of machines.
type peerStatus struct {
	misdirected      int // of this controller's machines, how many have sent the peer a heartbeat lately
	machines         int // how many machines should be reporting to the peer
	missedHeartbeats int // and how many of those have missed heartbeats
	reportedAt       time.Time
}

// peerStates holds what the peers' heartbeats said. It is safe for concurrent use.
type peerStates struct {
	mu             sync.Mutex
	storeReachedAt map[string]time.Time  // when a peer last said that it reaches the key-value store
	statuses       map[string]peerStatus // by host
}

func newPeerStates() peerStates {
	return peerStates{storeReachedAt: map[string]time.Time{}, statuses: map[string]peerStatus{}}
}

// record takes a peer's answer to a heartbeat; reachesStore is whether the peer reaches the key-value store.
func (p *peerStates) record(host string, in peer.Heartbeat, reachesStore bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[host] = peerStatus{misdirected: in.Strays, machines: in.Machines, missedHeartbeats: in.Unheard, reportedAt: now}
	if reachesStore {
		p.storeReachedAt[host] = now
	}
}

// storeReacher is the first host, by name, that has said within maxAge that it reaches the key-value store; empty
// where there is none.
func (p *peerStates) storeReacher(now time.Time, maxAge time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := ""
	for host, at := range p.storeReachedAt {
		if now.Sub(at) < maxAge && (first == "" || host < first) {
			first = host
		}
	}
	return first
}

// recentStatuses lists the statuses that are not older than peerStatusMaxAge.
func (p *peerStates) recentStatuses(now time.Time) (out []peerStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.statuses {
		if now.Sub(s.reportedAt) < peerStatusMaxAge {
			out = append(out, s)
		}
	}
	return out
}

// exchangeHeartbeats sends a peer a heartbeat every peerHeartbeatInterval until ctx ends. From the answer this
// controller learns whether the peer reaches the key-value store while it does not itself, which incarnation of the
// peer has resigned, and how the peer's machines are doing. Each peer has a goroutine of runDuties for this.
func (c *Controller) exchangeHeartbeats(ctx context.Context, host string, client PeerClient) error {
	tick := time.NewTicker(peerHeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var out peer.Heartbeat
		if err := client.Call(methodHeartbeat, c.heartbeat(), &out, peerHeartbeatTimeout); err != nil {
			c.log.Debug("peer heartbeat failed", "peer", host, "error", err)
			continue
		}
		c.elector.ObservePeer(out.Contact)
		c.peerStates.record(host, out, out.Contact < c.storeContactMaxAge, time.Now())
		if out.Resigned != "" {
			c.elector.RemoveResigned(ctx, host, out.Resigned)
		}
	}
}

// heartbeat is what this controller sends to its peers.
func (c *Controller) heartbeat() peer.Heartbeat {
	contactAge, resigned := c.elector.StoreContact()
	return peer.Heartbeat{Contact: contactAge, Resigned: resigned, From: c.settings.Host}
}
