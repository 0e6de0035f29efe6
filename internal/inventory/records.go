// Package inventory holds the records of the machines that may hold tasks, as stored in the key-value
// store.
//
// Many machines share one key (a Group), because each change of a key takes part of the request budget and
// a thousand machines may be recorded while they boot. Records holds the groups as a controller knows them
// (records.go). PlanWrites decides which writes record machines or remove their records (plan.go). The
// package does no I/O: the partition server sends the writes.
//
// Invariant: a write replaces a group only if the group is still as its writer knew it, by a condition on
// the key's mod revision. A delayed copy of an earlier write therefore can't remove a machine's record
// (docs/design.md, "Why the rules hold", number 5).
package inventory

import (
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// Record is the stored record of one machine. Golden tests check its encoded form.
type Record struct {
	Addr string `json:"a"` // address of the worker, host:port
	Type string `json:"t"` // machine type in the catalog
	Zone string `json:"z"`
	Spot bool   `json:"s,omitempty"`
	// AtMS is the wall clock time, in Unix milliseconds, when the record was made; the machine existed
	// then. 0: unknown.
	AtMS int64 `json:"w,omitempty"`
}

// recordOverhead is the maximum number of bytes that a record takes in JSON beyond its strings and the
// machine id: field names, punctuation and the digits of a time.
const recordOverhead = 66

// maxBytes returns an upper bound of the bytes that a machine's record takes in the value of its group.
func (r Record) maxBytes(id string) int {
	return len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + recordOverhead
}

// Group is the value of one key: records by machine id.
type Group map[string]Record

// storedGroup is the last known value of a key. Without machines it stands for an absent key.
type storedGroup struct {
	machines    Group
	modRevision uint64 // of the key's last change
}

// conditionRevision returns the mod revision to put into a condition on the key: 0 if the group has no
// machines, since its key is then absent.
func (g storedGroup) conditionRevision() uint64 {
	if len(g.machines) == 0 {
		return 0
	}
	return g.modRevision
}

// Records holds the groups as the key-value store last showed them, or as their writer knows them to be. It
// is not safe for concurrent use.
type Records struct {
	groups       map[string]storedGroup // by key
	keyByMachine map[string]string      // key of the group that holds a machine, by machine id
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{groups: map[string]storedGroup{}, keyByMachine: map[string]string{}}
}

// Apply applies one event of the replica. It returns the machines whose records are new, changed or under
// another key than before, and those whose records were removed. It ignores keys of other kinds, an event
// that is older than the known state of its key, and a value that can't be decoded.
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

// legacyRecord is a machine record of the release before machines shared keys. That release stored each
// machine under a key with the machine's own id, which stays until the machine is gone.
type legacyRecord struct {
	Addr string `json:"addr"`
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

// isLegacyKey reports whether a key was written by that release; the keys of a partition's groups contain a
// further slash.
func isLegacyKey(key string) bool {
	return !strings.Contains(strings.TrimPrefix(key, kvstore.MachinePrefix), "/")
}

// legacyGroup decodes a record of that release as a group of one machine.
func legacyGroup(e kvstore.Event) (g Group, ok bool) {
	var record legacyRecord
	if !isLegacyKey(e.Key) || json.Unmarshal(e.Value, &record) != nil || record.Type == "" {
		return nil, false
	}
	id := strings.TrimPrefix(e.Key, kvstore.MachinePrefix)
	return Group{id: {Addr: record.Addr, Type: record.Type, Zone: record.Zone, Spot: record.Spot}}, true
}

// HasLegacy reports whether an earlier release has recorded machines that still exist. They may run tasks
// of jobs for which the schedulers of that release wrote no watermark.
func (r *Records) HasLegacy() bool {
	for key, g := range r.groups {
		if isLegacyKey(key) && len(g.machines) > 0 {
			return true
		}
	}
	return false
}

// Put records that a key has had the value g since modRevision, whatever was known before, and returns the
// differences as Apply does.
func (r *Records) Put(key string, g Group, modRevision uint64) (added Group, removed []string) {
	known := r.groups[key].machines
	for id := range known {
		// The same transaction may have moved the machine to another key.
		if _, remains := g[id]; !remains && r.keyByMachine[id] == key {
			delete(r.keyByMachine, id)
			removed = append(removed, id)
		}
	}
	for id, record := range g {
		if previous, ok := known[id]; !ok || previous != record || r.keyByMachine[id] != key {
			if added == nil {
				added = Group{}
			}
			added[id] = record
		}
		r.keyByMachine[id] = key
	}
	r.groups[key] = storedGroup{g, modRevision}
	slices.Sort(removed)
	return added, removed
}

// Find returns a machine's record.
func (r *Records) Find(id string) (Record, bool) {
	key, ok := r.keyByMachine[id]
	if !ok {
		return Record{}, false
	}
	return r.groups[key].machines[id], true
}

// Each calls visit for every recorded machine, in no particular order.
func (r *Records) Each(visit func(id string, record Record)) {
	for id, key := range r.keyByMachine {
		visit(id, r.groups[key].machines[id])
	}
}
