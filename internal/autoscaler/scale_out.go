package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// selectRequests picks the requests to send now: of a kind that gave less than it was
// asked for, one; of one that gave all, twice as many as the last time. So what
// the cloud has not got costs few calls, and what it has comes in a few steps.
func (a *Autoscaler) selectRequests(rentals []ScaleOut) (out []ScaleOut) {
	n := map[InstanceKind]int{}
	for _, h := range rentals {
		if a.requestWindow[h.InstanceKind] == 0 {
			a.requestWindow[h.InstanceKind] = 2
		}
		if n[h.InstanceKind] < a.requestWindow[h.InstanceKind] && len(out) < a.maxRequests {
			n[h.InstanceKind]++
			out = append(out, h)
		}
	}
	return out
}

// requestScaleOut sends rental requests, all kinds at once, and tells whether fewer came than were asked
// for. A request's name is never used again: the term and a counter.
func (a *Autoscaler) requestScaleOut(ctx context.Context, list []ScaleOut) (short bool) {
	sent := a.clock.Now()
	got := make([]wire.HostList, len(list))
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, h := range list {
		a.requestCounter++
		req := wire.ScaleOutRequest{Name: fmt.Sprintf("r-%d-%d", a.term, a.requestCounter), Type: h.Type, Zone: h.Zone, Spot: h.Spot, Count: h.Count}
		wg.Go(func() { errs[i] = a.cloud.call(ctx, "POST", wire.PathInstances, req, &got[i]) })
	}
	wg.Wait()
	grown := map[InstanceKind]bool{}
	for _, h := range list {
		if !grown[h.InstanceKind] {
			grown[h.InstanceKind] = true
			a.requestWindow[h.InstanceKind] = min(2*a.requestWindow[h.InstanceKind], a.maxRequests)
		}
	}
	for i, h := range list {
		hosts, err := got[i].Hosts, errs[i]
		a.log.Info("renting", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(hosts), "err", err)
		if errors.Is(err, errNoCapacity) || err == nil && len(hosts) < h.Count {
			a.refusedUntil[h.InstanceKind], a.requestWindow[h.InstanceKind] = sent+a.backoff, 1
		} else if err != nil && a.refusedUntil[h.InstanceKind] < sent {
			a.refusedUntil[h.InstanceKind] = sent + 3*clock.Second // perhaps rented all the same: the list will tell
		}
		for _, id := range hosts {
			a.instances[id] = Instance{InstanceKind: h.InstanceKind, ID: id, Phase: wire.MachineBooting, Since: sent}
			a.lastSeen[id] = sent
		}
		short = short || len(hosts) < h.Count
	}
	return short
}

// requestScaleIn returns machines that their owners have set aside.
func (a *Autoscaler) requestScaleIn(ctx context.Context, list []ScaleIn) {
	why := map[string]string{}
	zone := map[string]string{}
	var some, failed []peer.MachineRef
	for _, r := range list {
		if a.instances[r.ID].Phase == wire.MachineFailed {
			failed = append(failed, peer.MachineRef{ID: r.ID, Zone: r.Zone})
		}
		if len(some) < 100 {
			some = append(some, peer.MachineRef{ID: r.ID, Zone: r.Zone})
			why[r.ID], zone[r.ID] = r.Reason, r.Zone
		}
	}
	if len(failed) > 0 {
		a.controllers.MarkMachinesGone(ctx, failed) // the cloud's own word that they have stopped
	}
	ready := a.controllers.Drain(ctx, some)
	if len(ready) == 0 {
		return
	}
	if got, mine := a.elections.Leading(Duty); !mine || got.Term != a.term {
		return
	}
	if err := a.cloud.call(ctx, "POST", wire.PathScaleIn, wire.HostList{Hosts: ready}, nil); err != nil {
		a.log.Info("returning machines", "hosts", ready, "err", err)
		return
	}
	now := a.clock.Now()
	var gone []peer.MachineRef
	for _, id := range ready {
		gone = append(gone, peer.MachineRef{ID: id, Zone: zone[id]})
		a.log.Info("returned a machine", "machine", id, "why", why[id])
		a.goneSince[id] = now
		a.forget(id)
	}
	a.controllers.MarkMachinesGone(ctx, gone)
}
