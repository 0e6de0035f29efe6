package controller

import (
	"context"
	"time"
)

const (
	// reachabilityInterval is the time between two observations of whether the workers reach this controller.
	reachabilityInterval = time.Second
	// reachabilityObservations is the number of consecutive observations that must contradict the current state before it
	// changes. Observations are counted instead of elapsed time because of pauses: when a paused process resumes, it first
	// handles its peers' queued heartbeats, which say that its machines report to them, before it has handled a single
	// heartbeat of a worker.
	reachabilityObservations = 3
	// minUnreachedMachines is the number of machines below which a controller does not conclude that its workers don't reach
	// it: so few machines may fail independently.
	minUnreachedMachines = 3
)

// reachability decides whether the workers reach this controller. It does no I/O, and only one goroutine uses it.
type reachability struct {
	unreachable    bool // current state; at first the workers are assumed to reach the controller
	contradictions int  // consecutive observations that contradict the current state
}

// observe counts an observation, which may contradict the current state, and reports whether the state has changed.
func (r *reachability) observe(contradicts bool) (changed bool) {
	r.contradictions++
	if !contradicts {
		r.contradictions = 0
	}
	if r.contradictions < reachabilityObservations {
		return false
	}
	r.unreachable, r.contradictions = !r.unreachable, 0
	return true
}

// heartbeatObservation has the counts from which a reachable controller concludes whether its workers still reach it.
type heartbeatObservation struct {
	machines         int          // machines that should be reporting to this controller
	missedHeartbeats int          // machines that should be reporting to this controller and have missed heartbeats
	peers            []peerStatus // recent statuses only
}

// workersReachPeersOnly reports whether the workers reach some peer but not this controller. This is so if at least two
// thirds of this controller's machines have missed heartbeats, at least a third of its machines have recently reported to
// peers instead, and at most a quarter of some peer's own machines have missed heartbeats. The last condition excludes a
// failure that all controllers share: machines that get no answers from any controller also send their heartbeats to other
// controllers than their own, but then all controllers miss heartbeats alike, and a transfer of partitions would not help.
func (o *heartbeatObservation) workersReachPeersOnly() bool {
	misdirected, peerReached := 0, false
	for _, p := range o.peers {
		misdirected += p.misdirected
		peerReached = peerReached || 4*p.missedHeartbeats <= p.machines
	}
	return o.machines >= minUnreachedMachines && 3*o.missedHeartbeats >= 2*o.machines && 3*misdirected >= o.machines && peerReached
}

// watchReachability observes every reachabilityInterval whether the workers reach this controller, until ctx ends. When they
// don't, the elector publishes that, and the partitions are transferred to controllers that the workers reach. Once workers
// answer this controller's calls again, it gets its share of the partitions back. While the controller counts as reachable,
// the observations are based on heartbeats. After its partitions were transferred no heartbeats are due here any more, so it
// calls workers itself.
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
