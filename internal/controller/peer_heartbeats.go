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
	// peerHeartbeatTimeout bounds the call that sends a heartbeat. It is shorter than peerHeartbeatInterval, so that a
	// slow peer does not delay the next heartbeat.
	peerHeartbeatTimeout = 800 * time.Millisecond
	// peerStatusMaxAge is how old a peer's status may be before it is ignored. It tolerates two lost heartbeats.
	peerStatusMaxAge = 3 * time.Second
)

// PeerClient calls the RPC methods of another controller.
type PeerClient interface {
	Call(method string, in, out any, timeout time.Duration) error
}

// peerStatus has the machine counts of a peer's latest answer to a heartbeat.
type peerStatus struct {
	misdirected      int // machines of this controller that have recently sent their heartbeats to the peer
	machines         int // machines that should be reporting to the peer
	missedHeartbeats int // machines that should be reporting to the peer and have missed heartbeats
	reportedAt       time.Time
}

// peerStates holds what the peers reported in their answers to heartbeats. It is safe for concurrent use.
type peerStates struct {
	mu             sync.Mutex
	storeReachedAt map[string]time.Time  // by host; when the peer last reported that it reaches the key-value store
	statuses       map[string]peerStatus // by host
}

func newPeerStates() peerStates {
	return peerStates{storeReachedAt: map[string]time.Time{}, statuses: map[string]peerStatus{}}
}

// record stores a peer's answer to a heartbeat. The caller decides whether the peer counts as reaching the key-value store.
func (p *peerStates) record(host string, in peer.Heartbeat, reachesStore bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[host] = peerStatus{misdirected: in.Strays, machines: in.Machines, missedHeartbeats: in.Unheard, reportedAt: now}
	if reachesStore {
		p.storeReachedAt[host] = now
	}
}

// peerWithStoreContact returns the first host, by name, that has reported within maxAge that it reaches the key-value store, or ""
// if there is none.
func (p *peerStates) peerWithStoreContact(now time.Time, maxAge time.Duration) string {
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

// recentStatuses lists the statuses that are younger than peerStatusMaxAge.
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

// exchangeHeartbeats sends a heartbeat to a peer every peerHeartbeatInterval until ctx ends. The answer says when the peer last
// reached the key-value store, which incarnation of the peer has resigned, how many of this controller's machines send their
// heartbeats to the peer, and how many of the peer's own machines have missed heartbeats. If the peer has contact with the
// store and this controller has had none for the time resign_after_s of the policy, the elector resigns this controller's
// leaderships. The method runDuties calls exchangeHeartbeats in one goroutine for each peer.
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
		c.elector.RecordPeerContact(out.Contact)
		c.peerStates.record(host, out, out.Contact < c.storeContactMaxAge, time.Now())
		if out.Resigned != "" {
			c.elector.RemoveResigned(ctx, host, out.Resigned)
		}
	}
}

// heartbeat returns the heartbeat that this controller sends to its peers.
func (c *Controller) heartbeat() peer.Heartbeat {
	contactAge, resigned := c.elector.StoreContact()
	return peer.Heartbeat{Contact: contactAge, Resigned: resigned, From: c.settings.Host}
}
