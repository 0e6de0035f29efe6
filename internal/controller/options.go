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

// How the settings and the policy parameters become the options of each part.

const (
	// recordShare is how much of the largest value a record may take: what it is wrapped in comes on top.
	recordShare = 0.9
	// historyShare is the part of its memory that a controller's history may take.
	historyShare = 0.02
	// overdueHeartbeats is after how many missed heartbeats a machine gets no tasks for now.
	overdueHeartbeats = 2.5
	// shareOpenMultiple is for how many times as long as free room is withheld a machine goes to whichever team asks
	// first, where it was withheld in vain.
	shareOpenMultiple = 5
	// maxZoneReturnAfter is the longest that heartbeats from a zone that fails again and again must last before it returns.
	maxZoneReturnAfter = 60 * clock.Second
)

// bytesPerKB is the unit in which the settings give the size of values.
const bytesPerKB = 1024

// maxResponseBytes is the longest response of a service that is taken, by the memory there is: a sixteenth of it,
// between 1 and 32 MB.
func maxResponseBytes(memoryMB float64) int { return int(min(max(memoryMB/16, 1), 32) * (1 << 20)) }

// maxRecordBytes is how large a record may be for what is wrapped around it to find room too.
func maxRecordBytes(settings *config.Settings) int {
	return int(settings.Params.State.ValueKB * bytesPerKB * recordShare)
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

func (c *Controller) partitionOptions(w *wiring, l *layout, steady clock.Clock) partition.Options {
	_, workerConnections := w.settings.Sockets()
	o := partition.Options{
		Host:                 w.settings.Host,
		Instance:             l.instanceID,
		Partitioning:         partition.NewPartitioning(l.partitionZones),
		TxnOps:               w.settings.Params.State.TxnOps,
		MaxRecordBytes:       maxRecordBytes(w.settings),
		MaxWorkerConnections: workerConnections,
		Timing:               partitionTiming(w.settings, w.parameters),
		Jobs:                 c.jobs,
		Elections:            c.elector,
		Store:                w.store,
		Clock:                steady,
		WallClock:            time.Now,
		Log:                  w.log,
		History:              c.history,
		Telemetry:            w.telemetry,
	}
	if w.parameters.FairShares {
		o.Arbiter = fairshare.NewArbiter(fairShareSettings(w.parameters))
	}
	return o
}

func partitionTiming(settings *config.Settings, parameters *policy.Parameters) partition.Timing {
	overdue := min(clock.FromSeconds(overdueHeartbeats*settings.Params.Workers.ReportS+1), settings.Lease()*2/3)
	return partition.Timing{
		Lease:            settings.Lease(),
		HeartbeatOverdue: overdue,
		RoomLeaseTTL:     parameters.RoomLeaseTTL,
		QuarantineErrors: parameters.QuarantineErrors,
	}
}

func fairShareSettings(parameters *policy.Parameters) fairshare.Settings {
	return fairshare.Settings{
		Weights:  parameters.TeamWeights,
		Fresh:    parameters.ShareFresh,
		Withhold: parameters.ShareWithhold,
		Open:     shareOpenMultiple * parameters.ShareWithhold,
	}
}

func schedulerConfig(w *wiring, l *layout) scheduler.Config {
	return scheduler.Config{
		Timing:   schedulerTiming(w.settings, w.parameters, w.log),
		Instance: l.instanceID,
		Teams:    l.teams,
		Hosts:    l.hosts,
		Seed:     w.seed,
		WallMS:   wallMS,
	}
}

func (c *Controller) schedulerOptions(w *wiring, l *layout, steady clock.Clock) scheduler.Options {
	return scheduler.Options{
		Teams:           l.teams,
		PartitionDuties: l.partitionDuties,
		Partitions:      c.partitionClients(),
		TxnOps:          w.settings.Params.State.TxnOps,
		MaxRecordBytes:  maxRecordBytes(w.settings),
		ProgressEvery:   w.parameters.ProgressEvery,
		FairShares:      w.parameters.FairShares,
		Elections:       c.elector,
		Store:           w.store,
		PriorityStore:   w.priorityStore,
		Jobs:            c.jobs,
		Clock:           steady,
		Log:             w.log,
		Telemetry:       w.telemetry,
	}
}

func schedulerTiming(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) scheduler.Timing {
	objectives := settings.Params.Objectives
	return scheduler.Timing{
		Stages:       parameters.Stages(log),
		Costs:        placementCosts(parameters),
		Moves:        moveSettings(settings, parameters, log),
		Lease:        settings.Lease(),
		Sample:       parameters.Sample,
		Batch:        parameters.Batch,
		PreemptAfter: parameters.PreemptAfter,
		Economy:      parameters.Economy,
		Waits:        shortestByClass(objectives, objectiveWait),
		Finishes:     shortestByClass(objectives, objectiveFinished),
		Times:        deadlineMultiples(objectives),
		Guarantee:    shortestByClass(objectives, objectiveGuarantee)[anyClass],
	}
}

// placementCosts returns what placement weighs; nil where that is off.
func placementCosts(parameters *policy.Parameters) *scheduler.Costs {
	if !parameters.PlacementCosts {
		return nil
	}
	weights := placement.Weights{Data: parameters.DataWeight, Even: parameters.EvenWeight, Price: parameters.PriceWeight}
	return &scheduler.Costs{ImageWait: parameters.ImageWait, Weights: weights}
}

// moveSettings returns the limits of moves; nil where they are off.
func moveSettings(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) *scheduler.Moves {
	if !parameters.Moves {
		return nil
	}
	return &scheduler.Moves{Veto: parameters.Veto(log), Limits: rebalance.Limits{
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
		MaxRecordBytes: int(p.State.ValueKB * bytesPerKB),
		WallClock:      time.Now,
		Log:            w.log,
	}
}

func (c *Controller) autoscalerOptions(w *wiring, steady clock.Clock) autoscaler.Options {
	p := &w.settings.Params
	return autoscaler.Options{
		Cloud:         autoscaler.NewCloudClient(w.settings.Services.Cloud, p.Cloud.RPS, maxResponseBytes(p.Limits.MemoryMB)),
		Elections:     c.elector,
		Store:         w.store,
		Controllers:   c,
		Clock:         steady,
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
		Catchup:          parameters.Catchup,
		CatchupOrdinary:  parameters.CatchupOrdinary,
	}
}

// zoneWatch has the fleet's leader decide the states of zones, where states are followed.
func (c *Controller) zoneWatch(parameters *policy.Parameters) autoscaler.ZoneWatch {
	if !c.followsZoneStates {
		return autoscaler.ZoneWatch{}
	}
	return autoscaler.ZoneWatch{Names: c.settings.Params.Zones, Source: c, Settings: zone.Settings{
		SuspectAfter: parameters.ZoneSuspectAfter,
		LostAfter:    parameters.ZoneLostAfter,
		ReturnAfter:  parameters.ZoneReturnAfter,
		ReturnMost:   maxZoneReturnAfter,
	}}
}

// Kinds of objectives, as in the settings.
const (
	objectiveWait      = "wait"
	objectiveFinished  = "finished"
	objectiveDeadline  = "deadline"
	objectiveGuarantee = "guarantee"
)

// anyClass is the class of objectives that are for no class in particular.
const anyClass = ""

// shortestByClass returns the shortest time that objectives of a kind set for each class.
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

// deadlineMultiples returns the largest multiple of its deadlines that objectives set for each class.
func deadlineMultiples(objectives []config.Objective) map[string]float64 {
	out := map[string]float64{}
	for _, o := range objectives {
		if o.Kind == objectiveDeadline {
			out[o.Class] = max(out[o.Class], o.Times)
		}
	}
	return out
}
