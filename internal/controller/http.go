package controller

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// handleRequest answers a request of a user, a worker or the load balancer, and counts its traffic.
func (c *Controller) handleRequest(ctx context.Context, r *httpx.Request) httpx.Response {
	kind := telemetry.Users
	if r.Path == wire.PathHeartbeat {
		kind = telemetry.Workers
	}
	response := c.routeRequest(ctx, r)
	c.telemetry.Traffic(kind).CountMessage(len(r.Body), len(response.Body))
	return response
}

// answeredFromMemory reports whether a request is answered from memory alone, without I/O. The event loop answers such
// requests itself, so that heartbeats, which extend worker leases, and health checks don't wait behind users' requests.
func answeredFromMemory(r *httpx.Request) bool {
	return r.Path == wire.PathHeartbeat || r.Path == wire.PathReady
}

// routeRequest passes a request to the handler of its path: heartbeats, readiness, metrics or jobs.
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
	case r.Path == wire.PathMetrics:
		if r.Method != http.MethodGet {
			return errorResponse(http.StatusMethodNotAllowed, "method not allowed")
		}
		return c.handleMetrics()
	case r.Path == wire.PathJobs || strings.HasPrefix(r.Path, wire.PathJobs+"/"):
		return c.api.Handle(ctx, r, strings.TrimPrefix(r.Path, wire.PathJobs))
	}
	return errorResponse(http.StatusNotFound, "no such path")
}

func errorResponse(status int, msg string) httpx.Response {
	return httpx.JSON(status, wire.Error{Error: msg})
}

// handleReady tells the load balancer whether to send users to this controller. During an outage of the key-value store
// that all controllers share, the answer is yes: users then get a response with Retry-After immediately, and after the
// outage they need not wait until the load balancer sends requests to the controllers again.
func (c *Controller) handleReady() httpx.Response {
	if reason := c.notReadyReason(); reason != "" {
		return errorResponse(http.StatusServiceUnavailable, reason)
	}
	return httpx.Response{Status: http.StatusOK, Body: []byte(`{"ready":true}`)}
}

// handleMetrics returns the controller's counters in the Prometheus text format.
func (c *Controller) handleMetrics() httpx.Response {
	var out bytes.Buffer
	c.telemetry.WriteMetrics(&out)
	return httpx.Response{Status: http.StatusOK, Body: out.Bytes(), PlainText: true}
}

// notReadyReason returns the reason why the load balancer should not send users to this controller now, or "" if it should.
// The texts are part of the HTTP response and must not change.
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
