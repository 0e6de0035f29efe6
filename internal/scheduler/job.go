package scheduler

import (
	"cmp"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// job is an active job of a team that is led here, with its tasks' state.
//
// Invariant (argument 7): tasks from the watermark on were never assigned by any scheduler. Those below offeredByFormer
// may have been by a former leader of the team; unless they are seen on a machine they wait while awaitsAccounting.
type job struct {
	*jobs.Job
	team            *team
	acceptedAt      clock.Micros
	stage           recovery.Stage // of a zone's return that admits it
	withinGuarantee bool           // fits its team's guarantee together with the team's earlier jobs

	watermark        int // tasks from here on were never assigned, by the key-value store
	offeredByFormer  int
	offeredHere      bool // a task of it was assigned by this scheduler
	awaitsAccounting bool // tasks below offeredByFormer wait until all machines are accounted for
	nextTask         int  // tasks from here on were never queued
	queue            []int
	done             []uint64 // one bit for each task
	doneCount        int
	assignments      map[int]*assignment // the current one of each task
	tasksByZone      map[string]int      // tasks that are, or may be, on machines

	cancelling           bool
	cancelAcknowledged   map[string]bool // processes that have its cancellation in memory
	finalWriteAfter      clock.Micros    // the final state of its cancellation is not written before
	finalStateUncertain  bool            // its final record may have been written
	finalWriteUnanswered bool            // and an attempt to write it had no definite answer
	finalWriteInFlight   bool

	chunkTasks        int                    // tasks that a record of its progress covers
	dirtyChunks       map[int]bool           // chunks to be written
	unacknowledged    map[peer.TaskID]string // done, not written yet: on which machine
	acknowledgedTerms map[peer.TaskID]uint64 // ends acknowledged to the partition leader of that term

	stalledSince clock.Micros // since when some task of it finds no capacity; 0: all do
	noRoomSince  clock.Micros // since when none does
	noImageSince clock.Micros // since when there is capacity, but none where its image is

	runs              []runTime
	consecutiveErrors int
	retries           int                     // tasks placed once more
	lastStartAt       clock.Micros            // when its last task was first seen running
	avoidUntil        map[string]clock.Micros // by machine, after errors there
	backoffUntil      clock.Micros
}

// AddJob adds an active job of a team that is led here.
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
		chunkTasks:        s.chunkTasks,
		dirtyChunks:       map[int]bool{},
		unacknowledged:    map[peer.TaskID]string{},
		acknowledgedTerms: map[peer.TaskID]uint64{},
		avoidUntil:        map[string]clock.Micros{},
	}
	if spec.ModRevision < tm.modRevision {
		j.setOfferedByFormer(s.legacyRecords)
	}
	for chunk, record := range s.progress[spec.ID] {
		j.restoreProgress(chunk, record.bits)
	}
	clear(j.dirtyChunks)
	tm.jobs[spec.ID] = j
}

// acceptedAt is when a job was accepted, by the clock here.
func (s *Scheduler) acceptedAt(spec *jobs.Job, now clock.Micros) clock.Micros {
	if spec.AcceptedMS <= 0 {
		return now
	}
	return now - clock.Micros(max(0, s.wallMS()-spec.AcceptedMS))*clock.Millisecond
}

// setOfferedByFormer marks the tasks that a former leader of the team may have assigned. Where a job's other tasks are
// decides where those of one_zone and spread may go, so all wait. And while there are machines that an earlier
// release has recorded, which left no watermarks, any task may have been assigned.
func (j *job) setOfferedByFormer(legacyRecords bool) {
	j.offeredByFormer = min(j.watermark, j.Tasks)
	if j.offeredByFormer > 0 && (j.OneZone || j.Spread) || legacyRecords {
		j.offeredByFormer = j.Tasks
	}
	j.nextTask, j.awaitsAccounting = j.offeredByFormer, j.offeredByFormer > 0
}

// restoreProgress marks the tasks that a record of progress shows as done.
func (j *job) restoreProgress(chunk chunkID, bits []byte) {
	for i, b := range bits {
		for k := range 8 {
			if n := chunk.N*chunk.Size + i*8 + k; b&(1<<k) != 0 && n < j.Tasks {
				j.markDone(n)
			}
		}
	}
}

// DropJob drops a job that is final. What still runs of it stays counted until it is gone (argument 8).
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

// CompletedJobs lists a team's jobs whose tasks are all done and whose final state is to be
// written, those that were accepted first in front.
func (*Scheduler) CompletedJobs(tm *team) (out []*job) {
	for _, j := range tm.jobs {
		if j.doneCount == j.Tasks && !j.finalWriteInFlight && !j.cancelling {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	return out
}

// isActive reports whether a job is still one of its team's.
func (j *job) isActive() bool { return j.team.jobs[j.ID] == j }

// isCurrent reports whether an assignment is the one by which its task is placed.
func (j *job) isCurrent(a *assignment) bool { return j.assignments[a.id.N] == a }

// hasStarted reports whether some task of a job is, was, or may have been on a machine.
func (j *job) hasStarted() bool {
	return len(j.assignments) > 0 || j.doneCount > 0 || j.lastStartAt > 0
}

func (j *job) isDone(n int) bool { return j.done[n/64]&(1<<(n%64)) != 0 }

// markDone records that a task is done, to be written with its chunk.
func (j *job) markDone(n int) {
	if !j.isDone(n) {
		j.done[n/64] |= 1 << (n % 64)
		j.doneCount++
		j.dirtyChunks[n/j.chunkTasks] = true
	}
}

// chunk returns the bits of one record of progress.
func (j *job) chunk(c int) []byte {
	lo, hi := c*j.chunkTasks, min((c+1)*j.chunkTasks, j.Tasks)
	out := make([]byte, (hi-lo+7)/8)
	for n := lo; n < hi; n++ {
		if j.isDone(n) {
			out[(n-lo)/8] |= 1 << ((n - lo) % 8)
		}
	}
	return out
}

// waiting is how many tasks are neither done nor assigned.
func (j *job) waiting() int { return max(0, j.Tasks-j.doneCount-len(j.assignments)) }

// nextWaiting takes the next task to place from the queue, -1 for none. Tasks that are assigned or done are skipped.
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

// requeue queues a task whose assignment is gone, unless it is done or waits for machines to be accounted for.
func (j *job) requeue(task int) {
	if !j.isDone(task) && (!j.awaitsAccounting || task >= j.offeredByFormer) {
		j.queue = append(j.queue, task)
	}
}

// markUnplaced puts a task back that found no capacity.
func (j *job) markUnplaced(task int, now clock.Micros) {
	j.queue = append([]int{task}, j.queue...)
	if j.stalledSince == 0 {
		j.stalledSince = now
	}
	if j.noRoomSince == 0 {
		j.noRoomSince = now
	}
}

const (
	errorMachineBackoff = 20 * clock.Second // a job avoids a machine for so long after an error there
	maxErrorBackoff     = 30 * clock.Second // a job that fails on many machines pauses for at most so long
)

// recordFailure lets a job that fails avoid the machine, and back off as a whole when
// it fails on many: it must not keep taking the capacity that it frees.
func (j *job) recordFailure(machine string, now clock.Micros) {
	j.consecutiveErrors++
	j.avoidUntil[machine] = now + errorMachineBackoff
	if len(j.avoidUntil) >= 3 || j.consecutiveErrors > 3*max(1, len(j.assignments)) {
		j.backoffUntil = now + min(clock.Second<<min(j.consecutiveErrors/2, 6), maxErrorBackoff)
	}
}
