package node

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fleet"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/owner"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

type localOwner struct{ o *owner.Owner }

func (l localOwner) ApplyBatch(in peer.Round) (peer.RoundAnswer, error) { return l.o.Round(in), nil }

func (l localOwner) Poll(in peer.Poll) (peer.PollAnswer, error) { return l.o.Poll(in), nil }

type remoteOwner struct{ c Peer }

func (r remoteOwner) ApplyBatch(in peer.Round) (out peer.RoundAnswer, err error) {
	err = r.c.Call("Round", in, &out, 1500*time.Millisecond)
	return out, err
}

func (r remoteOwner) Poll(in peer.Poll) (peer.PollAnswer, error) {
	return peer.CollectPages(in, func(in peer.Poll) (out peer.PollAnswer, err error) {
		err = r.c.Call("Poll", in, &out, in.Wait.Duration()+1500*time.Millisecond)
		return out, err
	})
}

// service is what peers may call.
type service struct{ n *Node }

var _ peer.Service = (*service)(nil)

func (s *service) Round(in peer.Round, out *peer.RoundAnswer) error {
	*out = s.n.owner.Round(in)
	return nil
}

func (s *service) Poll(in peer.Poll, out *peer.PollAnswer) error {
	*out = s.n.owner.Poll(in)
	return nil
}

func (s *service) Hello(in peer.Hello, out *peer.Hello) error {
	*out = s.n.hello()
	out.Strays = s.n.owner.Misdirected(in.From)
	out.Machines, out.Unheard = s.n.owner.Unheard()
	return nil
}

func (s *service) Demand(_ peer.Hello, out *peer.DemandAnswer) error {
	out.Demands = s.n.placer.Demands()
	return nil
}

func (s *service) Status(in peer.JobQuery, out *peer.JobAnswer) error {
	*out = s.n.placer.Status(in)
	return nil
}

func (s *service) Withdraw(in peer.JobQuery, out *peer.JobAnswer) error {
	*out = s.n.placer.Withdraw(in)
	return nil
}

func (s *service) Submit(in peer.SubmitQuery, out *peer.SubmitAnswer) error {
	r := s.n.front.Accept(context.Background(), in.Body)
	*out = peer.SubmitAnswer{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter}
	return nil
}

func (s *service) Drain(in peer.DrainQuery, out *peer.DrainAnswer) error {
	out.Ready = s.n.owner.Drain(in.Machines)
	return nil
}

func (s *service) Teams(_ peer.TeamsQuery, out *peer.TeamsAnswer) error {
	out.Host, out.Teams = s.n.set.Host, s.n.placer.TeamStatuses()
	out.Capacity, out.Standings, out.Yielded = s.n.owner.Standings()
	return nil
}

func (s *service) Zones(_ peer.ZonesQuery, out *peer.ZonesAnswer) error {
	_, holds := s.n.keeper.Leading(fleet.Duty)
	*out = peer.ZonesAnswer{Host: s.n.set.Host, Zones: s.n.zoneStatuses(), On: s.n.followZones, Fleet: holds}
	return nil
}

func (s *service) HoldZone(in peer.ZoneHold, out *peer.ZoneHoldAnswer) error {
	*out = s.n.holdZone(in)
	return nil
}

func (s *service) History(in peer.HistoryQuery, out *history.Page) error {
	*out = s.n.history.Page(in.From, in.Most)
	out.Host = s.n.set.Host
	return nil
}

func (s *service) Gone(in peer.GoneNote, _ *peer.DrainAnswer) error {
	s.n.owner.Gone(in.Machines)
	return nil
}
