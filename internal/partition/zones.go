package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// startCountInterval is how often the starts under way in a zone are counted anew: the count looks at every machine.
const startCountInterval = 100 * clock.Millisecond

// zoneGate admits work in one zone while work returns there.
type zoneGate struct {
	*recovery.Gate
	startsUnderWay int // as of the last count, and accepted since
	countedAt      clock.Micros
}

// SetZoneState takes the state of a zone: nothing new is admitted from its loss until it returns, and
// then it is in stages. A controller inside a zone that is cut off does not learn of that, and goes on.
func (s *State) SetZoneState(name string, r zone.Record, now clock.Micros) {
	switch r.State {
	case zone.Lost:
		s.zoneGates[name] = &zoneGate{Gate: recovery.NewLostGate()}
		return
	case zone.Returning:
	default:
		delete(s.zoneGates, name)
		return
	}
	if g := s.zoneGates[name]; g != nil {
		g.SetStage(r.Stage, r.Held, now)
		return
	}
	s.zoneGates[name] = &zoneGate{Gate: recovery.NewGate(r.Stage, r.Held, now)}
}

// zoneAdmits reports whether the gate of a machine's zone admits a task.
func (s *State) zoneAdmits(m *machine, a *peer.Assignment, now clock.Micros) bool {
	g := s.zoneGates[m.Zone]
	if g == nil {
		return true
	}
	if now >= g.countedAt+startCountInterval {
		g.countedAt, g.startsUnderWay = now, s.startsInZone(m.Zone)
	}
	stage := recovery.DefaultStage(a.Rank, false) // of a scheduler that names none
	if a.Stage > 0 {
		stage = recovery.Stage(a.Stage - 1)
	}
	warm := m.warmIncarnation == m.worker.incarnation
	return g.Admits(stage, recovery.Machine{Warm: warm, Pending: m.pendingStarts()}, g.startsUnderWay, now)
}

// startsInZone counts the tasks in a zone that were accepted and not seen running yet.
func (s *State) startsInZone(zone string) (n int) {
	for _, m := range s.machines {
		if m.Zone == zone && !m.worker.lost() {
			n += m.pendingStarts()
		}
	}
	return n
}

// markWarm notes that a task was seen running on a machine: its image is there, and it works.
func (s *State) markWarm(m *machine) {
	m.warmIncarnation = m.worker.incarnation
	if g := s.zoneGates[m.Zone]; g != nil {
		g.Succeeded()
	}
}

// AdmittedStages returns the stages of the zones to which work returns, as this partition leader admits it.
func (s *State) AdmittedStages(now clock.Micros) map[string]recovery.Stage {
	out := make(map[string]recovery.Stage, len(s.zoneGates))
	for name, g := range s.zoneGates {
		out[name] = g.Stage(now)
	}
	return out
}
