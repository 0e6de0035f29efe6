package controller

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

type localPartition struct{ server *partition.Server }

func (l localPartition) ApplyBatch(in peer.Batch) (peer.BatchResponse, error) {
	return l.server.HandleBatch(in), nil
}

func (l localPartition) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return l.server.HandlePoll(in), nil
}

type remotePartition struct{ client PeerClient }

func (r remotePartition) ApplyBatch(in peer.Batch) (out peer.BatchResponse, err error) {
	err = r.client.Call("Round", in, &out, 1500*time.Millisecond)
	return out, err
}

func (r remotePartition) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return peer.CollectPages(in, func(in peer.PollRequest) (out peer.PollResponse, err error) {
		err = r.client.Call("Poll", in, &out, in.Wait.Duration()+1500*time.Millisecond)
		return out, err
	})
}

// rpcService is what peers may call.
type rpcService struct{ controller *Controller }

var _ peer.Service = (*rpcService)(nil)

func (s *rpcService) Round(in peer.Batch, out *peer.BatchResponse) error {
	*out = s.controller.partitions.HandleBatch(in)
	return nil
}

func (s *rpcService) Poll(in peer.PollRequest, out *peer.PollResponse) error {
	*out = s.controller.partitions.HandlePoll(in)
	return nil
}

func (s *rpcService) Hello(in peer.Heartbeat, out *peer.Heartbeat) error {
	*out = s.controller.heartbeat()
	out.Strays = s.controller.partitions.Misdirected(in.From)
	out.Machines, out.Unheard = s.controller.partitions.MissedHeartbeats()
	return nil
}

func (s *rpcService) Demand(_ peer.Heartbeat, out *peer.DemandResponse) error {
	out.Demands = s.controller.scheduler.Demands()
	return nil
}

func (s *rpcService) Status(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.controller.scheduler.Status(in)
	return nil
}

func (s *rpcService) Withdraw(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.controller.scheduler.CancelJob(in)
	return nil
}

func (s *rpcService) Submit(in peer.SubmitRequest, out *peer.SubmitResponse) error {
	r := s.controller.api.AcceptJob(context.Background(), in.Body)
	*out = peer.SubmitResponse{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter}
	return nil
}

func (s *rpcService) Drain(in peer.DrainRequest, out *peer.DrainResponse) error {
	out.Ready = s.controller.partitions.Drain(in.Machines)
	return nil
}

func (s *rpcService) Teams(_ peer.TeamsRequest, out *peer.TeamsResponse) error {
	out.Host, out.Teams = s.controller.settings.Host, s.controller.scheduler.TeamStatuses()
	out.Capacity, out.Standings, out.Yielded = s.controller.partitions.Standings()
	return nil
}

func (s *rpcService) Zones(_ peer.ZonesRequest, out *peer.ZonesResponse) error {
	_, holds := s.controller.elector.Leading(autoscaler.Duty)
	*out = peer.ZonesResponse{Host: s.controller.settings.Host, Zones: s.controller.zoneStatuses(), On: s.controller.followsZoneStates, Fleet: holds}
	return nil
}

func (s *rpcService) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	*out = s.controller.holdZone(in)
	return nil
}

func (s *rpcService) History(in peer.HistoryRequest, out *history.Page) error {
	*out = s.controller.history.Page(in.From, in.Most)
	out.Host = s.controller.settings.Host
	return nil
}

func (s *rpcService) Gone(in peer.MachinesGone, _ *peer.DrainResponse) error {
	s.controller.partitions.HandleMachinesGone(in.Machines)
	return nil
}
