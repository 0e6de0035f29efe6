package controller

import (
	"context"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Names on the wire of the RPC methods that controllers call on each other.
const (
	methodBatch     = "Round"
	methodPoll      = "Poll"
	methodHeartbeat = "Hello"
	methodDemand    = "Demand"
	methodStatus    = "Status"
	methodCancel    = "Withdraw"
	methodSubmit    = "Submit"
	methodDrain     = "Drain"
	methodGone      = "Gone"
)

// rpcService implements the RPC methods that peers and operators' commands call. The names of its methods are on the wire and
// must not change. Each call runs in a goroutine of the RPC server. No method returns an error; a refusal is part of the response.
type rpcService struct{ controller *Controller }

var _ peer.Service = (*rpcService)(nil)

// Round applies a scheduler's batch of assignments, starts, stops, acknowledgements, cancellations and machines to quarantine.
func (s *rpcService) Round(in peer.Batch, out *peer.BatchResponse) error {
	*out = s.controller.partitions.HandleBatch(in)
	return nil
}

// Poll answers a scheduler's poll with one page of the machines that have changed. If none has, it waits for a change for at
// most the time that the request gives.
func (s *rpcService) Poll(in peer.PollRequest, out *peer.PollResponse) error {
	*out = s.controller.partitions.HandlePoll(in)
	return nil
}

// Hello answers a peer's heartbeat with this controller's own. The response also has the number of the peer's machines that send
// their heartbeats here, the number of this controller's machines, and how many of those have missed heartbeats.
func (s *rpcService) Hello(in peer.Heartbeat, out *peer.Heartbeat) error {
	*out = s.controller.heartbeat()
	out.Strays = s.controller.partitions.MisdirectedCount(in.From)
	out.Machines, out.Unheard = s.controller.partitions.MissedHeartbeats()
	return nil
}

// Demand returns the demands of the teams that this controller leads.
func (s *rpcService) Demand(_ peer.Heartbeat, out *peer.DemandResponse) error {
	out.Demands = s.controller.scheduler.Demands()
	return nil
}

// Status returns a job's state if this controller leads the job's team.
func (s *rpcService) Status(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.controller.scheduler.Status(in)
	return nil
}

// Withdraw cancels a job if this controller leads the job's team. The response says whether the cancellation is durable.
func (s *rpcService) Withdraw(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.controller.scheduler.CancelJob(in)
	return nil
}

// Submit handles a submission that a peer forwards because it does not reach the key-value store. The peer passes the
// response on to the user.
func (s *rpcService) Submit(in peer.SubmitRequest, out *peer.SubmitResponse) error {
	r := s.controller.api.AcceptJob(context.Background(), in.Body)
	*out = peer.SubmitResponse{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter}
	return nil
}

// Drain drains those of the listed machines that are in this controller's partitions. It returns the drained
// machines, which can be returned to the cloud.
func (s *rpcService) Drain(in peer.DrainRequest, out *peer.DrainResponse) error {
	out.Ready = s.controller.partitions.Drain(in.Machines)
	return nil
}

// Teams returns the status of the teams that this controller leads, and the shares that all teams have of its machines.
func (s *rpcService) Teams(_ peer.TeamsRequest, out *peer.TeamsResponse) error {
	out.Host, out.Teams = s.controller.settings.Host, s.controller.scheduler.TeamStatuses()
	out.Capacity, out.Standings, out.Yielded = s.controller.partitions.Standings()
	return nil
}

// Zones returns the status of all zones as this controller knows it, and whether this controller leads the fleet.
func (s *rpcService) Zones(_ peer.ZonesRequest, out *peer.ZonesResponse) error {
	c := s.controller
	_, leadsFleet := c.elector.Leading(autoscaler.Duty)
	*out = peer.ZonesResponse{Host: c.settings.Host, Zones: c.zoneStatuses(), On: c.followsZoneStates, Fleet: leadsFleet}
	return nil
}

// HoldZone holds the return of a zone at its present stage, or resumes it, if this controller leads the fleet.
func (s *rpcService) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	*out = s.controller.holdZone(in)
	return nil
}

// History returns a page of this controller's history, which is empty if no history is kept.
func (s *rpcService) History(in peer.HistoryRequest, out *history.Page) error {
	*out = s.controller.history.Page(in.From, in.Most)
	out.Host = s.controller.settings.Host
	return nil
}

// Gone marks machines as gone for certain: no attempt can run on them any more.
func (s *rpcService) Gone(in peer.MachinesGone, _ *peer.DrainResponse) error {
	s.controller.partitions.HandleMachinesGone(in.Machines)
	return nil
}
