package controller

import (
	"encoding/json"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// catalogCache is the catalog of machine types as the key-value store has it; empty until the replica shows one.
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

// applyCatalog takes the stored catalog and hands the machine types to the parts. One that can't be read, or is
// empty, is logged and changes nothing.
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
	c.partitions.SetTypes(capacities, cacheSizes)
	c.scheduler.SetFetchRates(fetchRates)
	c.scheduler.SetPrices(catalog.Types)
	c.api.SetTypes(catalog.Types)
}
