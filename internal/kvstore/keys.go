package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/merlinlatch/merlinlatch/wire"
)

// RootPrefix is the prefix of every key of the project; the watch covers it.
const RootPrefix = "ml/"

// Prefixes of keys below RootPrefix; docs/design.md, "Keys", says what each holds.
const (
	LeaderPrefix     = RootPrefix + "c/" // leaderships
	ControllerPrefix = RootPrefix + "n/" // registered incarnations of controllers
	ActiveJobPrefix  = RootPrefix + "a/" // jobs that are not final
	FinalJobPrefix   = RootPrefix + "f/" // final states of jobs
	MachinePrefix    = RootPrefix + "m/" // machines that may hold tasks
	ProgressPrefix   = RootPrefix + "p/" // completed tasks of active jobs
	WatermarkPrefix  = RootPrefix + "w/" // how many tasks of active jobs may have been assigned
	CatalogKey       = catalogPrefix + "catalog"
	ZonePrefix       = RootPrefix + "z/" // states of zones

	catalogPrefix = RootPrefix + "k/"
)

// listPageSize is how many keys a page of List may have.
const listPageSize = 500

// Get reads a key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.Item, found bool, err error) {
	if item, found, err = c.get(ctx, key); err != nil {
		return wire.Item{}, false, fmt.Errorf("read key %s: %w", key, err)
	}
	return item, found, nil
}

func (c *Client) get(ctx context.Context, key string) (item wire.Item, found bool, err error) {
	r, err := c.call(ctx, request{method: http.MethodGet, target: wire.PathKeys + "/" + key, timeout: callTimeout})
	if err != nil {
		return item, false, err
	}
	if r.Status == http.StatusNotFound {
		// A 404 counts only when it is the store's own answer, not that of something on the way to it.
		var absent struct {
			Revision *uint64 `json:"ledger_rev"`
		}
		if err := decode(r, &absent); err != nil || absent.Revision == nil {
			return item, false, fmt.Errorf("%w: status 404 without a revision", ErrOutcomeUnknown)
		}
		return item, false, nil
	}
	if err := decode(r, &item); err != nil {
		return item, false, err
	}
	if r.Status != http.StatusOK || item.Key != key {
		return item, false, fmt.Errorf("%w: answer with status %d and key %q", ErrOutcomeUnknown, r.Status, item.Key)
	}
	return item, true, nil
}

// List reads all keys with a prefix, page by page; rev is the revision of the first page.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.Item, rev uint64, err error) {
	after := ""
	for {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list keys %s after %q: %w", prefix, after, err)
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

// listPage reads the keys with a prefix that come after a key; an empty one stands for the beginning.
func (c *Client) listPage(ctx context.Context, prefix, after string) (page wire.ItemPage, err error) {
	target := wire.PathKeys + "?prefix=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(listPageSize)
	if after != "" {
		target += "&after=" + url.QueryEscape(after)
	}
	r, err := c.call(ctx, request{method: http.MethodGet, target: target, timeout: callTimeout})
	if err != nil {
		return page, err
	}
	err = decode(r, &page)
	return page, err
}
