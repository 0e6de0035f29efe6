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
	// cloudCallTimeout bounds a call including its wait for the rate limiter, so that an outage of the cloud
	// does not block the autoscaler's loop.
	cloudCallTimeout = 5 * time.Second
	// cloudConnections is the number of idle connections to the cloud that are kept open.
	cloudConnections = 4
	// cloudBudgetShare is the share of the permitted request rate that the client uses. The cloud may measure
	// the rate over other intervals of a second than the client, and so count more requests in one of them.
	cloudBudgetShare = 0.8
	// noCapacityText is the text in wire.Error with which the cloud refuses a request for lack of capacity.
	noCapacityText = "no capacity"
)

// errNoCapacity is returned for a scale-out request that the cloud refused for lack of capacity.
var errNoCapacity = errors.New(noCapacityText)

// CloudClient calls the cloud's API within its rate limit. It is safe for concurrent use.
type CloudClient struct {
	http    *httpx.Client
	limiter *rate.Limiter
	rps     float64
}

// NewCloudClient returns a client for the cloud at addr, which permits rps requests per second. The client
// rejects responses of more than maxResponseBytes bytes.
func NewCloudClient(addr string, rps float64, maxResponseBytes int) *CloudClient {
	return &CloudClient{
		http:    httpx.NewClient(addr, cloudConnections, maxResponseBytes),
		limiter: rate.NewLimiter(rate.Limit(rps*cloudBudgetShare), max(1, int(rps))),
		rps:     rps,
	}
}

// CountTraffic makes the client count its traffic in t.
func (c *CloudClient) CountTraffic(t *telemetry.Traffic) { c.http.CountTraffic(t) }

// call sends one request with body encoded as JSON, and decodes the response into the value that result points
// to. Both body and result may be nil. The error is errNoCapacity if the cloud lacks capacity for the request.
func (c *CloudClient) call(ctx context.Context, method, target string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, cloudCallTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("waiting for the cloud API rate limit: %w", err)
	}
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encoding the request to the cloud, %s %s: %w", method, target, err)
		}
	}
	r, err := c.http.Do(ctx, method, target, b)
	if err != nil {
		return fmt.Errorf("calling the cloud, %s %s: %w", method, target, err)
	}
	if err := checkStatus(r.Status, r.Body); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(r.Body, result); err != nil {
		return fmt.Errorf("decoding the cloud's response to %s %s: %w", method, target, err)
	}
	return nil
}

// checkStatus returns nil for status 200, errNoCapacity for a 503 whose body gives lack of capacity as its
// reason, and another error otherwise.
func checkStatus(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var e wire.Error
	if status == http.StatusServiceUnavailable && json.Unmarshal(body, &e) == nil && e.Error == noCapacityText {
		return errNoCapacity
	}
	return fmt.Errorf("the cloud responded with status %d: %.80s", status, body)
}
