package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// gate admits work in one zone while work returns there.
type gate struct {
	*recovery.Gate
	underWay  int // starts, as of the last count and with the grants since
	countedAt clock.Micros
}

// gateCount is how often the starts under way in a zone are counted anew.
const gateCount = 100 * clock.Millisecond

// SetZoneState takes the state of a zone: nothing new is admitted from its loss until it returns, and
// then it is in stages. A controller inside a zone that is cut off does not hear of that, and goes on.
func (t *State) SetZoneState(name string, r zone.Record, now clock.Micros) {
	switch r.State {
	case zone.Lost:
		t.gates[name] = &gate{Gate: recovery.NewLostGate()}
		return
	case zone.Returning:
	default:
		delete(t.gates, name)
		return
	}
	if g := t.gates[name]; g != nil {
		g.SetStage(r.Stage, r.Held, now)
		return
	}
	t.gates[name] = &gate{Gate: recovery.NewGate(r.Stage, r.Held, now)}
}

// admits tells whether the gate of a machine's zone admits a task.
func (t *State) admits(m *machine, a *peer.Assignment, now clock.Micros) bool {
	g := t.gates[m.Zone]
	if g == nil {
		return true
	}
	if now >= g.countedAt+gateCount {
		g.countedAt, g.underWay = now, t.startsUnderWay(m.Zone)
	}
	stage := recovery.DefaultStage(a.Rank, false) // of a placer that names none
	if a.Stage > 0 {
		stage = recovery.Stage(a.Stage - 1)
	}
	return g.Admits(stage, recovery.Machine{Warm: m.warmSession == m.session, Pending: m.pending()}, g.underWay, now)
}

// startsUnderWay counts the tasks in a zone that were granted and not seen running yet.
func (t *State) startsUnderWay(zone string) (n int) {
	for _, m := range t.machines {
		if m.Zone == zone && !m.silent && !m.gone {
			n += m.pending()
		}
	}
	return n
}

// pending counts a machine's tasks that were granted and not seen running yet.
func (m *machine) pending() (n int) {
	for _, k := range m.tasks {
		if !k.stop && (k.phase == "" || k.phase == wire.TaskFetching) {
			n++
		}
	}
	return n
}

// warmed takes note that a task was seen running on a machine: its image is there, and it works.
func (t *State) warmed(m *machine) {
	m.warmSession = m.session
	if g := t.gates[m.Zone]; g != nil {
		g.Succeeded()
	}
}

// AdmittedStages tells the stages of the zones to which work returns, as this owner admits it.
func (t *State) AdmittedStages(now clock.Micros) map[string]recovery.Stage {
	out := make(map[string]recovery.Stage, len(t.gates))
	for name, g := range t.gates {
		out[name] = g.Stage(now)
	}
	return out
}

// SetZoneState takes the state of a zone.
func (o *Server) SetZoneState(name string, r zone.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetZoneState(name, r, o.clock.Now())
}

// AdmittedStages tells the stages that this owner admits in zones to which work returns.
func (o *Server) AdmittedStages() map[string]recovery.Stage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.AdmittedStages(o.clock.Now())
}

// noteEvent notes that a task runs or has ended.
func (t *State) noteEvent(m *machine, id peer.TaskID, phase, cause string) {
	if t.history == nil {
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
	t.history.Add(e)
}
