package inventory

import (
	"fmt"
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxMachinesPerGroup bounds how many machines share a key, and so what a change of one costs: the whole
// group is written.
const maxMachinesPerGroup = 32

// Write is one key's new value, to be written on the condition of the key's mod revision: a
// late copy of an earlier write must not bring an older list back.
type Write struct {
	Key         string
	ModRevision uint64 // that the key must have; 0: it must be absent
	Group       Group  // empty: the key is dropped
}

// AppendTo adds the write and its condition to a transaction.
func (w Write) AppendTo(txn *wire.Txn) {
	operation := wire.Operation{Put: w.Key, Value: w.Group}
	if len(w.Group) == 0 {
		operation = wire.Operation{Drop: w.Key}
	}
	txn.Conditions = append(txn.Conditions, wire.Condition{Key: w.Key, ModRevision: w.ModRevision})
	txn.Operations = append(txn.Operations, operation)
}

// Size is about how many bytes the write takes of a transaction's values.
func (w Write) Size() int { return w.Group.maxBytes() }

// maxBytes is at most how many bytes the group takes as a value.
func (g Group) maxBytes() (n int) {
	for id, record := range g {
		n += record.maxBytes(id)
	}
	return n
}

// PlanWrites returns the writes that record some machines of a partition and drop the
// records of others, in the order of their keys; a value takes at most maxBytes. Machines that are recorded
// already keep their keys, also where fresh has a new record of them.
func (r *Records) PlanWrites(partition int, fresh Group, drop []string, maxBytes int) []Write {
	p := plan{records: r, groups: map[string]Group{}}
	for _, id := range drop {
		if key, ok := r.keyOf[id]; ok {
			delete(p.edit(key), id)
		}
	}
	filler := groupFiller{plan: &p, partition: partition, maxBytes: maxBytes}
	for _, id := range slices.Sorted(maps.Keys(fresh)) {
		if key, ok := r.keyOf[id]; ok {
			p.edit(key)[id] = fresh[id]
			continue
		}
		filler.add(id, fresh[id])
	}
	return p.writes()
}

// plan is a set of groups that are to be written.
type plan struct {
	records *Records         // not changed: they are once the writes have been carried out
	groups  map[string]Group // by key, as they are to be
}

// edit returns the group of a key as it is to be, for changes.
func (p *plan) edit(key string) Group {
	if p.groups[key] == nil {
		p.groups[key] = Group{}
		maps.Copy(p.groups[key], p.records.groups[key].machines)
	}
	return p.groups[key]
}

// writes returns the groups that differ from what is stored.
func (p *plan) writes() (out []Write) {
	for _, key := range slices.Sorted(maps.Keys(p.groups)) {
		stored := p.records.groups[key]
		if !maps.Equal(p.groups[key], stored.machines) {
			out = append(out, Write{key, stored.conditionRevision(), p.groups[key]})
		}
	}
	return out
}

// groupFiller adds machines to the groups of a partition, to the first one that has room.
type groupFiller struct {
	plan      *plan
	partition int
	maxBytes  int // of a group's value

	next  int   // number of the group after the present one
	group Group // the present one; nil before the first
	size  int   // bytes that it takes at most
}

// add puts a machine into the present group, or into the next one that has room.
func (f *groupFiller) add(id string, record Record) {
	size := record.maxBytes(id)
	for !f.hasRoom(size) {
		f.group = f.plan.edit(fmt.Sprintf("%s%03d/%d", kvstore.MachinePrefix, f.partition, f.next))
		f.size = f.group.maxBytes()
		f.next++
		if len(f.group) == 0 {
			break // an empty group takes a record of any size
		}
	}
	f.group[id] = record
	f.size += size
}

func (f *groupFiller) hasRoom(size int) bool {
	return f.group != nil && len(f.group) < maxMachinesPerGroup && f.size+size <= f.maxBytes
}
