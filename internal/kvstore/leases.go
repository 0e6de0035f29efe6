package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/merlinlatch/merlinlatch/wire"
)

// leaseRequest is the body of a request for a lease.
type leaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// errNoLeaseID is the error of an answer to a request for a lease that names none.
var errNoLeaseID = errors.New("answer without a lease id")

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
	r, err := c.call(ctx, request{method: http.MethodPost, target: wire.PathLeases, body: body, timeout: callTimeout})
	if err != nil {
		return 0, err
	}
	if r.Status != http.StatusOK {
		return 0, errUnexpectedStatus(r)
	}
	var a wire.LeaseResponse
	if err := decode(r, &a); err != nil {
		return 0, err
	}
	if a.LeaseID == 0 {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errNoLeaseID)
	}
	return a.LeaseID, nil
}

// KeepAlive renews a lease; ErrLeaseNotFound when it has expired. It takes from the request budget what others wait for, and does
// not queue behind them: every leadership depends on it.
func (c *Client) KeepAlive(ctx context.Context, leaseID uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.budget.requests.Reserve()
	target := fmt.Sprintf("%s/%d/extend", wire.PathLeases, leaseID)
	r, err := c.send(ctx, request{method: http.MethodPost, target: target, body: struct{}{}})
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", leaseID, err)
	}
	switch r.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("renew lease %d: %w", leaseID, ErrLeaseNotFound)
	}
	return fmt.Errorf("renew lease %d: %w", leaseID, errUnexpectedStatus(r))
}
