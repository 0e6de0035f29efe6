package controller

import (
	"log/slog"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/api"
	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// This file converts the settings and the policy parameters into the options of each component.

const (
	// recordShare is the share of the largest value that a record may take. The rest is for the data that the record is
	// wrapped in.
	recordShare = 0.9
	// historyShare is the share of a controller's memory that its history may take.
	historyShare = 0.02
	// overdueHeartbeats is the number of heartbeat intervals, plus one second of tolerance, after which a machine without
	// an answered heartbeat is overdue and gets no new tasks.
	overdueHeartbeats = 2.5
	// shareOpenMultiple is how many times as long as ShareWithholdFor a machine is open to every team, after its free resources
	// were withheld for a team that did not take them.
	shareOpenMultiple = 5
	// maxZoneReturnAfter bounds how long a zone must be reachable before work returns to it. That time doubles each time
	// the zone is lost again during its return.
	maxZoneReturnAfter = 60 * clock.Second
)

// bytesPerKB is the unit of value sizes in the settings.
const bytesPerKB = 1024

// maxResponseBytes returns the size limit for responses of the key-value store and the cloud: a sixteenth of the memory,
// but at least 1 MB and at most 32 MB.
func maxResponseBytes(memoryMB float64) int { return int(min(max(memoryMB/16, 1), 32) * (1 << 20)) }

// maxRecordBytes returns the size limit for a record, which leaves room in a value for the data that the record is wrapped in.
func maxRecordBytes(settings *config.Settings) int {
	return int(settings.Params.Store.ValueKB * bytesPerKB * recordShare)
}

func leaseTiming(parameters *policy.Parameters) leaderelection.Timing {
	return leaderelection.Timing{
		TTL:           parameters.LeaderLeaseTTL,
		RenewInterval: parameters.LeaderRenewInterval,
		TakeoverGrace: parameters.TakeoverGrace,
		ResignAfter:   parameters.ResignAfter,
		TransferDelay: parameters.TransferDelay,
	}
}

func (c *Controller) partitionOptions(w *wiring, l *layout, monotonic clock.Clock) partition.Options {
	_, workerConnections := w.settings.Sockets()
	o := partition.Options{
		Controller:           w.settings.Host,
		ProcessID:            l.processID,
		Partitioning:         partition.NewPartitioning(l.partitionZones),
		TxnOps:               w.settings.Params.Store.TxnOps,
		MaxRecordBytes:       maxRecordBytes(w.settings),
		MaxWorkerConnections: workerConnections,
		Timing:               partitionTiming(w.settings, w.parameters),
		Jobs:                 c.jobs,
		Elections:            c.elector,
		Store:                w.store,
		Clock:                monotonic,
		WallClock:            time.Now,
		Log:                  w.log,
		History:              c.history,
		Telemetry:            w.telemetry,
		DialWorker:           w.dialWorker,
	}
	if w.parameters.FairShares {
		o.Arbiter = fairshare.NewArbiter(fairShareSettings(w.parameters))
	}
	return o
}

// partitionTiming returns the time limits of the partition server. A machine counts as overdue after two thirds of the worker
// lease at the latest, however long its heartbeat interval is.
func partitionTiming(settings *config.Settings, parameters *policy.Parameters) partition.Timing {
	overdue := min(clock.FromSeconds(overdueHeartbeats*settings.Params.Workers.ReportS+1), settings.Lease()*2/3)
	return partition.Timing{
		WorkerLease:          settings.Lease(),
		HeartbeatOverdue:     overdue,
		ResourceLeaseTTL:     parameters.ResourceLeaseTTL,
		QuarantineFailedJobs: parameters.QuarantineFailedJobs,
	}
}

func fairShareSettings(parameters *policy.Parameters) fairshare.Settings {
	return fairshare.Settings{
		Weights:      parameters.TeamWeights,
		MaxDemandAge: parameters.ShareMaxDemandAge,
		WithholdFor:  parameters.ShareWithholdFor,
		OpenFor:      shareOpenMultiple * parameters.ShareWithholdFor,
	}
}

func schedulerConfig(w *wiring, l *layout) scheduler.Config {
	return scheduler.Config{
		Parameters:  schedulerParameters(w.settings, w.parameters, w.log),
		ProcessID:   l.processID,
		Teams:       l.teams,
		Hosts:       l.hosts,
		Seed:        w.seed,
		WallClockMS: wallClockMS,
	}
}

func (c *Controller) schedulerOptions(w *wiring, l *layout, monotonic clock.Clock) scheduler.Options {
	return scheduler.Options{
		Teams:            l.teams,
		PartitionDuties:  l.partitionDuties,
		Partitions:       c.partitionClients(),
		MaxTxnOps:        w.settings.Params.Store.TxnOps,
		MaxRecordBytes:   maxRecordBytes(w.settings),
		ProgressInterval: w.parameters.ProgressInterval,
		FairShares:       w.parameters.FairShares,
		Elections:        c.elector,
		Store:            w.store,
		PriorityStore:    w.priorityStore,
		Jobs:             c.jobs,
		Clock:            monotonic,
		Log:              w.log,
		Telemetry:        w.telemetry,
	}
}

func schedulerParameters(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) scheduler.Parameters {
	objectives := settings.Params.Objectives
	return scheduler.Parameters{
		Stages:                  parameters.StageHook(log),
		Costs:                   placementCosts(parameters),
		Moves:                   moveSettings(settings, parameters, log),
		WorkerLease:             settings.Lease(),
		SampleSize:              parameters.SampleSize,
		BaseAssignmentsPerCycle: parameters.BaseAssignmentsPerCycle,
		PreemptAfter:            parameters.PreemptAfter,
		Economy:                 parameters.Economy,
		StartObjectives:         shortestByClass(objectives, objectiveWait),
		FinishObjectives:        shortestByClass(objectives, objectiveFinished),
		MaxDeadlineMultiples:    deadlineMultiples(objectives),
		GuaranteeObjective:      shortestByClass(objectives, objectiveGuarantee)[anyClass],
	}
}

// placementCosts returns the weights with which the scheduler chooses machines by cost, or nil if the policy disables that.
func placementCosts(parameters *policy.Parameters) *scheduler.Costs {
	if !parameters.PlacementCosts {
		return nil
	}
	weights := placement.Weights{ImageFetch: parameters.DataWeight, Utilization: parameters.EvenWeight, Price: parameters.PriceWeight}
	return &scheduler.Costs{ImageWait: parameters.ImageWait, Weights: weights}
}

// moveSettings returns the limits for moving running tasks, or nil if the policy disables moves.
func moveSettings(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) *scheduler.MoveSettings {
	if !parameters.Moves {
		return nil
	}
	return &scheduler.MoveSettings{Veto: parameters.VetoHook(log), Limits: rebalance.Limits{
		Margin:     parameters.MoveMargin,
		CoolDown:   parameters.MoveCoolDown,
		PerTeam:    parameters.TeamMoves,
		PerMachine: parameters.MachineMoves,
		Detect:     settings.Lease(),
	}}
}

func (c *Controller) apiOptions(w *wiring, l *layout) api.Options {
	p := &w.settings.Params
	return api.Options{
		Store:          w.userStore,
		Schedulers:     c,
		Peers:          c,
		Jobs:           c.jobs,
		Limits:         l.limits,
		StartWithin:    shortestByClass(p.Objectives, objectiveWait),
		MaxRecordBytes: int(p.Store.ValueKB * bytesPerKB),
		WallClock:      time.Now,
		Log:            w.log,
	}
}

func (c *Controller) autoscalerOptions(w *wiring, monotonic clock.Clock) autoscaler.Options {
	p := &w.settings.Params
	return autoscaler.Options{
		Cloud:         autoscaler.NewCloudClient(w.settings.Services.Cloud, p.Cloud.RPS, maxResponseBytes(p.Limits.MemoryMB)),
		Elections:     c.elector,
		Store:         w.store,
		Controllers:   c,
		Clock:         monotonic,
		WallClock:     time.Now,
		Parameters:    autoscalerParameters(w.parameters),
		Backoff:       w.parameters.ScaleOutBackoff,
		ListLag:       clock.FromSeconds(p.Cloud.ListLagS),
		ClockSkew:     clock.FromSeconds(p.SkewMS / 1000),
		StoredCatalog: c.catalog.get,
		Zones:         c.zoneWatch(w.parameters),
		Log:           w.log,
		Telemetry:     w.telemetry,
	}
}

func autoscalerParameters(parameters *policy.Parameters) autoscaler.Parameters {
	return autoscaler.Parameters{
		Economy:          parameters.Economy,
		SpareShare:       parameters.SpareShare,
		IdleScaleInDelay: parameters.IdleScaleInDelay,
		BootPatience:     parameters.BootPatience,
		CatchupSpot:      parameters.CatchupSpot,
		CatchupOnDemand:  parameters.CatchupOnDemand,
	}
}

// zoneWatch returns the settings with which the fleet's leader decides the states of zones. They are empty if
// followsZoneStates is false, and no zone states are decided then.
func (c *Controller) zoneWatch(parameters *policy.Parameters) autoscaler.ZoneWatch {
	if !c.followsZoneStates {
		return autoscaler.ZoneWatch{}
	}
	return autoscaler.ZoneWatch{Names: c.settings.Params.Zones, Source: c, Settings: zone.Settings{
		SuspectAfter:   parameters.ZoneSuspectAfter,
		LostAfter:      parameters.ZoneLostAfter,
		ReturnDelay:    parameters.ZoneReturnAfter,
		MaxReturnDelay: maxZoneReturnAfter,
	}}
}

// Kinds of objectives in the settings.
const (
	objectiveWait      = "wait"
	objectiveFinished  = "finished"
	objectiveDeadline  = "deadline"
	objectiveGuarantee = "guarantee"
)

// anyClass is the class of objectives that apply to no particular class.
const anyClass = ""

// shortestByClass returns, for each class, the shortest time that the objectives of a kind set.
func shortestByClass(objectives []config.Objective, kind string) map[string]clock.Micros {
	out := map[string]clock.Micros{}
	for _, o := range objectives {
		within := clock.FromSeconds(o.WithinS)
		if o.Kind == kind && within > 0 && (out[o.Class] == 0 || within < out[o.Class]) {
			out[o.Class] = within
		}
	}
	return out
}

// deadlineMultiples returns, for each class, the largest multiple of the jobs' deadlines that the objectives set.
func deadlineMultiples(objectives []config.Objective) map[string]float64 {
	out := map[string]float64{}
	for _, o := range objectives {
		if o.Kind == objectiveDeadline {
			out[o.Class] = max(out[o.Class], o.Times)
		}
	}
	return out
}
