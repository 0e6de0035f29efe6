package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// watchResponseMargin is the time that a watch may take beyond the time for which the store may block it: the wait for the
// budget and a slow response.
const watchResponseMargin = 5 * time.Second

// Watch waits for changes of keys with a prefix after revision rev, for at most the time block. It returns ErrCompacted when
// the store no longer has all of these changes, or they are larger than a response may be here: all keys then have to be read
// again.
func (c *Client) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	changes, err := c.watch(ctx, prefix, rev, block)
	if err != nil {
		return changes, fmt.Errorf("watch %s after revision %d: %w", prefix, rev, err)
	}
	return changes, nil
}

func (c *Client) watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (changes wire.WatchResponse, err error) {
	target := fmt.Sprintf("%s?prefix=%s&after=%d&block_ms=%d", wire.PathWatch, url.QueryEscape(prefix), rev, block.Milliseconds())
	resp, err := c.call(ctx, request{method: http.MethodGet, target: target, timeout: block + watchResponseMargin})
	if errors.Is(err, httpx.ErrTooLarge) {
		// The store does not limit the size of a response. Changes too large to be held are read page by page from the keys
		// instead: the same request would fail every time.
		return changes, ErrCompacted
	}
	if err != nil {
		return changes, err
	}
	if resp.Status == http.StatusGone {
		return changes, ErrCompacted
	}
	if err := decode(resp, &changes); err != nil {
		return changes, err
	}
	if resp.Status != http.StatusOK || changes.Revision < rev {
		return changes, fmt.Errorf("%w: response has status %d and revision %d", ErrOutcomeUnknown, resp.Status, changes.Revision)
	}
	return changes, nil
}
