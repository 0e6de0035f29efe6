package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Status tells what a job's user may be told; only while the team is held.
func (p *Server) Status(q peer.JobRequest) peer.JobResponse {
	if _, ok := p.elections.Leading(Duty(q.Team)); !ok {
		return peer.JobResponse{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.jobs.Final(q.ID); ok {
		return peer.JobResponse{Known: true, Found: true, State: f.State(q.ID)}
	}
	return p.scheduler.Status(q.Team, q.ID)
}

// Demands lists what waits, for the fleet.
func (p *Server) Demands() []peer.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Demands(p.clock.Now())
}

// MachineViews appends the mirror of all machines, for the fleet.
func (p *Server) MachineViews(to []peer.MachineView) []peer.MachineView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.MachineViews(to, p.clock.Now())
}

// TeamStatuses tells how each team that is held stands.
func (p *Server) TeamStatuses() []peer.TeamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.TeamStatuses(p.clock.Now())
}
