package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/merlinlatch/merlinlatch/wire"
)

// RootPrefix is the prefix of every key of the project. The replica watches it.
const RootPrefix = "ml/"

// Key prefixes below RootPrefix. docs/design.md, "Keys", describes the values of each.
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

// listPageSize is the maximum number of keys in a page of List.
const listPageSize = 500

// Get reads a key; found is false when the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.Item, found bool, err error) {
	if item, found, err = c.get(ctx, key); err != nil {
		return wire.Item{}, false, fmt.Errorf("read key %s: %w", key, err)
	}
	return item, found, nil
}

func (c *Client) get(ctx context.Context, key string) (item wire.Item, found bool, err error) {
	resp, err := c.call(ctx, request{method: http.MethodGet, target: wire.PathKeys + "/" + key, timeout: callTimeout})
	if err != nil {
		return item, false, err
	}
	if resp.Status == http.StatusNotFound {
		// A 404 without a revision may come from something on the way to the store, such as a proxy, and does not show that the
		// key is absent.
		var notFound struct {
			Revision *uint64 `json:"ledger_rev"`
		}
		if err := decode(resp, &notFound); err != nil || notFound.Revision == nil {
			return item, false, fmt.Errorf("%w: status 404 without a store revision", ErrOutcomeUnknown)
		}
		return item, false, nil
	}
	if err := decode(resp, &item); err != nil {
		return item, false, err
	}
	if resp.Status != http.StatusOK || item.Key != key {
		return item, false, fmt.Errorf("%w: response has status %d and key %q", ErrOutcomeUnknown, resp.Status, item.Key)
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

// listPage reads one page of the keys with a prefix. The page starts at the key that follows after, or at the first key if
// after is empty.
func (c *Client) listPage(ctx context.Context, prefix, after string) (page wire.ItemPage, err error) {
	target := wire.PathKeys + "?prefix=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(listPageSize)
	if after != "" {
		target += "&after=" + url.QueryEscape(after)
	}
	resp, err := c.call(ctx, request{method: http.MethodGet, target: target, timeout: callTimeout})
	if err != nil {
		return page, err
	}
	err = decode(resp, &page)
	return page, err
}
