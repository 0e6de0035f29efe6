package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// suspectRestart has the worker probed if its heartbeat, by its outcome, may be the first sign of a restart within the incarnation:
// it looks like a copy while a heartbeat is missing, or as if the response to a delivery had overtaken it.
func (s *State) suspectRestart(m *machine, outcome heartbeatOutcome, now clock.Micros) {
	if outcome == outcomeOvertaken || outcome == outcomeCopy && s.missedHeartbeat(m, now) {
		m.delivery.restartSuspected = true
		s.deliveryCandidates[m.id] = m
	}
}

// hasLostToken reports whether a newer status shows a lower token than before. A worker's token falls only by a restart within its
// incarnation; it executes old commands again until it shows a token of this term.
func (d *deliveryState) hasLostToken(hb *wire.Heartbeat) bool {
	return hb.FencingToken < d.reportedToken
}

// handleUnannouncedRestart handles a response whose tick is no higher than one that was already known when the
// delivery was sent: the worker has restarted without a new incarnation. The commands that were just delivered may
// run there, for one worker lease from now at most, since the worker's heartbeats count as copies from now on and are
// not answered. So may attempts that copies of old commands have started, before the worker had a token again. The machine gets no
// deliveries and no tasks for that long.
func (s *State) handleUnannouncedRestart(m *machine, hb *wire.Heartbeat, now clock.Micros) {
	for _, status := range hb.Tasks {
		if id, ok := attemptID(status.Task, status.Attempt); ok && m.tasks[id] == nil {
			t := s.addFoundTask(m, id, now)
			s.reportFoundTask(m, t, status.Phase, m.accounted)
			s.markTaskChanged(m, t)
			t.setReported(status)
		}
	}
	s.addNotice("worker restarted within its incarnation", "machine", m.id, "incarnation", hb.Incarnation, "tick", hb.Tick,
		"known_tick", m.worker.tick, "reported_token", m.delivery.reportedToken, "tasks", len(hb.Tasks))
	m.worker.answeredAt, m.delivery.confirmToken = now, m.delivery.token
	m.worker.lastHeartbeat = heartbeatID{m.worker.incarnation, m.worker.tick}
	m.delivery.pausedUntil = now + s.timing.WorkerLease.PlusDrift() + restartPauseMargin
	s.markChanged(m)
}
