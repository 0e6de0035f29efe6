package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

type job struct {
	*jobs.Job
	chunkTasks           int // tasks that a record of its progress covers
	team                 *team
	watermark            int  // tasks from here on were never asked for: so the state service says
	offeredByFormer      int  // tasks up to here a former placer may have asked for
	awaitsAccounting     bool // and those wait until all machines are accounted for
	nextTask             int  // tasks from here on were never queued
	queue                []int
	done                 []uint64 // bits
	doneCount            int
	assignments          map[int]*assignment
	tasksByZone          map[string]int
	cancelling           bool
	cancelAcknowledged   map[string]bool // processes that have its withdrawal in memory
	finalWriteAfter      clock.Micros    // the end of its withdrawal is not tried until then
	offeredHere          bool            // a task of it was asked for by this placer
	finalStateUncertain  bool            // its final record may have been written
	finalWriteUnanswered bool            // and a try to write it had no definite answer
	finalWriteInFlight   bool
	dirtyChunks          map[int]bool           // chunks to be written
	unacknowledged       map[peer.TaskID]string // ended as done, not written yet: on which machine
	acknowledgedTerms    map[peer.TaskID]uint64 // ends settled with the owner of that term
	stalledSince         clock.Micros           // since when some task of it finds no room
	noRoomSince          clock.Micros           // since when none does
	noImageSince         clock.Micros           // since when there is room, but none where its image is
	withinGuarantee      bool                   // fits its team's guarantee together with the team's earlier jobs
	acceptedAt           clock.Micros
	stage                recovery.Stage // of a zone's return that admits it
	runs                 []runTime
	consecutiveErrors    int
	retries              int          // tasks placed once more
	lastStartAt          clock.Micros // when its last task was first seen running
	avoidUntil           map[string]clock.Micros
	backoffUntil         clock.Micros
}

func (j *job) isDone(n int) bool { return j.done[n/64]&(1<<(n%64)) != 0 }

func (j *job) markDone(n int) {
	if !j.isDone(n) {
		j.done[n/64] |= 1 << (n % 64)
		j.doneCount++
		j.dirtyChunks[n/j.chunkTasks] = true
	}
}

// chunk gives the bits of one record of progress.
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

// waiting is how many tasks are neither done nor bound.
func (j *job) waiting() int { return max(0, j.Tasks-j.doneCount-len(j.assignments)) }

// nextWaiting gives the next task to place, -1 for none. Tasks that are bound or done are skipped.
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
