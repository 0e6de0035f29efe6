package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// zoneGates has the gates of the zones to which work returns in stages, by zone. Each gate follows the clock of this process. It
// keeps the scheduler from assigning tasks that the zone's partition leaders would reject; their own gates decide.
type zoneGates map[string]*recovery.Gate

// update applies a zone's state: a zone has a gate only while work returns to it.
func (g zoneGates) update(name string, r zone.Record, now clock.Micros) {
	if r.State != zone.Returning {
		delete(g, name)
		return
	}
	if gate := g[name]; gate != nil {
		gate.SetStage(r.Stage, r.Held, now)
		return
	}
	g[name] = recovery.NewGate(r.Stage, r.Held, now)
}

// admits reports whether a zone admits a job: either the zone has no gate, or its return has reached the job's stage.
func (g zoneGates) admits(zoneName string, j *job, now clock.Micros) bool {
	gate := g[zoneName]
	return gate == nil || j.stage <= gate.Stage(now)
}

// SetZoneState applies a zone's state, which decides which jobs may be assigned to machines there.
func (s *Scheduler) SetZoneState(name string, r zone.Record, now clock.Micros) {
	s.zones.update(name, r, now)
}

// stageOf returns the stage of a zone's return from which on a job is admitted.
func (s *Scheduler) stageOf(j *jobs.Job) recovery.Stage {
	if s.parameters.Stages != nil {
		return s.parameters.Stages(j)
	}
	return recovery.DefaultStage(j.PriorityLevel, j.DeadlineS != nil)
}

// ZoneEvidence returns for each zone how many of its machines are known, how many have missed heartbeats, and how many have not
// but are not accounted for. A machine counts among those with missed heartbeats also while its partition leader is unreachable or
// has changed. misdirected names the machines of other controllers that send their heartbeats to this one: they do not count
// there, since it is their controller that is unreachable, not the machine.
func (s *Scheduler) ZoneEvidence(misdirected map[string]bool) map[string]zone.Evidence {
	out := map[string]zone.Evidence{}
	for _, m := range s.machines {
		e := out[m.Zone]
		e.Machines++
		switch {
		case m.Silent || m.Overdue || !s.isCurrent(m):
			if !misdirected[m.ID] {
				e.Missing++
			}
		case !m.Accounted:
			e.Unaccounted++
		}
		out[m.Zone] = e
	}
	return out
}
