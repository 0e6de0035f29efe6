package peer

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// TaskID identifies one attempt to run one task.
type TaskID struct {
	Job string // id of the job
	N   int    // number of the task within its job, from 0
	// Attempt is never used twice for a task: its upper 32 bits are the term of the team leadership that
	// created it, so a new leader's attempts can't be confused with those of a former one
	// (docs/design.md, "Why the rules hold", number 3).
	Attempt uint64
}

// String returns the attempt's name in logs, with the attempt number in hexadecimal.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d#%x", t.Job, t.N, t.Attempt) }

// Assignment asks a partition leader for a resource lease on a machine for one attempt. A partition leader
// that accepts it takes the attempt over from the scheduler and sends the run command to the worker.
type Assignment struct {
	ID      TaskID
	Made    uint64            // mod revision of the job's record, as the scheduler knows it
	Team    string            // team of the job
	Rank    int               // priority level of the job
	Need    resources.Amounts // resource request of the task
	Image   string            // container image that the machine fetches before the task runs
	ImageGB float64           // size of the image in GB
	Machine string            // id of the machine
	// Term is the term of the leadership of the machine's partition, as the scheduler knows it. A partition
	// leader of another term rejects the assignment, since the scheduler decided on an outdated view.
	Term uint64
	// Victims lists attempts on the machine that may be preempted. The partition leader stops them in this
	// order, and no more than the assignment needs.
	Victims []TaskID
	// Over permits victims with the same or a higher priority, because their team uses more than its
	// guarantee. Without it only tasks of a lower priority are preempted.
	Over    bool
	Covered bool // the job is within its team's guarantee
	// Hold asks for a held lease: the resources are kept for at most this span, for a task that still runs
	// on another machine and is to move to this one. Such a task starts only by a StartTask. With 0 the task
	// starts immediately.
	Hold clock.Micros
	// Stage is the recovery.Stage that admits the task when its zone returns, plus one. 0 means that the
	// scheduler names no stage (earlier releases don't), and the partition leader derives it from Rank.
	Stage int
}

// StartTask starts a task on its held lease. The scheduler sends it once the task is certainly no longer on
// the machine that it moves from; before that, two copies of the task could run.
type StartTask struct {
	ID      TaskID
	Machine string // id of the machine with the held lease
	Team    string // team of the job; only the team's present leader may start the task
}

// StopTask stops an attempt.
type StopTask struct {
	ID      TaskID
	Machine string  // id of the machine
	GraceS  float64 // time in seconds that the task has to checkpoint
}

// Acknowledgement tells a partition leader that the scheduler has recorded the end of an attempt, so that the
// worker may forget the attempt and stop reporting it.
type Acknowledgement struct {
	ID      TaskID
	Machine string // id of the machine
}

// CancelJob stops all tasks of a job, without time to checkpoint, and has further assignments of the job
// rejected. It takes effect under the term that its batch names for the team; the partition leader ignores one
// of a former team leader.
type CancelJob struct{ Job, Team string }

// Batch carries everything that a scheduler has for one partition leader at a time. The batches of one
// incarnation are numbered. The partition leader answers a copy of the last batch with the same response and
// applies it only once. Of an older batch it applies nothing and rejects all assignments. It forgets an
// incarnation's last batch an hour after it.
type Batch struct {
	From string // incarnation of the scheduler's controller
	Seq  uint64 // number of the batch, from 1
	// Terms has the terms of the team leaderships that the scheduler holds, by team. After this
	// batch the partition leader rejects assignments, starts and cancellations under lower terms of these
	// teams, so a former leader of a team can no longer start its tasks.
	Terms   map[string]uint64
	Asks    []Assignment
	Stops   []StopTask
	Settles []Acknowledgement
	Cancels []CancelJob
	Starts  []StartTask // starts of tasks that have a held lease
	Slow    []string    // ids of machines to quarantine: tasks take much longer there than elsewhere, or only failed there
}

// Empty reports whether the batch has nothing to carry out.
func (b *Batch) Empty() bool {
	return len(b.Asks)+len(b.Stops)+len(b.Settles)+len(b.Cancels)+len(b.Starts)+len(b.Slow) == 0
}

// BatchResponse is a partition leader's answer to a batch. Its lists have one element for each assignment, in
// the order of Batch.Asks.
type BatchResponse struct {
	Incarnation string // incarnation of the partition leader's controller
	Refused     []bool // whether the assignment was rejected
	// Versions has, for an accepted assignment, the version of the partition leader's state that first
	// contains the lease. A MachineView with a lower Version does not show the lease yet.
	Versions []uint64
	Yielded  []bool // whether the assignment was rejected in favour of other teams; empty if none was
}
