package autoscaler

import (
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Reasons for a scale-in, as the log shows them.
const (
	reasonFailed      = "failed"
	reasonSilent      = "silent for its whole lease"
	reasonQuarantined = "several jobs failed on it, or it is slow"
	reasonDrained     = "set aside for return"
	reasonIdle        = "idle" // the only reason to return a machine that could be used
	reasonWorkerGone  = "its worker is gone"
	reasonNeverUp     = "never came up"
)

const (
	// minBootS is a lower bound, in seconds, on the boot time that BootPatience multiplies.
	minBootS = 5
	// maxIdleScaleIn is the largest number of idle machines that one step returns while a zone is not healthy. Without
	// this bound, all replacements for the zone's machines would be returned at the moment at which it is
	// reachable again.
	maxIdleScaleIn = 2
)

// scaleInMachines returns the machines that are no longer needed, with the reasons, in the order of their ids.
func (p *planner) scaleInMachines() []ScaleIn {
	var list []ScaleIn
	for i := range p.Views {
		if reason := p.viewedMachineReason(i); reason != "" {
			list = append(list, ScaleIn{p.Views[i].ID, p.Views[i].Zone, reason})
		}
	}
	for _, instance := range p.Instances {
		if _, viewed := p.viewIndex[instance.ID]; viewed {
			continue
		}
		if reason := p.unviewedInstanceReason(instance); reason != "" {
			list = append(list, ScaleIn{instance.ID, instance.Zone, reason})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// viewedMachineReason returns why the machine at position i of Views is to be returned, or "" if it is kept.
func (p *planner) viewedMachineReason(i int) string {
	v := &p.Views[i]
	instance, listed := p.Instances[v.ID]
	switch {
	case instance.Phase == wire.MachineFailed:
		return reasonFailed
	case v.Silent:
		if listed && p.silentTooLong(instance) {
			return reasonSilent
		}
	case v.Sick && v.Count == 0:
		return reasonQuarantined
	case v.Draining && v.Count == 0:
		return reasonDrained
	case p.idleTooLong(v, instance) && !p.neededForDemand(i):
		return reasonIdle
	}
	return ""
}

// unviewedInstanceReason returns why an instance without a machine view is to be returned, or "" if it is kept.
func (p *planner) unviewedInstanceReason(instance Instance) string {
	t, known := p.types[instance.Type]
	switch {
	case instance.Phase == wire.MachineFailed:
		return reasonFailed
	case instance.HeartbeatSeen:
		if p.silentTooLong(instance) {
			return reasonWorkerGone
		}
	case known && (p.Now-instance.RequestedAt).Seconds() > max(t.BootS, minBootS)*p.Parameters.BootPatience:
		return reasonNeverUp
	}
	return ""
}

// silentTooLong reports whether a machine's worker has been unreachable for the boot time of such a machine. A
// machine that stopped is soon listed as failed. One that is still listed as running hangs or is cut off, and may
// be reachable again sooner than a replacement would have booted, so it is kept for that time.
func (p *planner) silentTooLong(instance Instance) bool {
	return instance.UnreachableSince != 0 && p.Now >= instance.UnreachableSince+p.bootTime(instance.Type)
}

// idleTooLong reports whether a machine has been without tasks for longer than IdleScaleInDelay. A machine that
// is not accounted for does not count as idle. One that is not usable at present gets no tasks for that reason, and may be
// usable again sooner than a replacement would have booted. It is kept for the boot time in addition, unless it is under an
// eviction notice.
func (p *planner) idleTooLong(v *peer.MachineView, instance Instance) bool {
	beyondDelay := v.Idle - p.Parameters.IdleScaleInDelay
	if !v.Accounted || v.Count != 0 || beyondDelay <= 0 {
		return false
	}
	return v.Usable || v.Noticed || beyondDelay > p.bootTime(instance.Type)
}

// neededForDemand reports whether the idle machine at position i of Views is kept for waiting tasks: without economy,
// as long as any task waits; with economy, only if the plan packed a task into this machine. On a large fleet some
// task waits at every moment, so that idle machines would never be returned otherwise. A machine that is not usable is
// not kept.
func (p *planner) neededForDemand(i int) bool {
	return p.Views[i].Usable && len(p.Demands) > 0 && (p.viewBins[i].reserved || !p.Parameters.Economy)
}

// limitIdleScaleIn drops all idle machines but the first maxIdleScaleIn from a list of machines to return.
func limitIdleScaleIn(list []ScaleIn) []ScaleIn {
	var limited []ScaleIn
	idle := 0
	for _, s := range list {
		if s.Reason == reasonIdle {
			if idle++; idle > maxIdleScaleIn {
				continue
			}
		}
		limited = append(limited, s)
	}
	return limited
}
