package controller

import (
	"context"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// handle answers a request of a user, a worker or the load balancer, and counts it.
func (n *Controller) handle(ctx context.Context, r *httpx.Request) httpx.Response {
	kind := telemetry.Users
	if r.Path == wire.PathHeartbeat {
		kind = telemetry.Workers
	}
	answer := n.answer(ctx, r)
	n.report.Traffic(kind).Message(len(r.Body), len(answer.Body))
	return answer
}

// answeredPromptly tells which requests are answered from memory alone. The event loop
// answers these itself, so that workers' leases and health checks don't wait behind users.
func answeredPromptly(r *httpx.Request) bool {
	return r.Path == wire.PathHeartbeat || r.Path == wire.PathReady
}

func (n *Controller) answer(ctx context.Context, r *httpx.Request) httpx.Response {
	switch {
	case r.Path == wire.PathHeartbeat:
		if r.Method != "POST" {
			return text(405, "method not allowed")
		}
		return n.owner.HandleHeartbeat(r.Body)
	case r.Path == wire.PathReady:
		if r.Method != "GET" {
			return text(405, "method not allowed")
		}
		return n.ready()
	case r.Path == wire.PathJobs || strings.HasPrefix(r.Path, wire.PathJobs+"/"):
		return n.front.Handle(ctx, r, strings.TrimPrefix(r.Path, wire.PathJobs))
	}
	return text(404, "no such path")
}

func text(status int, msg string) httpx.Response {
	return httpx.JSON(status, wire.Error{Error: msg})
}

// ready tells whether users should come here. In an outage of the state service
// that all controllers share they should: they are told at once when to come
// back, and need not wait for the load balancer to take the controllers back in.
func (n *Controller) ready() httpx.Response {
	select {
	case <-n.loaded:
	default:
		return text(503, "reading the state service")
	}
	if n.keeper.Isolated() {
		return text(503, "cut off from the state service and all peers")
	}
	if n.keeper.SharedOutage() {
		return httpx.Response{Status: 200, Body: []byte(`{"ready":true}`)}
	}
	if !n.front.KnowsMachineTypes() {
		return text(503, "the machine types are not known yet")
	}
	if !n.keeper.LeaseValid() {
		return text(503, "not registered with the state service")
	}
	return httpx.Response{Status: 200, Body: []byte(`{"ready":true}`)}
}
