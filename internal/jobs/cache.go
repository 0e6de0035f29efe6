// Package jobs holds the jobs in the key-value store as each controller knows them: all active ones, and
// the final states of recent ones.
//
// Record and Final are the stored forms (record.go), Job is an active job with what is derived from its
// record, and Cache is fed with the replica's events. The package does no I/O.
//
// Invariants: a final state stays known, whatever events follow, until maxFinals others have become known
// since; and Ended never takes a job for ended only because the cache is behind the key-value store
// (docs/design.md, "Why the rules hold", numbers 10 and 11).
package jobs

import (
	"strings"
	"sync"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// maxFinals bounds how many final states are cached, some megabytes; older ones are read from the key-value
// store when a user asks for them.
const maxFinals = 20_000

// Cache holds the jobs. It may be used concurrently.
type Cache struct {
	onFinal func(id string, f Final) // nil: none

	mu         sync.RWMutex // guards what follows
	active     map[string]*Job
	finals     map[string]Final
	finalOrder []string // ids of the final states, the one that was added first in front
	revision   uint64   // all changes up to this one have been applied
}

// Option sets up a cache.
type Option func(*Cache)

// OnFinal has a listener called with each final state when it is first known here. The cache's lock
// is held then: the listener must not use the cache.
func OnFinal(listener func(id string, f Final)) Option {
	return func(c *Cache) { c.onFinal = listener }
}

// NewCache makes an empty cache.
func NewCache(options ...Option) *Cache {
	c := &Cache{active: map[string]*Job{}, finals: map[string]Final{}}
	for _, set := range options {
		set(c)
	}
	return c
}

// Apply takes one event of the replica. Keys of other kinds and values that are not understood change
// nothing.
func (c *Cache) Apply(e kvstore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := strings.CutPrefix(e.Key, kvstore.ActiveJobPrefix); ok {
		c.applyActive(id, e)
	} else if id, ok := strings.CutPrefix(e.Key, kvstore.FinalJobPrefix); ok {
		c.applyFinal(id, e)
	}
}

// applyActive takes a change of an active record, which may itself say that the job has ended. The lock is
// held.
func (c *Cache) applyActive(id string, e kvstore.Event) {
	if e.Value == nil {
		delete(c.active, id)
		return
	}
	var record Record
	if json.Unmarshal(e.Value, &record) != nil {
		return
	}
	if f, ended := record.End(); ended {
		delete(c.active, id)
		c.addFinal(id, f)
		return
	}
	c.active[id] = New(record, e.ModRevision)
}

// applyFinal takes a final state; that its key is dropped changes nothing. The lock is held.
func (c *Cache) applyFinal(id string, e kvstore.Event) {
	if e.Value == nil {
		return
	}
	var f Final
	if json.Unmarshal(e.Value, &f) == nil && f.Phase != "" {
		c.addFinal(id, f)
	}
}

// addFinal keeps a final state, and forgets the oldest one when there are too many. The lock is held.
func (c *Cache) addFinal(id string, f Final) {
	if _, known := c.finals[id]; !known {
		if c.onFinal != nil {
			c.onFinal(id, f)
		}
		c.finalOrder = append(c.finalOrder, id)
		if len(c.finalOrder) > maxFinals {
			delete(c.finals, c.finalOrder[0])
			c.finalOrder = c.finalOrder[1:]
		}
	}
	c.finals[id] = f
}

// AddFinal adds a final state that was read from the key-value store, or written to it.
func (c *Cache) AddFinal(id string, f Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinal(id, f)
}

// AdvanceRevision notes that all changes up to a revision have been applied.
func (c *Cache) AdvanceRevision(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, revision)
}

// Active returns an active job.
func (c *Cache) Active(id string) (*Job, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	j, ok := c.active[id]
	return j, ok
}

// ActiveOfTeam lists a team's active jobs, in no order.
func (c *Cache) ActiveOfTeam(team string) []*Job {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []*Job
	for _, j := range c.active {
		if j.Team == team {
			out = append(out, j)
		}
	}
	return out
}

// Final returns the final state of a job, if it is known here.
func (c *Cache) Final(id string) (Final, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f, ok := c.finals[id]
	return f, ok
}

// Ended reports that a job whose record had a mod revision has ended: its final state
// is known, or the cache is as new as that record and does not show the job any more.
func (c *Cache) Ended(id string, modRevision uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, final := c.finals[id]; final {
		return true
	}
	_, active := c.active[id]
	return !active && c.revision >= modRevision
}
