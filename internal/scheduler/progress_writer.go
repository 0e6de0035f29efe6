package scheduler

import (
	"context"
	"encoding/base64"
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

func progressKey(id string, chunk chunkID) string {
	return fmt.Sprintf("%s%s/%s", kvstore.ProgressPrefix, id, chunk)
}

// progressWriter writes at intervals which tasks are completed, and only then lets their workers forget them. A write is
// conditional on the mod revision of its own record too, so that a late copy takes no bit back (docs/design.md, "Late writes").
type progressWriter struct {
	*core
	store    Store
	interval clock.Micros

	startedAt clock.Micros // of the last write; used by writeLoop alone, as is failures
	failures  int          // writes that failed in a row
}

// progressWrite is a record of a job's progress that is to be written.
type progressWrite struct {
	job            *job
	chunk          int
	bits           []byte                 // as written
	unacknowledged map[peer.TaskID]string // attempts to be acknowledged once it is written, and their machines
}

// id names the record.
func (p *progressWrite) id() chunkID { return chunkID{p.chunk, p.job.chunkTasks} }

// size estimates how many bytes it takes of a transaction.
func (p *progressWrite) size() int { return min(p.job.chunkTasks, p.job.Tasks)/6 + 300 }

// writeIfDue writes progress when the interval is over.
func (w *progressWriter) writeIfDue(ctx context.Context) {
	if now := w.clock.Now(); now >= w.startedAt+w.interval {
		w.startedAt = now
		w.write(ctx)
	}
}

// write writes all records that have changed. It stops at a failure, or where the budget has no changes to spare; the rest is
// written with the next interval.
func (w *progressWriter) write(ctx context.Context) {
	for tm, writes := range w.changedRecords() {
		if !w.writeTeam(ctx, tm, writes) {
			return
		}
	}
	w.scheduleWake.Notify()
}

// changedRecords lists the records to write by team, and acknowledges attempts of jobs that have none.
func (w *progressWriter) changedRecords() map[*team][]progressWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTeam := map[*team][]progressWrite{}
	for _, tm := range w.scheduler.teams {
		for _, j := range tm.jobs {
			if j.finalWriteInFlight || j.doneCount == j.Tasks {
				continue // its final state costs no more, and says all of it
			}
			for chunk := range j.dirtyChunks {
				byTeam[tm] = append(byTeam[tm], progressWrite{job: j, chunk: chunk})
			}
			if len(j.dirtyChunks) == 0 {
				for id, machine := range j.unacknowledged {
					w.scheduler.acknowledge(j, id, machine)
				}
				clear(j.unacknowledged)
			}
		}
	}
	return byTeam
}

// writeTeam writes records of one team; false when nothing more is to be written now, of any team.
func (w *progressWriter) writeTeam(ctx context.Context, tm *team, writes []progressWrite) (proceed bool) {
	for len(writes) > 0 {
		n := w.batchSize(writes)
		if n == 0 {
			return false
		}
		leading, err := w.teamCondition(tm)
		if err != nil {
			return true // the team's next leader writes its progress; other teams' is written
		}
		rev, err := w.store.Commit(ctx, w.txn(leading, writes[:n]))
		w.handleResult(writes[:n], rev, err)
		if err != nil {
			if w.failures++; loop.LogsFailure(w.failures) && ctx.Err() == nil {
				w.log.Warn("progress write failed", "error", err)
			}
			return false
		}
		w.failures = 0
		writes = writes[n:]
	}
	return true
}

// batchSize returns how many of some records to write in one transaction; 0 when the budget has no change to spare.
func (w *progressWriter) batchSize(writes []progressWrite) int {
	n := 1
	for size := writes[0].size(); n < min(len(writes), w.txnOps) && size+writes[n].size() < wire.MaxTxnBytes; n++ {
		size += writes[n].size()
	}
	switch {
	case w.store.HasSpareWrites(n):
		return n
	case w.store.HasSpareWrites(1):
		return 1
	}
	return 0
}

// txn makes the transaction that writes some records of a team, as they are now.
func (w *progressWriter) txn(leading wire.Condition, writes []progressWrite) wire.Txn {
	w.mu.Lock()
	defer w.mu.Unlock()
	txn := wire.Txn{Conditions: []wire.Condition{leading}}
	for i := range writes {
		p := &writes[i]
		p.take()
		key := progressKey(p.job.ID, p.id())
		// Without the condition of the record's own mod revision a late copy of an earlier write would take back what is
		// written, and forgotten by the workers, since.
		txn.Conditions = append(txn.Conditions,
			wire.Condition{Key: kvstore.ActiveJobPrefix + p.job.ID, ModRevision: p.job.ModRevision},
			wire.Condition{Key: key, ModRevision: w.scheduler.progress[p.job.ID][p.id()].modRevision})
		txn.Operations = append(txn.Operations, wire.Operation{Put: key, Value: base64.StdEncoding.EncodeToString(p.bits)})
	}
	return txn
}

// take copies the record's present bits, and the attempts that they cover, from the job. The lock is held.
func (p *progressWrite) take() {
	p.bits = p.job.chunk(p.chunk)
	delete(p.job.dirtyChunks, p.chunk)
	p.unacknowledged = map[peer.TaskID]string{}
	for id, machine := range p.job.unacknowledged {
		if id.N/p.job.chunkTasks == p.chunk {
			p.unacknowledged[id] = machine
		}
	}
}

// handleResult takes the outcome of a transaction: attempts are acknowledged only where their record is written.
func (w *progressWriter) handleResult(writes []progressWrite, rev uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range writes {
		p := &writes[i]
		if err != nil {
			p.job.dirtyChunks[p.chunk] = true
			continue
		}
		if w.isActive(p.job) {
			w.scheduler.HandleProgressRecord(p.job.ID, p.id(), p.bits, rev)
		}
		for id, machine := range p.unacknowledged {
			delete(p.job.unacknowledged, id)
			w.scheduler.acknowledge(p.job, id, machine)
		}
	}
}
