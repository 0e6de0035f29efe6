package controller

import (
	"log/slog"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/merlinlatch/merlinlatch/internal/api"
	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/internal/policy"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/internal/zone"
)

// partitionsPerController is how many partitions there are for each controller.
const partitionsPerController = 4

// recordShare is how much of the largest value a record may take: what it is wrapped in
// comes on top.
const recordShare = 0.9

// overdueHeartbeats is after how many missed reports a machine gets no tasks for now.
const overdueHeartbeats = 2.5

// layout is what the settings say of the controllers, the duties and the teams.
type layout struct {
	instanceID      string   // names this process
	hosts           []string // all controllers, in order
	partitionDuties []string // duties of the partitions
	partitionZones  []string // zone of each partition's preferred controller
	teams           []scheduler.Team
	limits          map[string]resources.Amounts // by team
}

// newLayout reads the layout from the settings. All controllers come to the same one.
func newLayout(settings *config.Settings) layout {
	p := &settings.Params
	l := layout{instanceID: uuid.NewString(), hosts: []string{settings.Host}, limits: map[string]resources.Amounts{}}
	zoneOf := map[string]string{settings.Host: settings.Zone}
	for _, other := range settings.Peers {
		l.hosts = append(l.hosts, other.Host)
		zoneOf[other.Host] = other.Zone
	}
	slices.Sort(l.hosts)
	for i := range min(partitionsPerController*p.Count, scheduler.MaxPartitions(p.State.TxnOps)) {
		l.partitionDuties = append(l.partitionDuties, partition.Duty(i))
		l.partitionZones = append(l.partitionZones, zoneOf[leaderelection.PreferredLeader(l.hosts, i, 0)])
	}
	for _, t := range p.Teams {
		team := scheduler.Team{Name: t.Name, Guarantee: resources.Capacity(t.CPUs, t.GPUs, 0), Limit: resources.Capacity(t.CPUsMax, t.GPUsMax, 0)}
		l.teams = append(l.teams, team)
		l.limits[t.Name] = team.Limit
	}
	return l
}

// duties lists the duties of all kinds, the partitions first.
func (l *layout) duties() []string {
	out := slices.Clone(l.partitionDuties)
	for _, t := range l.teams {
		out = append(out, scheduler.Duty(t.Name))
	}
	return append(out, autoscaler.Duty)
}

// wiring is what a controller is assembled from.
type wiring struct {
	settings   *config.Settings
	parameters *policy.Parameters
	store      Store
	// priorityStore takes what users or other controllers wait for: accepted jobs, leaderships.
	priorityStore Store
	userStore     api.Store // for reads on users' behalf
	peers         map[string]PeerClient
	seed          uint64              // decides which machines are sampled
	telemetry     *telemetry.Reporter // nil: nothing is counted
	log           *slog.Logger
}

// assemble connects the parts of a controller with each other, with the store and with the peers.
func assemble(w *wiring) *Controller {
	settings, parameters, p := w.settings, w.parameters, &w.settings.Params
	steady, l := clock.NewSteady(), newLayout(settings)
	wallMS := func() int64 { return time.Now().UnixMilli() }
	c := &Controller{
		storeContactMaxAge: parameters.LeaderRenewInterval * 8 / 5, settings: settings, log: w.log, store: w.store, peers: w.peers,
		zones: zoneStates{records: map[string]autoscaler.ZoneRecord{}}, followsZoneStates: parameters.ZoneReturn,
		storeReachedAt: map[string]time.Time{}, peerStatuses: map[string]peerStatus{}, replicaLoaded: make(chan struct{}),
		telemetry: w.telemetry, replicaApply: w.telemetry.Duty("replica_apply"),
	}
	if parameters.History {
		c.history = history.NewRing(settings.Host, history.Entries(int(p.Limits.MemoryMB*historyShare*(1<<20))), wallMS)
	}
	c.jobs = newJobCache(c.history)
	election := leaderelection.NewElection(settings.Host, l.hosts, l.duties(), len(l.partitionDuties))
	c.elector = leaderelection.NewElector(election, w.priorityStore, steady, leaseTiming(parameters), w.log)
	c.partitions = partition.New(c.partitionOptions(w, &l, steady))
	core := scheduler.NewScheduler(scheduler.Config{Timing: schedulerTiming(settings, parameters, w.log), Instance: l.instanceID, Teams: l.teams,
		Hosts: l.hosts, Seed: w.seed, WallMS: wallMS})
	c.scheduler = scheduler.New(core, scheduler.Options{
		Teams: l.teams, PartitionDuties: l.partitionDuties, Partitions: c.partitionClients(), TxnOps: p.State.TxnOps,
		MaxRecordBytes: maxRecordBytes(settings), ProgressEvery: parameters.ProgressEvery, FairShares: parameters.FairShares,
		Elections: c.elector, Store: w.store, PriorityStore: w.priorityStore, Jobs: c.jobs, Clock: steady, Log: w.log, Telemetry: w.telemetry,
	})
	c.api = api.New(api.Options{Store: w.userStore, Schedulers: c, Peers: c, Jobs: c.jobs, Limits: l.limits,
		StartWithin: shortestByClass(p.Objectives, "wait"), MaxRecordBytes: int(p.State.ValueKB * 1024), WallClock: time.Now, Log: w.log})
	c.autoscaler = autoscaler.New(autoscaler.Options{
		Cloud:     autoscaler.NewCloudClient(settings.Services.Cloud, p.Cloud.RPS, maxResponseBytes(p.Limits.MemoryMB)),
		Elections: c.elector, Store: w.store, Controllers: c, Clock: steady, WallClock: time.Now,
		Parameters: autoscalerParameters(parameters), Backoff: parameters.ScaleOutBackoff,
		ListLag: clock.FromSeconds(p.Cloud.ListLagS), ClockSkew: clock.FromSeconds(p.SkewMS / 1000),
		StoredCatalog: c.storedCatalog, Zones: c.zoneWatch(parameters), Log: w.log, Telemetry: w.telemetry,
	})
	return c
}

// maxRecordBytes is how large a record may be for what is wrapped around it to find room too.
func maxRecordBytes(settings *config.Settings) int {
	return int(settings.Params.State.ValueKB * 1024 * recordShare)
}

// newJobCache makes the cache of jobs, which notes the end of each in a history, if one is kept.
func newJobCache(ring *history.Ring) *jobs.Cache {
	if ring == nil {
		return jobs.NewCache()
	}
	return jobs.NewCache(jobs.OnFinal(func(id string, f jobs.Final) {
		ring.Add(history.Event{Kind: history.JobOver, Job: id, Note: f.Phase})
	}))
}

func (c *Controller) partitionOptions(w *wiring, l *layout, steady clock.Clock) partition.Options {
	settings, parameters := w.settings, w.parameters
	_, workerConnections := settings.Sockets()
	o := partition.Options{
		Host: settings.Host, Instance: l.instanceID, Partitioning: partition.NewPartitioning(l.partitionZones), TxnOps: settings.Params.State.TxnOps,
		MaxRecordBytes: maxRecordBytes(settings), MaxWorkerConnections: workerConnections, Timing: partitionTiming(settings, parameters),
		Jobs: c.jobs, Elections: c.elector, Store: w.store, Clock: steady, WallClock: time.Now, Log: w.log,
		History: c.history, Telemetry: w.telemetry,
	}
	if parameters.FairShares {
		o.Arbiter = fairshare.NewArbiter(fairShareSettings(parameters))
	}
	return o
}

// historyShare is the part of its memory that a controller's history may take.
const historyShare = 0.02

// zoneWatch has the fleet's holder decide the states of zones, where that is on and there are
// several.
func (c *Controller) zoneWatch(parameters *policy.Parameters) autoscaler.ZoneWatch {
	names := c.settings.Params.Zones
	if !parameters.ZoneReturn {
		return autoscaler.ZoneWatch{}
	}
	if len(names) < 2 {
		c.log.Info("zone_return is on, and there are fewer than two zones: it does nothing", "zones", names)
		c.followsZoneStates = false
		return autoscaler.ZoneWatch{}
	}
	return autoscaler.ZoneWatch{Names: names, Source: c, Settings: zone.Settings{SuspectAfter: parameters.ZoneSuspectAfter, LostAfter: parameters.ZoneLostAfter,
		ReturnAfter: parameters.ZoneReturnAfter, ReturnMost: maxZoneReturnAfter}}
}

// maxZoneReturnAfter is the longest that a zone which comes and goes must be heard before it returns.
const maxZoneReturnAfter = 60 * clock.Second

// partitionClients gives the ways to the owner parts of all controllers, this one's included.
func (c *Controller) partitionClients() map[string]scheduler.PartitionClient {
	out := map[string]scheduler.PartitionClient{c.settings.Host: localPartition{c.partitions}}
	for host, p := range c.peers {
		out[host] = remotePartition{p}
	}
	return out
}

func leaseTiming(parameters *policy.Parameters) leaderelection.Timing {
	return leaderelection.Timing{TTL: parameters.LeaderLeaseTTL, RenewInterval: parameters.LeaderRenewInterval, TakeoverGrace: parameters.TakeoverGrace,
		ResignAfter: parameters.ResignAfter, TransferDelay: parameters.TransferDelay}
}

func partitionTiming(settings *config.Settings, parameters *policy.Parameters) partition.Timing {
	quiet := min(clock.FromSeconds(overdueHeartbeats*settings.Params.Workers.ReportS+1), settings.Lease()*2/3)
	return partition.Timing{Lease: settings.Lease(), HeartbeatOverdue: quiet, RoomLeaseTTL: parameters.RoomLeaseTTL, QuarantineErrors: parameters.QuarantineErrors}
}

// shareOpenMultiple is for how many times as long as free room is withheld a machine goes to whoever
// asks, when it was withheld in vain.
const shareOpenMultiple = 5

func fairShareSettings(parameters *policy.Parameters) fairshare.Settings {
	return fairshare.Settings{Weights: parameters.TeamWeights, Fresh: parameters.ShareFresh,
		Withhold: parameters.ShareWithhold, Open: shareOpenMultiple * parameters.ShareWithhold}
}

// moveSettings gives the limits of moves; nil where they are off.
func moveSettings(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) *scheduler.Moves {
	if !parameters.Moves {
		return nil
	}
	return &scheduler.Moves{Veto: parameters.Veto(log), Limits: rebalance.Limits{Margin: parameters.MoveMargin, CoolDown: parameters.MoveCoolDown,
		PerTeam: parameters.TeamMoves, PerMachine: parameters.MachineMoves, Detect: settings.Lease()}}
}

func schedulerTiming(settings *config.Settings, parameters *policy.Parameters, log *slog.Logger) scheduler.Timing {
	objectives := settings.Params.Objectives
	var costs *scheduler.Costs
	if parameters.PlacementCosts {
		costs = &scheduler.Costs{ImageWait: parameters.ImageWait,
			Weights: placement.Weights{Data: parameters.DataWeight, Even: parameters.EvenWeight, Price: parameters.PriceWeight}}
	}
	return scheduler.Timing{
		Stages: parameters.Stages(log), Costs: costs, Moves: moveSettings(settings, parameters, log),
		Lease: settings.Lease(), Sample: parameters.Sample, Batch: parameters.Batch, PreemptAfter: parameters.PreemptAfter, Economy: parameters.Economy,
		Waits: shortestByClass(objectives, "wait"), Finishes: shortestByClass(objectives, "finished"), Times: deadlineMultiples(objectives),
		Guarantee: shortestByClass(objectives, "guarantee")[""],
	}
}

func autoscalerParameters(parameters *policy.Parameters) autoscaler.Parameters {
	return autoscaler.Parameters{Economy: parameters.Economy, SpareShare: parameters.SpareShare, IdleScaleInDelay: parameters.IdleScaleInDelay,
		BootPatience: parameters.BootPatience, Catchup: parameters.Catchup, CatchupOrdinary: parameters.CatchupOrdinary}
}

// shortestByClass gives the shortest time that objectives of a kind set for each class;
// those for no class in particular are under the empty name.
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

// deadlineMultiples gives the largest multiple of its deadlines that objectives set for each class.
func deadlineMultiples(objectives []config.Objective) map[string]float64 {
	out := map[string]float64{}
	for _, o := range objectives {
		if o.Kind == "deadline" {
			out[o.Class] = max(out[o.Class], o.Times)
		}
	}
	return out
}
