package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/merlinlatch/merlinlatch/wire"
)

// leaseRequest is the body of a request that creates a lease.
type leaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// errNoLeaseID is the error of a response that should name a new lease and does not.
var errNoLeaseID = errors.New("response without a lease id")

// GrantLease creates a lease and returns its id.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	id, err := c.grantLease(ctx, ttl)
	if err != nil {
		return 0, fmt.Errorf("create lease: %w", err)
	}
	return id, nil
}

func (c *Client) grantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	body := leaseRequest{TTLMillis: ttl.Milliseconds()}
	resp, err := c.call(ctx, request{method: http.MethodPost, target: wire.PathLeases, body: body, timeout: callTimeout})
	if err != nil {
		return 0, err
	}
	if resp.Status != http.StatusOK {
		return 0, unexpectedStatusError(resp)
	}
	var lease wire.LeaseResponse
	if err := decode(resp, &lease); err != nil {
		return 0, err
	}
	if lease.LeaseID == 0 {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errNoLeaseID)
	}
	return lease.LeaseID, nil
}

// KeepAlive renews a lease; it returns ErrLeaseNotFound when the lease has expired. It takes its request from the budget
// without waiting for those queued before it, since every leadership depends on the lease.
func (c *Client) KeepAlive(ctx context.Context, leaseID uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.budget.requests.Reserve()
	target := fmt.Sprintf("%s/%d/extend", wire.PathLeases, leaseID)
	resp, err := c.send(ctx, request{method: http.MethodPost, target: target, body: struct{}{}})
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", leaseID, err)
	}
	switch resp.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("renew lease %d: %w", leaseID, ErrLeaseNotFound)
	}
	return fmt.Errorf("renew lease %d: %w", leaseID, unexpectedStatusError(resp))
}
