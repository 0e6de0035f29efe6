// Package placer is the duty of holding teams: it places all tasks of their
// jobs, keeps their limits, and alone writes their jobs' records after acceptance.
//
// Scheduler is the decision, plain code that takes the time; Placer does the I/O.
package scheduler

import (
	"maps"
	"math/rand/v2"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Timing and sizes of placing.
type Timing struct {
	Sample, Batch int
	Lease         clock.Micros // of the workers
	PreemptAfter  clock.Micros
	Economy       bool
	Waits         map[string]clock.Micros // classes whose tasks should start within so long
	Guarantee     clock.Micros            // guaranteed work should start within so long; 0: nothing is said
	Finishes      map[string]clock.Micros // classes whose jobs should be finished within so long
	Times         map[string]float64      // classes, and the largest multiple of their deadlines that is asked for
	Costs         *Costs                  // nil: machines are not weighed by costs
	Moves         *Moves                  // nil: running tasks are not moved
	// Stages tells at which stage of a zone's return a job is admitted; nil: by rank and deadline.
	Stages func(*jobs.Job) recovery.Stage
}

// Team is a team's guarantee and limit.
type Team struct {
	Name      string
	Guarantee resources.Amounts
	Limit     resources.Amounts // an amount of 0 means none
}

type team struct {
	Team
	term                uint64
	modRevision         uint64
	attemptCounter      uint64
	orderSalt           uint64 // makes its order of machines its own
	used                resources.Amounts
	jobs                map[string]*job
	accounted           map[string]bool   // machines known to hold no task unknown here
	unaccounted         map[string]bool   // recorded machines that are not cleared
	unaccountedCount    int               // how many they are, as of this round
	unaccountedCapacity resources.Amounts // and what they could hold
	finalWritesInFlight int               // transactions under way that write ends of its jobs

	yielding   map[string]yielding // owners that keep room for other teams
	aboveShare bool                // it takes more than its share of the fleet
}

type assignment struct {
	id           peer.TaskID
	job          *job
	machine      string
	zone         string
	term         uint64 // of the machine's partition when asked
	unanswered   bool   // no answer yet
	viewVersion  uint64 // of the machine's view when granted
	instance     string
	phase        string
	reserved     bool // room for a task that is to move here and runs elsewhere
	orphaned     bool // ran although not wanted here: only counted, and stopped
	stopping     bool
	assignedAt   clock.Micros
	runningSince clock.Micros // when it was first seen running
}

type machineState struct {
	peer.MachineView
	leader          string
	instance        string
	available       resources.Amounts // what it shows, less what was asked for since
	nameHash        uint64            // of its name
	assignments     map[peer.TaskID]*assignment
	updatedAt       clock.Micros
	tasks           map[peer.TaskID]*observedTask
	tasksByPriority [4]int         // tasks that are there, by rank
	fetchingJobs    map[string]int // jobs with tasks that wait for their image there
	imageFetchUntil clock.Micros   // an ask of ours makes it fetch
	imageFetched    string
	paceSum         float64 // sum of run times against those of the same jobs elsewhere
	paceSamples     int
	slow            bool

	rejected   bool // an ask was refused, and no newer view has come
	rejectedAt clock.Micros

	indexed       bool // where index has put it
	indexedLevel  int
	indexedImages []string
	indexedCPU    int64
}

// observedTask is a task as its machine's owner last showed it.
type observedTask struct {
	peer.TaskView
	counted         bool // it counts among the machine's ranks
	startedAt       clock.Micros
	preemptingUntil clock.Micros // an ask has named it as to be stopped: not to be named again at once
}

type leaderSession struct {
	instance              string
	cursor                uint64
	generation            uint64 // grows with every process met
	partitionTerms        map[int]uint64
	fencedTerms           map[string]uint64
	sequence              uint64
	inFlight              *peer.Batch
	inFlightInstance      string // instance that the round was made for
	pending               peer.Batch
	acknowledgementsSince clock.Micros // since when settlements wait to be sent
	reachable             bool
	partitionsCheckedAt   clock.Micros
	polledAt              clock.Micros
	supportsReservations  bool // it holds room for tasks that are to move
	resync                bool // a view did not fit what was known: ask for everything
	shares                leaderShares
	demandsSentAt         clock.Micros // when it was last told what waits
}

// SetFetchRates tells how fast machine types fetch images, in GB a second.
func (s *Scheduler) SetFetchRates(rates map[string]float64) { s.fetchRates = rates }

// Counters is what happened since the start, for the logs.
type Counters struct {
	Placed, Refused, Preempted, Done, Stopped, Failed, Lost int
	Yielded                                                 int          // refused since other teams have a better right
	Moves, Moved                                            int          // begun, and carried out
	Looked                                                  int          // machines looked at in search of room
	FetchCPUs                                               clock.Micros // CPU time from placing tasks until they ran
}

// Scheduler holds the teams that this controller places, and mirrors all owners' machines.
type Scheduler struct {
	timing           Timing
	instance         string
	teamConfigs      map[string]Team
	teams            map[string]*team
	machines         map[string]*machineState
	sessions         map[string]*leaderSession
	recordedMachines map[string]bool
	progress         map[string]map[chunkID]progress
	chunkTasks       int  // tasks that a record of progress covers
	legacyRecords    bool // machines recorded by an earlier release are there: it left no watermarks
	watermarks       map[string]watermarks
	rng              *rand.Rand
	wallMS           func() int64              // time of day in ms, good to the settings' bound
	fetchRates       map[string]float64        // GB a second by machine type
	prices           map[priceKey]float64      // of a CPU, against the dearest
	largestTaskCPU   int64                     // CPUs of the largest task about
	capacity         capacityIndex             // machines that may get tasks
	capacityByImage  map[string]*capacityIndex // and those of them that have an image
	usableCPU        int64                     // CPUs of all of them
	indexedMachines  int                       // how many they are
	tasksByPriority  [4]int                    // tasks seen on machines, by rank
	tasksByCPU       map[int64]int             // and by the CPUs they take
	exhausted        exhaustedDemand           // what found no room in this round
	counters         Counters
	demands          []fairshare.Demand // what waits, as last counted for the owners
	demandsCountedAt clock.Micros

	distributions  map[string]distributions  // by team
	zones          map[string]*recovery.Gate // of zones to which work returns, by the clock here
	moves          moves
	movesCheckedAt clock.Micros
}

// Config of a scheduler.
type Config struct {
	Timing   Timing
	Instance string       // names this process
	Teams    []Team       // all teams, led here or not
	Hosts    []string     // all controllers
	Seed     uint64       // of the draws of machines
	WallMS   func() int64 // time of day in ms, good to the settings' bound
}

// NewScheduler makes a scheduler that leads no team yet.
func NewScheduler(c Config) *Scheduler {
	s := &Scheduler{zones: map[string]*recovery.Gate{}, distributions: map[string]distributions{}, watermarks: map[string]watermarks{}, capacityByImage: map[string]*capacityIndex{}, tasksByCPU: map[int64]int{}, timing: c.Timing, instance: c.Instance, teamConfigs: map[string]Team{}, teams: map[string]*team{}, machines: map[string]*machineState{},
		sessions: map[string]*leaderSession{}, recordedMachines: map[string]bool{}, progress: map[string]map[chunkID]progress{}, chunkTasks: ChunkTasks,
		rng: rand.New(rand.NewPCG(c.Seed, 1)), wallMS: c.WallMS}
	s.moves = newMoves(c.Timing.Moves)
	for _, tm := range c.Teams {
		s.teamConfigs[tm.Name] = tm
	}
	for _, h := range c.Hosts {
		s.sessions[h] = &leaderSession{partitionTerms: map[int]uint64{}, fencedTerms: map[string]uint64{}}
	}
	return s
}

// AcquireTeam takes a team over, with its active jobs.
func (s *Scheduler) AcquireTeam(name string, term, stamp uint64, active []*jobs.Job, now clock.Micros) {
	s.ReleaseTeam(name)
	tm := &team{Team: s.teamConfigs[name], orderSalt: nameHash(name), term: term, modRevision: stamp, jobs: map[string]*job{}, accounted: map[string]bool{},
		unaccounted: maps.Clone(s.recordedMachines), yielding: map[string]yielding{}}
	s.teams[name] = tm
	for _, j := range active {
		s.addJob(tm, j, now)
	}
	for _, o := range s.sessions {
		delete(o.fencedTerms, name)
	}
}

// ReleaseTeam gives a team up.
func (s *Scheduler) ReleaseTeam(name string) {
	tm := s.teams[name]
	if tm == nil {
		return
	}
	delete(s.teams, name)
	s.abandonMoves(tm, "")
	for _, m := range s.machines {
		for id, b := range m.assignments {
			if b.job.team == tm {
				delete(m.assignments, id)
			}
		}
		s.recomputeAvailable(m)
	}
	for _, o := range s.sessions {
		removeTeam(&o.pending, tm)
	}
}

// Summary is how scheduling stands.
type Summary struct {
	Counters           // since the start
	Waiting, Bound int // tasks
	CancellingJobs int // whose final state is not written yet
}

// Summary gives how scheduling stands.
func (s *Scheduler) Summary() Summary {
	summary := Summary{Counters: s.counters}
	for _, tm := range s.teams {
		for _, j := range tm.jobs {
			if j.cancelling {
				summary.CancellingJobs++
			}
			summary.Waiting += j.waiting()
			summary.Bound += len(j.assignments)
		}
	}
	return summary
}

// TeamTerms gives the teams held and their terms.
func (s *Scheduler) TeamTerms() map[string]uint64 {
	out := make(map[string]uint64, len(s.teams))
	for n, t := range s.teams {
		out[n] = t.term
	}
	return out
}

// AddJob takes an active job of a team that is held.
func (s *Scheduler) AddJob(j *jobs.Job, now clock.Micros) {
	if tm := s.teams[j.Team]; tm != nil && tm.jobs[j.ID] == nil {
		s.addJob(tm, j, now)
	}
}

func (s *Scheduler) addJob(tm *team, spec *jobs.Job, now clock.Micros) {
	j := &job{Job: spec, chunkTasks: s.chunkTasks, team: tm, watermark: s.watermarkOf(tm.Name, spec), done: make([]uint64, (spec.Tasks+63)/64), assignments: map[int]*assignment{},
		tasksByZone: map[string]int{}, dirtyChunks: map[int]bool{}, avoidUntil: map[string]clock.Micros{},
		unacknowledged: map[peer.TaskID]string{}, acknowledgedTerms: map[peer.TaskID]uint64{}, acceptedAt: now}
	j.stage = s.stageOf(spec)
	if spec.ModRevision < tm.modRevision {
		j.offeredByFormer = min(j.watermark, j.Tasks)
		if j.offeredByFormer > 0 && (j.OneZone || j.Spread) || s.legacyRecords {
			// Where its other tasks are decides where these may go. And while
			// machines of an earlier release are there, which left no watermarks,
			// any task may have been asked for.
			j.offeredByFormer = j.Tasks
		}
		j.nextTask, j.awaitsAccounting = j.offeredByFormer, j.offeredByFormer > 0
	}
	if spec.AcceptedMS > 0 {
		j.acceptedAt = now - clock.Micros(max(0, s.wallMS()-spec.AcceptedMS))*clock.Millisecond
	}
	for chunk, r := range s.progress[spec.ID] {
		for i, b := range r.bits {
			for k := range 8 {
				if n := chunk.N*chunk.Size + i*8 + k; b&(1<<k) != 0 && n < spec.Tasks {
					j.markDone(n)
				}
			}
		}
	}
	clear(j.dirtyChunks)
	tm.jobs[spec.ID] = j
}

// DropJob takes note that a job is final.
func (s *Scheduler) DropJob(id string) {
	delete(s.progress, id)
	for _, tm := range s.teams {
		if j := tm.jobs[id]; j != nil {
			delete(tm.jobs, id)
			s.abandonMoves(tm, id)
			s.detectSlowMachines(j)
			for _, b := range j.assignments {
				b.orphaned = true
			}
		}
	}
}

// HandleMachineRecord takes note of a machine's record.
func (s *Scheduler) HandleMachineRecord(id string, there bool) {
	if there {
		s.recordedMachines[id] = true
		for _, tm := range s.teams {
			if !tm.accounted[id] {
				tm.unaccounted[id] = true
			}
		}
		return
	}
	delete(s.recordedMachines, id)
	for _, tm := range s.teams {
		delete(tm.unaccounted, id)
	}
	if m := s.machines[id]; m != nil {
		s.forgetSilent(m)
	}
}
