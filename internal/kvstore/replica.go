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
	// watchBlock is how long the store may block a watch that has no changes yet.
	watchBlock = 20 * time.Second
	// minWatchInterval is the minimum time between two watch requests, since each of them counts towards the request budget.
	minWatchInterval = 90 * time.Millisecond
	// loadRetryPause and watchRetryPause are the pauses before a failed request is retried: short enough to notice the end of
	// an outage soon, long enough for the request budget.
	loadRetryPause  = 300 * time.Millisecond
	watchRetryPause = 250 * time.Millisecond
)

// loadedPrefixes are the prefixes whose keys are read at the start. Final states are not read, only watched.
var loadedPrefixes = []string{
	LeaderPrefix, ControllerPrefix, ActiveJobPrefix, MachinePrefix, ProgressPrefix, WatermarkPrefix, ZonePrefix, catalogPrefix,
}

// Event is one change of a key. The events of a key come in the order of their revisions.
type Event struct {
	Key         string
	Value       json.RawMessage // nil: deleted
	ModRevision uint64
}

// Source is the part of the key-value store client that Replica reads from.
type Source interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error)
}

// Replica follows all keys and notifies a listener of changes. If the store no longer has some of them, the listener gets the
// differences that result from them; final states may then be missed, which are only watched. Replica keeps only mod revisions;
// the listener keeps the values that it needs. Only the goroutine of Run uses its fields.
type Replica struct {
	source Source
	notify func([]Event, uint64)
	log    *slog.Logger

	modRevisions map[string]uint64 // by key, for all keys that the listener knows except final states
	revision     uint64            // the listener knows all changes up to this one
}

// NewReplica makes a replica that notifies the listener of changes, those of each key in order, together with the revision up
// to which the listener then knows all changes. The goroutine of Run calls the listener, which must not block.
func NewReplica(source Source, listener func([]Event, uint64), log *slog.Logger) *Replica {
	return &Replica{source: source, notify: listener, log: log, modRevisions: map[string]uint64{}}
}

// Run follows the keys until ctx ends. It reads the keys of loadedPrefixes, then watches for changes until the store no longer has the
// watched revision, and starts over. It closes loadedOnce after the first full read.
func (r *Replica) Run(ctx context.Context, loadedOnce chan<- struct{}) error {
	for ctx.Err() == nil {
		if !r.loadWithRetry(ctx) {
			break
		}
		r.log.Info("replica loaded", "revision", r.revision, "keys", len(r.modRevisions))
		if loadedOnce != nil {
			close(loadedOnce)
			loadedOnce = nil
		}
		r.watchUntilCompacted(ctx)
	}
	return nil
}

// loadWithRetry reads the keys of loadedPrefixes and retries until that succeeds. It reports false if ctx ends first.
func (r *Replica) loadWithRetry(ctx context.Context) bool {
	for attempts := 1; ctx.Err() == nil; attempts++ {
		err := r.load(ctx)
		if err == nil {
			return true
		}
		if loop.ShouldLogFailure(attempts) {
			r.log.Warn("store load failed", "attempts", attempts, "error", err)
		}
		loop.Pause(ctx, loadRetryPause)
	}
	return false
}

// watchUntilCompacted notifies the listener of changes until all keys have to be read again or ctx ends.
func (r *Replica) watchUntilCompacted(ctx context.Context) {
	failures := 0 // consecutive
	for ctx.Err() == nil {
		started := time.Now()
		changes, err := r.source.Watch(ctx, RootPrefix, r.revision, watchBlock)
		switch {
		case errors.Is(err, ErrCompacted):
			return
		case err != nil:
			if failures++; loop.ShouldLogFailure(failures) && ctx.Err() == nil {
				r.log.Warn("store watch failed", "error", err)
			}
			loop.Pause(ctx, watchRetryPause)
			continue
		}
		failures = 0
		r.applyChanges(changes)
		if remaining := minWatchInterval - time.Since(started); remaining > 0 {
			loop.Pause(ctx, remaining)
		}
	}
}

// applyChanges notifies the listener of the changes in the response of a watch. It drops changes that the listener already
// knows, by their mod revisions.
func (r *Replica) applyChanges(response wire.WatchResponse) {
	var events []Event
	for _, change := range response.Changes {
		key := change.Put
		if key == "" {
			key = change.Drop
		}
		if change.ModRevision <= r.modRevisions[key] || key == "" {
			continue
		}
		if change.Put != "" {
			if !strings.HasPrefix(key, FinalJobPrefix) {
				r.modRevisions[key] = change.ModRevision
			}
			events = append(events, Event{key, change.Value, change.ModRevision})
		} else {
			delete(r.modRevisions, key)
			events = append(events, Event{key, nil, change.ModRevision})
		}
	}
	r.publish(events, max(r.revision, response.Revision))
}

// load reads the keys of loadedPrefixes and notifies the listener of the differences from what the listener knew.
func (r *Replica) load(ctx context.Context) error {
	var events []Event
	var lowestRevision uint64 // lowest revision of the lists; the watch starts after it
	presentKeys := map[string]bool{}
	for i, prefix := range loadedPrefixes {
		items, rev, err := r.source.List(ctx, prefix)
		if err != nil {
			return err
		}
		if i == 0 || rev < lowestRevision {
			lowestRevision = rev
		}
		for _, item := range items {
			presentKeys[item.Key] = true
			if item.ModRevision > r.modRevisions[item.Key] {
				events = append(events, Event{item.Key, item.Value, item.ModRevision})
			}
		}
	}
	for key, modRevision := range r.modRevisions {
		if !presentKeys[key] {
			events = append(events, Event{key, nil, max(lowestRevision, modRevision)})
			delete(r.modRevisions, key)
		}
	}
	for _, e := range events {
		if e.Value != nil {
			r.modRevisions[e.Key] = e.ModRevision
		}
	}
	r.publish(events, lowestRevision)
	return nil
}

// publish records that all changes up to revision are known, and notifies the listener of events if there are any.
func (r *Replica) publish(events []Event, revision uint64) {
	r.revision = revision
	if len(events) > 0 {
		r.notify(events, revision)
	}
}
