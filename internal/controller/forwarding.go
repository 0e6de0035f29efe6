package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
)

const (
	// submitForwardTimeout bounds how long another controller may take for a submission; its user waits meanwhile,
	// and may still be told to come back.
	submitForwardTimeout = 800 * time.Millisecond
	// statusTimeout bounds a team leader's answer to a user's query.
	statusTimeout = 1500 * time.Millisecond
	// cancelTimeout bounds a team leader's answer to a cancellation, for which it asks all partition leaders.
	cancelTimeout = 2 * statusTimeout
	// broadcastTimeout bounds what is asked of all peers: who is slower is left out this time.
	broadcastTimeout = 600 * time.Millisecond
)

// errNoTeamLeader means that no registered controller leads a team at the moment.
var errNoTeamLeader = errors.New("team has no leader")

// StoreUnreachable is whether this controller has not reached the key-value store for storeContactMaxAge.
func (c *Controller) StoreUnreachable() bool {
	contactAge, _ := c.elector.StoreContact()
	return contactAge > c.storeContactMaxAge
}

// Submit forwards a submission to a peer that has said lately that it reaches the key-value store. ok is false where
// there is none or it has not answered; whether it has accepted the job is not known then.
func (c *Controller) Submit(body []byte) (r httpx.Response, ok bool) {
	host := c.peerStates.storeReacher(time.Now(), c.storeContactMaxAge.Duration())
	if host == "" {
		return r, false
	}
	var out peer.SubmitResponse
	if err := c.peers[host].Call(methodSubmit, peer.SubmitRequest{Body: body}, &out, submitForwardTimeout); err != nil {
		c.log.Debug("submission forwarding failed", "peer", host, "error", err)
		return r, false
	}
	return httpx.Response{Status: out.Status, Body: out.Body, RetryAfter: out.RetryAfter}, out.Status != 0
}

// Status asks the team's leader about a job.
func (c *Controller) Status(_ context.Context, q peer.JobRequest) (peer.JobResponse, error) {
	return c.askTeamLeader(jobCall{methodStatus, c.scheduler.Status, statusTimeout}, q)
}

// Cancel asks the team's leader to cancel a job.
func (c *Controller) Cancel(_ context.Context, q peer.JobRequest) (peer.JobResponse, error) {
	return c.askTeamLeader(jobCall{methodCancel, c.scheduler.CancelJob, cancelTimeout}, q)
}

// jobCall is a call about a job: the method of a peer, or of this controller's own scheduler.
type jobCall struct {
	method  string
	local   func(peer.JobRequest) peer.JobResponse
	timeout time.Duration // of the peer's answer
}

func (c *Controller) askTeamLeader(call jobCall, q peer.JobRequest) (peer.JobResponse, error) {
	host, ok := c.elector.Leader(scheduler.Duty(q.Team))
	if !ok {
		return peer.JobResponse{}, fmt.Errorf("team %s: %w", q.Team, errNoTeamLeader)
	}
	if host == c.settings.Host {
		return call.local(q), nil
	}
	var out peer.JobResponse
	if err := c.peers[host].Call(call.method, q, &out, call.timeout); err != nil {
		return out, fmt.Errorf("call %s of %s: %w", call.method, host, err)
	}
	return out, nil
}

// callPeers calls a method of all peers concurrently, hands each answer to take, one at a time, and waits for all
// of them. Peers that don't answer within broadcastTimeout are left out.
func callPeers[Out any](c *Controller, method string, in any, take func(Out)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, client := range c.peers {
		wg.Go(func() {
			var out Out
			if err := client.Call(method, in, &out, broadcastTimeout); err == nil {
				mu.Lock()
				defer mu.Unlock()
				take(out)
			}
		})
	}
	wg.Wait()
}

// Demands gathers the demands of all teams from all controllers that can be reached.
func (c *Controller) Demands(context.Context) []peer.Demand {
	out := c.scheduler.Demands()
	callPeers(c, methodDemand, c.heartbeat(), func(a peer.DemandResponse) { out = append(out, a.Demands...) })
	return out
}

// MachineViews appends the scheduler's views of all machines.
func (c *Controller) MachineViews(to []peer.MachineView) []peer.MachineView {
	return c.scheduler.MachineViews(to)
}

// RecordedBefore lists the machines that were on record by a time of day, in milliseconds since the epoch.
func (c *Controller) RecordedBefore(atMS int64) []peer.MachineRef {
	return c.partitions.RecordedBefore(atMS)
}

// Drain asks all partition leaders to drain machines, and lists those that are ready to be returned.
func (c *Controller) Drain(_ context.Context, list []peer.MachineRef) []string {
	out := c.partitions.Drain(list)
	callPeers(c, methodDrain, peer.DrainRequest{Machines: list}, func(a peer.DrainResponse) { out = append(out, a.Ready...) })
	return out
}

// MarkMachinesGone notifies all partition leaders of machines that are gone for certain (argument 4).
func (c *Controller) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	c.partitions.HandleMachinesGone(list)
	callPeers(c, methodGone, peer.MachinesGone{Machines: list}, func(peer.DrainResponse) {})
}
