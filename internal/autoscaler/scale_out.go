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

// some picks the requests to send now: of a kind that gave less than it was
// asked for, one; of one that gave all, twice as many as the last time. So what
// the cloud has not got costs few calls, and what it has comes in a few steps.
func (f *Autoscaler) some(rentals []ScaleOut) (out []ScaleOut) {
	n := map[InstanceKind]int{}
	for _, h := range rentals {
		if f.window[h.InstanceKind] == 0 {
			f.window[h.InstanceKind] = 2
		}
		if n[h.InstanceKind] < f.window[h.InstanceKind] && len(out) < f.atOnce {
			n[h.InstanceKind]++
			out = append(out, h)
		}
	}
	return out
}

// rent sends rental requests, all kinds at once, and tells whether fewer came than were asked
// for. A request's name is never used again: the term and a counter.
func (f *Autoscaler) rent(ctx context.Context, list []ScaleOut) (short bool) {
	sent := f.clock.Now()
	got := make([]wire.HostList, len(list))
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, h := range list {
		f.counter++
		req := wire.ScaleOutRequest{Name: fmt.Sprintf("r-%d-%d", f.term, f.counter), Type: h.Type, Zone: h.Zone, Spot: h.Spot, Count: h.Count}
		wg.Go(func() { errs[i] = f.cloud.call(ctx, "POST", wire.PathInstances, req, &got[i]) })
	}
	wg.Wait()
	grown := map[InstanceKind]bool{}
	for _, h := range list {
		if !grown[h.InstanceKind] {
			grown[h.InstanceKind] = true
			f.window[h.InstanceKind] = min(2*f.window[h.InstanceKind], f.atOnce)
		}
	}
	for i, h := range list {
		hosts, err := got[i].Hosts, errs[i]
		f.log.Info("renting", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(hosts), "err", err)
		if errors.Is(err, errNoCapacity) || err == nil && len(hosts) < h.Count {
			f.refused[h.InstanceKind], f.window[h.InstanceKind] = sent+f.backoff, 1
		} else if err != nil && f.refused[h.InstanceKind] < sent {
			f.refused[h.InstanceKind] = sent + 3*clock.Second // perhaps rented all the same: the list will tell
		}
		for _, id := range hosts {
			f.rented[id] = Instance{InstanceKind: h.InstanceKind, ID: id, Phase: wire.MachineBooting, Since: sent}
			f.listedAt[id] = sent
		}
		short = short || len(hosts) < h.Count
	}
	return short
}

// giveBack returns machines that their owners have set aside.
func (f *Autoscaler) giveBack(ctx context.Context, list []ScaleIn) {
	why := map[string]string{}
	zone := map[string]string{}
	var some, failed []peer.MachineRef
	for _, r := range list {
		if f.rented[r.ID].Phase == wire.MachineFailed {
			failed = append(failed, peer.MachineRef{ID: r.ID, Zone: r.Zone})
		}
		if len(some) < 100 {
			some = append(some, peer.MachineRef{ID: r.ID, Zone: r.Zone})
			why[r.ID], zone[r.ID] = r.Reason, r.Zone
		}
	}
	if len(failed) > 0 {
		f.others.MarkMachinesGone(ctx, failed) // the cloud's own word that they have stopped
	}
	ready := f.others.Drain(ctx, some)
	if len(ready) == 0 {
		return
	}
	if got, mine := f.claims.Leading(Duty); !mine || got.Term != f.term {
		return
	}
	if err := f.cloud.call(ctx, "POST", wire.PathScaleIn, wire.HostList{Hosts: ready}, nil); err != nil {
		f.log.Info("returning machines", "hosts", ready, "err", err)
		return
	}
	now := f.clock.Now()
	var gone []peer.MachineRef
	for _, id := range ready {
		gone = append(gone, peer.MachineRef{ID: id, Zone: zone[id]})
		f.log.Info("returned a machine", "machine", id, "why", why[id])
		f.gone[id] = now
		f.drop(id)
	}
	f.others.MarkMachinesGone(ctx, gone)
}
