package autoscaler

import (
	"context"
	"net/http"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxDrainsPerStep is the largest number of machines that one step asks the partition leaders to drain. They are
// named in a single request to each partition leader, and in a single request to the cloud.
const maxDrainsPerStep = 100

// scaleIn returns those of the planned machines to the cloud that their partition leaders have drained. Returning a
// machine that is not drained would kill its tasks, or any task that its partition leader starts there meanwhile
// (docs/design.md, "Why the rules hold", number 12).
func (a *Autoscaler) scaleIn(ctx context.Context, planned []ScaleIn) {
	if len(planned) == 0 {
		return
	}
	if failed := a.failedMachines(planned); len(failed) > 0 {
		a.controllers.MarkMachinesGone(ctx, failed) // the cloud lists them as failed, so that nothing runs there
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

// failedMachines returns those of the planned machines that the cloud lists as failed.
func (a *Autoscaler) failedMachines(planned []ScaleIn) []peer.MachineRef {
	var failed []peer.MachineRef
	for _, s := range planned {
		if a.instanceList.instances[s.ID].Phase == wire.MachineFailed {
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

// recordReturned logs that the drained machines of a batch were returned, marks them gone, and returns references
// to them.
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
		a.instanceList.markGone(id, now)
	}
	return gone
}
