package controller

import (
	"context"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Methods that controllers call of each other, by their names on the wire.
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

// rpcService is what peers and the console may call. The names of its methods are on the wire and never change. Each
// call runs in a goroutine of the RPC server; none of them returns an error: what can't be done is said in the answer.
type rpcService struct{ controller *Controller }

var _ peer.Service = (*rpcService)(nil)

// Round answers a batch of a team's scheduler: assignments, stops, acknowledgements, cancellations.
func (s *rpcService) Round(in peer.Batch, out *peer.BatchResponse) error {
	*out = s.controller.partitions.HandleBatch(in)
	return nil
}

// Poll answers a scheduler's poll with one page of the machines that have changed, waiting for changes as long as it says.
func (s *rpcService) Poll(in peer.PollRequest, out *peer.PollResponse) error {
	*out = s.controller.partitions.HandlePoll(in)
	return nil
}

// Hello answers a peer's heartbeat with this controller's own and how the machines of both are doing.
func (s *rpcService) Hello(in peer.Heartbeat, out *peer.Heartbeat) error {
	*out = s.controller.heartbeat()
	out.Strays = s.controller.partitions.Misdirected(in.From)
	out.Machines, out.Unheard = s.controller.partitions.MissedHeartbeats()
	return nil
}

// Demand answers with the demands of the teams that this controller leads.
func (s *rpcService) Demand(_ peer.Heartbeat, out *peer.DemandResponse) error {
	out.Demands = s.controller.scheduler.Demands()
	return nil
}

// Status answers with a job's state where this controller leads its team.
func (s *rpcService) Status(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.controller.scheduler.Status(in)
	return nil
}

// Withdraw cancels a job where this controller leads its team; the answer says whether the cancellation is durable.
func (s *rpcService) Withdraw(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.controller.scheduler.CancelJob(in)
	return nil
}

// Submit accepts a submission that a peer without the key-value store forwards; the answer is the user's.
func (s *rpcService) Submit(in peer.SubmitRequest, out *peer.SubmitResponse) error {
	r := s.controller.api.AcceptJob(context.Background(), in.Body)
	*out = peer.SubmitResponse{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter}
	return nil
}

// Drain drains the machines of this controller's partitions and answers with those that are ready to be returned.
func (s *rpcService) Drain(in peer.DrainRequest, out *peer.DrainResponse) error {
	out.Ready = s.controller.partitions.Drain(in.Machines)
	return nil
}

// Teams answers with the state of the teams that this controller leads and the standings of all teams on its machines.
func (s *rpcService) Teams(_ peer.TeamsRequest, out *peer.TeamsResponse) error {
	out.Host, out.Teams = s.controller.settings.Host, s.controller.scheduler.TeamStatuses()
	out.Capacity, out.Standings, out.Yielded = s.controller.partitions.Standings()
	return nil
}

// Zones answers with the state of all zones as this controller knows it, and whether it leads the fleet.
func (s *rpcService) Zones(_ peer.ZonesRequest, out *peer.ZonesResponse) error {
	c := s.controller
	_, leadsFleet := c.elector.Leading(autoscaler.Duty)
	*out = peer.ZonesResponse{Host: c.settings.Host, Zones: c.zoneStatuses(), On: c.followsZoneStates, Fleet: leadsFleet}
	return nil
}

// HoldZone holds a zone's return, or lets it go on, where this controller leads the fleet.
func (s *rpcService) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	*out = s.controller.holdZone(in)
	return nil
}

// History answers with a page of this controller's history; empty where none is kept.
func (s *rpcService) History(in peer.HistoryRequest, out *history.Page) error {
	*out = s.controller.history.Page(in.From, in.Most)
	out.Host = s.controller.settings.Host
	return nil
}

// Gone takes machines that are gone for certain.
func (s *rpcService) Gone(in peer.MachinesGone, _ *peer.DrainResponse) error {
	s.controller.partitions.HandleMachinesGone(in.Machines)
	return nil
}
