package leaderelection

import (
	"math"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// resign ends the current incarnation, which is never used again, and logs the reason. The caller holds e.mu.
func (e *Elector) resign(reason string) {
	e.lastResigned = e.election.Resign()
	e.log.Warn("leaderships resigned", "incarnation", e.lastResigned, "reason", reason)
}

// resignIfCurrent ends an incarnation, unless it has ended already. The caller holds e.mu.
func (e *Elector) resignIfCurrent(incarnation, reason string) {
	if current, _ := e.election.Incarnation(); current == incarnation {
		e.resign(reason)
	}
}

// StoreContact returns the age of the last contact with the key-value store, and the last incarnation that resigned. The age is
// the time since the last confirmed renewal or registration was sent.
func (e *Elector) StoreContact() (age clock.Micros, resigned string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastRenewal == 0 {
		return math.MaxInt64, e.lastResigned // no contact since this process started
	}
	return e.clock.Now() - e.lastRenewal, e.lastResigned
}

// RecordPeerContact records a peer's heartbeat, which gives the age of the peer's last contact with the key-value store. If
// the peer has contact and this process has had none for Timing.ResignAfter, this process resigns its incarnation, so that
// peers can remove the registration and acquire the leaderships before the lease expires. They rely on the incarnation never
// acting again.
func (e *Elector) RecordPeerContact(peerContactAge clock.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.lastPeerHeartbeat = now
	if peerContactAge >= e.peerContactLimit() {
		return
	}
	e.lastPeerContact = now
	if incarnation, _ := e.election.Incarnation(); incarnation != "" && now-e.lastRenewal > e.timing.ResignAfter {
		e.resign("store unreachable, peer reaches it")
		e.wake.Notify()
	}
}

// peerContactLimit returns the age of a peer's last contact with the store at which the peer counts as having lost contact. It
// is half the time after which this process counts as cut off, so that an outage that both share makes neither resign.
func (e *Elector) peerContactLimit() clock.Micros { return e.timing.ResignAfter / 2 }

// SharedOutage reports whether neither this process nor any peer that it hears has contact with the key-value store, and this
// process is not isolated. As far as it can tell, no other controller can then serve users better than this one. In a cluster
// of one controller it is true whenever that controller has no contact.
func (e *Elector) SharedOutage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	renewalMissed := now-e.lastRenewal > e.timing.RenewInterval*3/2
	return renewalMissed && now-e.lastPeerContact > e.peerContactLimit() && !e.isolated(now)
}

// Isolated reports whether this process has, for longer than Timing.ResignAfter, neither had contact with the key-value store
// nor received a heartbeat of a peer. As far as it can tell it alone is cut off, and other controllers serve users better. In a
// cluster of one controller it is false.
func (e *Elector) Isolated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isolated(e.clock.Now())
}

func (e *Elector) isolated(now clock.Micros) bool {
	return e.election.PeerCount() > 0 && now-e.lastRenewal > e.timing.ResignAfter && now-e.lastPeerHeartbeat > e.timing.ResignAfter
}
