package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
)

// told is what a peer last said of machines: how many of this controller's it has
// met lately, how many of its own there are, and how many are unheard.
type told struct {
	misdirected, machines, unheard int
	at                             time.Time
}

// PeerClient calls another controller.
type PeerClient interface {
	Call(method string, in, out any, timeout time.Duration) error
}

// greet exchanges a word with a peer once a second: it tells whether a peer can
// reach the state service while this controller can't, and which incarnations resigned.
func (n *Controller) greet(ctx context.Context, host string, c PeerClient) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var out peer.Heartbeat
		if err := c.Call("Hello", n.hello(), &out, 800*time.Millisecond); err != nil {
			n.log.Debug("greeting", "peer", host, "err", err)
			continue
		}
		n.keeper.ObservePeer(out.Contact)
		n.mu.Lock()
		n.told[host] = told{out.Strays, out.Machines, out.Unheard, time.Now()}
		if out.Contact < n.fresh {
			n.contact[host] = time.Now()
		}
		n.mu.Unlock()
		if out.Resigned != "" {
			n.keeper.RemoveResigned(ctx, host, out.Resigned)
		}
	}
}

func (n *Controller) hello() peer.Heartbeat {
	ago, resigned := n.keeper.StoreContact()
	return peer.Heartbeat{Contact: ago, Resigned: resigned, From: n.set.Host}
}

// unreachableAfter is for how many looks in a row, a second apart, the workers must be
// heard of elsewhere only. Looks are counted, not time: a process that stood still
// finds everybody else's word of it waiting, and has not listened yet.
const unreachableAfter = 3

// listen finds out whether the workers reach this controller. When they don't, it
// says so and hands the machines to those whom they reach; once it reaches workers
// again it takes its part back.
func (n *Controller) listen(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	unreachable, looks := false, 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if unreachable {
			if looks++; !n.owner.ReachesWorkers(ctx) {
				looks = 0
			}
		} else {
			looks++
			all, unheard := n.owner.MissedHeartbeats()
			misdirected, better := 0, false
			n.mu.Lock()
			for _, t := range n.told {
				if time.Since(t.at) < 3*time.Second {
					misdirected += t.misdirected
					better = better || 4*t.unheard <= t.machines
				}
			}
			n.mu.Unlock()
			// Machines that hear no answers stray as well, but from all controllers
			// alike: then none of them is better placed than this one.
			if all < 3 || 3*unheard < 2*all || 3*misdirected < all || !better {
				looks = 0
			}
		}
		if looks >= unreachableAfter {
			unreachable, looks = !unreachable, 0
			n.log.Info("whether workers reach this controller has changed", "unreachable", unreachable)
			n.keeper.SetUnreachable(unreachable)
		}
	}
}

// Away tells that this controller has not reached the state service for a while.
func (n *Controller) StoreUnreachable() bool {
	ago, _ := n.keeper.StoreContact()
	return ago > n.fresh
}

// submitTimeout bounds how long another controller is waited for with a submission.
const submitTimeout = 800 * time.Millisecond

// Submit hands a submission to a peer that has said lately that it reaches the state service.
func (n *Controller) Submit(body []byte) (r httpx.Response, ok bool) {
	host := ""
	n.mu.Lock()
	for h, at := range n.contact {
		if time.Since(at) < n.fresh.Duration() && (host == "" || h < host) {
			host = h
		}
	}
	n.mu.Unlock()
	if host == "" {
		return r, false
	}
	var a peer.SubmitResponse
	if err := n.peers[host].Call("Submit", peer.SubmitRequest{Body: body}, &a, submitTimeout); err != nil {
		n.log.Debug("handing a submission on", "peer", host, "err", err)
		return r, false
	}
	return httpx.Response{Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter}, a.Status != 0
}

// askTimeout bounds a question to a peer on a user's behalf.
const askTimeout = 1500 * time.Millisecond

// Status asks the team's placer about a job.
func (n *Controller) Status(_ context.Context, q peer.JobRequest) (peer.JobResponse, error) {
	return n.ask("Status", n.placer.Status, q, askTimeout)
}

// Withdraw asks the team's placer to end a job.
func (n *Controller) Cancel(_ context.Context, q peer.JobRequest) (peer.JobResponse, error) {
	return n.ask("Withdraw", n.placer.CancelJob, q, 2*askTimeout)
}

func (n *Controller) ask(method string, local func(peer.JobRequest) peer.JobResponse, q peer.JobRequest, timeout time.Duration) (peer.JobResponse, error) {
	host, ok := n.keeper.Leader(scheduler.Duty(q.Team))
	if !ok {
		return peer.JobResponse{}, fmt.Errorf("team %s has no placer now", q.Team)
	}
	if host == n.set.Host {
		return local(q), nil
	}
	var out peer.JobResponse
	err := n.peers[host].Call(method, q, &out, timeout)
	return out, err
}

// each calls a method of all peers at once.
func each[Out any](n *Controller, method string, in any, take func(Out)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, c := range n.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var out Out
			if err := c.Call(method, in, &out, 600*time.Millisecond); err == nil {
				mu.Lock()
				defer mu.Unlock()
				take(out)
			}
		}()
	}
	wg.Wait()
}

// Demands asks all placers what waits.
func (n *Controller) Demands(context.Context) []peer.Demand {
	out := n.placer.Demands()
	each(n, "Demand", n.hello(), func(a peer.DemandResponse) { out = append(out, a.Demands...) })
	return out
}

// Views appends the mirror of all machines.
func (n *Controller) MachineViews(to []peer.MachineView) []peer.MachineView {
	return n.placer.MachineViews(to)
}

// RecordedBefore lists the machines that were on record by a time of day.
func (n *Controller) RecordedBefore(atMS int64) []peer.MachineRef {
	return n.owner.RecordedBefore(atMS)
}

// Drain asks all owners to set machines aside.
func (n *Controller) Drain(_ context.Context, list []peer.MachineRef) []string {
	out := n.owner.Drain(list)
	each(n, "Drain", peer.DrainRequest{Machines: list}, func(a peer.DrainResponse) { out = append(out, a.Ready...) })
	return out
}

// Gone tells all owners of machines that are gone for certain.
func (n *Controller) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	n.owner.HandleMachinesGone(list)
	each(n, "Gone", peer.MachinesGone{Machines: list}, func(peer.DrainResponse) {})
}
