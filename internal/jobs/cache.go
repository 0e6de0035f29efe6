// Package jobs provides each controller's cache of the jobs in the key-value store: all active ones, and
// the final states of recent ones.
//
// Record and Final are the stored forms (record.go). Job is an active job with values derived from its
// record. Cache is updated by the replica's events. The package does no I/O.
//
// Invariants: a final state stays known, whatever events follow, until maxFinals newer final states have
// become known. Ended never reports a job as ended only because the cache is behind the key-value store;
// otherwise a partition leader would reject or stop tasks of a job whose record has not reached its cache
// yet (docs/design.md, "Why the rules hold", numbers 10 and 11).
package jobs

import (
	"strings"
	"sync"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// maxFinals is the maximum number of cached final states, which take some megabytes. Older ones are read
// from the key-value store when a user asks for them.
const maxFinals = 20_000

// Cache holds the active jobs and the latest final states. It is safe for concurrent use.
type Cache struct {
	onFinal func(id string, f Final) // nil: no listener

	mu         sync.RWMutex // guards the fields below
	active     map[string]*Job
	finals     map[string]Final
	finalOrder []string // ids of the final states, in the order in which they were added
	revision   uint64   // all changes up to this one have been applied
}

// Option configures a cache.
type Option func(*Cache)

// OnFinal makes the cache call listener with each final state that is added and not cached yet. The cache's
// lock is held during the call, so the listener must not use the cache.
func OnFinal(listener func(id string, f Final)) Option {
	return func(c *Cache) { c.onFinal = listener }
}

// NewCache makes an empty cache.
func NewCache(options ...Option) *Cache {
	c := &Cache{active: map[string]*Job{}, finals: map[string]Final{}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Apply applies one event of the replica. It ignores keys of other kinds and values that can't be decoded.
func (c *Cache) Apply(e kvstore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := strings.CutPrefix(e.Key, kvstore.ActiveJobPrefix); ok {
		c.applyActive(id, e)
	} else if id, ok := strings.CutPrefix(e.Key, kvstore.FinalJobPrefix); ok {
		c.applyFinal(id, e)
	}
}

// applyActive applies a change of an active job's record, which may itself say that the job has ended. The
// caller holds the lock.
func (c *Cache) applyActive(id string, e kvstore.Event) {
	if e.Value == nil {
		delete(c.active, id)
		return
	}
	var record Record
	if json.Unmarshal(e.Value, &record) != nil {
		return
	}
	if f, ended := record.FinalState(); ended {
		delete(c.active, id)
		c.addFinal(id, f)
		return
	}
	c.active[id] = New(record, e.ModRevision)
}

// applyFinal adds a final state. It ignores the deletion of the key, since a final state stays known. The
// caller holds the lock.
func (c *Cache) applyFinal(id string, e kvstore.Event) {
	if e.Value == nil {
		return
	}
	var f Final
	if json.Unmarshal(e.Value, &f) == nil && f.Phase != "" {
		c.addFinal(id, f)
	}
}

// addFinal adds a final state, and drops the oldest one when there are more than maxFinals. The caller
// holds the lock.
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

// AddFinal adds a final state that was read from the key-value store or written to it.
func (c *Cache) AddFinal(id string, f Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinal(id, f)
}

// AdvanceRevision records that all changes up to a revision have been applied.
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

// ActiveOfTeam returns a team's active jobs, in no particular order.
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

// Final returns the final state of a job, if it is cached.
func (c *Cache) Final(id string) (Final, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f, ok := c.finals[id]
	return f, ok
}

// Ended reports whether a job has ended. modRevision is the mod revision of the job's record, or 0 if the
// caller knows that the cache includes the record. The job has ended if its final state is known, or if the
// cache includes that revision and has no active job with this id.
func (c *Cache) Ended(id string, modRevision uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, final := c.finals[id]; final {
		return true
	}
	_, active := c.active[id]
	return !active && c.revision >= modRevision
}
