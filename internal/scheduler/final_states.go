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
	// maxFinalWritesInFlight limits the transactions with final states that one team has in flight, so that all teams get a
	// part of the write budget, however many final states one of them has.
	maxFinalWritesInFlight = 3
	// maxFinalWriteOperations limits the operations of a transaction with final states, since a transaction waits until the
	// budget has room for all its operations.
	maxFinalWriteOperations = 12
	// finalWriteRetryInterval is the pause between two attempts of a write.
	finalWriteRetryInterval = 300 * time.Millisecond
	// maxUncertainCancelAttempts limits the attempts to write the final state of a cancelled job when they have no definite
	// answer. After that the user is asked to retry, and writeLoop continues the cancellation.
	maxUncertainCancelAttempts = 3
)

// errJobsChanged means that a job of a transaction was no longer active when the transaction was about to be sent.
var errJobsChanged = errors.New("some jobs are not active any more")

// finalStateWriter writes the final states of jobs. One transaction replaces the active record by the final state, or writes the
// end into the active record (finalWrite.inPlace), on the condition of the team's leadership and of the active record's mod
// revision. From the moment at which it is sent until its outcome is known, users who query the job are asked to retry
// (job.finalStateUncertain), so that none is told that a job is active after its final state has been written (docs/design.md,
// "Why the rules hold", number 10).
//
// A job that ends as done needs no confirmation by partition leaders. The final state of a cancelled job is written through
// canceller, which waits for their confirmation (number 11 there).
type finalStateWriter struct {
	*core
	store    Store // for jobs that are done, and for progress records that are deleted afterwards
	lifetime *lifetime
}

// finalWrite describes a transaction that writes the final states of some jobs of one team.
type finalWrite struct {
	store Store
	jobs  []*job
	phase string // wire.Done or wire.Cancelled
	// inPlace has the end written into the active record, which takes one operation for each job; otherwise a final record
	// is written and the active record deleted, which takes two.
	inPlace    bool
	conditions []wire.Condition // in addition to those on the team's leadership and the jobs' records
}

// startPendingWrites starts writing the final states of jobs whose tasks are all done, with as many jobs in a transaction as
// fit. Queries of a job are answered until immediately before its final state is sent. A team whose leadership does not hold at this
// moment is left out, as its writes would be given up at once.
func (w *finalStateWriter) startPendingWrites(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maxOperations := min(w.txnOps, maxFinalWriteOperations)
	for _, tm := range w.scheduler.teams {
		ready := w.scheduler.CompletedJobs(tm)
		if len(ready) == 0 {
			continue
		}
		if _, err := w.leadershipCondition(tm); err != nil {
			continue
		}
		// When more jobs are ready than fit into one transaction with two operations each, each job gets only one operation.
		inPlace := maxOperations < 2 || len(ready) > maxOperations/2
		for len(ready) > 0 && tm.finalWritesInFlight < maxFinalWritesInFlight {
			n := w.batchSize(ready, maxOperations, inPlace)
			w.start(ctx, tm, &finalWrite{store: w.store, jobs: ready[:n], phase: wire.Done, inPlace: inPlace})
			ready = ready[n:]
		}
	}
}

// batchSize returns how many of the jobs fit into a transaction of at most maxOperations operations, but at least one. The
// caller holds the lock.
func (w *finalStateWriter) batchSize(ready []*job, maxOperations int, inPlace bool) int {
	operations := 0
	for n, j := range ready {
		if operations += w.operationCount(j, inPlace); n > 0 && operations > maxOperations {
			return n
		}
	}
	return len(ready)
}

// operationCount returns how many operations the final state of a job takes, with the deletion of its progress records. The
// caller holds the lock.
func (w *finalStateWriter) operationCount(j *job, inPlace bool) int {
	n := 2 + len(w.scheduler.progress[j.ID])
	if inPlace {
		n--
	}
	return n
}

// start writes the final states of some of a team's jobs in a goroutine that the lifetime owns. The jobs are marked as being written
// until the write ends. If it is given up while they are active, a later call of startPendingWrites starts another one. The caller
// holds the lock.
func (w *finalStateWriter) start(ctx context.Context, tm *team, f *finalWrite) {
	started := slices.Clone(f.jobs) // write removes jobs from f
	setFinalWriteInFlight(started, true)
	tm.finalWritesInFlight++
	w.lifetime.start(func() {
		defer w.writeWake.Notify()
		if err := w.write(ctx, f); err != nil && ctx.Err() == nil {
			w.log.Warn("final state write failed", "team", tm.Name, "error", err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		setFinalWriteInFlight(started, false)
		tm.finalWritesInFlight--
	})
}

// setFinalWriteInFlight marks jobs as being written or not. The caller holds the lock.
func setFinalWriteInFlight(list []*job, inFlight bool) {
	for _, j := range list {
		j.finalWriteInFlight = inFlight
	}
}

// write writes final states, and repeats the transaction until it is written. Jobs that are no longer active at an attempt are
// left out of it. It gives up when the team's leadership is lost (errLeadershipLost) or the context ends. It also gives up the
// write of a cancellation as soon as an attempt is rejected and all earlier ones were, or after maxUncertainCancelAttempts
// attempts; the error is then that of the last attempt. After a failed condition it writes several jobs one by one.
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
		if errors.Is(err, errLeadershipLost) {
			return err
		}
		if loop.ShouldLogFailure(attempt) {
			w.log.Warn("final state write retried", "job", f.jobs[0].ID, "jobs", len(f.jobs), "attempts", attempt, "error", err)
		}
		uncertain := w.recordFailedAttempt(f.jobs, err)
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

// prepare removes the jobs that are no longer active from f, and returns the transaction for the others.
func (w *finalStateWriter) prepare(f *finalWrite) (txn wire.Txn, remaining []wire.Operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.jobs = slices.DeleteFunc(f.jobs, func(j *job) bool { return !w.mayWriteRecords(j) })
	return w.txn(f)
}

// txn returns the transaction that writes the final states of some jobs of one team. Its first condition is the one on the
// team's leadership. remaining has the deletions of progress records for which the transaction has no room. The caller holds
// the lock.
func (w *finalStateWriter) txn(f *finalWrite) (txn wire.Txn, remaining []wire.Operation) {
	if len(f.jobs) == 0 {
		return txn, nil
	}
	tm := f.jobs[0].team
	txn.Conditions = []wire.Condition{{Key: kvstore.LeaderPrefix + TeamDuty(tm.Name), ModRevision: tm.modRevision}}
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

// beforeSending is called after a transaction has waited for the budget and immediately before it is sent. It checks again that
// this process leads the team and that the jobs are active, and only then marks their final states as uncertain. With hundreds
// of final states a minute most of the time is spent waiting for the budget. If the jobs were marked before the wait, their
// users would be asked to retry for so long that they would take the jobs for lost.
func (w *finalStateWriter) beforeSending(tm *team, batch []*job) error {
	if _, err := w.leadershipCondition(tm); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range batch {
		if !w.mayWriteRecords(j) {
			return errJobsChanged
		}
	}
	for _, j := range batch {
		j.finalStateUncertain = true
	}
	return nil
}

// recordFailedAttempt records and returns whether the jobs' final states may have been written, by this failed attempt or an
// earlier one. A failed condition or a refusal is a definite answer to this attempt, but not to earlier ones without an answer.
func (w *finalStateWriter) recordFailedAttempt(failedJobs []*job, err error) (uncertain bool) {
	definite := errors.Is(err, kvstore.ErrRefused) || errors.Is(err, kvstore.ErrConflict)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range failedJobs {
		j.finalWriteUnanswered = j.finalWriteUnanswered || !definite
		j.finalStateUncertain = j.finalWriteUnanswered
	}
	return failedJobs[0].finalWriteUnanswered
}

// writeSeparately writes the final states of several jobs one by one after a condition has failed. An earlier attempt without an
// answer may have ended one of the jobs. The condition on that job's record would make every transaction with it fail, so that
// the final states of the other jobs would never be written.
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

// dropProgress deletes the progress records for which the transaction with the final states had no room. A record whose deletion
// fails stays in the key-value store, where nobody reads it.
func (w *finalStateWriter) dropProgress(ctx context.Context, tm *team, leadership []wire.Condition, drops []wire.Operation) {
	for operations := range slices.Chunk(drops, w.txnOps) {
		if _, err := w.store.Commit(ctx, wire.Txn{Conditions: leadership, Operations: operations}); err != nil {
			w.log.Warn("progress deletion failed", "team", tm.Name, "error", err)
		}
	}
}

// markFinished records that final states have been written: it adds them to the job cache and drops the jobs.
func (w *finalStateWriter) markFinished(finished []*job, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range finished {
		w.jobs.AddFinal(j.ID, finalState(j, phase))
		w.scheduler.DropJob(j.ID)
		w.log.Info("job finished", "job", j.ID, "class", j.Class, "phase", phase, "tasks", j.Tasks,
			"duration_s", (w.clock.Now() - j.acceptedAt).Seconds(), "last_start_s", (j.lastStartAt - j.acceptedAt).Seconds(),
			"retries", j.retries)
	}
}
