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
	// catalogInterval is how often the catalog is read: prices and zones change rarely.
	catalogInterval = 30 * clock.Second
	// catalogWriteRetryInterval is how soon it is read and stored again when it could not be stored.
	catalogWriteRetryInterval = 3 * clock.Second
)

// refreshCatalog reads the catalog when it is time for it, and falls back to the stored one where
// there is none: the cloud is out. It reports whether there is a catalog.
func (a *Autoscaler) refreshCatalog(ctx context.Context, leadership leaderelection.Leadership, now clock.Micros) bool {
	if a.catalogFetchedAt == 0 || now > a.catalogFetchedAt+catalogInterval {
		a.fetchCatalog(ctx, leadership, now)
	}
	if len(a.catalog.Types) == 0 {
		a.catalog = a.storedCatalog()
	}
	return len(a.catalog.Types) > 0
}

// fetchCatalog reads the catalog, and stores it in the key-value store so that a
// controller that starts while the cloud is out can decide.
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

// leadershipCondition makes a write depend on the fleet's leadership: a former leader's changes nothing.
func leadershipCondition(leadership leaderelection.Leadership) wire.Condition {
	return wire.Condition{Key: kvstore.LeaderPrefix + Duty, ModRevision: leadership.ModRevision}
}
