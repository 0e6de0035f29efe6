package autoscaler

import (
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Reasons of a scale-in, as the log shows them.
const (
	reasonFailed      = "failed"
	reasonSilent      = "silent for its whole lease"
	reasonQuarantined = "several jobs failed on it, or it is slow"
	reasonDrained     = "set aside for return"
	reasonIdle        = "idle" // the only one for machines that could be used
	reasonWorkerGone  = "its worker is gone"
	reasonNeverUp     = "never came up"
)

const (
	// minBootS is the least boot time that patience with a booting instance is counted in, in seconds.
	minBootS = 5
	// maxIdleScaleIn is how many idle machines are returned at a time while a zone is not healthy: the
	// replacements requested for it are not all returned in the moment in which it is back.
	maxIdleScaleIn = 2
)

// scaleInMachines decides which machines are of no more use, in the order of their names.
func (p *planner) scaleInMachines() []ScaleIn {
	var list []ScaleIn
	for i := range p.Views {
		if reason := p.viewedReason(i); reason != "" {
			list = append(list, ScaleIn{p.Views[i].ID, p.Views[i].Zone, reason})
		}
	}
	for _, r := range p.Instances {
		if _, viewed := p.viewIndex[r.ID]; viewed {
			continue
		}
		if reason := p.unviewedReason(r); reason != "" {
			list = append(list, ScaleIn{r.ID, r.Zone, reason})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// viewedReason is why the machine of a view is to be returned; empty: it is not.
func (p *planner) viewedReason(i int) string {
	v := &p.Views[i]
	r, listed := p.Instances[v.ID]
	switch {
	case r.Phase == wire.MachineFailed:
		return reasonFailed
	case v.Silent:
		if listed && p.silentTooLong(r) {
			return reasonSilent
		}
	case v.Sick && v.Count == 0:
		return reasonQuarantined
	case v.Draining && v.Count == 0:
		return reasonDrained
	case p.idleTooLong(v, r) && !p.wanted(i):
		return reasonIdle
	}
	return ""
}

// unviewedReason is why an instance that no partition leader knows is to be returned; empty: it is not.
func (p *planner) unviewedReason(r Instance) string {
	t, known := p.types[r.Type]
	switch {
	case r.Phase == wire.MachineFailed:
		return reasonFailed
	case r.Up:
		if p.silentTooLong(r) {
			return reasonWorkerGone
		}
	case known && (p.Now-r.Since).Seconds() > max(t.BootS, minBootS)*p.Parameters.BootPatience:
		return reasonNeverUp
	}
	return ""
}

// silentTooLong reports whether the worker of a machine was silent for long enough to return
// the machine. One that is dead is soon listed as failed; what is listed as
// running hangs or is cut off, and may be back sooner than another has booted.
func (p *planner) silentTooLong(r Instance) bool {
	return r.Lost != 0 && p.Now >= r.Lost+p.bootTime(r.Type)
}

// idleTooLong reports whether a machine had nothing to do for longer than the delay. One that can't be
// used now has nothing to do for that reason, and may be back sooner than another has booted: it gets
// that time as well, unless it has an eviction notice.
func (p *planner) idleTooLong(v *peer.MachineView, r Instance) bool {
	beyondDelay := v.Idle - p.Parameters.IdleScaleInDelay
	if !v.Accounted || v.Count != 0 || beyondDelay <= 0 {
		return false
	}
	return v.Usable || v.Noticed || beyondDelay > p.bootTime(r.Type)
}

// wanted reports whether the machine of a view is kept for work that waits. On a large fleet something
// waits at every moment, so with economy an idle machine is kept only for what is
// to go to that machine; without economy, for anything that waits.
func (p *planner) wanted(i int) bool {
	return p.Views[i].Usable && len(p.Demands) > 0 && (p.viewBins[i].reserved || !p.Parameters.Economy)
}

// limitIdleScaleIn leaves of the machines to return those that can't be used, and a few idle ones.
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
