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

// partsPerController is how many partitions there are for each controller.
const partsPerController = 4

// recordShare is how much of the largest value a record may take: what it is wrapped in
// comes on top.
const recordShare = 0.9

// quietReports is after how many missed reports a machine gets no tasks for now.
const quietReports = 2.5

// layout is what the settings say of the controllers, the duties and the teams.
type layout struct {
	instance   string   // names this process
	hosts      []string // all controllers, in order
	partDuties []string // duties of the partitions
	partZones  []string // zone of each partition's preferred controller
	teams      []scheduler.Team
	limits     map[string]resources.Amounts // by team
}

// newLayout reads the layout from the settings. All controllers come to the same one.
func newLayout(set *config.Settings) layout {
	p := &set.Params
	l := layout{instance: uuid.NewString(), hosts: []string{set.Host}, limits: map[string]resources.Amounts{}}
	zoneOf := map[string]string{set.Host: set.Zone}
	for _, other := range set.Peers {
		l.hosts = append(l.hosts, other.Host)
		zoneOf[other.Host] = other.Zone
	}
	slices.Sort(l.hosts)
	for i := range min(partsPerController*p.Count, scheduler.MaxPartitions(p.State.TxnOps)) {
		l.partDuties = append(l.partDuties, partition.Duty(i))
		l.partZones = append(l.partZones, zoneOf[leaderelection.PreferredLeader(l.hosts, i, 0)])
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
	out := slices.Clone(l.partDuties)
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
	set, knobs, p := w.settings, w.parameters, &w.settings.Params
	steady, l := clock.NewSteady(), newLayout(set)
	wallMS := func() int64 { return time.Now().UnixMilli() }
	n := &Controller{
		fresh: knobs.LeaderRenewInterval * 8 / 5, set: set, log: w.log, store: w.store, peers: w.peers,
		zones: zoneBook{records: map[string]autoscaler.ZoneRecord{}}, followZones: knobs.ZoneReturn,
		contact: map[string]time.Time{}, told: map[string]told{}, loaded: make(chan struct{}),
		report: w.telemetry, replayed: w.telemetry.Duty("replica_apply"),
	}
	if knobs.History {
		n.history = history.NewRing(set.Host, history.Entries(int(p.Limits.MemoryMB*historyShare*(1<<20))), wallMS)
	}
	n.book = newJobCache(n.history)
	election := leaderelection.NewElection(set.Host, l.hosts, l.duties(), len(l.partDuties))
	n.keeper = leaderelection.NewElector(election, w.priorityStore, steady, holdTiming(knobs), w.log)
	n.owner = partition.New(n.partitionOptions(w, &l, steady))
	core := scheduler.NewScheduler(scheduler.Config{Timing: schedulerTiming(set, knobs, w.log), Instance: l.instance, Teams: l.teams,
		Hosts: l.hosts, Seed: w.seed, WallMS: wallMS})
	n.placer = scheduler.New(core, scheduler.Options{
		Teams: l.teams, PartitionDuties: l.partDuties, Partitions: n.owners(), TxnOps: p.State.TxnOps,
		MaxRecordBytes: maxRecordBytes(set), ProgressEvery: knobs.ProgressEvery, FairShares: knobs.FairShares,
		Elections: n.keeper, Store: w.store, PriorityStore: w.priorityStore, Jobs: n.book, Clock: steady, Log: w.log, Telemetry: w.telemetry,
	})
	n.front = api.New(api.Options{Store: w.userStore, Schedulers: n, Peers: n, Jobs: n.book, Limits: l.limits,
		StartWithin: spans(p.Objectives, "wait"), MaxRecordBytes: int(p.State.ValueKB * 1024), WallClock: time.Now, Log: w.log})
	n.fleet = autoscaler.New(autoscaler.Options{
		Cloud:     autoscaler.NewCloudClient(set.Services.Cloud, p.Cloud.RPS, answerMost(p.Limits.MemoryMB)),
		Elections: n.keeper, Store: w.store, Controllers: n, Clock: steady, WallClock: time.Now,
		Parameters: fleetKnobs(knobs), Backoff: knobs.ScaleOutBackoff,
		ListLag: clock.FromSeconds(p.Cloud.ListLagS), ClockSkew: clock.FromSeconds(p.SkewMS / 1000),
		StoredCatalog: n.keptCatalog, Zones: n.zoneWatch(knobs), Log: w.log, Telemetry: w.telemetry,
	})
	return n
}

// maxRecordBytes is how large a record may be for what is wrapped around it to find room too.
func maxRecordBytes(set *config.Settings) int {
	return int(set.Params.State.ValueKB * 1024 * recordShare)
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

func (n *Controller) partitionOptions(w *wiring, l *layout, steady clock.Clock) partition.Options {
	set, knobs := w.settings, w.parameters
	_, workerConnections := set.Sockets()
	o := partition.Options{
		Host: set.Host, Instance: l.instance, Partitioning: partition.NewPartitioning(l.partZones), TxnOps: set.Params.State.TxnOps,
		MaxRecordBytes: maxRecordBytes(set), MaxWorkerConnections: workerConnections, Timing: ownerTiming(set, knobs),
		Jobs: n.book, Elections: n.keeper, Store: w.store, Clock: steady, WallClock: time.Now, Log: w.log,
		History: n.history, Telemetry: w.telemetry,
	}
	if knobs.FairShares {
		o.Arbiter = fairshare.NewArbiter(shareSettings(knobs))
	}
	return o
}

// historyShare is the part of its memory that a controller's history may take.
const historyShare = 0.02

// zoneWatch has the fleet's holder decide the states of zones, where that is on and there are
// several.
func (n *Controller) zoneWatch(knobs *policy.Parameters) autoscaler.ZoneWatch {
	names := n.set.Params.Zones
	if !knobs.ZoneReturn {
		return autoscaler.ZoneWatch{}
	}
	if len(names) < 2 {
		n.log.Info("zone_return is on, and there are fewer than two zones: it does nothing", "zones", names)
		n.followZones = false
		return autoscaler.ZoneWatch{}
	}
	return autoscaler.ZoneWatch{Names: names, Source: n, Settings: zone.Settings{SuspectAfter: knobs.ZoneSuspectAfter, LostAfter: knobs.ZoneLostAfter,
		ReturnAfter: knobs.ZoneReturnAfter, ReturnMost: zoneBackMost}}
}

// zoneBackMost is the longest that a zone which comes and goes must be heard before it returns.
const zoneBackMost = 60 * clock.Second

// owners gives the ways to the owner parts of all controllers, this one's included.
func (n *Controller) owners() map[string]scheduler.PartitionClient {
	out := map[string]scheduler.PartitionClient{n.set.Host: localOwner{n.owner}}
	for host, p := range n.peers {
		out[host] = remoteOwner{p}
	}
	return out
}

func holdTiming(knobs *policy.Parameters) leaderelection.Timing {
	return leaderelection.Timing{TTL: knobs.LeaderLeaseTTL, RenewInterval: knobs.LeaderRenewInterval, TakeoverGrace: knobs.TakeoverGrace,
		ResignAfter: knobs.ResignAfter, TransferDelay: knobs.TransferDelay}
}

func ownerTiming(set *config.Settings, knobs *policy.Parameters) partition.Timing {
	quiet := min(clock.FromSeconds(quietReports*set.Params.Workers.ReportS+1), set.Lease()*2/3)
	return partition.Timing{Lease: set.Lease(), HeartbeatOverdue: quiet, RoomLeaseTTL: knobs.RoomLeaseTTL, QuarantineErrors: knobs.QuarantineErrors}
}

// openTimes is for how many times as long as free room is withheld a machine goes to whoever
// asks, when it was withheld in vain.
const openTimes = 5

func shareSettings(knobs *policy.Parameters) fairshare.Settings {
	return fairshare.Settings{Weights: knobs.TeamWeights, Fresh: knobs.ShareFresh,
		Withhold: knobs.ShareWithhold, Open: openTimes * knobs.ShareWithhold}
}

// moveSettings gives the limits of moves; nil where they are off.
func moveSettings(set *config.Settings, knobs *policy.Parameters, log *slog.Logger) *scheduler.Moves {
	if !knobs.Moves {
		return nil
	}
	return &scheduler.Moves{Veto: knobs.Veto(log), Limits: rebalance.Limits{Margin: knobs.MoveMargin, CoolDown: knobs.MoveCoolDown,
		PerTeam: knobs.TeamMoves, PerMachine: knobs.MachineMoves, Detect: set.Lease()}}
}

func schedulerTiming(set *config.Settings, knobs *policy.Parameters, log *slog.Logger) scheduler.Timing {
	objectives := set.Params.Objectives
	var costs *scheduler.Costs
	if knobs.PlacementCosts {
		costs = &scheduler.Costs{ImageWait: knobs.ImageWait,
			Weights: placement.Weights{Data: knobs.DataWeight, Even: knobs.EvenWeight, Price: knobs.PriceWeight}}
	}
	return scheduler.Timing{
		Stages: knobs.Stages(log), Costs: costs, Moves: moveSettings(set, knobs, log),
		Lease: set.Lease(), Sample: knobs.Sample, Batch: knobs.Batch, PreemptAfter: knobs.PreemptAfter, Economy: knobs.Economy,
		Waits: spans(objectives, "wait"), Finishes: spans(objectives, "finished"), Times: times(objectives),
		Guarantee: spans(objectives, "guarantee")[""],
	}
}

func fleetKnobs(knobs *policy.Parameters) autoscaler.Parameters {
	return autoscaler.Parameters{Economy: knobs.Economy, SpareShare: knobs.SpareShare, IdleScaleInDelay: knobs.IdleScaleInDelay,
		BootPatience: knobs.BootPatience, Catchup: knobs.Catchup, CatchupOrdinary: knobs.CatchupOrdinary}
}

// spans gives the shortest time that objectives of a kind set for each class;
// those for no class in particular are under the empty name.
func spans(objectives []config.Objective, kind string) map[string]clock.Micros {
	out := map[string]clock.Micros{}
	for _, o := range objectives {
		within := clock.FromSeconds(o.WithinS)
		if o.Kind == kind && within > 0 && (out[o.Class] == 0 || within < out[o.Class]) {
			out[o.Class] = within
		}
	}
	return out
}

// times gives the largest multiple of its deadlines that objectives set for each class.
func times(objectives []config.Objective) map[string]float64 {
	out := map[string]float64{}
	for _, o := range objectives {
		if o.Kind == "deadline" {
			out[o.Class] = max(out[o.Class], o.Times)
		}
	}
	return out
}
