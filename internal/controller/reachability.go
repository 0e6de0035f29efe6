package controller

import (
	"context"
	"time"
)

const (
	// reachabilityInterval is how often it is observed whether the workers reach this controller.
	reachabilityInterval = time.Second
	// reachabilityObservations is how many observations in a row must contradict what is assumed for it to change.
	// Observations are counted, not time: a process that was paused finds its peers' heartbeats waiting, which say that
	// its machines are with them, before it has taken a single heartbeat of a worker itself.
	reachabilityObservations = 3
	// minUnreachedMachines is how few machines are too few to conclude anything from: they may fail by themselves.
	minUnreachedMachines = 3
)

// reachability decides whether the workers reach this controller. It does no I/O; one goroutine uses it.
type reachability struct {
	unreachable   bool // what is assumed now; at first that the workers reach it
	contradicting int  // observations in a row that contradict it
}

// observe takes an observation and tells whether the assumption has changed by it.
func (r *reachability) observe(contradicts bool) (changed bool) {
	r.contradicting++
	if !contradicts {
		r.contradicting = 0
	}
	if r.contradicting < reachabilityObservations {
		return false
	}
	r.unreachable, r.contradicting = !r.unreachable, 0
	return true
}

// heartbeatObservation is what is known at a moment of the heartbeats that this controller should get.
type heartbeatObservation struct {
	machines         int          // how many machines should be reporting here
	missedHeartbeats int          // how many of them have missed heartbeats
	peers            []peerStatus // recent ones
}

// workersReachPeersOnly is whether two thirds of the machines have missed heartbeats, a third of them report to
// peers instead, and some peer is reached by its own: at most a quarter of its machines have missed heartbeats.
// Machines that get no answers send their heartbeats elsewhere too, but then all controllers miss
// heartbeats alike, and none of them is better placed than this one.
func (o *heartbeatObservation) workersReachPeersOnly() bool {
	misdirected, peerReached := 0, false
	for _, p := range o.peers {
		misdirected += p.misdirected
		peerReached = peerReached || 4*p.missedHeartbeats <= p.machines
	}
	return o.machines >= minUnreachedMachines && 3*o.missedHeartbeats >= 2*o.machines && 3*misdirected >= o.machines && peerReached
}

// watchReachability observes until ctx ends whether the workers reach this controller. When they don't, the elector
// publishes it, and the partitions are transferred to controllers that are reached; once workers answer this
// controller again it takes its share back. While it is reachable it goes by heartbeats; once its partitions are
// transferred none are due here any more, so it calls workers itself.
func (c *Controller) watchReachability(ctx context.Context) error {
	tick := time.NewTicker(reachabilityInterval)
	defer tick.Stop()
	var state reachability
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var contradicts bool
		if state.unreachable {
			contradicts = c.partitions.ReachesWorkers(ctx)
		} else {
			observed := c.observeHeartbeats()
			contradicts = observed.workersReachPeersOnly()
		}
		if state.observe(contradicts) {
			c.log.Warn("worker reachability changed", "unreachable", state.unreachable)
			c.elector.SetUnreachable(state.unreachable)
		}
	}
}

func (c *Controller) observeHeartbeats() heartbeatObservation {
	machines, missed := c.partitions.MissedHeartbeats()
	return heartbeatObservation{machines: machines, missedHeartbeats: missed, peers: c.peerStates.recentStatuses(time.Now())}
}
