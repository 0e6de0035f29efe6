package scheduler

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

// watermarkInterval gathers raised watermarks into one write.
const watermarkInterval = 150 * time.Millisecond

// watermarkWriter writes watermarks ahead of the tasks that need them. The decision learns of one only once it is durable, so
// that no task above it is assigned (docs/design.md, "Why the rules hold", 7).
type watermarkWriter struct {
	*core
	store          Store
	maxRecordBytes int

	failures int // writes that failed in a row; used by run alone
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

// write writes one record of watermarks, where its team is still led. What fails is planned anew.
func (w *watermarkWriter) write(ctx context.Context, write WatermarkWrite) {
	leadership, ok := w.elections.Leading(Duty(write.Team))
	if !ok {
		return
	}
	rev, err := w.store.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{
			{Key: kvstore.LeaderPrefix + Duty(write.Team), ModRevision: leadership.ModRevision},
			{Key: write.Key, ModRevision: write.ModRevision},
		},
		Operations: []wire.Operation{{Put: write.Key, Value: write.Watermarks}},
	})
	if err != nil {
		if w.failures++; loop.LogsFailure(w.failures) && ctx.Err() == nil {
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
