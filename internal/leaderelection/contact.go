package leaderelection

import (
	"math"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// resign ends the present incarnation for good. The caller holds the lock.
func (e *Elector) resign(reason string) {
	e.lastResigned = e.election.Resign()
	e.log.Warn("leaderships resigned", "incarnation", e.lastResigned, "reason", reason)
}

// StoreContact returns how long ago the key-value store last confirmed the controller lease, and the last incarnation that
// resigned.
func (e *Elector) StoreContact() (ago clock.Micros, resigned string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastRenewal == 0 {
		return math.MaxInt64, e.lastResigned // never in this process's life
	}
	return e.clock.Now() - e.lastRenewal, e.lastResigned
}

// ObservePeer takes how long ago a peer had contact with the key-value store. When the peer has contact and this process has not,
// its incarnation resigns: the promise to the peer is that it never acts again.
func (e *Elector) ObservePeer(peerAgo clock.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.lastPeerHeartbeat = now
	if peerAgo >= e.peerContactLimit() {
		return
	}
	e.lastPeerContact = now
	if incarnation, _ := e.election.Incarnation(); incarnation != "" && now-e.lastRenewal > e.timing.ResignAfter {
		e.resign("store unreachable, peer reaches it")
		e.wake.Notify()
	}
}

// peerContactLimit is how long ago the store may have confirmed a peer's lease for the peer to count as having contact: half the
// time after which this process counts as cut off, so that an outage that both share makes neither resign.
func (e *Elector) peerContactLimit() clock.Micros { return e.timing.ResignAfter / 2 }

// SharedOutage reports whether neither this process nor any peer that it hears has contact with the key-value store. Then no
// controller is better placed than this one to answer users.
func (e *Elector) SharedOutage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	renewalMissed := now-e.lastRenewal > e.timing.RenewInterval*3/2
	return renewalMissed && now-e.lastPeerContact > e.peerContactLimit() && !e.isolated(now)
}

// Isolated reports whether this process reaches neither the key-value store nor any peer: as far as it can tell it is cut off by
// itself, and users are better served elsewhere.
func (e *Elector) Isolated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isolated(e.clock.Now())
}

func (e *Elector) isolated(now clock.Micros) bool {
	return e.election.PeerCount() > 0 && now-e.lastRenewal > e.timing.ResignAfter && now-e.lastPeerHeartbeat > e.timing.ResignAfter
}
