package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// zoneGates are the gates of the zones to which work returns, by the clock here. What a zone's partition leaders would not
// admit is not assigned; they decide, whatever a scheduler assumes.
type zoneGates map[string]*recovery.Gate

// update applies the state of a zone.
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

// admits reports whether a zone admits a job: work does not return to it, or has come to the job's stage.
func (g zoneGates) admits(zone string, j *job, now clock.Micros) bool {
	gate := g[zone]
	return gate == nil || j.stage <= gate.Stage(now)
}

// SetZoneState applies the state of a zone.
func (s *Scheduler) SetZoneState(name string, r zone.Record, now clock.Micros) {
	s.zones.update(name, r, now)
}

// stageOf is the stage of a return that admits a job.
func (s *Scheduler) stageOf(j *jobs.Job) recovery.Stage {
	if s.timing.Stages != nil {
		return s.timing.Stages(j)
	}
	return recovery.DefaultStage(j.PriorityLevel, j.DeadlineS != nil)
}

// ZoneEvidence counts for each zone how many of its machines are known, are not heard from, and are heard from but
// not accounted for. Misdirected machines belong to other controllers and send their heartbeats to this one: it is
// their controller that is unreachable, and not they.
func (s *Scheduler) ZoneEvidence(misdirected map[string]bool) map[string]zone.Evidence {
	out := map[string]zone.Evidence{}
	for _, m := range s.machines {
		e := out[m.Zone]
		e.Machines++
		switch {
		case m.Silent || m.Overdue || !s.isCurrent(m):
			if !misdirected[m.ID] {
				e.MissedHeartbeats++
			}
		case !m.Accounted:
			e.Unaccounted++
		}
		out[m.Zone] = e
	}
	return out
}
