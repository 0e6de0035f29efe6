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

// maxIdleConnections is how many connections to the store are kept open between requests.
const maxIdleConnections = 8

// callTimeout bounds a call. The store may answer slowly for a while: a call that is given up too soon has been carried out all
// the same.
const callTimeout = 3 * time.Second

// Client calls the key-value store. Its methods may be called from any goroutine. They return ErrRefused, ErrOutcomeUnknown or
// an error of their own that they name, with what was attempted.
type Client struct {
	http   *httpx.Client
	budget budget
}

// NewClient makes a client that keeps to its part of rps requests and writes changes a second, which so many controllers share;
// answers over limit bytes are rejected.
func NewClient(addr string, rps, writes float64, controllers, limit int) *Client {
	return &Client{http: httpx.NewClient(addr, maxIdleConnections, limit), budget: newBudget(rps, writes, controllers)}
}

// CountTraffic has the client count its traffic.
func (c *Client) CountTraffic(t *telemetry.Traffic) { c.http.Count(t) }

// request is a request to the store.
type request struct {
	method, target string
	body           any           // sent as JSON; nil: none
	timeout        time.Duration // of the call, the wait for the budget included
	// beforeSend, if there is one, is called when the budget is had and the request is about to be sent. If it fails nothing is
	// sent, and the call is refused with its error.
	beforeSend func() error
}

// call waits for the budget and sends a request.
func (c *Client) call(ctx context.Context, in request) (*httpx.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, in.timeout)
	defer cancel()
	if err := c.budget.requests.Wait(ctx); err != nil {
		return nil, errBudget()
	}
	if in.beforeSend != nil {
		if err := in.beforeSend(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	return c.send(ctx, in)
}

// send sends a request for which the budget is had. The answers that it returns are those that a call may give a meaning to;
// all others are errors.
func (c *Client) send(ctx context.Context, in request) (*httpx.Response, error) {
	var body []byte
	if in.body != nil {
		var err error
		if body, err = json.Marshal(in.body); err != nil {
			return nil, fmt.Errorf("%w: encode request: %w", ErrRefused, err)
		}
	}
	r, err := c.http.Do(ctx, in.method, in.target, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch r.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		return r, nil
	case http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrRefused, errRateLimited)
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: status %d %.100s", ErrRefused, r.Status, r.Body)
	}
	return nil, errUnexpectedStatus(r)
}

// decode reads an answer's body. One that can't be read proves nothing about the request.
func decode(r *httpx.Response, v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// errUnexpectedStatus is the error of an answer whose status has no meaning for the call.
func errUnexpectedStatus(r *httpx.Response) error {
	return fmt.Errorf("%w: unexpected status %d", ErrOutcomeUnknown, r.Status)
}
