package loopback

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/wire"
)

// jobProgress is a submitted job and which of its tasks are done.
type jobProgress struct {
	group     string // jobs are summarized by it
	submitted time.Time
	done      map[string]bool // tasks
	ended     time.Time
}

// load is the users' side of a run: the jobs that they have submitted. It is safe for concurrent use.
type load struct {
	tasks int // of each job

	mu   sync.Mutex // guards jobs
	jobs map[string]*jobProgress
}

func newLoad(tasks int) *load { return &load{tasks: tasks, jobs: map[string]*jobProgress{}} }

// addJob records a job that is about to be submitted.
func (l *load) addJob(id, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &jobProgress{group: group, submitted: time.Now(), done: map[string]bool{}}
}

// taskDone records that a task is done.
func (l *load) taskDone(task string) {
	id, _, _ := wire.SplitTask(task)
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return
	}
	if j.done[task] = true; len(j.done) == l.tasks && j.ended.IsZero() {
		j.ended = time.Now()
	}
}

// unfinished counts the jobs that are not done.
func (l *load) unfinished() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if j.ended.IsZero() {
			n++
		}
	}
	return n
}

// finishedPoll is how often awaitFinished looks.
const finishedPoll = 200 * time.Millisecond

// awaitFinished waits until all jobs are done, until a timeout.
func (l *load) awaitFinished(ctx context.Context, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); l.unfinished() > 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(finishedPoll)
	}
	if n := l.unfinished(); n > 0 {
		return fmt.Errorf("%d jobs are not done", n)
	}
	return nil
}
