// Package inventory holds the records of the machines that may hold tasks, as they are in the key-value
// store.
//
// Many machines share one key (a Group), since each key's change costs a part of the request budget: a
// thousand machines are recorded while they boot. Records are the groups as a controller knows them
// (records.go); PlanWrites decides on the writes that record machines or drop their records (plan.go).
// The package does no I/O: the partition server carries the writes out.
//
// Invariant: a write replaces a group only as its writer knew it, by the condition on the key's mod revision.
// So a late copy of an earlier write can't remove a machine's record (docs/design.md, "Why the rules hold",
// number 5).
package inventory

import (
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// Record is what is stored of one machine. Its encoded form is kept by the golden tests.
type Record struct {
	Addr string `json:"a"` // of the worker, host:port
	Type string `json:"t"` // of the catalog
	Zone string `json:"z"`
	Spot bool   `json:"s,omitempty"`
	// AtMS is the time of day when the record was made, in milliseconds: the
	// machine existed then. 0: not known.
	AtMS int64 `json:"w,omitempty"`
}

// recordOverhead is at most how many bytes the JSON of a record takes beyond its strings and the id: names of
// fields, punctuation and the digits of a time.
const recordOverhead = 66

// maxBytes is at most how many bytes a machine's record takes of its group's value.
func (r Record) maxBytes(id string) int {
	return len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + recordOverhead
}

// Group is the value of one key: records by machine id.
type Group map[string]Record

// storedGroup is a group as it is known to be in the key-value store.
type storedGroup struct {
	machines    Group
	modRevision uint64 // of the key's last change
}

// conditionRevision is the mod revision that the key has: a key without machines is absent.
func (g storedGroup) conditionRevision() uint64 {
	if len(g.machines) == 0 {
		return 0
	}
	return g.modRevision
}

// Records are the groups as the key-value store last showed them, or as their writer knows them to be. They
// are not safe for concurrent use: whoever keeps them guards them.
type Records struct {
	groups map[string]storedGroup // by key
	keyOf  map[string]string      // the key that a machine is recorded under, by machine id
}

// NewRecords makes records without machines.
func NewRecords() *Records {
	return &Records{groups: map[string]storedGroup{}, keyOf: map[string]string{}}
}

// Apply takes one event of the replica and gives the machines whose records are new or changed, and those
// whose records were removed. An event older than what is known changes nothing, nor does a value that is not
// understood.
func (r *Records) Apply(e kvstore.Event) (added Group, removed []string) {
	if !strings.HasPrefix(e.Key, kvstore.MachinePrefix) || e.ModRevision < r.groups[e.Key].modRevision {
		return nil, nil
	}
	g := Group{}
	if e.Value != nil && json.Unmarshal(e.Value, &g) != nil {
		legacy, ok := legacyGroup(e)
		if !ok {
			return nil, nil
		}
		g = legacy
	}
	return r.Put(e.Key, g, e.ModRevision)
}

// legacyRecord is the record of the release before machines shared keys: one to a
// key, under the machine's own id. It stays there until its machine is gone.
type legacyRecord struct {
	Addr string `json:"addr"`
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

// isLegacyKey tells a key of that release from one of a partition's groups.
func isLegacyKey(key string) bool {
	return !strings.Contains(strings.TrimPrefix(key, kvstore.MachinePrefix), "/")
}

// legacyGroup reads a record of that release as a group of one machine.
func legacyGroup(e kvstore.Event) (g Group, ok bool) {
	var record legacyRecord
	if !isLegacyKey(e.Key) || json.Unmarshal(e.Value, &record) != nil || record.Type == "" {
		return nil, false
	}
	id := strings.TrimPrefix(e.Key, kvstore.MachinePrefix)
	return Group{id: {Addr: record.Addr, Type: record.Type, Zone: record.Zone, Spot: record.Spot}}, true
}

// HasLegacy reports that there are machines which an earlier release has recorded:
// tasks may be on them of which its schedulers left no watermark.
func (r *Records) HasLegacy() bool {
	for key, g := range r.groups {
		if isLegacyKey(key) && len(g.machines) > 0 {
			return true
		}
	}
	return false
}

// Put sets what a key holds since a revision, and gives the differences as Apply does.
func (r *Records) Put(key string, g Group, modRevision uint64) (added Group, removed []string) {
	known := r.groups[key].machines
	for id := range known {
		// A machine may have moved to another key in the same transaction.
		if _, still := g[id]; !still && r.keyOf[id] == key {
			delete(r.keyOf, id)
			removed = append(removed, id)
		}
	}
	for id, record := range g {
		if before, ok := known[id]; !ok || before != record || r.keyOf[id] != key {
			if added == nil {
				added = Group{}
			}
			added[id] = record
		}
		r.keyOf[id] = key
	}
	r.groups[key] = storedGroup{g, modRevision}
	slices.Sort(removed)
	return added, removed
}

// Find returns a machine's record.
func (r *Records) Find(id string) (Record, bool) {
	key, ok := r.keyOf[id]
	if !ok {
		return Record{}, false
	}
	return r.groups[key].machines[id], true
}

// Each visits all machines that are recorded, in no order.
func (r *Records) Each(visit func(id string, record Record)) {
	for id, key := range r.keyOf {
		visit(id, r.groups[key].machines[id])
	}
}
