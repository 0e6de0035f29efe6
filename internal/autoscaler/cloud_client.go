package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/time/rate"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// cloudCallTimeout bounds a call with its wait for the budget: an outage must not stop the loop.
	cloudCallTimeout = 5 * time.Second
	// cloudConnections is how many connections to the cloud are kept.
	cloudConnections = 4
	// cloudBudgetShare is the share of the granted rate that is used: the cloud's own count may
	// fall differently over a second.
	cloudBudgetShare = 0.8
	// noCapacityText is the cloud's text of a refusal, in wire.Error.
	noCapacityText = "no capacity"
)

// errNoCapacity is the cloud's refusal of a scale-out request.
var errNoCapacity = errors.New(noCapacityText)

// CloudClient calls the cloud's API within its budget. It may be used by several goroutines.
type CloudClient struct {
	http  *httpx.Client
	limit *rate.Limiter
	rps   float64
}

// NewCloudClient makes a client for the cloud at addr that may send rps requests a second;
// responses over limit bytes are rejected.
func NewCloudClient(addr string, rps float64, limit int) *CloudClient {
	return &CloudClient{
		http:  httpx.NewClient(addr, cloudConnections, limit),
		limit: rate.NewLimiter(rate.Limit(rps*cloudBudgetShare), max(1, int(rps))),
		rps:   rps,
	}
}

// CountTraffic has the client count its traffic.
func (c *CloudClient) CountTraffic(t *telemetry.Traffic) { c.http.Count(t) }

// call sends one request with body as JSON, and decodes the response into the value that into
// points to; both may be nil. The error is errNoCapacity where the cloud has no such instance.
func (c *CloudClient) call(ctx context.Context, method, target string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, cloudCallTimeout)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("waiting for the cloud's request budget: %w", err)
	}
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encoding %s %s: %w", method, target, err)
		}
	}
	r, err := c.http.Do(ctx, method, target, b)
	if err != nil {
		return fmt.Errorf("calling the cloud, %s %s: %w", method, target, err)
	}
	if err := checkStatus(r.Status, r.Body); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(r.Body, into); err != nil {
		return fmt.Errorf("decoding the cloud's response to %s %s: %w", method, target, err)
	}
	return nil
}

// checkStatus is nil for a 200, and errNoCapacity for a refusal that says so.
func checkStatus(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var e wire.Error
	if status == http.StatusServiceUnavailable && json.Unmarshal(body, &e) == nil && e.Error == noCapacityText {
		return errNoCapacity
	}
	return fmt.Errorf("the cloud answered status %d: %.80s", status, body)
}
