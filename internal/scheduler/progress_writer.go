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

// progressWriter writes at intervals which tasks are completed. The ends of the tasks are acknowledged only after the write, since
// the workers forget them then. Each write has a condition on the mod revision of the record that it replaces: otherwise a late copy
// of an earlier write could mark tasks as not done after the workers have forgotten them (docs/design.md, "Late writes").
type progressWriter struct {
	*core
	store    Store
	interval clock.Micros

	lastWriteAt clock.Micros // start of the last round of writes; used only by writeLoop, as is failures
	failures    int          // writes that failed in a row
}

// progressWrite is a progress record of a job that is to be written.
type progressWrite struct {
	job            *job
	chunk          int                    // number of the record among the job's records
	bits           []byte                 // its value, set by snapshot
	unacknowledged map[peer.TaskID]string // machines by attempts that are to be acknowledged after the write, set by snapshot
}

func (p *progressWrite) id() chunkID { return chunkID{p.chunk, p.job.tasksPerChunk} }

// size estimates how many bytes the record takes in a transaction.
func (p *progressWrite) size() int { return min(p.job.tasksPerChunk, p.job.Tasks)/6 + 300 }

// writeIfDue writes progress if the interval since the last write has passed.
func (w *progressWriter) writeIfDue(ctx context.Context) {
	if now := w.clock.Now(); now >= w.lastWriteAt+w.interval {
		w.lastWriteAt = now
		w.write(ctx)
	}
}

// write writes all progress records that have changed. It stops when a write fails or the budget has no room for more; the other
// records are written after the next interval.
func (w *progressWriter) write(ctx context.Context) {
	for tm, writes := range w.changedRecords() {
		if !w.writeTeam(ctx, tm, writes) {
			return
		}
	}
	w.scheduleWake.Notify()
}

// changedRecords returns the records to write by team. For jobs without changed records it acknowledges the ended attempts, since
// their completed tasks are durable already.
func (w *progressWriter) changedRecords() map[*team][]progressWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTeam := map[*team][]progressWrite{}
	for _, tm := range w.scheduler.teams {
		for _, j := range tm.jobs {
			if j.finalWriteInFlight || j.doneCount == j.Tasks {
				continue // its final state is written next, costs no more and covers all progress
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

// writeTeam writes the records of one team. It returns false when no records of any team should be written any more before the
// next interval.
func (w *progressWriter) writeTeam(ctx context.Context, tm *team, writes []progressWrite) (proceed bool) {
	for len(writes) > 0 {
		n := w.batchSize(writes)
		if n == 0 {
			return false
		}
		leadership, err := w.leadershipCondition(tm)
		if err != nil {
			return true // the team's next leader writes its progress; the other teams' progress is still written here
		}
		rev, err := w.store.Commit(ctx, w.txn(leadership, writes[:n]))
		w.handleResult(writes[:n], rev, err)
		if err != nil {
			if w.failures++; loop.ShouldLogFailure(w.failures) && ctx.Err() == nil {
				w.log.Warn("progress write failed", "error", err)
			}
			return false
		}
		w.failures = 0
		writes = writes[n:]
	}
	return true
}

// batchSize returns how many of the records to write in one transaction; 0 when the budget has no room even for one.
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

// txn returns the transaction that writes some records of a team with their present values.
func (w *progressWriter) txn(leadership wire.Condition, writes []progressWrite) wire.Txn {
	w.mu.Lock()
	defer w.mu.Unlock()
	txn := wire.Txn{Conditions: []wire.Condition{leadership}}
	for i := range writes {
		p := &writes[i]
		p.snapshot()
		key := progressKey(p.job.ID, p.id())
		// Without the condition on the record's own mod revision, a late copy of an earlier write would undo newer writes, whose
		// tasks the workers have forgotten already.
		txn.Conditions = append(txn.Conditions,
			wire.Condition{Key: kvstore.ActiveJobPrefix + p.job.ID, ModRevision: p.job.ModRevision},
			wire.Condition{Key: key, ModRevision: w.scheduler.progress[p.job.ID][p.id()].modRevision})
		txn.Operations = append(txn.Operations, wire.Operation{Put: key, Value: base64.StdEncoding.EncodeToString(p.bits)})
	}
	return txn
}

// snapshot copies the record's present bits, and the attempts to acknowledge that they cover, from the job. The caller holds the
// lock.
func (p *progressWrite) snapshot() {
	p.bits = p.job.progressBits(p.chunk)
	delete(p.job.dirtyChunks, p.chunk)
	p.unacknowledged = map[peer.TaskID]string{}
	for id, machine := range p.job.unacknowledged {
		if id.N/p.job.tasksPerChunk == p.chunk {
			p.unacknowledged[id] = machine
		}
	}
}

// handleResult applies the outcome of a transaction. It acknowledges attempts only if their record was written; if not, the
// record stays marked as changed and is written again.
func (w *progressWriter) handleResult(writes []progressWrite, rev uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range writes {
		p := &writes[i]
		if err != nil {
			p.job.dirtyChunks[p.chunk] = true
			continue
		}
		if w.mayWriteRecords(p.job) {
			w.scheduler.HandleProgressRecord(p.job.ID, p.id(), p.bits, rev)
		}
		for id, machine := range p.unacknowledged {
			delete(p.job.unacknowledged, id)
			w.scheduler.acknowledge(p.job, id, machine)
		}
	}
}
