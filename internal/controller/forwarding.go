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
	// submitForwardTimeout bounds the call that forwards a submission to a peer. The user waits for it, and may still
	// be told to retry afterwards.
	submitForwardTimeout = 800 * time.Millisecond
	// statusTimeout bounds the call that asks a team's leader for the state of a job.
	statusTimeout = 1500 * time.Millisecond
	// cancelTimeout bounds the call that asks a team's leader to cancel a job. The leader calls all partition leaders
	// meanwhile.
	cancelTimeout = 2 * statusTimeout
	// broadcastTimeout bounds each call of callPeers. The answer of a slower peer is left out.
	broadcastTimeout = 600 * time.Millisecond
)

// errNoTeamLeader means that no registered controller leads the team at the moment.
var errNoTeamLeader = errors.New("team has no leader")

// StoreUnreachable reports whether the key-value store has not confirmed this controller's lease for storeContactMaxAge.
func (c *Controller) StoreUnreachable() bool {
	contactAge, _ := c.elector.StoreContact()
	return contactAge > c.storeContactMaxAge
}

// Submit forwards a submission to a peer that has recently reported that it reaches the key-value store. It returns false if
// there is no such peer or the peer has not answered; in the latter case the peer may or may not have accepted the job.
func (c *Controller) Submit(body []byte) (r httpx.Response, ok bool) {
	host := c.peerStates.peerWithStoreContact(time.Now(), c.storeContactMaxAge.Duration())
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

// jobCall describes a request about a job that the leader of the job's team answers.
type jobCall struct {
	method  string                                 // RPC method if a peer leads the team
	local   func(peer.JobRequest) peer.JobResponse // called if this controller leads the team
	timeout time.Duration                          // of the RPC
}

// askTeamLeader passes a request about a job to the leader of the job's team, which may be this controller.
func (c *Controller) askTeamLeader(call jobCall, q peer.JobRequest) (peer.JobResponse, error) {
	host, ok := c.elector.Leader(scheduler.TeamDuty(q.Team))
	if !ok {
		return peer.JobResponse{}, fmt.Errorf("team %s: %w", q.Team, errNoTeamLeader)
	}
	if host == c.settings.Host {
		return call.local(q), nil
	}
	var out peer.JobResponse
	if err := c.peers[host].Call(call.method, q, &out, call.timeout); err != nil {
		return out, fmt.Errorf("call %s on peer %s: %w", call.method, host, err)
	}
	return out, nil
}

// callPeers calls an RPC method of all peers concurrently and waits until all calls have returned. It passes the answers to
// handle, one at a time. Peers that don't answer within broadcastTimeout are left out.
func callPeers[Out any](c *Controller, method string, in any, handle func(Out)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, client := range c.peers {
		wg.Go(func() {
			var out Out
			if err := client.Call(method, in, &out, broadcastTimeout); err == nil {
				mu.Lock()
				defer mu.Unlock()
				handle(out)
			}
		})
	}
	wg.Wait()
}

// Demands collects the demands of all teams from all controllers that can be reached.
func (c *Controller) Demands(context.Context) []peer.Demand {
	out := c.scheduler.Demands()
	callPeers(c, methodDemand, c.heartbeat(), func(a peer.DemandResponse) { out = append(out, a.Demands...) })
	return out
}

// MachineViews appends the scheduler's views of all machines to a slice and returns it.
func (c *Controller) MachineViews(to []peer.MachineView) []peer.MachineView {
	return c.scheduler.MachineViews(to)
}

// RecordedBefore lists the machines that were recorded in the key-value store before a wall-clock time in milliseconds since
// the Unix epoch, and still are.
func (c *Controller) RecordedBefore(atMS int64) []peer.MachineRef {
	return c.partitions.RecordedBefore(atMS)
}

// Drain asks all partition leaders that can be reached to drain machines and returns the drained ones, which can be returned to the cloud.
func (c *Controller) Drain(_ context.Context, list []peer.MachineRef) []string {
	out := c.partitions.Drain(list)
	callPeers(c, methodDrain, peer.DrainRequest{Machines: list}, func(a peer.DrainResponse) { out = append(out, a.Ready...) })
	return out
}

// MarkMachinesGone notifies all partition leaders that can be reached of machines that are gone, returned or failed for
// certain. No attempt can run on such a machine any more, so its tasks may be started elsewhere without running twice
// (docs/design.md, "Why the rules hold", number 4).
func (c *Controller) MarkMachinesGone(_ context.Context, list []peer.MachineRef) {
	c.partitions.HandleMachinesGone(list)
	callPeers(c, methodGone, peer.MachinesGone{Machines: list}, func(peer.DrainResponse) {})
}
