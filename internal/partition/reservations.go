package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// longestHold bounds for how long room is held for a task that is to move here.
const longestHold = 60 * clock.Second

// holdsRoom tells that a machine has room held for a task that is to move there. Only one is
// held at a time: moves that several placers decide on at once must not meet on one machine.
func (m *machine) holdsRoom() bool {
	for _, k := range m.tasks {
		if k.held && !k.exited() {
			return true
		}
	}
	return false
}

// lapses is when a lease of which nothing was sent is over.
func (t *State) lapses(k *task) clock.Micros {
	if k.held {
		return k.since + k.hold
	}
	return k.since + t.timing.RoomLeaseTTL
}

// startHeld has a task start on the room that is held for it: by the word of its team's
// present placer, it is gone from where it ran. Without that word the lease lapses. A
// machine that may get no tasks any more gets none by this way either.
func (t *State) startHeld(s *peer.StartTask, term uint64, now clock.Micros) {
	m := t.machines[s.Machine]
	if m == nil {
		return
	}
	k := m.tasks[s.ID]
	if k == nil || !k.held || k.team != s.Team {
		return
	}
	if term == 0 || term < t.teamTerms[s.Team] || s.ID.Attempt>>32 != term {
		return // by a former placer: the task may run elsewhere by now
	}
	if k.stop || t.over(k) || !m.usable(now) {
		t.remove(m, k)
		return
	}
	k.held, k.since = false, now
	t.show(m, k)
}
