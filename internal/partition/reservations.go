package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// maxReservation bounds for how long room is held for a task that is to move here.
const maxReservation = 60 * clock.Second

// hasReservation tells that a machine has room held for a task that is to move there. Only one is
// held at a time: moves that several placers decide on at once must not meet on one machine.
func (m *machine) hasReservation() bool {
	for _, t := range m.tasks {
		if t.reserved && !t.exited() {
			return true
		}
	}
	return false
}

// leaseExpiry is when a lease of which nothing was sent is over.
func (s *State) leaseExpiry(t *task) clock.Micros {
	if t.reserved {
		return t.addedAt + t.reservedFor
	}
	return t.addedAt + s.timing.RoomLeaseTTL
}

// startReserved has a task start on the room that is held for it: by the word of its team's
// present placer, it is gone from where it ran. Without that word the lease lapses. A
// machine that may get no tasks any more gets none by this way either.
func (s *State) startReserved(start *peer.StartTask, term uint64, now clock.Micros) {
	m := s.machines[start.Machine]
	if m == nil {
		return
	}
	t := m.tasks[start.ID]
	if t == nil || !t.reserved || t.team != start.Team {
		return
	}
	if term == 0 || term < s.teamTerms[start.Team] || start.ID.Attempt>>32 != term {
		return // by a former placer: the task may run elsewhere by now
	}
	if t.stopping || s.jobEnded(t) || !m.usable(now) {
		s.removeTask(m, t)
		return
	}
	t.reserved, t.addedAt = false, now
	s.markTaskChanged(m, t)
}
