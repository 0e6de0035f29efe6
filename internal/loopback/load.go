package loopback

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/wire"
)

// jobProgress records when a job was submitted and ended, and which of its tasks are done.
type jobProgress struct {
	group     string // team or priority by which the run's result summarizes jobs
	submitted time.Time
	done      map[string]bool // by task
	ended     time.Time       // zero until all tasks are done
}

// load records the jobs that the users of a run have submitted. It is safe for concurrent use.
type load struct {
	tasksPerJob int // of each job

	mu   sync.Mutex // guards jobs
	jobs map[string]*jobProgress
}

func newLoad(tasks int) *load { return &load{tasksPerJob: tasks, jobs: map[string]*jobProgress{}} }

// addJob records a job. It must be called before the submission, because taskDone ignores tasks of unknown jobs.
func (l *load) addJob(id, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &jobProgress{group: group, submitted: time.Now(), done: map[string]bool{}}
}

// taskDone records that a task is done. The job ends with the last of its tasks.
func (l *load) taskDone(task string) {
	id, _, _ := wire.SplitTask(task)
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return
	}
	if j.done[task] = true; len(j.done) == l.tasksPerJob && j.ended.IsZero() {
		j.ended = time.Now()
	}
}

// dropJob forgets a job, which is then not waited for.
func (l *load) dropJob(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.jobs, id)
}

// unfinished returns the number of jobs with a task that is not done.
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

// finishedPollInterval is how often awaitFinished checks whether all jobs are done.
const finishedPollInterval = 200 * time.Millisecond

// awaitFinished waits until all jobs are done. It fails if they are not when the timeout passes or ctx ends.
func (l *load) awaitFinished(ctx context.Context, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); l.unfinished() > 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(finishedPollInterval)
	}
	if n := l.unfinished(); n > 0 {
		return fmt.Errorf("%d jobs are not done", n)
	}
	return nil
}
