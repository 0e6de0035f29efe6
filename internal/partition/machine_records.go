package partition

import (
	"context"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Apply takes events of the replica: the records of machines.
func (s *Server) Apply(evs []kvstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range evs {
		s.applyRecordChanges(s.records.Apply(e))
	}
	s.notifyChange()
}

// applyRecordChanges tells the table which machines are on record. The lock is held.
func (s *Server) applyRecordChanges(came inventory.Group, went []string) {
	now := s.clock.Now()
	for _, id := range went {
		s.state.HandleMachineRecord(id, 0, inventory.Record{}, false, now)
	}
	for id, r := range came {
		s.state.HandleMachineRecord(id, s.partitioning.PartitionOf(id, r.Zone), r, true, now)
	}
}

// RecordedBefore lists the machines that were recorded by a time of day, and are on record still.
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

// writeMachineRecords writes the records of new machines, and drops those of machines that
// are gone, each on the condition that the partition is still held.
func (s *Server) writeMachineRecords(ctx context.Context, fresh inventory.Group, drop []string) {
	came, went := map[int]inventory.Group{}, map[int][]string{}
	parts := map[int]bool{}
	for id, r := range fresh {
		r.AtMS = s.wallClock().UnixMilli()
		p := s.partitioning.PartitionOf(id, r.Zone)
		if came[p] == nil {
			came[p] = inventory.Group{}
		}
		came[p][id], parts[p] = r, true
	}
	s.mu.Lock()
	for _, id := range drop {
		r, ok := s.records.Find(id)
		if !ok {
			continue
		}
		p := s.partitioning.PartitionOf(id, r.Zone)
		went[p], parts[p] = append(went[p], id), true
	}
	s.mu.Unlock()
	for p := range parts {
		h, mine := s.elections.Leading(Duty(p))
		if !mine {
			continue
		}
		s.mu.Lock()
		list := s.records.PlanWrites(p, came[p], went[p], s.maxRecordBytes)
		s.mu.Unlock()
		for len(list) > 0 {
			n, size := 0, 0
			for n < min(len(list), s.txnOps) && (n == 0 || size+list[n].Size() < wire.MaxTxnBytes) {
				size += list[n].Size()
				n++
			}
			if err := s.commitRecords(ctx, p, h, list[:n]); err != nil {
				s.log.Debug("recording machines", "part", p, "err", err)
				break
			}
			list = list[n:]
		}
	}
}

func (s *Server) commitRecords(ctx context.Context, part int, h leaderelection.Leadership, list []inventory.Write) error {
	m := wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(part), ModRevision: h.ModRevision}}}
	for _, w := range list {
		w.AppendTo(&m)
	}
	rev, err := s.store.Commit(ctx, m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range list {
		s.applyRecordChanges(s.records.Put(w.Key, w.Group, rev))
	}
	s.notifyChange()
	return nil
}
