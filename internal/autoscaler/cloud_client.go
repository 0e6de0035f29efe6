package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/time/rate"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// CloudClient calls the cloud's API within its budget.
type CloudClient struct {
	http  *httpx.Client
	limit *rate.Limiter
	rps   float64
}

// NewCloudClient makes a client for the cloud; answers over limit bytes are refused.
func NewCloudClient(addr string, rps float64, limit int) *CloudClient {
	return &CloudClient{rps: rps, http: httpx.NewClient(addr, 4, limit), limit: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps)))}
}

// CountTraffic has the client count its traffic.
func (c *CloudClient) CountTraffic(t *telemetry.Traffic) { c.http.Count(t) }

// errNoCapacity is the cloud's refusal to rent.
var errNoCapacity = errors.New("no capacity")

func (c *CloudClient) call(ctx context.Context, method, target string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return err
	}
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	r, err := c.http.Do(ctx, method, target, b)
	if err != nil {
		return err
	}
	if r.Status == 503 {
		var e wire.Error
		if json.Unmarshal(r.Body, &e) == nil && e.Error == "no capacity" {
			return errNoCapacity
		}
	}
	if r.Status != 200 {
		return fmt.Errorf("the cloud answered %d %.80s", r.Status, r.Body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(r.Body, into)
}
