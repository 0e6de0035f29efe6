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

// Apply applies changes of machine records from the replica of the key-value store.
func (s *Server) Apply(events []kvstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range events {
		s.applyRecordChanges(s.records.Apply(event))
	}
	s.notifyChange()
}

// applyRecordChanges passes added and removed machine records to the State. mu is held.
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

// RecordedBefore lists the machines that are on record now and were recorded before a wall clock time, in Unix
// milliseconds. It leaves out those whose records have no time.
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

// recordChanges is the set of changes to make to the machine records of one partition.
type recordChanges struct {
	add    inventory.Group
	remove []string
}

// changesByPartition groups the machines to record, and the ids of those whose records are to be removed, by
// partition.
func (s *Server) changesByPartition(unrecorded inventory.Group, removals []string) map[int]*recordChanges {
	out := map[int]*recordChanges{}
	changesIn := func(partition int) *recordChanges {
		if out[partition] == nil {
			out[partition] = &recordChanges{add: inventory.Group{}}
		}
		return out[partition]
	}
	for id, r := range unrecorded {
		r.AtMS = s.wallClock().UnixMilli()
		changesIn(s.partitioning.PartitionOf(id, r.Zone)).add[id] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range removals {
		r, ok := s.records.Find(id)
		if !ok {
			continue
		}
		c := changesIn(s.partitioning.PartitionOf(id, r.Zone))
		c.remove = append(c.remove, id)
	}
	return out
}

// writeMachineRecords adds and removes machine records. Each write is conditional on this process still leading the
// partition and on the key's last known mod revision, so that a late write can't remove the record of a machine that
// may hold tasks (docs/design.md, "Why the rules hold", number 5). A later tick retries failed writes.
func (s *Server) writeMachineRecords(ctx context.Context, unrecorded inventory.Group, removals []string) {
	for partition, changes := range s.changesByPartition(unrecorded, removals) {
		leadership, leading := s.elections.Leading(Duty(partition))
		if !leading {
			continue
		}
		s.mu.Lock()
		writes := s.records.PlanWrites(partition, changes.add, changes.remove, s.maxRecordBytes)
		s.mu.Unlock()
		for len(writes) > 0 {
			n := s.fitTransaction(writes)
			if err := s.commitRecords(ctx, partition, leadership, writes[:n]); err != nil {
				if s.recordWriteFailures++; loop.ShouldLogFailure(s.recordWriteFailures) && ctx.Err() == nil {
					s.log.Warn("machine record write failed", "partition", partition, "error", err)
				}
				break
			}
			s.recordWriteFailures = 0
			writes = writes[n:]
		}
	}
}

// fitTransaction returns how many of the writes fit into one transaction; at least one always does.
func (s *Server) fitTransaction(writes []inventory.Write) (n int) {
	size := 0
	for n < min(len(writes), s.txnOps) && (n == 0 || size+writes[n].Size() < wire.MaxTxnBytes) {
		size += writes[n].Size()
		n++
	}
	return n
}

// commitRecords commits writes in one transaction, on the condition of the partition's leadership, and applies them
// to the local records.
func (s *Server) commitRecords(ctx context.Context, partition int, leadership leaderelection.Leadership, writes []inventory.Write) error {
	txn := wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(partition), ModRevision: leadership.ModRevision}}}
	for _, w := range writes {
		w.AppendTo(&txn)
	}
	modRevision, err := s.store.Commit(ctx, txn)
	if err != nil {
		return fmt.Errorf("commit machine records in %d keys: %w", len(writes), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		s.applyRecordChanges(s.records.Put(w.Key, w.Group, modRevision))
	}
	s.notifyChange()
	return nil
}
