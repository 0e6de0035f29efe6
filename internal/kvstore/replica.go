package kvstore

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// watchBlock is how long a watch may wait in the store for a change.
	watchBlock = 20 * time.Second
	// minWatchInterval bounds how often a watch is opened anew, since each counts as a request.
	minWatchInterval = 90 * time.Millisecond
	// loadRetryPause and watchRetryPause bound how often a store that does not answer is asked again: soon enough that an
	// outage's end is noticed immediately, seldom enough for the request budget.
	loadRetryPause  = 300 * time.Millisecond
	watchRetryPause = 250 * time.Millisecond
)

// loadedPrefixes are the prefixes read at the start; final states are only followed.
var loadedPrefixes = []string{
	LeaderPrefix, ControllerPrefix, ActiveJobPrefix, MachinePrefix, ProgressPrefix, WatermarkPrefix, ZonePrefix, catalogPrefix,
}

// Event is one change of a key, in order of revisions.
type Event struct {
	Key         string
	Value       json.RawMessage // nil: deleted
	ModRevision uint64
}

// Source is what the replica reads from.
type Source interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error)
}

// Replica follows all keys and notifies a listener of every change. It keeps mod revisions, not values: what is to be known is
// kept by the listener. Only the goroutine of Run uses its fields.
type Replica struct {
	source Source
	notify func([]Event, uint64)
	log    *slog.Logger

	modRevisions map[string]uint64 // of all keys that the listener knows, but for final states
	revision     uint64            // all changes up to it are known
}

// NewReplica makes a replica that notifies its listener of changes, in order, and up to which revision it knows all of them
// then. The listener is called by the goroutine of Run and must not block.
func NewReplica(source Source, listener func([]Event, uint64), log *slog.Logger) *Replica {
	return &Replica{source: source, notify: listener, log: log, modRevisions: map[string]uint64{}}
}

// Run follows the keys until ctx ends: it reads all of them, then watches for changes until the store no longer has the watched
// revision, and so on. loadedOnce is closed after the first full read.
func (r *Replica) Run(ctx context.Context, loadedOnce chan<- struct{}) error {
	for ctx.Err() == nil {
		if !r.loadWithRetry(ctx) {
			break
		}
		if loadedOnce != nil {
			close(loadedOnce)
			loadedOnce = nil
		}
		r.watchUntilCompacted(ctx)
	}
	return nil
}

// loadWithRetry reads all keys, again and again until it succeeds; it reports false when ctx has ended before.
func (r *Replica) loadWithRetry(ctx context.Context) bool {
	for attempts := 1; ctx.Err() == nil; attempts++ {
		err := r.load(ctx)
		if err == nil {
			return true
		}
		if loop.LogsFailure(attempts) {
			r.log.Warn("store load failed", "attempts", attempts, "error", err)
		}
		loop.Pause(ctx, loadRetryPause)
	}
	return false
}

// watchUntilCompacted notifies the listener of changes until all keys are to be read anew, or ctx ends.
func (r *Replica) watchUntilCompacted(ctx context.Context) {
	failures := 0 // in a row
	for ctx.Err() == nil {
		began := time.Now()
		changes, err := r.source.Watch(ctx, RootPrefix, r.revision, watchBlock)
		switch {
		case errors.Is(err, ErrCompacted):
			return
		case err != nil:
			if failures++; loop.LogsFailure(failures) && ctx.Err() == nil {
				r.log.Warn("store watch failed", "error", err)
			}
			loop.Pause(ctx, watchRetryPause)
			continue
		}
		failures = 0
		r.applyChanges(changes)
		if rest := minWatchInterval - time.Since(began); rest > 0 {
			loop.Pause(ctx, rest)
		}
	}
}

// applyChanges takes a watch's answer. Repetitions of what is known are dropped by their mod revisions.
func (r *Replica) applyChanges(ch wire.WatchResponse) {
	var events []Event
	for _, c := range ch.Changes {
		key := c.Put
		if key == "" {
			key = c.Drop
		}
		if c.ModRevision <= r.modRevisions[key] || key == "" {
			continue
		}
		if c.Put != "" {
			if !strings.HasPrefix(key, FinalJobPrefix) {
				r.modRevisions[key] = c.ModRevision
			}
			events = append(events, Event{key, c.Value, c.ModRevision})
		} else {
			delete(r.modRevisions, key)
			events = append(events, Event{key, nil, c.ModRevision})
		}
	}
	r.publish(events, max(r.revision, ch.Revision))
}

// load reads all keys and notifies the listener of the differences from what it knew.
func (r *Replica) load(ctx context.Context) error {
	var events []Event
	var lowest uint64 // revision of the earliest page: the watch goes on from there
	present := map[string]bool{}
	for i, prefix := range loadedPrefixes {
		items, rev, err := r.source.List(ctx, prefix)
		if err != nil {
			return err
		}
		if i == 0 || rev < lowest {
			lowest = rev
		}
		for _, it := range items {
			present[it.Key] = true
			if it.ModRevision > r.modRevisions[it.Key] {
				events = append(events, Event{it.Key, it.Value, it.ModRevision})
			}
		}
	}
	for key, modRevision := range r.modRevisions {
		if !present[key] {
			events = append(events, Event{key, nil, max(lowest, modRevision)})
			delete(r.modRevisions, key)
		}
	}
	for _, e := range events {
		if e.Value != nil {
			r.modRevisions[e.Key] = e.ModRevision
		}
	}
	r.publish(events, lowest)
	return nil
}

// publish notifies the listener of events, if there are any, once all changes up to a revision are known.
func (r *Replica) publish(events []Event, revision uint64) {
	r.revision = revision
	if len(events) > 0 {
		r.notify(events, revision)
	}
}
