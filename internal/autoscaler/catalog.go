package autoscaler

import (
	"context"
	"net/http"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// catalogInterval is the time between two reads of the catalog. Prices and zones change rarely.
	catalogInterval = 30 * clock.Second
	// catalogWriteRetryInterval is the time after which the catalog is read and stored again if storing it has
	// failed.
	catalogWriteRetryInterval = 3 * clock.Second
)

// refreshCatalog reads the catalog from the cloud when that is due. While the cloud is unavailable and no
// catalog has been read yet, it uses the one in the key-value store. It reports whether there is a catalog.
func (a *Autoscaler) refreshCatalog(ctx context.Context, leadership leaderelection.Leadership, now clock.Micros) bool {
	if a.catalogFetchedAt == 0 || now > a.catalogFetchedAt+catalogInterval {
		a.fetchCatalog(ctx, leadership, now)
	}
	if len(a.catalog.Types) == 0 {
		a.catalog = a.storedCatalog()
	}
	return len(a.catalog.Types) > 0
}

// fetchCatalog reads the catalog from the cloud and stores it in the key-value store, so that a controller that
// starts while the cloud is unavailable can plan too.
func (a *Autoscaler) fetchCatalog(ctx context.Context, leadership leaderelection.Leadership, now clock.Micros) {
	var c wire.Catalog
	if err := a.cloud.call(ctx, http.MethodGet, wire.PathCatalog, nil, &c); err != nil || len(c.Types) == 0 {
		a.log.Warn("catalog fetch failed", "error", err)
		return
	}
	a.catalog, a.catalogFetchedAt = c, now
	txn := wire.Txn{
		Conditions: []wire.Condition{leadershipCondition(leadership)},
		Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: c}},
	}
	if _, err := a.store.Commit(ctx, txn); err != nil {
		a.log.Warn("catalog write failed", "error", err)
		a.catalogFetchedAt = now - (catalogInterval - catalogWriteRetryInterval)
	}
}

// leadershipCondition returns the condition that this leadership of the fleet is still current. It is part of
// every transaction, so that a write of a former leader fails.
func leadershipCondition(leadership leaderelection.Leadership) wire.Condition {
	return wire.Condition{Key: kvstore.LeaderPrefix + Duty, ModRevision: leadership.ModRevision}
}
