package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// Status answers what a job's user may learn; nothing is known unless the team is led. While the outcome of a final write is
// unknown the answer is to retry (docs/design.md, "Why the rules hold", 10).
func (s *Server) Status(request peer.JobRequest) peer.JobResponse {
	if _, ok := s.elections.Leading(Duty(request.Team)); !ok {
		return peer.JobResponse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if final, ok := s.jobs.Final(request.ID); ok {
		return peer.JobResponse{Known: true, Found: true, State: final.State(request.ID)}
	}
	return s.scheduler.Status(request.Team, request.ID)
}

// Demands lists the tasks that wait, by shape, for the autoscaler.
func (s *Server) Demands() []peer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Demands(s.clock.Now())
}

// MachineViews appends all cached machines, for the autoscaler.
func (s *Server) MachineViews(to []peer.MachineView) []peer.MachineView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MachineViews(to, s.clock.Now())
}

// TeamStatuses returns the state of each team that is led.
func (s *Server) TeamStatuses() []peer.TeamStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TeamStatuses(s.clock.Now())
}

// ZoneEvidence counts for each zone what is known of its machines.
func (s *Server) ZoneEvidence(misdirected map[string]bool) map[string]zone.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ZoneEvidence(misdirected)
}
