package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

type job struct {
	*jobs.Job
	per        int // tasks that a record of its progress covers
	team       *team
	watermark  int  // tasks from here on were never asked for: so the state service says
	former     int  // tasks up to here a former placer may have asked for
	parked     bool // and those wait until all machines are accounted for
	next       int  // tasks from here on were never queued
	queue      []int
	done       []uint64 // bits
	doneCount  int
	bound      map[int]*binding
	zones      map[string]int
	cancelling bool
	taken      map[string]bool // processes that have its withdrawal in memory
	endAfter   clock.Micros    // the end of its withdrawal is not tried until then
	asked      bool            // a task of it was asked for by this placer
	uncertain  bool            // its final record may have been written
	unanswered bool            // and a try to write it had no definite answer
	finishing  bool
	dirty      map[int]bool           // chunks to be written
	unsettled  map[peer.TaskID]string // ended as done, not written yet: on which machine
	acked      map[peer.TaskID]uint64 // ends settled with the owner of that term
	stalled    clock.Micros           // since when some task of it finds no room
	dry        clock.Micros           // since when none does
	bareSince  clock.Micros           // since when there is room, but none where its image is
	covered    bool                   // fits its team's guarantee together with the team's earlier jobs
	since      clock.Micros
	stage      recovery.Stage // of a zone's return that admits it
	runs       []runTime
	errors     int
	again      int          // tasks placed once more
	lastStart  clock.Micros // when its last task was first seen running
	failedOn   map[string]clock.Micros
	backoff    clock.Micros
}

func (j *job) isDone(n int) bool { return j.done[n/64]&(1<<(n%64)) != 0 }

func (j *job) markDone(n int) {
	if !j.isDone(n) {
		j.done[n/64] |= 1 << (n % 64)
		j.doneCount++
		j.dirty[n/j.per] = true
	}
}

// chunk gives the bits of one record of progress.
func (j *job) chunk(c int) []byte {
	lo, hi := c*j.per, min((c+1)*j.per, j.Tasks)
	out := make([]byte, (hi-lo+7)/8)
	for n := lo; n < hi; n++ {
		if j.isDone(n) {
			out[(n-lo)/8] |= 1 << ((n - lo) % 8)
		}
	}
	return out
}

// waiting is how many tasks are neither done nor bound.
func (j *job) waiting() int { return max(0, j.Tasks-j.doneCount-len(j.bound)) }

// take gives the next task to place, -1 for none. Tasks that are bound or done are skipped.
func (j *job) take() int {
	for len(j.queue) > 0 {
		n := j.queue[0]
		j.queue = j.queue[1:]
		if !j.isDone(n) && j.bound[n] == nil {
			return n
		}
	}
	for j.next < min(j.watermark, j.Tasks) {
		n := j.next
		j.next++
		if !j.isDone(n) && j.bound[n] == nil {
			return n
		}
	}
	return -1
}
