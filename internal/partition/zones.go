package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// zoneGate admits work in one zone while work returns there.
type zoneGate struct {
	*recovery.Gate
	startsUnderWay int // starts, as of the last count and with the grants since
	countedAt      clock.Micros
}

// startCountInterval is how often the starts under way in a zone are counted anew.
const startCountInterval = 100 * clock.Millisecond

// SetZoneState takes the state of a zone: nothing new is admitted from its loss until it returns, and
// then it is in stages. A controller inside a zone that is cut off does not hear of that, and goes on.
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

// zoneAdmits tells whether the gate of a machine's zone zoneAdmits a task.
func (s *State) zoneAdmits(m *machine, a *peer.Assignment, now clock.Micros) bool {
	g := s.zoneGates[m.Zone]
	if g == nil {
		return true
	}
	if now >= g.countedAt+startCountInterval {
		g.countedAt, g.startsUnderWay = now, s.startsUnderWay(m.Zone)
	}
	stage := recovery.DefaultStage(a.Rank, false) // of a placer that names none
	if a.Stage > 0 {
		stage = recovery.Stage(a.Stage - 1)
	}
	return g.Admits(stage, recovery.Machine{Warm: m.warmIncarnation == m.incarnation, Pending: m.pendingStarts()}, g.startsUnderWay, now)
}

// startsUnderWay counts the tasks in a zone that were granted and not seen running yet.
func (s *State) startsUnderWay(zone string) (n int) {
	for _, m := range s.machines {
		if m.Zone == zone && !m.silent && !m.gone {
			n += m.pendingStarts()
		}
	}
	return n
}

// pendingStarts counts a machine's tasks that were granted and not seen running yet.
func (m *machine) pendingStarts() (n int) {
	for _, t := range m.tasks {
		if !t.stopping && (t.phase == "" || t.phase == wire.TaskFetching) {
			n++
		}
	}
	return n
}

// markWarm takes note that a task was seen running on a machine: its image is there, and it works.
func (s *State) markWarm(m *machine) {
	m.warmIncarnation = m.incarnation
	if g := s.zoneGates[m.Zone]; g != nil {
		g.Succeeded()
	}
}

// AdmittedStages tells the stages of the zones to which work returns, as this owner admits it.
func (s *State) AdmittedStages(now clock.Micros) map[string]recovery.Stage {
	out := make(map[string]recovery.Stage, len(s.zoneGates))
	for name, g := range s.zoneGates {
		out[name] = g.Stage(now)
	}
	return out
}

// SetZoneState takes the state of a zone.
func (s *Server) SetZoneState(name string, r zone.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetZoneState(name, r, s.clock.Now())
}

// AdmittedStages tells the stages that this owner admits in zones to which work returns.
func (s *Server) AdmittedStages() map[string]recovery.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AdmittedStages(s.clock.Now())
}

// recordHistory notes that a task runs or has ended.
func (s *State) recordHistory(m *machine, id peer.TaskID, phase, cause string) {
	if s.history == nil {
		return
	}
	e := history.Event{Kind: history.TaskRunning, Job: id.Job, Task: int32(id.N), Attempt: id.Attempt, Machine: m.id, Zone: m.Zone}
	switch phase {
	case wire.TaskExited:
		e.Kind, e.Note = history.TaskEnded, cause
	case wire.TaskRunning:
	default:
		return
	}
	s.history.Add(e)
}
