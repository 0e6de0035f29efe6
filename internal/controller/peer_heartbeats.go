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

// peerStatus is what a peer last said of machines: how many of this controller's it has
// met lately, how many of its own there are, and how many are unheard.
type peerStatus struct {
	misdirected, machines, missedHeartbeats int
	reportedAt                              time.Time
}

// PeerClient calls another controller.
type PeerClient interface {
	Call(method string, in, out any, timeout time.Duration) error
}

// exchangeHeartbeats exchanges a word with a peer once a second: it tells whether a peer can
// reach the state service while this controller can't, and which incarnations resigned.
func (c *Controller) exchangeHeartbeats(ctx context.Context, host string, client PeerClient) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var out peer.Heartbeat
		if err := client.Call("Hello", c.heartbeat(), &out, 800*time.Millisecond); err != nil {
			c.log.Debug("greeting", "peer", host, "err", err)
			continue
		}
		c.elector.ObservePeer(out.Contact)
		c.mu.Lock()
		c.peerStatuses[host] = peerStatus{out.Strays, out.Machines, out.Unheard, time.Now()}
		if out.Contact < c.storeContactMaxAge {
			c.storeReachedAt[host] = time.Now()
		}
		c.mu.Unlock()
		if out.Resigned != "" {
			c.elector.RemoveResigned(ctx, host, out.Resigned)
		}
	}
}

func (c *Controller) heartbeat() peer.Heartbeat {
	ago, resigned := c.elector.StoreContact()
	return peer.Heartbeat{Contact: ago, Resigned: resigned, From: c.settings.Host}
}

// reachabilityObservations is for how many looks in a row, a second apart, the workers must be
// heard of elsewhere only. Looks are counted, not time: a process that stood still
// finds everybody else's word of it waiting, and has not listened yet.
const reachabilityObservations = 3

// watchReachability finds out whether the workers reach this controller. When they don't, it
// says so and hands the machines to those whom they reach; once it reaches workers
// again it takes its part back.
func (c *Controller) watchReachability(ctx context.Context) error {
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
			if looks++; !c.partitions.ReachesWorkers(ctx) {
				looks = 0
			}
		} else {
			looks++
			all, unheard := c.partitions.MissedHeartbeats()
			misdirected, better := 0, false
			c.mu.Lock()
			for _, t := range c.peerStatuses {
				if time.Since(t.reportedAt) < 3*time.Second {
					misdirected += t.misdirected
					better = better || 4*t.missedHeartbeats <= t.machines
				}
			}
			c.mu.Unlock()
			// Machines that hear no answers stray as well, but from all controllers
			// alike: then none of them is better placed than this one.
			if all < 3 || 3*unheard < 2*all || 3*misdirected < all || !better {
				looks = 0
			}
		}
		if looks >= reachabilityObservations {
			unreachable, looks = !unreachable, 0
			c.log.Info("whether workers reach this controller has changed", "unreachable", unreachable)
			c.elector.SetUnreachable(unreachable)
		}
	}
}

// Away tells that this controller has not reached the state service for a while.
func (c *Controller) StoreUnreachable() bool {
	ago, _ := c.elector.StoreContact()
	return ago > c.storeContactMaxAge
}

// submitForwardTimeout bounds how long another controller is waited for with a submission.
const submitForwardTimeout = 800 * time.Millisecond

// Submit hands a submission to a peer that has said lately that it reaches the state service.
func (c *Controller) Submit(body []byte) (r httpx.Response, ok bool) {
	host := ""
	c.mu.Lock()
	for h, at := range c.storeReachedAt {
		if time.Since(at) < c.storeContactMaxAge.Duration() && (host == "" || h < host) {
			host = h
		}
	}
	c.mu.Unlock()
	if host == "" {
		return r, false
	}
	var a peer.SubmitResponse
	if err := c.peers[host].Call("Submit", peer.SubmitRequest{Body: body}, &a, submitForwardTimeout); err != nil {
		c.log.Debug("handing a submission on", "peer", host, "err", err)
		return r, false
	}
	return httpx.Response{Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter}, a.Status != 0
}

// userQueryTimeout bounds a question to a peer on a user's behalf.
const userQueryTimeout = 1500 * time.Millisecond

// Status asks the team's placer about a job.
func (c *Controller) Status(_ context.Context, q peer.JobRequest) (peer.JobResponse, error) {
	return c.askTeamLeader("Status", c.scheduler.Status, q, userQueryTimeout)
}

// Withdraw asks the team's placer to end a job.
func (c *Controller) Cancel(_ context.Context, q peer.JobRequest) (peer.JobResponse, error) {
	return c.askTeamLeader("Withdraw", c.scheduler.CancelJob, q, 2*userQueryTimeout)
}

func (c *Controller) askTeamLeader(method string, local func(peer.JobRequest) peer.JobResponse, q peer.JobRequest, timeout time.Duration) (peer.JobResponse, error) {
	host, ok := c.elector.Leader(scheduler.Duty(q.Team))
	if !ok {
		return peer.JobResponse{}, fmt.Errorf("team %s has no placer now", q.Team)
	}
	if host == c.settings.Host {
		return local(q), nil
	}
	var out peer.JobResponse
	err := c.peers[host].Call(method, q, &out, timeout)
	return out, err
}

// callPeers calls a method of all peers at once.
func callPeers[Out any](c *Controller, method string, in any, take func(Out)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, client := range c.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var out Out
			if err := client.Call(method, in, &out, 600*time.Millisecond); err == nil {
				mu.Lock()
				defer mu.Unlock()
				take(out)
			}
		}()
	}
	wg.Wait()
}

// Demands asks all placers what waits.
func (c *Controller) Demands(context.Context) []peer.Demand {
	out := c.scheduler.Demands()
	callPeers(c, "Demand", c.heartbeat(), func(a peer.DemandResponse) { out = append(out, a.Demands...) })
	return out
}

// Views appends the mirror of all machines.
func (c *Controller) MachineViews(to []peer.MachineView) []peer.MachineView {
	return c.scheduler.MachineViews(to)
}

// RecordedBefore lists the machines that were on record by a time of day.
func (c *Controller) RecordedBefore(atMS int64) []peer.MachineRef {
	return c.partitions.RecordedBefore(atMS)
}

// Drain asks all owners to set machines aside.
func (c *Controller) Drain(_ context.Context, list []peer.MachineRef) []string {
	out := c.partitions.Drain(list)
	callPeers(c, "Drain", peer.DrainRequest{Machines: list}, func(a peer.DrainResponse) { out = append(out, a.Ready...) })
	return out
}

// Gone tells all owners of machines that are gone for certain.
func (c *Controller) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	c.partitions.HandleMachinesGone(list)
	callPeers(c, "Gone", peer.MachinesGone{Machines: list}, func(peer.DrainResponse) {})
}
