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
func (f *Autoscaler) fetchCatalog(ctx context.Context, h leaderelection.Leadership, now clock.Micros) {
	var c wire.Catalog
	if err := f.cloud.call(ctx, "GET", wire.PathCatalog, nil, &c); err != nil || len(c.Types) == 0 {
		f.log.Info("reading the catalog", "err", err)
		return
	}
	f.catalog, f.fetched = c, now
	if _, err := f.store.Commit(ctx, wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty, ModRevision: h.ModRevision}},
		Operations: []wire.Operation{{Put: kvstore.CatalogKey, Value: c}}}); err != nil {
		f.log.Info("keeping the catalog", "err", err)
		f.fetched = now - 27*clock.Second
	}
}

// list reads the cloud's list. Absence proves nothing at once: the list lags. But
// a machine that was on it once stays on it until it is gone. A list that
// describes a later moment than that first sight, though it may be twice the lag
// old, and lacks the machine is the cloud's word that it is gone with all that was
// on it: nobody need wait for its worker's lease to run out.
func (f *Autoscaler) list(ctx context.Context) error {
	after, began, wall := "", f.clock.Now(), f.wall()
	for {
		var page wire.InstancePage
		if err := f.cloud.call(ctx, "GET", fmt.Sprintf("%s?after=%s&most=%d", wire.PathInstances, after, wire.MaxList), nil, &page); err != nil {
			return err
		}
		for _, r := range page.Instances {
			after = r.ID
			if f.gone[r.ID] != 0 {
				continue
			}
			since := began - clock.FromSeconds(r.AgeS)
			old, ok := f.rented[r.ID]
			if ok {
				since = min(old.Since, since)
			}
			f.rented[r.ID] = Instance{InstanceKind: InstanceKind{r.Type, r.Zone, r.Spot}, ID: r.ID, Phase: r.Phase, Since: since, Up: old.Up, Lost: old.Lost}
			f.listedAt[r.ID] = began
			if f.known[r.ID] == 0 {
				f.known[r.ID] = f.clock.Now()
			}
		}
		if !page.More || len(page.Instances) == 0 {
			break
		}
	}
	f.listed = began
	for id, at := range f.gone {
		if began > at+600*clock.Second {
			delete(f.gone, id) // no list is as old as that
		}
	}
	var gone []peer.MachineRef
	lost := func(id, zone string) {
		gone = append(gone, peer.MachineRef{ID: id, Zone: zone})
		f.gone[id] = began // an older list may still show it
		f.drop(id)
	}
	// The same holds of a machine that was recorded, and so was there, before
	// the moment that the list describes, by the time of day. A new holder, to
	// whom every machine is new, tells by that which ones the owners need not wait for.
	for _, m := range f.others.RecordedBefore(wall.UnixMilli() - (2*f.lag + 2*f.skew + 2*clock.Second).Duration().Milliseconds()) {
		if f.listedAt[m.ID] < began && f.gone[m.ID] == 0 {
			lost(m.ID, m.Zone)
		}
	}
	for id, r := range f.rented {
		absent := f.listedAt[id] < began
		if first := f.known[id]; absent && first != 0 && began > (first+2*f.lag).PlusDrift()+clock.Second {
			lost(id, r.Zone)
		} else if began > f.listedAt[id]+3*f.lag+2*clock.Second {
			f.drop(id)
		}
	}
	if len(gone) > 0 {
		slices.SortFunc(gone, func(a, b peer.MachineRef) int { return strings.Compare(a.ID, b.ID) })
		f.log.Info("machines are on the cloud's list no more", "machines", gone)
		f.others.MarkMachinesGone(ctx, gone)
	}
	return nil
}

// drop takes a machine off what is known to be rented.
func (f *Autoscaler) drop(id string) {
	delete(f.rented, id)
	delete(f.listedAt, id)
	delete(f.known, id)
}
