package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Status tells what a job's user may be told; only while the team is held.
func (s *Server) Status(q peer.JobRequest) peer.JobResponse {
	if _, ok := s.elections.Leading(Duty(q.Team)); !ok {
		return peer.JobResponse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.jobs.Final(q.ID); ok {
		return peer.JobResponse{Known: true, Found: true, State: f.State(q.ID)}
	}
	return s.scheduler.Status(q.Team, q.ID)
}

// Demands lists what waits, for the fleet.
func (s *Server) Demands() []peer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Demands(s.clock.Now())
}

// MachineViews appends the mirror of all machines, for the fleet.
func (s *Server) MachineViews(to []peer.MachineView) []peer.MachineView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MachineViews(to, s.clock.Now())
}

// TeamStatuses tells how each team that is held stands.
func (s *Server) TeamStatuses() []peer.TeamStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TeamStatuses(s.clock.Now())
}
