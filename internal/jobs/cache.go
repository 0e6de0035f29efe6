// Package jobs is every controller's view of the jobs in the state service:
// the active ones in full, the final states of recent ones.
package jobs

import (
	"strings"
	"sync"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Record is the value of an active job's key.
type Record struct {
	wire.Job
	AcceptedMS int64 `json:"accepted_ms"` // time of day at the accepting controller
	// Watermarked jobs may be begun without a mark of their own: each of their tasks
	// counts as asked for from the acceptance on.
	Watermarked bool `json:"marked,omitempty"`
	// EndPhase is the phase that the job ended in. Only where a transaction takes a
	// single change does the end stand here: elsewhere the record is replaced by a Final.
	EndPhase string `json:"over,omitempty"`
}

// End is the final state of a job whose record tells that it is over.
func (r *Record) End() (f Final, over bool) {
	return Final{Phase: r.EndPhase, Team: r.Team, Tasks: r.Tasks}, r.EndPhase != ""
}

// Job is an accepted job that is not final.
type Job struct {
	Record
	ModRevision   uint64 // of its record: grows with the order of acceptance
	Need          resources.Amounts
	PriorityLevel int
}

// New makes a job from its record.
func New(spec Record, stamp uint64) *Job {
	return &Job{Record: spec, ModRevision: stamp, Need: resources.Request(spec.CPUs, spec.GPUs, spec.MemGB), PriorityLevel: wire.PriorityLevel(spec.Priority)}
}

// StopGraceS is how long a task of the job may save when it is stopped.
func (j *Job) StopGraceS() float64 {
	if j.CheckpointIntervalS > 0 {
		return j.CheckpointDurationS + 0.1
	}
	return 0
}

// Final is the record of a job that is over.
type Final struct {
	Phase string `json:"phase"`
	Team  string `json:"team"`
	Tasks int    `json:"tasks"`
}

// State is what users are told of a final job.
func (f Final) State(id string) wire.JobState {
	s := wire.JobState{ID: id, Phase: f.Phase}
	if f.Phase == wire.Done {
		s.Done = f.Tasks
	}
	return s
}

// maxFinals bounds the cache of final states; older ones are read again.
const maxFinals = 20_000

// Cache holds the view.
type Cache struct {
	mu         sync.RWMutex
	active     map[string]*Job
	finals     map[string]Final
	finalOrder []string
	revision   uint64 // all changes up to this revision are known
	onFinal    func(id string, f Final)
}

// NewCache makes an empty view.
func NewCache(options ...Option) *Cache {
	b := &Cache{active: map[string]*Job{}, finals: map[string]Final{}}
	for _, set := range options {
		set(b)
	}
	return b
}

// Apply takes one event of the replica.
func (b *Cache) Apply(e kvstore.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id, ok := strings.CutPrefix(e.Key, kvstore.ActiveJobPrefix); ok {
		if e.Value == nil {
			delete(b.active, id)
			return
		}
		var spec Record
		if json.Unmarshal(e.Value, &spec) != nil {
			return
		}
		if f, over := spec.End(); over {
			delete(b.active, id)
			b.addFinal(id, f)
			return
		}
		b.active[id] = New(spec, e.ModRevision)
	} else if id, ok := strings.CutPrefix(e.Key, kvstore.FinalJobPrefix); ok && e.Value != nil {
		var f Final
		if json.Unmarshal(e.Value, &f) == nil && f.Phase != "" {
			b.addFinal(id, f)
		}
	}
}

// Option sets up a cache.
type Option func(*Cache)

// OnFinal has a listener called with each final state when it is first known here. The cache's lock
// is held then: the listener must not use the cache.
func OnFinal(listener func(id string, f Final)) Option {
	return func(b *Cache) { b.onFinal = listener }
}

func (b *Cache) addFinal(id string, f Final) {
	if _, ok := b.finals[id]; !ok {
		if b.onFinal != nil {
			b.onFinal(id, f)
		}
		b.finalOrder = append(b.finalOrder, id)
		if len(b.finalOrder) > maxFinals {
			delete(b.finals, b.finalOrder[0])
			b.finalOrder = b.finalOrder[1:]
		}
	}
	b.finals[id] = f
}

// AddFinal notes a final state that was read.
func (b *Cache) AddFinal(id string, f Final) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addFinal(id, f)
}

// Find gives an active job.
func (b *Cache) Active(id string) (*Job, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	j, ok := b.active[id]
	return j, ok
}

// AdvanceRevision notes that all changes up to a revision have been applied.
func (b *Cache) AdvanceRevision(rev uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision = max(b.revision, rev)
}

// Over tells that a job whose record was made at a revision is over: its final state
// is known, or the view is as new as the record and does not show it any more.
func (b *Cache) Ended(id string, made uint64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if _, final := b.finals[id]; final {
		return true
	}
	_, active := b.active[id]
	return !active && b.revision >= made
}

// Final gives the final state of a job, if it is known here.
func (b *Cache) Final(id string) (Final, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	f, ok := b.finals[id]
	return f, ok
}

// ActiveOfTeam lists a team's active jobs.
func (b *Cache) ActiveOfTeam(team string) []*Job {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var out []*Job
	for _, j := range b.active {
		if j.Team == team {
			out = append(out, j)
		}
	}
	return out
}
