package controller

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

type localOwner struct{ o *partition.Server }

func (l localOwner) ApplyBatch(in peer.Batch) (peer.BatchResponse, error) {
	return l.o.HandleBatch(in), nil
}

func (l localOwner) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return l.o.HandlePoll(in), nil
}

type remoteOwner struct{ c PeerClient }

func (r remoteOwner) ApplyBatch(in peer.Batch) (out peer.BatchResponse, err error) {
	err = r.c.Call("Round", in, &out, 1500*time.Millisecond)
	return out, err
}

func (r remoteOwner) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return peer.CollectPages(in, func(in peer.PollRequest) (out peer.PollResponse, err error) {
		err = r.c.Call("Poll", in, &out, in.Wait.Duration()+1500*time.Millisecond)
		return out, err
	})
}

// service is what peers may call.
type service struct{ n *Controller }

var _ peer.Service = (*service)(nil)

func (s *service) Round(in peer.Batch, out *peer.BatchResponse) error {
	*out = s.n.owner.HandleBatch(in)
	return nil
}

func (s *service) Poll(in peer.PollRequest, out *peer.PollResponse) error {
	*out = s.n.owner.HandlePoll(in)
	return nil
}

func (s *service) Hello(in peer.Heartbeat, out *peer.Heartbeat) error {
	*out = s.n.hello()
	out.Strays = s.n.owner.Misdirected(in.From)
	out.Machines, out.Unheard = s.n.owner.MissedHeartbeats()
	return nil
}

func (s *service) Demand(_ peer.Heartbeat, out *peer.DemandResponse) error {
	out.Demands = s.n.placer.Demands()
	return nil
}

func (s *service) Status(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.n.placer.Status(in)
	return nil
}

func (s *service) Withdraw(in peer.JobRequest, out *peer.JobResponse) error {
	*out = s.n.placer.CancelJob(in)
	return nil
}

func (s *service) Submit(in peer.SubmitRequest, out *peer.SubmitResponse) error {
	r := s.n.front.AcceptJob(context.Background(), in.Body)
	*out = peer.SubmitResponse{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter}
	return nil
}

func (s *service) Drain(in peer.DrainRequest, out *peer.DrainResponse) error {
	out.Ready = s.n.owner.Drain(in.Machines)
	return nil
}

func (s *service) Teams(_ peer.TeamsRequest, out *peer.TeamsResponse) error {
	out.Host, out.Teams = s.n.set.Host, s.n.placer.TeamStatuses()
	out.Capacity, out.Standings, out.Yielded = s.n.owner.Standings()
	return nil
}

func (s *service) Zones(_ peer.ZonesRequest, out *peer.ZonesResponse) error {
	_, holds := s.n.keeper.Leading(autoscaler.Duty)
	*out = peer.ZonesResponse{Host: s.n.set.Host, Zones: s.n.zoneStatuses(), On: s.n.followZones, Fleet: holds}
	return nil
}

func (s *service) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	*out = s.n.holdZone(in)
	return nil
}

func (s *service) History(in peer.HistoryRequest, out *history.Page) error {
	*out = s.n.history.Page(in.From, in.Most)
	out.Host = s.n.set.Host
	return nil
}

func (s *service) Gone(in peer.MachinesGone, _ *peer.DrainResponse) error {
	s.n.owner.HandleMachinesGone(in.Machines)
	return nil
}
