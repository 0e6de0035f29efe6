package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// maxFinalWritesInFlight is how many transactions with final states of one team are under way at a time: the budget
	// goes round among the teams, however many final states one of them has.
	maxFinalWritesInFlight = 3
	// maxFinalWriteOperations bounds the operations of a transaction with final states: it waits until the budget has room
	// for all of them.
	maxFinalWriteOperations = 12
	// finalWriteRetryInterval spaces the attempts of one write.
	finalWriteRetryInterval = 300 * time.Millisecond
	// maxUncertainCancelAttempts is after how many attempts the write of a cancellation without a definite answer is given
	// up: its user asks again, and writeLoop goes on with it.
	maxUncertainCancelAttempts = 3
)

// errJobsChanged means that some job of a transaction was found over before the transaction was sent.
var errJobsChanged = errors.New("some jobs are not active any more")

// finalStateWriter writes final states of jobs. It keeps the invariant of job records (docs/design.md, "Why the rules hold", 10):
// a final state replaces the active record in one transaction, on the condition of the team's leadership and the record's
// mod revision; and from the moment that it is sent until its outcome is known the job's status is not answered
// (job.finalStateUncertain). Jobs that end as done need no confirmation by partition leaders; those that are cancelled are
// written by way of canceller (11).
type finalStateWriter struct {
	*core
	store    Store // for jobs that are done, and for what is removed afterwards
	lifetime *lifetime
}

// finalWrite is the final state of some jobs of one team, to be written in one transaction.
type finalWrite struct {
	store Store
	jobs  []*job
	phase string // wire.Done or wire.Cancelled
	// inPlace writes the end into the active records: one operation for each job instead of two.
	inPlace    bool
	conditions []wire.Condition // beside the team's leadership and the jobs' records
}

// startDue starts the writes of final states of done jobs, as many jobs to a transaction as it takes. A job's status is
// answered until its final state is about to be sent.
func (w *finalStateWriter) startDue(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := min(w.txnOps, maxFinalWriteOperations)
	for _, tm := range w.scheduler.teams {
		ready := w.scheduler.CompletedJobs(tm)
		// Where many wait for the budget, each costs one operation instead of two.
		inPlace := limit < 2 || len(ready) > limit/2
		for len(ready) > 0 && tm.finalWritesInFlight < maxFinalWritesInFlight {
			n := w.batchSize(ready, limit, inPlace)
			w.start(ctx, tm, &finalWrite{store: w.store, jobs: ready[:n], phase: wire.Done, inPlace: inPlace})
			ready = ready[n:]
		}
	}
}

// batchSize returns how many of some jobs fit a transaction of at most so many operations, at least one. The lock is held.
func (w *finalStateWriter) batchSize(ready []*job, limit int, inPlace bool) int {
	operations := 0
	for n, j := range ready {
		if operations += w.operationCount(j, inPlace); n > 0 && operations > limit {
			return n
		}
	}
	return len(ready)
}

// operationCount returns how many operations the final state of a job takes. The lock is held.
func (w *finalStateWriter) operationCount(j *job, inPlace bool) int {
	n := 2 + len(w.scheduler.progress[j.ID])
	if inPlace {
		n--
	}
	return n
}

// start writes final states of a team's done jobs in a goroutine that the lifetime owns. The lock is held.
func (w *finalStateWriter) start(ctx context.Context, tm *team, f *finalWrite) {
	for _, j := range f.jobs {
		j.finalWriteInFlight = true
	}
	tm.finalWritesInFlight++
	w.lifetime.start(func() {
		defer w.writeWake.Notify()
		if err := w.write(ctx, f); err != nil && ctx.Err() == nil {
			w.log.Warn("final state write failed", "team", tm.Name, "error", err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		tm.finalWritesInFlight--
	})
}

// write writes final states, again until it has a definite answer; jobs that are over in the meantime are left out. Errors are
// errTeamLost, the context's, or for a cancellation that of its last attempt.
func (w *finalStateWriter) write(ctx context.Context, f *finalWrite) error {
	tm := f.jobs[0].team
	for attempt := 1; ctx.Err() == nil; attempt++ {
		txn, remaining := w.prepare(f)
		if len(f.jobs) == 0 {
			return nil
		}
		_, err := f.store.CommitWithCheck(ctx, txn, func() error { return w.beforeSending(tm, f.jobs) })
		if err == nil {
			w.markFinished(f.jobs, f.phase)
			w.dropProgress(ctx, tm, txn.Conditions[:1], remaining)
			return nil
		}
		if errors.Is(err, errTeamLost) {
			return err
		}
		if loop.LogsFailure(attempt) {
			w.log.Warn("final state write retried", "job", f.jobs[0].ID, "jobs", len(f.jobs), "attempts", attempt, "error", err)
		}
		uncertain := w.noteFailure(f.jobs, err)
		if f.phase == wire.Cancelled && (!uncertain || attempt >= maxUncertainCancelAttempts) {
			return err
		}
		if errors.Is(err, kvstore.ErrConflict) && len(f.jobs) > 1 {
			return w.writeSeparately(ctx, f)
		}
		loop.Pause(ctx, finalWriteRetryInterval)
	}
	return ctx.Err()
}

// prepare leaves out jobs that are not active any more, and makes the transaction for the others.
func (w *finalStateWriter) prepare(f *finalWrite) (txn wire.Txn, remaining []wire.Operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.jobs = slices.DeleteFunc(f.jobs, func(j *job) bool { return !w.isActive(j) })
	return w.txn(f)
}

// txn makes the transaction that ends jobs of one team, its first condition being the team's leadership. What it has no room
// for of the removal of their progress remains. The lock is held.
func (w *finalStateWriter) txn(f *finalWrite) (txn wire.Txn, remaining []wire.Operation) {
	if len(f.jobs) == 0 {
		return txn, nil
	}
	tm := f.jobs[0].team
	txn.Conditions = []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(tm.Name), ModRevision: tm.modRevision}}
	for _, j := range f.jobs {
		key := kvstore.ActiveJobPrefix + j.ID
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, ModRevision: j.ModRevision})
		if f.inPlace || w.txnOps < 2 {
			ended := jobs.Record{EndPhase: f.phase}
			ended.ID, ended.Team, ended.Tasks = j.ID, j.Team, j.Tasks
			txn.Operations = append(txn.Operations, wire.Operation{Put: key, Value: ended})
		} else {
			txn.Operations = append(txn.Operations,
				wire.Operation{Put: kvstore.FinalJobPrefix + j.ID, Value: finalState(j, f.phase)},
				wire.Operation{Drop: key})
		}
	}
	for _, j := range f.jobs {
		for chunk := range w.scheduler.progress[j.ID] {
			if drop := (wire.Operation{Drop: progressKey(j.ID, chunk)}); len(txn.Operations) < w.txnOps {
				txn.Operations = append(txn.Operations, drop)
			} else {
				remaining = append(remaining, drop)
			}
		}
	}
	txn.Conditions = append(txn.Conditions, f.conditions...)
	return txn, remaining
}

func finalState(j *job, phase string) jobs.Final {
	return jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks}
}

// beforeSending is called when a transaction is about to be sent, after its wait for the budget: it checks again that the team is
// led and its jobs are active, and only then makes their status uncertain. With hundreds of final states a minute most of
// the time goes into the wait, and jobs whose status is not answered for so long count as forgotten.
func (w *finalStateWriter) beforeSending(tm *team, batch []*job) error {
	if _, err := w.teamCondition(tm); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range batch {
		if !w.isActive(j) {
			return errJobsChanged
		}
	}
	for _, j := range batch {
		j.finalStateUncertain = true
	}
	return nil
}

// noteFailure keeps what a failed attempt leaves open, and tells whether the jobs' final states may have been written. A
// condition that does not hold, or a refusal, is a definite answer to this attempt, not to earlier ones.
func (w *finalStateWriter) noteFailure(batch []*job, err error) (uncertain bool) {
	definite := errors.Is(err, kvstore.ErrRefused) || errors.Is(err, kvstore.ErrConflict)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range batch {
		j.finalWriteUnanswered = j.finalWriteUnanswered || !definite
		j.finalStateUncertain = j.finalWriteUnanswered
	}
	return batch[0].finalWriteUnanswered
}

// writeSeparately writes the final states of several jobs one by one: one of them is over already, by an earlier attempt that
// had no answer, and must not keep the others from their end.
func (w *finalStateWriter) writeSeparately(ctx context.Context, f *finalWrite) error {
	for _, j := range f.jobs {
		single := *f
		single.jobs = []*job{j}
		if err := w.write(ctx, &single); err != nil {
			return err
		}
	}
	return nil
}

// dropProgress removes records of progress that a transaction with final states had no room for. What fails stays: it is read
// by nobody.
func (w *finalStateWriter) dropProgress(ctx context.Context, tm *team, leading []wire.Condition, drops []wire.Operation) {
	for operations := range slices.Chunk(drops, w.txnOps) {
		if _, err := w.store.Commit(ctx, wire.Txn{Conditions: leading, Operations: operations}); err != nil {
			w.log.Warn("progress deletion failed", "team", tm.Name, "error", err)
		}
	}
}

// markFinished takes note that final states are written.
func (w *finalStateWriter) markFinished(batch []*job, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range batch {
		w.jobs.AddFinal(j.ID, finalState(j, phase))
		w.scheduler.DropJob(j.ID)
		w.log.Info("job finished", "job", j.ID, "class", j.Class, "phase", phase, "tasks", j.Tasks,
			"duration_s", (w.clock.Now() - j.acceptedAt).Seconds(), "last_start_s", (j.lastStartAt - j.acceptedAt).Seconds(),
			"retries", j.retries)
	}
}
