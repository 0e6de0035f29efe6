package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// SetZoneState applies the state of a zone. What its partition leaders would not admit is not assigned; they
// decide, whatever a scheduler assumes.
func (s *Scheduler) SetZoneState(name string, r zone.Record, now clock.Micros) {
	if r.State != zone.Returning {
		delete(s.zones, name)
		return
	}
	if gate := s.zones[name]; gate != nil {
		gate.SetStage(r.Stage, r.Held, now)
		return
	}
	s.zones[name] = recovery.NewGate(r.Stage, r.Held, now)
}

// stageOf is the stage of a return that admits a job.
func (s *Scheduler) stageOf(j *jobs.Job) recovery.Stage {
	if s.timing.Stages != nil {
		return s.timing.Stages(j)
	}
	return recovery.DefaultStage(j.PriorityLevel, j.DeadlineS != nil)
}

// awaitsZoneStage reports whether work returns to a machine's zone, at a stage that does not admit a job yet.
func (j *job) awaitsZoneStage(m *machineState, zones map[string]*recovery.Gate, now clock.Micros) bool {
	gate := zones[m.Zone]
	return gate != nil && j.stage > gate.Stage(now)
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
				e.Unheard++
			}
		case !m.Accounted:
			e.Unsettled++
		}
		out[m.Zone] = e
	}
	return out
}
