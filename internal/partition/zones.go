package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// startCountInterval is the shortest time between two counts of the starts under way in a zone. Each count looks at
// every machine.
const startCountInterval = 100 * clock.Millisecond

// zoneGate limits the tasks that this leader admits to a zone that is lost, or to which work returns in stages.
type zoneGate struct {
	*recovery.Gate
	startsInFlight int // at the last count, plus the tasks accepted since
	countedAt      clock.Micros
}

// SetZoneState applies the state of a zone from its record. From the loss of the zone until its return nothing new is
// admitted there; while it returns, tasks are admitted in stages. A gate whose zone's record does not change in time
// opens by itself, as described at recovery.Gate. A controller inside a zone that is cut off does not learn of the
// loss, and continues without a gate.
func (s *State) SetZoneState(name string, record zone.Record, now clock.Micros) {
	switch record.State {
	case zone.Lost:
		s.zoneGates[name] = &zoneGate{Gate: recovery.NewLostGate()}
		return
	case zone.Returning:
	default:
		delete(s.zoneGates, name)
		return
	}
	if gate := s.zoneGates[name]; gate != nil {
		gate.SetStage(record.Stage, record.Held, now)
		return
	}
	s.zoneGates[name] = &zoneGate{Gate: recovery.NewGate(record.Stage, record.Held, now)}
}

// zoneAdmits reports whether the gate of a machine's zone admits a task.
func (s *State) zoneAdmits(m *machine, a *peer.Assignment, now clock.Micros) bool {
	gate := s.zoneGates[m.Zone]
	if gate == nil {
		return true
	}
	if now >= gate.countedAt+startCountInterval {
		gate.countedAt, gate.startsInFlight = now, s.startsInZone(m.Zone)
	}
	stage := recovery.DefaultStage(a.Rank, false) // for schedulers that send no stage
	if a.Stage > 0 {
		stage = recovery.Stage(a.Stage - 1)
	}
	proven := m.provenIncarnation == m.worker.incarnation
	return gate.Admits(stage, recovery.Machine{Proven: proven, Pending: m.pendingStarts()}, gate.startsInFlight, now)
}

// startsInZone counts the tasks on reachable machines of a zone that have neither been reported as started nor been
// stopped.
func (s *State) startsInZone(zone string) (n int) {
	for _, m := range s.machines {
		if m.Zone == zone && !m.worker.lost() {
			n += m.pendingStarts()
		}
	}
	return n
}

// markProven records that a task was seen running on a machine: the machine works and has the task's image.
func (s *State) markProven(m *machine) {
	m.provenIncarnation = m.worker.incarnation
	if gate := s.zoneGates[m.Zone]; gate != nil {
		gate.RecordSuccessfulStart()
	}
}

// AdmittedStages returns, for each zone that is lost or returning, the stage that this partition leader admits now.
func (s *State) AdmittedStages(now clock.Micros) map[string]recovery.Stage {
	out := make(map[string]recovery.Stage, len(s.zoneGates))
	for name, gate := range s.zoneGates {
		out[name] = gate.Stage(now)
	}
	return out
}
