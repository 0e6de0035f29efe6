package controller

import (
	"context"
	"net/http"
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
	response := c.routeRequest(ctx, r)
	c.telemetry.Traffic(kind).Message(len(r.Body), len(response.Body))
	return response
}

// answeredFromMemory is whether a request is answered from memory alone. The event loop answers these
// itself, so that workers' leases and health checks don't wait behind users.
func answeredFromMemory(r *httpx.Request) bool {
	return r.Path == wire.PathHeartbeat || r.Path == wire.PathReady
}

// routeRequest answers a request by its path: heartbeats, readiness, jobs.
func (c *Controller) routeRequest(ctx context.Context, r *httpx.Request) httpx.Response {
	switch {
	case r.Path == wire.PathHeartbeat:
		if r.Method != http.MethodPost {
			return errorResponse(http.StatusMethodNotAllowed, "method not allowed")
		}
		return c.partitions.HandleHeartbeat(r.Body)
	case r.Path == wire.PathReady:
		if r.Method != http.MethodGet {
			return errorResponse(http.StatusMethodNotAllowed, "method not allowed")
		}
		return c.handleReady()
	case r.Path == wire.PathJobs || strings.HasPrefix(r.Path, wire.PathJobs+"/"):
		return c.api.Handle(ctx, r, strings.TrimPrefix(r.Path, wire.PathJobs))
	}
	return errorResponse(http.StatusNotFound, "no such path")
}

func errorResponse(status int, msg string) httpx.Response {
	return httpx.JSON(status, wire.Error{Error: msg})
}

// handleReady answers the load balancer whether users should come here. In an outage of the key-value store
// that all controllers share they should: they get an answer with Retry-After immediately, and need not wait
// for the load balancer to take the controllers back in.
func (c *Controller) handleReady() httpx.Response {
	if reason := c.notReadyReason(); reason != "" {
		return errorResponse(http.StatusServiceUnavailable, reason)
	}
	return httpx.Response{Status: http.StatusOK, Body: []byte(`{"ready":true}`)}
}

// notReadyReason is why users should not come to this controller now; empty where they should. The texts are the
// answer's, and part of the interface.
func (c *Controller) notReadyReason() string {
	select {
	case <-c.replicaLoaded:
	default:
		return "reading the state service"
	}
	switch {
	case c.elector.Isolated():
		return "cut off from the state service and all peers"
	case c.elector.SharedOutage():
		return ""
	case !c.api.KnowsMachineTypes():
		return "the machine types are not known yet"
	case !c.elector.LeaseValid():
		return "not registered with the state service"
	}
	return ""
}
