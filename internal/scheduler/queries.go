package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// Status returns the state of a job for its user. The answer is empty (Known is false) unless this process leads the team. While
// the outcome of the write of the job's final state is unknown, the user is asked to retry: otherwise a job could be reported as
// active after it has been reported as over (docs/design.md, "Why the rules hold", number 10).
func (s *Server) Status(request peer.JobRequest) peer.JobResponse {
	if _, ok := s.elections.Leading(TeamDuty(request.Team)); !ok {
		return peer.JobResponse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if final, ok := s.jobs.Final(request.ID); ok {
		return peer.JobResponse{Known: true, Found: true, State: final.State(request.ID)}
	}
	return s.scheduler.Status(request.Team, request.ID)
}

// Demands returns, for the autoscaler, the tasks of each job that wait for capacity.
func (s *Server) Demands() []peer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Demands(s.clock.Now())
}

// MachineViews appends the cached states of all machines to views, for the autoscaler.
func (s *Server) MachineViews(views []peer.MachineView) []peer.MachineView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MachineViews(views, s.clock.Now())
}

// TeamStatuses returns the status of each team that this process leads.
func (s *Server) TeamStatuses() []peer.TeamStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TeamStatuses(s.clock.Now())
}

// ZoneEvidence returns for each zone how many of its machines are known, have missed heartbeats, or are not accounted for;
// see Scheduler.ZoneEvidence.
// misdirected names the machines of other controllers that send their heartbeats to this one.
func (s *Server) ZoneEvidence(misdirected map[string]bool) map[string]zone.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ZoneEvidence(misdirected)
}
