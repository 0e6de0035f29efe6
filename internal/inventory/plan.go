package inventory

import (
	"fmt"
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxMachinesPerGroup is the maximum number of machines that share a key. It limits the cost of changing
// one machine, which writes the whole group.
const maxMachinesPerGroup = 32

// Write is the new value of one key, to be written on the condition of the key's mod revision. Without the
// condition a delayed copy of an earlier write would restore an older list of machines.
type Write struct {
	Key         string
	ModRevision uint64 // that the key must have; 0: the key must be absent
	Group       Group  // empty: the key is deleted
}

// AppendTo appends the write and its condition to a transaction.
func (w Write) AppendTo(txn *wire.Txn) {
	operation := wire.Operation{Put: w.Key, Value: w.Group}
	if len(w.Group) == 0 {
		operation = wire.Operation{Drop: w.Key}
	}
	txn.Conditions = append(txn.Conditions, wire.Condition{Key: w.Key, ModRevision: w.ModRevision})
	txn.Operations = append(txn.Operations, operation)
}

// Size returns about how many bytes the write takes of a transaction's values.
func (w Write) Size() int { return w.Group.maxBytes() }

// maxBytes returns an upper bound of the bytes of the group's encoded records.
func (g Group) maxBytes() (n int) {
	for id, record := range g {
		n += record.maxBytes(id)
	}
	return n
}

// PlanWrites returns the writes that record some machines of a partition and remove the records of others,
// in the order of their keys. A recorded machine keeps its key; its record is replaced if added has another
// one. A new machine goes to the first key with room, from that of the previous new machine on: its group
// then has at most maxMachinesPerGroup machines and its value at most maxBytes. A record that is larger
// than that gets a key to itself.
func (r *Records) PlanWrites(partition int, added Group, removed []string, maxBytes int) []Write {
	p := plan{records: r, groups: map[string]Group{}}
	for _, id := range removed {
		if key, ok := r.keyByMachine[id]; ok {
			delete(p.editGroup(key), id)
		}
	}
	filler := groupFiller{plan: &p, partition: partition, maxBytes: maxBytes}
	for _, id := range slices.Sorted(maps.Keys(added)) {
		if key, ok := r.keyByMachine[id]; ok {
			p.editGroup(key)[id] = added[id]
			continue
		}
		filler.add(id, added[id])
	}
	return p.writes()
}

// plan is a set of groups to be written.
type plan struct {
	records *Records         // unchanged by the plan; updated after the writes have succeeded
	groups  map[string]Group // new groups, by key
}

// editGroup returns the planned group of a key, for the caller to change. It starts as a copy of the stored
// group.
func (p *plan) editGroup(key string) Group {
	if p.groups[key] == nil {
		p.groups[key] = Group{}
		maps.Copy(p.groups[key], p.records.groups[key].machines)
	}
	return p.groups[key]
}

// writes returns the writes of all planned groups that differ from the stored ones.
func (p *plan) writes() (out []Write) {
	for _, key := range slices.Sorted(maps.Keys(p.groups)) {
		stored := p.records.groups[key]
		if !maps.Equal(p.groups[key], stored.machines) {
			out = append(out, Write{key, stored.conditionRevision(), p.groups[key]})
		}
	}
	return out
}

// groupFiller adds machines to the groups of a partition, each to the current group or to the first later
// one that has room.
type groupFiller struct {
	plan      *plan
	partition int
	maxBytes  int // limit of a group's value

	nextGroup int   // number of the group after the current one
	group     Group // current group; nil before the first
	size      int   // upper bound of its bytes
}

// add puts a machine into the current group, or into the next one that has room.
func (f *groupFiller) add(id string, record Record) {
	size := record.maxBytes(id)
	for !f.hasRoom(size) {
		f.group = f.plan.editGroup(fmt.Sprintf("%s%03d/%d", kvstore.MachinePrefix, f.partition, f.nextGroup))
		f.size = f.group.maxBytes()
		f.nextGroup++
		if len(f.group) == 0 {
			break // an empty group accepts a record of any size
		}
	}
	f.group[id] = record
	f.size += size
}

func (f *groupFiller) hasRoom(size int) bool {
	return f.group != nil && len(f.group) < maxMachinesPerGroup && f.size+size <= f.maxBytes
}
