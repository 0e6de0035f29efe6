package autoscaler

import (
	"context"
	"net/http"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxDrainsPerStep bounds how many machines a step asks the partition leaders to drain: one request
// to each of them, and one to the cloud, carry that many.
const maxDrainsPerStep = 100

// scaleIn returns the planned machines that their partition leaders have drained
// (docs/design.md, "Why the rules hold", 12).
func (a *Autoscaler) scaleIn(ctx context.Context, planned []ScaleIn) {
	if len(planned) == 0 {
		return
	}
	if failed := a.failedMachines(planned); len(failed) > 0 {
		a.controllers.MarkMachinesGone(ctx, failed) // the cloud itself lists them as failed
	}
	batch := planned[:min(len(planned), maxDrainsPerStep)]
	drained := a.controllers.Drain(ctx, machineRefs(batch))
	if len(drained) == 0 || !a.stillLeading() {
		return
	}
	if err := a.cloud.call(ctx, http.MethodPost, wire.PathScaleIn, wire.HostList{Hosts: drained}, nil); err != nil {
		a.log.Warn("scale-in failed", "machines", drained, "error", err)
		return
	}
	a.controllers.MarkMachinesGone(ctx, a.recordReturned(drained, batch))
}

// failedMachines are those of the planned ones that the cloud lists as failed.
func (a *Autoscaler) failedMachines(planned []ScaleIn) []peer.MachineRef {
	var failed []peer.MachineRef
	for _, s := range planned {
		if a.list.instances[s.ID].Phase == wire.MachineFailed {
			failed = append(failed, peer.MachineRef{ID: s.ID, Zone: s.Zone})
		}
	}
	return failed
}

func machineRefs(list []ScaleIn) []peer.MachineRef {
	refs := make([]peer.MachineRef, len(list))
	for i, s := range list {
		refs[i] = peer.MachineRef{ID: s.ID, Zone: s.Zone}
	}
	return refs
}

// recordReturned takes note that the cloud took the drained machines of a batch back.
func (a *Autoscaler) recordReturned(drained []string, batch []ScaleIn) []peer.MachineRef {
	planned := make(map[string]ScaleIn, len(batch))
	for _, s := range batch {
		planned[s.ID] = s
	}
	now := a.clock.Now()
	gone := make([]peer.MachineRef, len(drained))
	for i, id := range drained {
		s := planned[id]
		gone[i] = peer.MachineRef{ID: id, Zone: s.Zone}
		a.log.Info("machine returned", "machine", id, "reason", s.Reason)
		a.list.markGone(id, now)
	}
	return gone
}
