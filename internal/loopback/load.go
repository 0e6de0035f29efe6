package loopback

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/wire"
)

// jobProgress is a job's way to its end.
type jobProgress struct {
	group     string // by which jobs are summed up
	submitted time.Time
	done      map[string]bool // tasks
	ended     time.Time
}

// load is the users' side of a run: the jobs that they have submitted.
type load struct {
	tasks int // of each job

	mu   sync.Mutex
	jobs map[string]*jobProgress
}

func newLoad(tasks int) *load { return &load{tasks: tasks, jobs: map[string]*jobProgress{}} }

// addJob notes a job that is about to be submitted.
func (l *load) addJob(id, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &jobProgress{group: group, submitted: time.Now(), done: map[string]bool{}}
}

// taskDone takes the end of a task.
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

// awaitFinished waits until all jobs are done, for so long at most.
func (l *load) awaitFinished(ctx context.Context, most time.Duration) error {
	for end := time.Now().Add(most); l.unfinished() > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(200 * time.Millisecond)
	}
	if n := l.unfinished(); n > 0 {
		return fmt.Errorf("%d jobs are not done", n)
	}
	return nil
}
