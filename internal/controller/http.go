package controller

import (
	"context"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// handleRequest answers a request of a user, a worker or the load balancer, and counts it.
func (c *Controller) handleRequest(ctx context.Context, r *httpx.Request) httpx.Response {
	kind := telemetry.Users
	if r.Path == wire.PathHeartbeat {
		kind = telemetry.Workers
	}
	answer := c.routeRequest(ctx, r)
	c.telemetry.Traffic(kind).Message(len(r.Body), len(answer.Body))
	return answer
}

// answeredFromMemory tells which requests are answered from memory alone. The event loop
// answers these itself, so that workers' leases and health checks don't wait behind users.
func answeredFromMemory(r *httpx.Request) bool {
	return r.Path == wire.PathHeartbeat || r.Path == wire.PathReady
}

func (c *Controller) routeRequest(ctx context.Context, r *httpx.Request) httpx.Response {
	switch {
	case r.Path == wire.PathHeartbeat:
		if r.Method != "POST" {
			return errorResponse(405, "method not allowed")
		}
		return c.partitions.HandleHeartbeat(r.Body)
	case r.Path == wire.PathReady:
		if r.Method != "GET" {
			return errorResponse(405, "method not allowed")
		}
		return c.handleReady()
	case r.Path == wire.PathJobs || strings.HasPrefix(r.Path, wire.PathJobs+"/"):
		return c.api.Handle(ctx, r, strings.TrimPrefix(r.Path, wire.PathJobs))
	}
	return errorResponse(404, "no such path")
}

func errorResponse(status int, msg string) httpx.Response {
	return httpx.JSON(status, wire.Error{Error: msg})
}

// handleReady tells whether users should come here. In an outage of the state service
// that all controllers share they should: they are told at once when to come
// back, and need not wait for the load balancer to take the controllers back in.
func (c *Controller) handleReady() httpx.Response {
	select {
	case <-c.replicaLoaded:
	default:
		return errorResponse(503, "reading the state service")
	}
	if c.elector.Isolated() {
		return errorResponse(503, "cut off from the state service and all peers")
	}
	if c.elector.SharedOutage() {
		return httpx.Response{Status: 200, Body: []byte(`{"ready":true}`)}
	}
	if !c.api.KnowsMachineTypes() {
		return errorResponse(503, "the machine types are not known yet")
	}
	if !c.elector.LeaseValid() {
		return errorResponse(503, "not registered with the state service")
	}
	return httpx.Response{Status: 200, Body: []byte(`{"ready":true}`)}
}
