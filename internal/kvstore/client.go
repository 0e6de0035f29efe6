package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// maxIdleConnections is the number of idle connections to the store that are kept open.
const maxIdleConnections = 8

// callTimeout bounds a call other than a watch or a lease renewal. The store may answer slowly for a while, and it still
// executes a request whose caller has timed out, so a short timeout would only hide the outcome.
const callTimeout = 3 * time.Second

// Client sends requests to the key-value store. It is safe for concurrent use. Errors wrap ErrRefused, ErrOutcomeUnknown or
// another error that the method names, and say what was attempted.
type Client struct {
	http   *httpx.Client
	budget budget
}

// NewClient makes the client of one controller. It keeps to an equal part of the requests and changes per second, which the
// given number of controllers share, and rejects responses with more than maxResponseBytes bytes.
func NewClient(addr string, requestsPerSecond, writesPerSecond float64, controllers, maxResponseBytes int) *Client {
	return &Client{
		http:   httpx.NewClient(addr, maxIdleConnections, maxResponseBytes),
		budget: newBudget(requestsPerSecond, writesPerSecond, controllers),
	}
}

// CountTraffic makes the client count its traffic in t. It is called before the first request.
func (c *Client) CountTraffic(t *telemetry.Traffic) { c.http.CountTraffic(t) }

// request is a request to the store and how to send it.
type request struct {
	method, target string
	body           any           // sent as JSON; nil: no body
	timeout        time.Duration // of the call, including the wait for the budget
	// beforeSend, unless it is nil, is called after the wait for the budget, right before the request is sent. If it fails,
	// nothing is sent and the call returns ErrRefused with its error.
	beforeSend func() error
}

// call waits until the budget allows a request, and sends it.
func (c *Client) call(ctx context.Context, req request) (*httpx.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	if err := c.budget.requests.Wait(ctx); err != nil {
		return nil, budgetError()
	}
	if req.beforeSend != nil {
		if err := req.beforeSend(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	return c.send(ctx, req)
}

// send sends a request that the budget already covers. It returns the responses whose status has a meaning for some call, and
// turns all others into errors.
func (c *Client) send(ctx context.Context, req request) (*httpx.Response, error) {
	var body []byte
	if req.body != nil {
		var err error
		if body, err = json.Marshal(req.body); err != nil {
			return nil, fmt.Errorf("%w: encode request: %w", ErrRefused, err)
		}
	}
	resp, err := c.http.Do(ctx, req.method, req.target, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		return resp, nil
	case http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrRefused, errRateLimited)
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: status %d %.100s", ErrRefused, resp.Status, resp.Body)
	}
	return nil, unexpectedStatusError(resp)
}

// decode decodes the body of a response into v. A body that can't be decoded does not show whether the request was executed.
func decode(resp *httpx.Response, v any) error {
	if err := json.Unmarshal(resp.Body, v); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// unexpectedStatusError returns the error of a response whose status has no meaning for the call.
func unexpectedStatusError(resp *httpx.Response) error {
	return fmt.Errorf("%w: unexpected status %d", ErrOutcomeUnknown, resp.Status)
}
