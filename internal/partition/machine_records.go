package partition

import (
	"context"
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Apply takes events of the replica: changes of machine records.
func (s *Server) Apply(evs []kvstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range evs {
		s.applyRecordChanges(s.records.Apply(e))
	}
	s.notifyChange()
}

// applyRecordChanges tells the State which machines are on record, and which no more. mu is held.
func (s *Server) applyRecordChanges(added inventory.Group, removed []string) {
	now := s.clock.Now()
	for _, id := range removed {
		s.state.HandleMachineRecord(id, 0, inventory.Record{}, false, now)
	}
	for id, r := range added {
		s.state.HandleMachineRecord(id, s.partitioning.PartitionOf(id, r.Zone), r, true, now)
	}
}

// recordedIn returns the recorded machines of a partition. mu is held.
func (s *Server) recordedIn(partition int) inventory.Group {
	found := inventory.Group{}
	s.records.Each(func(id string, r inventory.Record) {
		if s.partitioning.PartitionOf(id, r.Zone) == partition {
			found[id] = r
		}
	})
	return found
}

// RecordedBefore lists the machines that were recorded by a time of day, in Unix milliseconds, and are on record still.
func (s *Server) RecordedBefore(atMS int64) (out []peer.MachineRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Each(func(id string, r inventory.Record) {
		if r.AtMS > 0 && r.AtMS < atMS {
			out = append(out, peer.MachineRef{ID: id, Zone: r.Zone})
		}
	})
	return out
}

// recordChanges is what is to change in the machine records of one partition.
type recordChanges struct {
	add    inventory.Group
	remove []string
}

// changesByPartition sorts machines that are to be recorded, and those whose records are to be removed, by partition.
func (s *Server) changesByPartition(unrecorded inventory.Group, drop []string) map[int]*recordChanges {
	out := map[int]*recordChanges{}
	of := func(partition int) *recordChanges {
		if out[partition] == nil {
			out[partition] = &recordChanges{add: inventory.Group{}}
		}
		return out[partition]
	}
	for id, r := range unrecorded {
		r.AtMS = s.wallClock().UnixMilli()
		of(s.partitioning.PartitionOf(id, r.Zone)).add[id] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range drop {
		r, ok := s.records.Find(id)
		if !ok {
			continue
		}
		c := of(s.partitioning.PartitionOf(id, r.Zone))
		c.remove = append(c.remove, id)
	}
	return out
}

// writeMachineRecords adds and removes machine records, each on the condition that the partition is still led and that
// the key is as it was last known (docs/design.md, argument 5). What fails is tried again with a later tick.
func (s *Server) writeMachineRecords(ctx context.Context, unrecorded inventory.Group, drop []string) {
	for partition, changes := range s.changesByPartition(unrecorded, drop) {
		l, leading := s.elections.Leading(Duty(partition))
		if !leading {
			continue
		}
		s.mu.Lock()
		writes := s.records.PlanWrites(partition, changes.add, changes.remove, s.maxRecordBytes)
		s.mu.Unlock()
		for len(writes) > 0 {
			n := s.fitTransaction(writes)
			if err := s.commitRecords(ctx, partition, l, writes[:n]); err != nil {
				if s.recordFailures++; loop.LogsFailure(s.recordFailures) && ctx.Err() == nil {
					s.log.Warn("machine record write failed", "partition", partition, "error", err)
				}
				break
			}
			s.recordFailures = 0
			writes = writes[n:]
		}
	}
}

// fitTransaction is how many of the writes, one at least, fit into a transaction.
func (s *Server) fitTransaction(writes []inventory.Write) (n int) {
	size := 0
	for n < min(len(writes), s.txnOps) && (n == 0 || size+writes[n].Size() < wire.MaxTxnBytes) {
		size += writes[n].Size()
		n++
	}
	return n
}

// commitRecords commits writes on the condition of the partition's leadership, and applies them.
func (s *Server) commitRecords(ctx context.Context, partition int, l leaderelection.Leadership, writes []inventory.Write) error {
	m := wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(partition), ModRevision: l.ModRevision}}}
	for _, w := range writes {
		w.AppendTo(&m)
	}
	rev, err := s.store.Commit(ctx, m)
	if err != nil {
		return fmt.Errorf("committing %d keys: %w", len(writes), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		s.applyRecordChanges(s.records.Put(w.Key, w.Group, rev))
	}
	s.notifyChange()
	return nil
}
