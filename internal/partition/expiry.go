package partition

import "github.com/merlinlatch/merlinlatch/internal/clock"

const (
	// silenceMargin is the margin of argument 4, beyond the worker lease and the drift of clocks.
	silenceMargin = 500 * clock.Millisecond
	// goneRetention is how long a machine that is gone is remembered, so that late heartbeats of it are rejected.
	goneRetention = 600 * clock.Second
)

// Tick lets leases, heartbeats, cordons and memories expire. It gives the machines whose records are to be
// removed: nothing can be on them any more.
func (s *State) Tick(now clock.Micros) (drop []string) {
	for id, m := range s.machines {
		s.expireWorkerLease(m, now)
		s.expireHeartbeat(m, now)
		s.expireLeases(m, now)
		s.expireCordon(m, now)
		if m.decideRecordRemoval() {
			drop = append(drop, id)
		}
		if m.worker.gone && now > m.worker.answeredAt+goneRetention {
			s.removeMachine(m)
		}
	}
	s.batches.expire(now)
	s.cancellations.expire(s.jobs, now)
	return drop
}

// expireWorkerLease takes a machine as silent that no possible leader has answered with 200 for its whole worker
// lease: the worker has killed and forgotten all that it had (docs/design.md, argument 4).
func (s *State) expireWorkerLease(m *machine, now clock.Micros) {
	if m.worker.lost() || now <= m.worker.answeredAt+s.timing.Lease.PlusDrift()+silenceMargin {
		return
	}
	m.worker.silent, m.accounted = true, m.accounted && m.worker.contacted
	clear(m.tasks)
	s.markAllChanged(m)
}

// expireHeartbeat takes a machine's heartbeats as overdue long before its worker lease expires: what is assigned to it
// now would be lost if it is gone, and others may be scaled out in its place.
func (s *State) expireHeartbeat(m *machine, now clock.Micros) {
	if m.worker.overdue || s.timing.HeartbeatOverdue <= 0 || now <= m.worker.answeredAt+s.timing.HeartbeatOverdue {
		return
	}
	m.worker.overdue = true
	s.markChanged(m)
}

// expireLeases removes the leases of which nothing was sent in time.
func (s *State) expireLeases(m *machine, now clock.Micros) {
	for _, t := range m.tasks {
		if t.state == taskLeased && now > s.leaseExpiry(t) {
			s.removeTask(m, t)
		}
	}
}

func (s *State) expireCordon(m *machine, now clock.Micros) {
	if m.failures.cordonedUntil != 0 && now >= m.failures.cordonedUntil {
		m.failures.cordonedUntil = 0
		s.markChanged(m)
	}
}

// decideRecordRemoval decides to remove the record of a machine that is lost, again with each tick until it is
// gone. Should the machine be back before the removal is carried out, it gets nothing until it is recorded once more:
// that changes what a late removal is conditional on (docs/design.md, argument 5).
func (m *machine) decideRecordRemoval() bool {
	if !m.worker.lost() || m.record == unrecorded {
		return false
	}
	m.record = recordRemoving
	return true
}
