// Package state speaks with the state service: a client that keeps to this
// controller's part of the request budget, and a replica kept fresh by a watch.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/time/rate"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// What may go wrong with a call.
var (
	// ErrRefused means that the request was surely not executed.
	ErrRefused = errors.New("state service refused the request")
	// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("state service gave no answer")
	// ErrConflict means that a condition did not hold.
	ErrConflict = errors.New("a condition did not hold")
	// ErrLeaseNotFound means that the hold has ended.
	ErrLeaseNotFound = errors.New("the hold has ended")
	// ErrCompacted means that the watched revision is no longer kept.
	ErrCompacted = errors.New("the revision is no longer kept")
	// errRateLimited means that all controllers together ask for more than the service allows.
	errRateLimited = errors.New("too many requests")
	// ErrBudgetExhausted means that this controller's part of the budget is spent.
	ErrBudgetExhausted = errors.New("request budget spent")
)

// Client calls the state service.
type Client struct {
	http                *httpx.Client
	requestBudget       *rate.Limiter
	writeBudget         *rate.Limiter
	priorityWriteBudget *rate.Limiter // changes that users or other controllers wait for
	userReadBudget      *rate.Limiter // keys read on users' behalf
}

// UserClient is the way of what users ask: reads for them have a part of the budget
// and no more, so that however often they ask, also for jobs that nobody knows,
// holds are renewed and jobs accepted. Their changes go the urgent way.
type UserClient struct{ PriorityClient }

// Get reads a key while the users' part of the budget lasts.
func (u UserClient) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	if !u.userReadBudget.Allow() {
		return wire.Item{}, false, fmt.Errorf("%w: %w", ErrRefused, ErrBudgetExhausted)
	}
	return u.Client.Get(ctx, key)
}

// PriorityClient is a client whose changes have a part of the budget to themselves.
type PriorityClient struct{ *Client }

// rateLimitPause is how long an urgent transaction waits when the service has had
// too many changes from all controllers together.
const rateLimitPause = 120 * time.Millisecond

// Commit carries out a transaction that must not queue behind others. It takes
// what the others have left of their part when its own is spent: after an
// outage users come all at once.
func (u PriorityClient) Commit(ctx context.Context, m wire.Txn) (uint64, error) {
	return u.CommitWithCheck(ctx, m, nil)
}

// CommitAt is Commit, with a word right before the transaction is sent.
func (u PriorityClient) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	budget := u.Client.priorityWriteBudget
	if now := time.Now(); budget.AllowN(now, len(m.Operations)) || u.Client.writeBudget.AllowN(now, len(m.Operations)) {
		budget = nil
	}
	for {
		rev, err := u.commit(ctx, m, budget, sending)
		if !errors.Is(err, errRateLimited) {
			return rev, err
		}
		budget = nil
		select {
		case <-time.After(rateLimitPause):
		case <-ctx.Done():
			return rev, err
		}
	}
}

// NewClient makes a client that keeps to one of share parts of the budget;
// answers over limit bytes are refused.
func NewClient(addr string, rps, writes float64, share, limit int) *Client {
	n := float64(max(share, 1))
	return &Client{
		http:                httpx.NewClient(addr, 8, limit),
		requestBudget:       rate.NewLimiter(rate.Limit(rps/n*0.95), max(1, int(rps/n*0.9))),
		userReadBudget:      rate.NewLimiter(rate.Limit(rps/n*0.4), max(2, int(rps/n*0.4))),
		writeBudget:         rate.NewLimiter(rate.Limit(writes/n*0.65), max(13, int(writes/n))),
		priorityWriteBudget: rate.NewLimiter(rate.Limit(writes/n*0.3), max(8, int(writes/n/2))),
	}
}

// CountTraffic has the client count its traffic.
func (c *Client) CountTraffic(t *telemetry.Traffic) { c.http.Count(t) }

// callTimeout bounds a call. The service may answer slowly for a while: a call
// that is given up too soon has been carried out all the same.
const callTimeout = 3 * time.Second

func (c *Client) call(ctx context.Context, method, target string, body any, timeout time.Duration) (*httpx.Response, error) {
	return c.callWithCheck(ctx, method, target, body, timeout, nil)
}

// callWithCheck calls sending, if there is one, when the budget is had and the request
// is about to be sent. Its error stands for a refusal.
func (c *Client) callWithCheck(ctx context.Context, method, target string, body any, timeout time.Duration, sending func() error) (*httpx.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.requestBudget.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, ErrBudgetExhausted)
	}
	if sending != nil {
		if err := sending(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	return c.send(ctx, method, target, body)
}

// send sends a request for which the budget is had.
func (c *Client) send(ctx context.Context, method, target string, body any) (*httpx.Response, error) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	r, err := c.http.Do(ctx, method, target, b)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch r.Status {
	case 200, 404, 409, 410:
		return r, nil
	case 429:
		return nil, fmt.Errorf("%w: %w", ErrRefused, errRateLimited)
	case 400, 503:
		return nil, fmt.Errorf("%w: status %d %.100s", ErrRefused, r.Status, r.Body)
	}
	return nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, r.Status)
}

func decode(r *httpx.Response, v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// Get reads a key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.Item, found bool, err error) {
	r, err := c.call(ctx, "GET", wire.PathKeys+"/"+key, nil, callTimeout)
	if err != nil {
		return item, false, err
	}
	if r.Status == 404 {
		// A 404 counts only when it is the service's own word.
		var none struct {
			Rev *uint64 `json:"ledger_rev"`
		}
		if err := decode(r, &none); err != nil || none.Rev == nil {
			return item, false, fmt.Errorf("%w: odd 404", ErrOutcomeUnknown)
		}
		return item, false, nil
	}
	if err := decode(r, &item); err != nil {
		return item, false, err
	}
	if r.Status != 200 || item.Key != key {
		return item, false, fmt.Errorf("%w: odd answer", ErrOutcomeUnknown)
	}
	return item, true, nil
}

// List reads all keys with a prefix; rev is the revision of the first page.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.Item, rev uint64, err error) {
	after := ""
	for {
		q := "?prefix=" + url.QueryEscape(prefix) + "&most=500"
		if after != "" {
			q += "&after=" + url.QueryEscape(after)
		}
		r, err := c.call(ctx, "GET", wire.PathKeys+q, nil, callTimeout)
		if err != nil {
			return nil, 0, err
		}
		var page wire.ItemPage
		if err := decode(r, &page); err != nil {
			return nil, 0, err
		}
		if after == "" {
			rev = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, rev, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Commit carries out a transaction and gives its revision.
func (c *Client) Commit(ctx context.Context, m wire.Txn) (uint64, error) {
	return c.commit(ctx, m, c.writeBudget, nil)
}

// CommitAt is Commit, with a word right before the transaction is sent: what
// holds only from then on, or must hold still at that moment, is settled there
// and not before the wait for the budget. If sending fails nothing is sent.
func (c *Client) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	return c.commit(ctx, m, c.writeBudget, sending)
}

func (c *Client) commit(ctx context.Context, m wire.Txn, budget *rate.Limiter, sending func() error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if n := len(m.Operations); n > 0 && budget != nil {
		if err := budget.WaitN(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrRefused, ErrBudgetExhausted)
		}
	}
	if m.Conditions == nil {
		m.Conditions = []wire.Condition{}
	}
	r, err := c.callWithCheck(ctx, "POST", wire.PathTxn, m, callTimeout, sending)
	if err != nil {
		return 0, err
	}
	var a wire.TxnResponse
	if err := decode(r, &a); err != nil {
		return 0, err
	}
	switch r.Status {
	case 200:
		return a.Revision, nil
	case 409:
		return a.Revision, fmt.Errorf("%w: %v", ErrConflict, a.Failed)
	}
	return 0, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, r.Status)
}

// Spare tells whether n changes that can wait may be made now, leaving room
// for urgent ones.
func (c *Client) HasSpareWrites(n int) bool {
	return c.writeBudget.Tokens() >= float64(n)+float64(c.writeBudget.Burst())/3
}

// Grant makes a hold.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	r, err := c.call(ctx, "POST", wire.PathLeases, map[string]int64{"ttl_ms": ttl.Milliseconds()}, callTimeout)
	if err != nil {
		return 0, err
	}
	var a wire.LeaseResponse
	if err := decode(r, &a); err != nil || r.Status != 200 || a.LeaseID == 0 {
		return 0, fmt.Errorf("%w: making a hold: status %d", ErrOutcomeUnknown, r.Status)
	}
	return a.LeaseID, nil
}

// Extend renews a hold. It takes from the budget what others wait for, and does not
// queue behind them: every duty hangs on it.
func (c *Client) KeepAlive(ctx context.Context, hold uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.requestBudget.Reserve()
	r, err := c.send(ctx, "POST", fmt.Sprintf("%s/%d/extend", wire.PathLeases, hold), struct{}{})
	if err != nil {
		return err
	}
	switch r.Status {
	case 200:
		return nil
	case 404:
		return ErrLeaseNotFound
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, r.Status)
}

// Watch waits for changes after rev.
func (c *Client) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	var ch wire.WatchResponse
	q := fmt.Sprintf("%s?prefix=%s&after=%d&block_ms=%d", wire.PathWatch, url.QueryEscape(prefix), rev, block.Milliseconds())
	r, err := c.call(ctx, "GET", q, nil, block+5*time.Second)
	if errors.Is(err, httpx.ErrTooLarge) {
		// An answer has no limit of size. What can't be held is read page by
		// page instead: asking for the same again would fail for ever.
		return ch, ErrCompacted
	}
	if err != nil {
		return ch, err
	}
	if r.Status == 410 {
		return ch, ErrCompacted
	}
	if err := decode(r, &ch); err != nil {
		return ch, err
	}
	if r.Status != 200 || ch.Revision < rev {
		return ch, fmt.Errorf("%w: odd answer", ErrOutcomeUnknown)
	}
	return ch, nil
}
