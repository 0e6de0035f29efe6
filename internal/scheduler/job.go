package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// job is an active job of a team that is led here, with the state of its tasks.
//
// Invariant: no leader of the team ever assigned a task whose number is at or above the watermark, except leaders of the earlier
// release that wrote no watermarks (setAssignedByFormer). A former leader of the team may have assigned those below
// assignedByFormer. Those of them that are seen on a machine get an assignment there (adoptTask).
// The others are not placed while awaitsAccounting is set, since they may run on a machine that has not been seen yet and
// would run twice (docs/design.md, "Why the rules hold", number 7).
type job struct {
	*jobs.Job
	team            *team
	acceptedAt      clock.Micros   // by the clock of this process
	stage           recovery.Stage // stage of a zone's return that admits the job
	withinGuarantee bool           // fits its team's guarantee together with the team's earlier jobs

	watermark        int      // by the key-value store: tasks from this number on were never assigned
	assignedByFormer int      // tasks below this number may have been assigned by a former leader of the team
	assignedHere     bool     // this scheduler has assigned a task of the job
	awaitsAccounting bool     // tasks below assignedByFormer wait until all machines are accounted for
	nextTask         int      // tasks from this number on were never queued
	queue            []int    // numbers of tasks to place, in order
	done             []uint64 // bitmap, one bit per task
	doneCount        int
	assignments      map[int]*assignment // current assignment by task number
	tasksByZone      map[string]int      // number of tasks that are, or may be, on machines of a zone

	cancelling           bool
	cancelAcknowledged   map[string]bool // processes that have the cancellation in memory
	finalWriteAfter      clock.Micros    // earliest time to write the final state of the cancellation
	finalStateUncertain  bool            // the final state may have been written
	finalWriteUnanswered bool            // some attempt to write the final state had no definite answer
	finalWriteInFlight   bool            // a goroutine is writing the final state

	tasksPerChunk     int                    // number of tasks that a progress record of the job covers
	dirtyChunks       map[int]bool           // progress records that have to be written
	unacknowledged    map[peer.TaskID]string // attempts that are done but not recorded yet, with their machines
	acknowledgedTerms map[peer.TaskID]uint64 // partition terms under which the end of an attempt was acknowledged

	stalledSince     clock.Micros // since when some task lacks capacity or room below the team's limit; 0: none does
	noPlacementSince clock.Micros // since when every search for a machine has failed; 0: the last one succeeded, or there was none
	imageWaitSince   clock.Micros // when it began to wait for a machine with its image; 0 again once one had capacity

	runs        []taskRun
	failures    failureHistory
	retries     int          // how often tasks had to be placed again
	lastStartAt clock.Micros // when a task was last seen to start running
}

// AddJob adds an active job, if its team is led here.
func (s *Scheduler) AddJob(j *jobs.Job, now clock.Micros) {
	if tm := s.teams[j.Team]; tm != nil && tm.jobs[j.ID] == nil {
		s.addJob(tm, j, now)
	}
}

func (s *Scheduler) addJob(tm *team, spec *jobs.Job, now clock.Micros) {
	j := &job{
		Job:               spec,
		team:              tm,
		acceptedAt:        s.acceptedAt(spec, now),
		stage:             s.stageOf(spec),
		watermark:         s.watermarkOf(tm.Name, spec),
		done:              make([]uint64, (spec.Tasks+63)/64),
		assignments:       map[int]*assignment{},
		tasksByZone:       map[string]int{},
		tasksPerChunk:     s.tasksPerChunk,
		dirtyChunks:       map[int]bool{},
		unacknowledged:    map[peer.TaskID]string{},
		acknowledgedTerms: map[peer.TaskID]uint64{},
		failures:          newFailureHistory(),
	}
	if spec.ModRevision < tm.modRevision {
		j.setAssignedByFormer(s.legacyRecords)
	}
	for chunk, record := range s.progress[spec.ID] {
		j.restoreProgress(chunk, record.bits)
	}
	clear(j.dirtyChunks)
	tm.jobs[spec.ID] = j
}

// acceptedAt converts the time at which a job was accepted to the clock of this process. A job without one counts as
// accepted now.
func (s *Scheduler) acceptedAt(spec *jobs.Job, now clock.Micros) clock.Micros {
	if spec.AcceptedMS <= 0 {
		return now
	}
	return now - clock.Micros(max(0, s.wallClockMS()-spec.AcceptedMS))*clock.Millisecond
}

// setAssignedByFormer marks the tasks that a former leader of the team may have assigned: those below the watermark. If
// there are any, all tasks of a one_zone or spread job are marked, because the zones of the tasks already assigned
// determine where the others may go. All tasks are also marked while there are machines that an earlier release has
// recorded, because that release wrote no watermarks.
func (j *job) setAssignedByFormer(legacyRecords bool) {
	j.assignedByFormer = min(j.watermark, j.Tasks)
	if j.assignedByFormer > 0 && (j.OneZone || j.Spread) || legacyRecords {
		j.assignedByFormer = j.Tasks
	}
	j.nextTask, j.awaitsAccounting = j.assignedByFormer, j.assignedByFormer > 0
}

// restoreProgress marks as done the tasks that a progress record shows as done.
func (j *job) restoreProgress(chunk chunkID, bits []byte) {
	for i, b := range bits {
		for bit := range 8 {
			if n := chunk.N*chunk.Size + i*8 + bit; b&(1<<bit) != 0 && n < j.Tasks {
				j.markDone(n)
			}
		}
	}
}

// DropJob removes a job that has reached its final state. Its tasks that still run count against the team's limit until
// they are known to be gone (docs/design.md, "Why the rules hold", number 8).
func (s *Scheduler) DropJob(id string) {
	delete(s.progress, id)
	for _, tm := range s.teams {
		if j := tm.jobs[id]; j != nil {
			delete(tm.jobs, id)
			s.abandonMoves(tm, id)
			s.detectSlowMachines(j)
			for _, a := range j.assignments {
				a.orphaned = true
			}
		}
	}
}

// CompletedJobs returns a team's jobs whose tasks are all done and whose final state has to be written, in the order in
// which they were accepted.
func (*Scheduler) CompletedJobs(tm *team) (out []*job) {
	for _, j := range tm.jobs {
		if j.doneCount == j.Tasks && !j.finalWriteInFlight && !j.cancelling {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	return out
}

// isActive reports whether the job is still one of its team's active jobs.
func (j *job) isActive() bool { return j.team.jobs[j.ID] == j }

// isCurrent reports whether an assignment is the current one of its task.
func (j *job) isCurrent(a *assignment) bool { return j.assignments[a.id.N] == a }

// hasStarted reports whether some task of the job is assigned, has been seen running, or is done.
func (j *job) hasStarted() bool {
	return len(j.assignments) > 0 || j.doneCount > 0 || j.lastStartAt > 0
}

func (j *job) isDone(n int) bool { return j.done[n/64]&(1<<(n%64)) != 0 }

// markDone marks a task as done, and its progress record as to be written.
func (j *job) markDone(n int) {
	if !j.isDone(n) {
		j.done[n/64] |= 1 << (n % 64)
		j.doneCount++
		j.dirtyChunks[n/j.tasksPerChunk] = true
	}
}

// progressBits returns the bits of the progress record with this number, one per task.
func (j *job) progressBits(number int) []byte {
	lo, hi := number*j.tasksPerChunk, min((number+1)*j.tasksPerChunk, j.Tasks)
	out := make([]byte, (hi-lo+7)/8)
	for n := lo; n < hi; n++ {
		if j.isDone(n) {
			out[(n-lo)/8] |= 1 << ((n - lo) % 8)
		}
	}
	return out
}

// waiting returns how many tasks are neither done nor assigned.
func (j *job) waiting() int { return max(0, j.Tasks-j.doneCount-len(j.assignments)) }

// nextWaiting returns the next task to place, or -1 if there is none: the first of the queue, or else the next one below
// the watermark that was never queued. It skips tasks that are assigned or done.
func (j *job) nextWaiting() int {
	for len(j.queue) > 0 {
		n := j.queue[0]
		j.queue = j.queue[1:]
		if !j.isDone(n) && j.assignments[n] == nil {
			return n
		}
	}
	for j.nextTask < min(j.watermark, j.Tasks) {
		n := j.nextTask
		j.nextTask++
		if !j.isDone(n) && j.assignments[n] == nil {
			return n
		}
	}
	return -1
}

// requeue queues a task whose assignment is gone, unless the task is done or has to wait until all machines are
// accounted for.
func (j *job) requeue(task int) {
	if !j.isDone(task) && (!j.awaitsAccounting || task >= j.assignedByFormer) {
		j.queue = append(j.queue, task)
	}
}

// requeueUnplaced puts a task for which no machine was found back at the front of the queue, and records since when the job
// lacks capacity.
func (j *job) requeueUnplaced(task int, now clock.Micros) {
	j.queue = append([]int{task}, j.queue...)
	if j.stalledSince == 0 {
		j.stalledSince = now
	}
	if j.noPlacementSince == 0 {
		j.noPlacementSince = now
	}
}
