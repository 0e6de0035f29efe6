package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// SetZoneState takes the state of a zone. What its owners would not admit is not asked for; they
// decide, whatever a placer believes.
func (s *Scheduler) SetZoneState(name string, r zone.Record, now clock.Micros) {
	if r.State != zone.Returning {
		delete(s.zones, name)
		return
	}
	if g := s.zones[name]; g != nil {
		g.SetStage(r.Stage, r.Held, now)
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

// awaitsZoneStage tells that work awaitsZoneStage to a machine's zone and has not come to a job's stage yet.
func (j *job) awaitsZoneStage(m *machineState, zones map[string]*recovery.Gate, now clock.Micros) bool {
	g := zones[m.Zone]
	return g != nil && j.stage > g.Stage(now)
}

// ZoneEvidence counts for each zone how many of its machines are known, not heard, and heard but
// not accounted for. Strangers are machines of other controllers that have come to this one: it is
// their controller that is down, and not they.
func (s *Scheduler) ZoneEvidence(strangers map[string]bool) map[string]zone.Evidence {
	out := map[string]zone.Evidence{}
	for _, m := range s.machines {
		e := out[m.Zone]
		e.Machines++
		switch {
		case m.Silent || m.Overdue || !s.isCurrent(m):
			if !strangers[m.ID] {
				e.Unheard++
			}
		case !m.Accounted:
			e.Unsettled++
		}
		out[m.Zone] = e
	}
	return out
}

// SetZoneState takes the state of a zone.
func (p *Server) SetZoneState(name string, r zone.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetZoneState(name, r, p.clock.Now())
	wake(p.wake)
}

// ZoneEvidence counts for each zone what is known of its machines.
func (p *Server) ZoneEvidence(strangers map[string]bool) map[string]zone.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.ZoneEvidence(strangers)
}
