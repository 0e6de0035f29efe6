package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

type lastBatch struct {
	seq       uint64
	response  peer.BatchResponse
	handledAt clock.Micros
}

// HandleBatch carries out what a placing controller has for this owner.
func (s *State) HandleBatch(in peer.Batch, incarnation string, now clock.Micros) peer.BatchResponse {
	last := s.lastBatches[in.From]
	if in.Seq == last.seq && in.Seq != 0 {
		return last.response
	}
	ans := peer.BatchResponse{Incarnation: incarnation, Refused: make([]bool, len(in.Asks)), Versions: make([]uint64, len(in.Asks))}
	if in.Seq < last.seq {
		for i := range ans.Refused {
			ans.Refused[i] = true
		}
		return ans
	}
	s.fenceTeams(in.Terms)
	for _, c := range in.Cancels {
		term := in.Terms[c.Team]
		if term == 0 || term < s.teamTerms[c.Team] {
			continue // by a former placer of the team: the job may have been placed anew since
		}
		s.cancellations[c.Job] = cancellation{now, term}
		for _, m := range s.machines {
			for id, t := range m.tasks {
				if id.Job == c.Job {
					s.stopTask(m, t, 0)
				}
			}
		}
	}
	for _, x := range in.Stops {
		if m := s.machines[x.Machine]; m != nil {
			if t := m.tasks[x.ID]; t != nil {
				s.stopTask(m, t, x.GraceS)
			}
		}
	}
	for i := range in.Starts {
		s.startReserved(&in.Starts[i], in.Terms[in.Starts[i].Team], now)
	}
	for _, x := range in.Settles {
		if m := s.machines[x.Machine]; m != nil {
			if t := m.tasks[x.ID]; t != nil && t.exited() {
				t.acknowledged = true
			}
		}
	}
	for _, id := range in.Slow {
		if m := s.machines[id]; m != nil && !m.quarantined {
			m.quarantined = true
			s.markChanged(m)
		}
	}
	for i := range in.Asks {
		a := &in.Asks[i]
		decision := s.acceptAssignment(a, in.Terms[a.Team], now)
		ans.Refused[i] = decision != accepted
		ans.Versions[i] = s.version
		if decision == yielded && ans.Yielded == nil {
			ans.Yielded = make([]bool, len(in.Asks))
		}
		if decision == yielded {
			ans.Yielded[i] = true
		}
	}
	s.lastBatches[in.From] = lastBatch{in.Seq, ans, now}
	return ans
}

// fenceTeams refuses, from now on, what comes under lower terms of these teams.
func (s *State) fenceTeams(terms map[string]uint64) {
	for team, term := range terms {
		s.teamTerms[team] = max(s.teamTerms[team], term)
	}
}

// decision is what becomes of an ask.
type decision int

const (
	rejected decision = iota
	yielded           // refused since other teams have a better right to the room
	accepted
)

// acceptAssignment grants room for one task, or refuses. A second start of a task that is
// on the machine already is refused.
func (s *State) acceptAssignment(a *peer.Assignment, term uint64, now clock.Micros) decision {
	m := s.machines[a.Machine]
	if !s.mayAccept(m, a, term, now) {
		return rejected
	}
	if a.Hold > 0 && m.hasReservation() || !s.zoneAdmits(m, a, now) {
		return rejected
	}
	_, all := m.resourcesInUse()
	free := m.capacity.Minus(all)
	if a.Need.Fits(free) && s.yieldsToOtherTeam(m, a, free, now) {
		return yielded
	}
	var victims []*task
	for _, v := range a.Victims {
		t := m.tasks[v]
		if t == nil || t.exited() || t.stopping || (t.priority >= a.Rank && !a.Over) {
			continue
		}
		if a.Need.Fits(free) {
			break // room enough by now: nobody else need be stopped
		}
		victims = append(victims, t)
		free = free.Plus(t.need)
	}
	if !a.Need.Fits(free) {
		return rejected
	}
	for _, v := range victims {
		s.stopTask(m, v, s.stopGraceOf(v))
	}
	t := &task{id: a.ID, jobRevision: a.Made, team: a.Team, priority: a.Rank, need: a.Need, withinGuarantee: a.Covered, addedAt: now,
		reserved: a.Hold > 0, reservedFor: min(a.Hold, maxReservation)}
	m.tasks[a.ID] = t
	s.recordImage(m, a.Image, a.ImageGB)
	m.idleSince = now
	s.markTaskChanged(m, t)
	if s.arbiter != nil {
		s.arbiter.Granted(fairShareAsk(a), m.id)
	}
	if g := s.zoneGates[m.Zone]; g != nil {
		g.startsUnderWay++
	}
	return accepted
}

// mayAccept tells whether a task may be given room on a machine at all: who asks places its
// team, the job is not over, the machine is ours and may be used, and no attempt of the
// task is there.
func (s *State) mayAccept(m *machine, a *peer.Assignment, term uint64, now clock.Micros) bool {
	if m == nil || term == 0 || term < s.teamTerms[a.Team] || a.ID.Attempt>>32 != term ||
		s.terms[m.partition] != a.Term || !m.usable(now) {
		return false
	}
	if s.jobs.Ended(a.ID.Job, a.Made) {
		return false // by a former placer, or by a copy of an old round
	}
	if c, ok := s.cancellations[a.ID.Job]; ok {
		if term <= c.term {
			return false
		}
		// Under a later term: its placer knows all ends that were written under the
		// earlier ones, and this job's is not among them. Whoever began to cancel it
		// ended before it was told.
		delete(s.cancellations, a.ID.Job)
	}
	for id, t := range m.tasks {
		if id.Job == a.ID.Job && id.N == a.ID.N && !t.exited() {
			return false
		}
	}
	return true
}

func (s *State) stopGraceOf(t *task) float64 {
	if j, ok := s.jobs.Active(t.id.Job); ok {
		return j.StopGraceS()
	}
	return 0
}

// stopTask stops a task; a lease of which nothing was sent just ends.
func (s *State) stopTask(m *machine, t *task, grace float64) {
	switch {
	case !t.sent:
		s.removeTask(m, t)
	case t.exited():
	case !t.stopping || grace < t.stopGraceS:
		t.stopping, t.stopGraceS, t.deliveredAt = true, grace, 0
		s.markTaskChanged(m, t)
	}
}
