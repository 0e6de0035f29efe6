package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

type lastRound struct {
	seq    uint64
	answer peer.BatchResponse
	at     clock.Micros
}

// HandleBatch carries out what a placing controller has for this owner.
func (t *State) HandleBatch(in peer.Batch, incarnation string, now clock.Micros) peer.BatchResponse {
	last := t.rounds[in.From]
	if in.Seq == last.seq && in.Seq != 0 {
		return last.answer
	}
	ans := peer.BatchResponse{Incarnation: incarnation, Refused: make([]bool, len(in.Asks)), Versions: make([]uint64, len(in.Asks))}
	if in.Seq < last.seq {
		for i := range ans.Refused {
			ans.Refused[i] = true
		}
		return ans
	}
	t.fence(in.Terms)
	for _, c := range in.Cancels {
		term := in.Terms[c.Team]
		if term == 0 || term < t.teamTerms[c.Team] {
			continue // by a former placer of the team: the job may have been placed anew since
		}
		t.cancelled[c.Job] = cancel{now, term}
		for _, m := range t.machines {
			for id, k := range m.tasks {
				if id.Job == c.Job {
					t.end(m, k, 0)
				}
			}
		}
	}
	for _, s := range in.Stops {
		if m := t.machines[s.Machine]; m != nil {
			if k := m.tasks[s.ID]; k != nil {
				t.end(m, k, s.GraceS)
			}
		}
	}
	for i := range in.Starts {
		t.startHeld(&in.Starts[i], in.Terms[in.Starts[i].Team], now)
	}
	for _, s := range in.Settles {
		if m := t.machines[s.Machine]; m != nil {
			if k := m.tasks[s.ID]; k != nil && k.exited() {
				k.settled = true
			}
		}
	}
	for _, id := range in.Slow {
		if m := t.machines[id]; m != nil && !m.sick {
			m.sick = true
			t.touch(m)
		}
	}
	for i := range in.Asks {
		a := &in.Asks[i]
		decision := t.lease(a, in.Terms[a.Team], now)
		ans.Refused[i] = decision != granted
		ans.Versions[i] = t.version
		if decision == yielded && ans.Yielded == nil {
			ans.Yielded = make([]bool, len(in.Asks))
		}
		if decision == yielded {
			ans.Yielded[i] = true
		}
	}
	t.rounds[in.From] = lastRound{in.Seq, ans, now}
	return ans
}

// fence refuses, from now on, what comes under lower terms of these teams.
func (t *State) fence(terms map[string]uint64) {
	for team, term := range terms {
		t.teamTerms[team] = max(t.teamTerms[team], term)
	}
}

// decision is what becomes of an ask.
type decision int

const (
	refused decision = iota
	yielded          // refused since other teams have a better right to the room
	granted
)

// lease grants room for one task, or refuses. A second start of a task that is
// on the machine already is refused.
func (t *State) lease(a *peer.Assignment, term uint64, now clock.Micros) decision {
	m := t.machines[a.Machine]
	if !t.mayLease(m, a, term, now) {
		return refused
	}
	if a.Hold > 0 && m.holdsRoom() || !t.admits(m, a, now) {
		return refused
	}
	_, all := m.inUse()
	free := m.cap.Minus(all)
	if a.Need.Fits(free) && t.yields(m, a, free, now) {
		return yielded
	}
	var victims []*task
	for _, v := range a.Victims {
		k := m.tasks[v]
		if k == nil || k.exited() || k.stop || (k.rank >= a.Rank && !a.Over) {
			continue
		}
		if a.Need.Fits(free) {
			break // room enough by now: nobody else need be stopped
		}
		victims = append(victims, k)
		free = free.Plus(k.need)
	}
	if !a.Need.Fits(free) {
		return refused
	}
	for _, v := range victims {
		t.end(m, v, t.graceOf(v))
	}
	k := &task{id: a.ID, made: a.Made, team: a.Team, rank: a.Rank, need: a.Need, covered: a.Covered, since: now,
		held: a.Hold > 0, hold: min(a.Hold, longestHold)}
	m.tasks[a.ID] = k
	t.note(m, a.Image, a.ImageGB)
	m.idleSince = now
	t.show(m, k)
	if t.arbiter != nil {
		t.arbiter.Granted(shareAsk(a), m.id)
	}
	if g := t.gates[m.Zone]; g != nil {
		g.underWay++
	}
	return granted
}

// mayLease tells whether a task may be given room on a machine at all: who asks places its
// team, the job is not over, the machine is ours and may be used, and no attempt of the
// task is there.
func (t *State) mayLease(m *machine, a *peer.Assignment, term uint64, now clock.Micros) bool {
	if m == nil || term == 0 || term < t.teamTerms[a.Team] || a.ID.Attempt>>32 != term ||
		t.parts[m.part] != a.Term || !m.usable(now) {
		return false
	}
	if t.jobs.Ended(a.ID.Job, a.Made) {
		return false // by a former placer, or by a copy of an old round
	}
	if c, ok := t.cancelled[a.ID.Job]; ok {
		if term <= c.term {
			return false
		}
		// Under a later term: its placer knows all ends that were written under the
		// earlier ones, and this job's is not among them. Whoever began to cancel it
		// ended before it was told.
		delete(t.cancelled, a.ID.Job)
	}
	for id, k := range m.tasks {
		if id.Job == a.ID.Job && id.N == a.ID.N && !k.exited() {
			return false
		}
	}
	return true
}

func (t *State) graceOf(k *task) float64 {
	if j, ok := t.jobs.Active(k.id.Job); ok {
		return j.StopGraceS()
	}
	return 0
}

// end stops a task; a lease of which nothing was sent just ends.
func (t *State) end(m *machine, k *task, grace float64) {
	switch {
	case !k.sent:
		t.remove(m, k)
	case k.exited():
	case !k.stop || grace < k.grace:
		k.stop, k.grace, k.lastSend = true, grace, 0
		t.show(m, k)
	}
}
