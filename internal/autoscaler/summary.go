package autoscaler

import (
	"context"
	"log/slog"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// fleetSummary is the size and utilization of the fleet. Amounts of CPU are in millionths of a CPU.
type fleetSummary struct {
	up, instances, spot int   // numbers of reachable machines, of instances, and of spot instances
	cpu, usedCPU        int64 // capacity of the reachable machines, and what is in use of it
	waitingCPU          int64 // requested by waiting tasks
	fragmentedCPU       int64 // free on reachable machines, but too little for one more of the largest waiting task
}

func summarize(in Input) fleetSummary {
	s := fleetSummary{instances: len(in.Instances)}
	largest := int64(0)
	for _, d := range in.Demands {
		largest = max(largest, d.Need.CPU)
		s.waitingCPU += d.Need.CPU * int64(d.Waiting)
	}
	for i := range in.Views {
		v := &in.Views[i]
		if v.Silent {
			continue
		}
		s.up++
		s.cpu += v.Cap.CPU
		s.usedCPU += v.Cap.CPU - v.Free.CPU
		if largest > 0 && v.Free.CPU > 0 {
			s.fragmentedCPU += v.Free.CPU % largest
		}
	}
	for _, instance := range in.Instances {
		if instance.Spot {
			s.spot++
		}
	}
	return s
}

// logStep logs the fleet's summary every summaryInterval. At the debug level it also logs the state of all machines
// with each summary, and the decision of each step.
func (a *Autoscaler) logStep(ctx context.Context, in Input, scaleOut []ScaleOut, scaleIn []ScaleIn, now clock.Micros) {
	debug := a.log.Enabled(ctx, slog.LevelDebug)
	if now > a.lastSummaryAt+summaryInterval {
		a.lastSummaryAt = now
		if debug {
			a.logMachines(in.Views)
		}
		a.logSummary(summarize(in))
	}
	if debug {
		a.log.Debug("autoscaler decision", "instances", len(in.Instances), "views", len(in.Views), "demands", in.Demands,
			"scale_out", scaleOut, "scale_in", scaleIn)
	}
}

func (a *Autoscaler) logMachines(views []peer.MachineView) {
	for i := range views {
		v := &views[i]
		a.log.Debug("machine state", "machine", v.ID, "type", v.Type, "spot", v.Spot, "usable", v.Usable, "silent", v.Silent,
			"quarantined", v.Sick, "noticed", v.Noticed, "free_cpus", v.Free.CPUs(), "free_gb", float64(v.Free.Mem)/1e6,
			"tasks", v.Count, "idle_s", v.Idle.Seconds())
	}
}

func (a *Autoscaler) logSummary(s fleetSummary) {
	a.log.Info("fleet summary", "up", s.up, "rented", s.instances, "spot", s.spot, "cpus", s.cpu/cpuUnit, "used", s.usedCPU/cpuUnit,
		"waiting_cpus", s.waitingCPU/cpuUnit, "fragmented_cpus", s.fragmentedCPU/cpuUnit)
}
