package kvstore

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/wire"
)

// RootPrefix is the prefix of every key of the project; the watch covers it.
const RootPrefix = "ml/"

// Prefixes of keys below Root.
const (
	LeaderPrefix     = RootPrefix + "c/" // duties
	ControllerPrefix = RootPrefix + "n/" // registered incarnations
	ActiveJobPrefix  = RootPrefix + "a/" // jobs that are not final
	FinalJobPrefix   = RootPrefix + "f/" // final states of jobs
	MachinePrefix    = RootPrefix + "m/" // machines that may hold tasks
	ProgressPrefix   = RootPrefix + "p/" // completed tasks of active jobs
	WatermarkPrefix  = RootPrefix + "w/" // how many tasks of active jobs may have been asked for
	CatalogKey       = RootPrefix + "k/catalog"
	ZonePrefix       = RootPrefix + "z/" // states of zones
)

// loadedPrefixes are the prefixes read at the start; final states are only followed.
var loadedPrefixes = []string{LeaderPrefix, ControllerPrefix, ActiveJobPrefix, MachinePrefix, ProgressPrefix, WatermarkPrefix, ZonePrefix, RootPrefix + "k/"}

// Event is one change of a key, in order of revisions.
type Event struct {
	Key         string
	Value       json.RawMessage // nil: dropped
	ModRevision uint64
}

// Source is what the replica reads from.
type Source interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error)
}

// Replica follows the keys and tells a listener of every change.
type Replica struct {
	source       Source
	notify       func([]Event, uint64)
	log          *slog.Logger
	modRevisions map[string]uint64
	revision     uint64
}

// NewReplica makes a replica that tells its listener of changes, in order, and up to
// which revision it knows all of them then.
func NewReplica(src Source, tell func([]Event, uint64), log *slog.Logger) *Replica {
	return &Replica{source: src, notify: tell, log: log, modRevisions: map[string]uint64{}}
}

// minWatchInterval bounds how often a watch is opened anew, since each counts as a request.
const minWatchInterval = 90 * time.Millisecond

// Run follows the keys until ctx ends. loadedOnce is closed after the first full read.
func (r *Replica) Run(ctx context.Context, loadedOnce chan<- struct{}) error {
	fresh := false
	first := true
	tries := 0
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		if !fresh {
			if err := r.load(ctx); err != nil {
				if tries++; tries%32 == 1 { // once in a while: an outage lasts many tries
					r.log.Info("reading the state service", "tries", tries, "err", err)
				}
				pause(300 * time.Millisecond)
				continue
			}
			fresh, tries = true, 0
			if first {
				close(loadedOnce)
				first = false
			}
		}
		began := time.Now()
		ch, err := r.source.Watch(ctx, RootPrefix, r.revision, 20*time.Second)
		switch {
		case errors.Is(err, ErrCompacted):
			fresh = false
			continue
		case err != nil:
			if ctx.Err() == nil {
				r.log.Debug("watching the state service", "err", err)
			}
			pause(250 * time.Millisecond)
			continue
		}
		r.applyChanges(ch)
		if gap := minWatchInterval - time.Since(began); gap > 0 {
			pause(gap)
		}
	}
	return nil
}

// applyChanges takes a watch's answer. Replays of what is known are dropped by stamp.
func (r *Replica) applyChanges(ch wire.WatchResponse) {
	var evs []Event
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
			evs = append(evs, Event{key, c.Value, c.ModRevision})
		} else {
			delete(r.modRevisions, key)
			evs = append(evs, Event{key, nil, c.ModRevision})
		}
	}
	r.revision = max(r.revision, ch.Revision)
	if len(evs) > 0 {
		r.notify(evs, r.revision)
	}
}

// load reads everything and tells the differences from what was known.
func (r *Replica) load(ctx context.Context) error {
	var evs []Event
	var low uint64
	seen := map[string]bool{}
	for i, p := range loadedPrefixes {
		items, rev, err := r.source.List(ctx, p)
		if err != nil {
			return err
		}
		if i == 0 || rev < low {
			low = rev
		}
		for _, it := range items {
			seen[it.Key] = true
			if it.ModRevision > r.modRevisions[it.Key] {
				evs = append(evs, Event{it.Key, it.Value, it.ModRevision})
			}
		}
	}
	for key, stamp := range r.modRevisions {
		if !seen[key] {
			evs = append(evs, Event{key, nil, max(low, stamp)})
			delete(r.modRevisions, key)
		}
	}
	for _, e := range evs {
		if e.Value != nil {
			r.modRevisions[e.Key] = e.ModRevision
		}
	}
	r.revision = low
	if len(evs) > 0 {
		r.notify(evs, r.revision)
	}
	return nil
}
