package autoscaler

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// fetchCatalog reads the catalog, and keeps it in the state service so that a
// controller that starts while the cloud is out can decide.
func (a *Autoscaler) fetchCatalog(ctx context.Context, h leaderelection.Leadership, now clock.Micros) {
	var c wire.Catalog
	if err := a.cloud.call(ctx, "GET", wire.PathCatalog, nil, &c); err != nil || len(c.Types) == 0 {
		a.log.Info("reading the catalog", "err", err)
		return
	}
	a.catalog, a.catalogFetchedAt = c, now
	if _, err := a.store.Commit(ctx, wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty, ModRevision: h.ModRevision}},
		Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: c}}}); err != nil {
		a.log.Info("keeping the catalog", "err", err)
		a.catalogFetchedAt = now - 27*clock.Second
	}
}

// refreshInstances reads the cloud's refreshInstances. Absence proves nothing at once: the refreshInstances lags. But
// a machine that was on it once stays on it until it is gone. A refreshInstances that
// describes a later moment than that first sight, though it may be twice the lag
// old, and lacks the machine is the cloud's word that it is gone with all that was
// on it: nobody need wait for its worker's lease to run out.
func (a *Autoscaler) refreshInstances(ctx context.Context) error {
	after, began, wall := "", a.clock.Now(), a.wallClock()
	for {
		var page wire.InstancePage
		if err := a.cloud.call(ctx, "GET", fmt.Sprintf("%s?after=%s&most=%d", wire.PathInstances, after, wire.MaxList), nil, &page); err != nil {
			return err
		}
		for _, r := range page.Instances {
			after = r.ID
			if a.goneSince[r.ID] != 0 {
				continue
			}
			since := began - clock.FromSeconds(r.AgeS)
			old, ok := a.instances[r.ID]
			if ok {
				since = min(old.Since, since)
			}
			a.instances[r.ID] = Instance{InstanceKind: InstanceKind{r.Type, r.Zone, r.Spot}, ID: r.ID, Phase: r.Phase, Since: since, Up: old.Up, Lost: old.Lost}
			a.lastSeen[r.ID] = began
			if a.firstListed[r.ID] == 0 {
				a.firstListed[r.ID] = a.clock.Now()
			}
		}
		if !page.More || len(page.Instances) == 0 {
			break
		}
	}
	a.listedAt = began
	for id, at := range a.goneSince {
		if began > at+600*clock.Second {
			delete(a.goneSince, id) // no list is as old as that
		}
	}
	var gone []peer.MachineRef
	lost := func(id, zone string) {
		gone = append(gone, peer.MachineRef{ID: id, Zone: zone})
		a.goneSince[id] = began // an older list may still show it
		a.forget(id)
	}
	// The same holds of a machine that was recorded, and so was there, before
	// the moment that the list describes, by the time of day. A new holder, to
	// whom every machine is new, tells by that which ones the owners need not wait for.
	for _, m := range a.controllers.RecordedBefore(wall.UnixMilli() - (2*a.listLag + 2*a.clockSkew + 2*clock.Second).Duration().Milliseconds()) {
		if a.lastSeen[m.ID] < began && a.goneSince[m.ID] == 0 {
			lost(m.ID, m.Zone)
		}
	}
	for id, r := range a.instances {
		absent := a.lastSeen[id] < began
		if first := a.firstListed[id]; absent && first != 0 && began > (first+2*a.listLag).PlusDrift()+clock.Second {
			lost(id, r.Zone)
		} else if began > a.lastSeen[id]+3*a.listLag+2*clock.Second {
			a.forget(id)
		}
	}
	if len(gone) > 0 {
		slices.SortFunc(gone, func(a, b peer.MachineRef) int { return strings.Compare(a.ID, b.ID) })
		a.log.Info("machines are on the cloud's list no more", "machines", gone)
		a.controllers.MarkMachinesGone(ctx, gone)
	}
	return nil
}

// forget takes a machine off what is known to be rented.
func (a *Autoscaler) forget(id string) {
	delete(a.instances, id)
	delete(a.lastSeen, id)
	delete(a.firstListed, id)
}
