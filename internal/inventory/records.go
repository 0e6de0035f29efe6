// Package machines is the record of the machines that may hold tasks. Many
// share one key of the state service, since each key's change costs a part of
// the budget: a thousand machines are recorded while they boot.
package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Record is what is kept of one machine.
type Record struct {
	Addr string `json:"a"`
	Type string `json:"t"`
	Zone string `json:"z"`
	Spot bool   `json:"s,omitempty"`
	// AtMS is the time of day when the record was made, in milliseconds: the
	// machine was there then. 0: not known.
	AtMS int64 `json:"w,omitempty"`
}

// maxBytes is at most how many bytes a machine's record takes of its group's value.
func (r Record) maxBytes(id string) int {
	return len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + 66
}

// Group is the value of one key.
type Group map[string]Record

type storedGroup struct {
	machines    Group
	modRevision uint64 // of its last change
}

// conditionRevision is the stamp that the key has: a key without machines is not there.
func (g storedGroup) conditionRevision() uint64 {
	if len(g.machines) == 0 {
		return 0
	}
	return g.modRevision
}

// Records knows the groups as the state service last showed them, or as their
// writer knows them to be.
type Records struct {
	groups map[string]storedGroup
	keyOf  map[string]string // the key that a machine is recorded under
}

// NewRecords makes an empty book.
func NewRecords() *Records {
	return &Records{groups: map[string]storedGroup{}, keyOf: map[string]string{}}
}

// Apply takes one event of the replica and tells which machines came and went.
// Older words than the newest known change nothing.
func (b *Records) Apply(e kvstore.Event) (came Group, went []string) {
	if !strings.HasPrefix(e.Key, kvstore.MachinePrefix) || e.ModRevision < b.groups[e.Key].modRevision {
		return nil, nil
	}
	g := Group{}
	if e.Value != nil && json.Unmarshal(e.Value, &g) != nil {
		var r legacyRecord
		if !isLegacyKey(e.Key) || json.Unmarshal(e.Value, &r) != nil || r.Type == "" {
			return nil, nil // not understood: what was known stays
		}
		g = Group{strings.TrimPrefix(e.Key, kvstore.MachinePrefix): {Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
	}
	return b.Put(e.Key, g, e.ModRevision)
}

// legacyRecord is the record of the release before machines shared keys: one to a
// key, under the machine's own name. It stays there until its machine is gone.
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

// HasLegacy tells that there are machines which an earlier release has recorded:
// tasks may be on them of which its placers left no watermark.
func (b *Records) HasLegacy() bool {
	for key, g := range b.groups {
		if isLegacyKey(key) && len(g.machines) > 0 {
			return true
		}
	}
	return false
}

// Put notes what a key holds since a revision.
func (b *Records) Put(key string, g Group, stamp uint64) (came Group, went []string) {
	old := b.groups[key].machines
	for id := range old {
		// A machine may have moved to another key in the same transaction.
		if _, still := g[id]; !still && b.keyOf[id] == key {
			delete(b.keyOf, id)
			went = append(went, id)
		}
	}
	for id, r := range g {
		if had, ok := old[id]; !ok || had != r || b.keyOf[id] != key {
			if came == nil {
				came = Group{}
			}
			came[id] = r
		}
		b.keyOf[id] = key
	}
	b.groups[key] = storedGroup{g, stamp}
	slices.Sort(went)
	return came, went
}

// Find gives a machine's record.
func (b *Records) Find(id string) (Record, bool) {
	key, ok := b.keyOf[id]
	if !ok {
		return Record{}, false
	}
	return b.groups[key].machines[id], true
}

// Each visits all machines that are recorded.
func (b *Records) Each(visit func(id string, r Record)) {
	for id, key := range b.keyOf {
		visit(id, b.groups[key].machines[id])
	}
}

// Write is one key's new value, to be written on the condition of its stamp: a
// late copy of an earlier write must not bring an older list back.
type Write struct {
	Key         string
	ModRevision uint64
	Group       Group
}

// AppendTo adds the write and its condition to a transaction. A key without machines is dropped.
func (w Write) AppendTo(m *wire.Txn) {
	op := wire.Operation{Put: w.Key, Value: w.Group}
	if len(w.Group) == 0 {
		op = wire.Operation{Drop: w.Key}
	}
	m.Conditions = append(m.Conditions, wire.Condition{Key: w.Key, ModRevision: w.ModRevision})
	m.Operations = append(m.Operations, op)
}

// Size is about how many bytes the write takes of a transaction.
func (w Write) Size() (n int) {
	for id, r := range w.Group {
		n += r.maxBytes(id)
	}
	return n
}

// maxMachinesPerGroup bounds how many machines share a key, and what a change of one costs.
const maxMachinesPerGroup = 32

// PlanWrites gives the writes that record some machines of a partition and drop the
// records of others; a value takes at most so many bytes.
func (b *Records) PlanWrites(part int, fresh Group, drop []string, most int) []Write {
	next := map[string]Group{}
	edit := func(key string) Group {
		if next[key] == nil {
			next[key] = Group{}
			maps.Copy(next[key], b.groups[key].machines)
		}
		return next[key]
	}
	for _, id := range drop {
		if key, ok := b.keyOf[id]; ok {
			delete(edit(key), id)
		}
	}
	n, size := 0, 0
	var into Group
	for _, id := range slices.Sorted(maps.Keys(fresh)) {
		r := fresh[id]
		if key, ok := b.keyOf[id]; ok {
			edit(key)[id] = r
			continue
		}
		cost := r.maxBytes(id)
		for into == nil || len(into) >= maxMachinesPerGroup || size+cost > most {
			key := fmt.Sprintf("%s%03d/%d", kvstore.MachinePrefix, part, n)
			n++
			into, size = edit(key), 0
			for id, r := range into {
				size += r.maxBytes(id)
			}
			if len(into) == 0 {
				break
			}
		}
		into[id] = r
		size += cost
	}
	var out []Write
	for _, key := range slices.Sorted(maps.Keys(next)) {
		if !maps.Equal(next[key], b.groups[key].machines) {
			out = append(out, Write{key, b.groups[key].conditionRevision(), next[key]})
		}
	}
	return out
}
