package partition

import "github.com/merlinlatch/merlinlatch/internal/clock"

const (
	// silenceMargin is added to the worker lease, on top of clock drift, before a machine counts as silent
	// (docs/design.md, "Why the rules hold", number 4).
	silenceMargin = 500 * clock.Millisecond
	// goneRetention is how long a machine that is gone stays known, so that its late heartbeats are rejected.
	goneRetention = 600 * clock.Second
)

// Tick expires worker leases, heartbeats, resource leases, cordons, remembered batches and cancellations. It returns
// the machines whose records are to be removed because no task can be on them any more.
func (s *State) Tick(now clock.Micros) (removals []string) {
	for id, m := range s.machines {
		s.expireWorkerLease(m, now)
		s.expireHeartbeat(m, now)
		s.expireLeases(m, now)
		s.expireCordon(m, now)
		if m.decideRecordRemoval() {
			removals = append(removals, id)
		}
		if m.worker.gone && now > m.worker.answeredAt+goneRetention {
			s.removeMachine(m)
		}
	}
	s.batches.expire(now)
	s.cancellations.expire(s.jobs, now)
	s.noteAccounted(now)
	return removals
}

// expireWorkerLease marks a machine as silent, and removes its tasks, when no leader can have answered its heartbeats
// with 200 for a whole worker lease: the worker has then killed and forgotten all of its tasks (docs/design.md,
// "Why the rules hold", number 4).
func (s *State) expireWorkerLease(m *machine, now clock.Micros) {
	if m.worker.lost() || now <= m.worker.answeredAt+s.timing.WorkerLease.PlusDrift()+silenceMargin {
		return
	}
	m.worker.silent, m.accounted = true, m.accounted && m.worker.contacted
	clear(m.tasks)
	s.markAllChanged(m)
}

// expireHeartbeat marks a machine as overdue when its heartbeats have not been answered for HeartbeatOverdue, long
// before its worker lease expires. An overdue machine gets no tasks, which would be lost if it is gone, and the
// autoscaler may rent others in its place.
func (s *State) expireHeartbeat(m *machine, now clock.Micros) {
	if m.worker.overdue || s.timing.HeartbeatOverdue <= 0 || now <= m.worker.answeredAt+s.timing.HeartbeatOverdue {
		return
	}
	m.worker.overdue = true
	s.markChanged(m)
}

// expireLeases removes the leases for which no run command was sent in time.
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

// decideRecordRemoval decides to remove the record of a lost machine, again with each tick until the record is gone. A
// machine that comes back before then gets no tasks until it is recorded again: the new write changes the mod revision
// that the late removal is conditional on, so the removal fails (docs/design.md, "Why the rules hold", number 5).
func (m *machine) decideRecordRemoval() bool {
	if !m.worker.lost() || m.record == recordAbsent {
		return false
	}
	m.record = recordRemoving
	return true
}
