package peer

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// TaskID names one attempt of one task.
type TaskID struct {
	Job     string
	N       int    // number of the task within its job, from 0
	Attempt uint64 // unique over all terms of the team: docs/design.md, "Why the rules hold", number 3
}

// String names the attempt in logs.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d#%x", t.Job, t.N, t.Attempt) }

// Assignment asks a partition leader for a resource lease on a machine for one attempt, and hands the
// attempt over to it: once it accepts, it sends the run command.
type Assignment struct {
	ID      TaskID
	Made    uint64            // mod revision of the job's record, as the scheduler knows it
	Team    string            // the job's
	Rank    int               // priority level of the job
	Need    resources.Amounts // resource request of one task
	Image   string            // to be fetched before the task runs
	ImageGB float64           // size of the image
	Machine string
	Term    uint64   // of the machine's partition, as the scheduler knows it: rejected under another
	Victims []TaskID // attempts to preempt for it, in this order, as many as it takes
	Over    bool     // victims may have the same or a higher priority: their team is beyond its guarantee
	Covered bool     // the job is within its team's guarantee
	// Hold asks for a held lease of at most this span, for a task that runs elsewhere and is to move here:
	// it starts by a StartTask only. 0: the task starts immediately.
	Hold clock.Micros
	// Stage is one more than the stage of a zone's return that admits the task; 0: none is named.
	Stage int
}

// StartTask starts a task on its held lease, once it is gone for certain from where it ran.
type StartTask struct {
	ID      TaskID
	Machine string
	Team    string // its present leader alone may start it
}

// StopTask stops an attempt.
type StopTask struct {
	ID      TaskID
	Machine string
	GraceS  float64 // seconds that it has to checkpoint
}

// Acknowledgement says that the end of an attempt is recorded: the worker may forget it.
type Acknowledgement struct {
	ID      TaskID
	Machine string
}

// CancelJob names a job of which nothing may run any more. It counts under the term that its batch names
// for the team.
type CancelJob struct{ Job, Team string }

// Batch is what a scheduler has for one partition leader. Batches of one incarnation are numbered; a copy
// of the last one gets the same response, an older one is rejected as a whole.
type Batch struct {
	From    string            // incarnation of the scheduler's controller
	Seq     uint64            // number of the batch, from 1
	Terms   map[string]uint64 // terms of the scheduler's teams: lower ones are rejected from now on
	Asks    []Assignment
	Stops   []StopTask
	Settles []Acknowledgement
	Cancels []CancelJob
	Starts  []StartTask // of tasks with a held lease
	Slow    []string    // machines to quarantine: tasks take much longer there than elsewhere
}

// Empty reports that a batch carries nothing.
func (b *Batch) Empty() bool {
	return len(b.Asks)+len(b.Stops)+len(b.Settles)+len(b.Cancels)+len(b.Starts)+len(b.Slow) == 0
}

// BatchResponse answers a batch. Its lists are in the order of the batch's assignments.
type BatchResponse struct {
	Incarnation string   // of the partition leader's controller
	Refused     []bool   // for each assignment whether it is rejected
	Versions    []uint64 // for each assignment the version of the machine's view that first shows the lease
	Yielded     []bool   // for each whether it is rejected in favour of other teams; empty where none is
}
