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

// watchAnswerMargin is how much longer than it may block a watch may take: its wait for the budget and a slow answer.
const watchAnswerMargin = 5 * time.Second

// Watch waits for changes of keys with a prefix after revision rev, for at most block. It returns ErrCompacted when the store no
// longer has them all, or they are too large for one answer: then all keys are to be read anew.
func (c *Client) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	changes, err := c.watch(ctx, prefix, rev, block)
	if err != nil {
		return changes, fmt.Errorf("watch %s after revision %d: %w", prefix, rev, err)
	}
	return changes, nil
}

func (c *Client) watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (changes wire.WatchResponse, err error) {
	target := fmt.Sprintf("%s?prefix=%s&after=%d&block_ms=%d", wire.PathWatch, url.QueryEscape(prefix), rev, block.Milliseconds())
	r, err := c.call(ctx, request{method: http.MethodGet, target: target, timeout: block + watchAnswerMargin})
	if errors.Is(err, httpx.ErrTooLarge) {
		// An answer has no limit of size. What can't be held is read page by page instead: asking for the same again would fail
		// for ever.
		return changes, ErrCompacted
	}
	if err != nil {
		return changes, err
	}
	if r.Status == http.StatusGone {
		return changes, ErrCompacted
	}
	if err := decode(r, &changes); err != nil {
		return changes, err
	}
	if r.Status != http.StatusOK || changes.Revision < rev {
		return changes, fmt.Errorf("%w: answer with status %d at revision %d", ErrOutcomeUnknown, r.Status, changes.Revision)
	}
	return changes, nil
}
