package scheduler

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

// watermarkInterval is the time between two rounds of writes, so that many raised watermarks share one write.
const watermarkInterval = 150 * time.Millisecond

// watermarkWriter writes watermarks before the tasks below them are assigned. It passes a watermark to the Scheduler only after
// the write, so that no task is assigned that the durable watermark does not cover: the team's next leader would start such a
// task a second time (docs/design.md, "Why the rules hold", number 7).
type watermarkWriter struct {
	*core
	store          Store
	maxRecordBytes int

	failures int // writes that failed in a row; used only by run
}

// run writes watermarks at intervals until ctx ends.
func (w *watermarkWriter) run(ctx context.Context) error {
	for ctx.Err() == nil {
		loop.Pause(ctx, watermarkInterval)
		w.mu.Lock()
		writes := w.scheduler.PlanWatermarks(w.clock.Now(), w.maxRecordBytes)
		w.mu.Unlock()
		for _, write := range writes {
			w.write(ctx, write)
		}
	}
	return nil
}

// write writes one watermark record if this process still leads its team. It does not retry: PlanWatermarks plans the watermarks
// of a failed write again.
func (w *watermarkWriter) write(ctx context.Context, write WatermarkWrite) {
	leadership, ok := w.elections.Leading(TeamDuty(write.Team))
	if !ok {
		return
	}
	rev, err := w.store.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{
			{Key: kvstore.LeaderPrefix + TeamDuty(write.Team), ModRevision: leadership.ModRevision},
			{Key: write.Key, ModRevision: write.ModRevision},
		},
		Operations: []wire.Operation{{Put: write.Key, Value: write.Watermarks}},
	})
	if err != nil {
		if w.failures++; loop.ShouldLogFailure(w.failures) && ctx.Err() == nil {
			w.log.Warn("watermark write failed", "team", write.Team, "error", err)
		}
		return
	}
	w.failures = 0
	w.mu.Lock()
	w.scheduler.HandleWatermarkRecord(write.Key, write.Watermarks, rev)
	w.mu.Unlock()
	w.scheduleWake.Notify()
}
