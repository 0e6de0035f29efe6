package controller

import (
	"encoding/json"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// catalogCache holds the replica's catalog of machine types, which is empty until the replica has read one. It is safe for
// concurrent use.
type catalogCache struct {
	mu      sync.Mutex
	catalog wire.Catalog
}

func (s *catalogCache) set(catalog wire.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = catalog
}

func (s *catalogCache) get() wire.Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog
}

// applyCatalog decodes the stored catalog and passes the machine types to the components. A catalog that can't be decoded or
// is empty is logged and otherwise ignored.
func (c *Controller) applyCatalog(raw json.RawMessage) {
	var catalog wire.Catalog
	if err := json.Unmarshal(raw, &catalog); err != nil || len(catalog.Types) == 0 {
		c.log.Error("stored catalog invalid", "error", err)
		return
	}
	c.catalog.set(catalog)
	capacities, fetchRates, cacheSizes := map[string]resources.Amounts{}, map[string]float64{}, map[string]float64{}
	for _, t := range catalog.Types {
		cacheSizes[t.Name] = t.CacheGB
		fetchRates[t.Name] = t.FetchGBPS
		capacities[t.Name] = resources.Capacity(t.CPUs, t.GPUs, t.MemGB)
	}
	c.partitions.SetMachineTypes(capacities, cacheSizes)
	c.scheduler.SetFetchRates(fetchRates)
	c.scheduler.SetPrices(catalog.Types)
	c.api.SetMachineTypes(catalog.Types)
}
