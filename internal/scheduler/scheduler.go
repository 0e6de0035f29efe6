// Package scheduler makes the decisions of a team leader: it places all tasks of its teams' jobs, enforces the teams'
// limits, and is the only writer of their jobs' records once a job has been accepted.
//
// Scheduler holds the decision logic: code without I/O that gets the current time as an argument. Its inputs are
// events (such as HandlePollResponse, HandleBatchResponse, HandleMachineRecord, HandleProgressRecord, HandleWatermarkRecord,
// AddJob, DropJob, AcquireTeam, ReleaseTeam, CancelJob, SetZoneState); its outputs are polls (NextPoll), batches of
// assignments and commands (NextBatch), and records to write (PlanWatermarks, CompletedJobs). Schedule runs one
// scheduling cycle. Server does the I/O: it sends and writes the outputs and passes the results back, all under one
// lock.
//
// The package maintains these invariants; docs/design.md, "Why the rules hold", argues for each under the number in
// parentheses:
//   - An assignment counts against its team's limit from the decision until its attempt is known to be gone, so that
//     a team never exceeds its limit (8, type team).
//   - Attempts are unique over all leaders of a team, so that a late message about one attempt is never applied to
//     another (3, team.nextAttempt).
//   - A task that a former leader may have assigned is not placed until all machines are accounted for, so that it
//     never runs twice (7, type job).
//   - The end of a job is confirmed only when none of its tasks can start any more (11, CancellationConfirmed).
package scheduler

import (
	"math/rand/v2"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// Parameters configures the scheduling cycle: its sizes, waiting times, objectives and optional features.
type Parameters struct {
	// SampleSize is how many machines are drawn at random and compared for a task that is not small. A cycle makes up to
	// BaseAssignmentsPerCycle assignments plus a quarter of the number of waiting tasks; overdue first tasks of jobs are placed
	// regardless of that.
	SampleSize, BaseAssignmentsPerCycle int
	WorkerLease                         clock.Micros // worker lease: a lost machine is noticed after this time
	PreemptAfter                        clock.Micros // how long a job must lack capacity to preempt; exception: selectByFit
	// Economy saves cost at the expense of start times, see waitsForImageByFit and onDemandIfUrgent.
	Economy              bool
	StartObjectives      map[string]clock.Micros // by job class: tasks should start within this time after acceptance
	GuaranteeObjective   clock.Micros            // work within a guarantee should start within this time; 0: no objective
	FinishObjectives     map[string]clock.Micros // by job class: jobs should finish within this time after acceptance
	MaxDeadlineMultiples map[string]float64      // by job class: jobs should finish within this multiple of their deadlines
	Costs                *Costs                  // nil: machines are not chosen by estimated cost
	Moves                *MoveSettings           // nil: running tasks are not moved
	// Stages returns the stage of a zone's return that admits a job; nil: it follows from priority and deadline.
	Stages func(*jobs.Job) recovery.Stage
}

// Scheduler makes the decisions for the teams that this controller leads, based on a cached state of all machines. It
// is not safe for concurrent use: Server's lock guards it.
//
// It has three layers, none of which uses those above it: machineCache caches the state of the machines, selector
// chooses machines for tasks, and Scheduler holds the teams, their jobs and assignments, and what is to be sent and
// written.
type Scheduler struct {
	selector
	processID   string          // identifies this process
	teamConfigs map[string]Team // all teams by name, including those led by other controllers
	wallClockMS func() int64    // time of day in ms, within the error bound of the settings

	teams         map[string]*team                      // teams led here, by name
	progress      map[string]map[chunkID]progressRecord // records of completed tasks, by job id
	tasksPerChunk int                                   // number of tasks that a new progress record covers
	legacyRecords bool                                  // an earlier release, which wrote no watermarks, has recorded machines
	watermarks    map[string]watermarkRecord            // watermark records, by key

	published      demandPublication
	moves          activeMoves
	movesCheckedAt clock.Micros

	counters      Counters
	distributions teamDistributions
}

// Config configures a scheduler.
type Config struct {
	Parameters  Parameters
	ProcessID   string       // identifies this process
	Teams       []Team       // all teams, including those led by other controllers
	Hosts       []string     // names of all controllers
	Seed        uint64       // of the random sampling of machines
	WallClockMS func() int64 // time of day in ms, within the error bound of the settings
}

// NewScheduler returns a scheduler that leads no team yet.
func NewScheduler(c Config) *Scheduler {
	s := &Scheduler{
		selector: selector{
			machineCache: newMachineCache(c.Hosts),
			parameters:   c.Parameters,
			rng:          rand.New(rand.NewPCG(c.Seed, 1)),
			zones:        zoneGates{},
		},
		processID:     c.ProcessID,
		teamConfigs:   map[string]Team{},
		wallClockMS:   c.WallClockMS,
		teams:         map[string]*team{},
		progress:      map[string]map[chunkID]progressRecord{},
		tasksPerChunk: MaxTasksPerChunk,
		watermarks:    map[string]watermarkRecord{},
		moves:         newActiveMoves(c.Parameters.Moves),
		distributions: teamDistributions{},
	}
	for _, tm := range c.Teams {
		s.teamConfigs[tm.Name] = tm
	}
	return s
}
