// Package scheduler is what a team leader does: it places all tasks of its teams' jobs, keeps the teams' limits, and
// alone writes their jobs' records after acceptance.
//
// Scheduler is the decision: plain code without I/O that takes the time. Its inputs are events (HandlePollResponse,
// HandleBatchResponse, HandleMachineRecord, HandleProgressRecord, HandleWatermarkRecord, AddJob, DropJob,
// AcquireTeam, ReleaseTeam, CancelJob, SetZoneState); its outputs are polls (NextPoll), batches of assignments and
// commands (NextBatch), and writes (PlanWatermarks, CompletedJobs). Schedule is one cycle of decisions. Server does the
// I/O: it carries the outputs out and feeds the results back, all under one lock.
//
// Invariants, with their arguments in docs/design.md, "Why the rules hold": an assignment counts against its team's
// limit from the decision until the attempt is gone for certain (8, type team); attempts are unique over all
// leaders of a team (3); a task that a former leader may have assigned waits until all machines are accounted for (7,
// type job); a job's end is confirmed only when nothing of it can start any more (11).
package scheduler

import (
	"math/rand/v2"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// Timing and sizes of scheduling.
type Timing struct {
	Sample, Batch int
	Lease         clock.Micros // of the workers
	PreemptAfter  clock.Micros
	Economy       bool
	Waits         map[string]clock.Micros // classes whose tasks should start within so long
	Guarantee     clock.Micros            // guaranteed work should start within so long; 0: no objective
	Finishes      map[string]clock.Micros // classes whose jobs should be finished within so long
	Times         map[string]float64      // classes, and the largest multiple of their deadlines that is asked for
	Costs         *Costs                  // nil: machines are not chosen by costs
	Moves         *Moves                  // nil: running tasks are not moved
	// Stages returns at which stage of a zone's return a job is admitted; nil: by priority and deadline.
	Stages func(*jobs.Job) recovery.Stage
}

// Scheduler decides for the teams that this controller leads, on a cached state of all machines. It is not safe for
// concurrent use: Server's lock guards it.
//
// It is built in layers, of which none knows those above it: machineCache is what is known of machines, selector chooses
// machines for tasks, and Scheduler holds the teams, their jobs and assignments, and what is to be sent and written.
type Scheduler struct {
	selector
	instance    string // names this process
	teamConfigs map[string]Team
	wallMS      func() int64 // time of day in ms, good to the settings' bound

	teams         map[string]*team // led here
	progress      map[string]map[chunkID]progress
	chunkTasks    int  // tasks that a record of progress covers
	legacyRecords bool // an earlier release has recorded machines: it left no watermarks
	watermarks    map[string]watermarks

	published      demandPublication
	moves          moves
	movesCheckedAt clock.Micros

	counters      Counters
	distributions teamDistributions
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

// NewScheduler returns a scheduler that leads no team yet.
func NewScheduler(c Config) *Scheduler {
	s := &Scheduler{
		selector: selector{
			machineCache: newMachineCache(c.Hosts),
			timing:       c.Timing,
			rng:          rand.New(rand.NewPCG(c.Seed, 1)),
			zones:        zoneGates{},
		},
		instance:      c.Instance,
		teamConfigs:   map[string]Team{},
		wallMS:        c.WallMS,
		teams:         map[string]*team{},
		progress:      map[string]map[chunkID]progress{},
		chunkTasks:    ChunkTasks,
		watermarks:    map[string]watermarks{},
		moves:         newMoves(c.Timing.Moves),
		distributions: teamDistributions{},
	}
	for _, tm := range c.Teams {
		s.teamConfigs[tm.Name] = tm
	}
	return s
}
