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
func (o *Server) Apply(evs []kvstore.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range evs {
		o.recorded(o.records.Apply(e))
	}
	o.notify()
}

// recorded tells the table which machines are on record. The lock is held.
func (o *Server) recorded(came inventory.Group, went []string) {
	now := o.clock.Now()
	for _, id := range went {
		o.table.HandleMachineRecord(id, 0, inventory.Record{}, false, now)
	}
	for id, r := range came {
		o.table.HandleMachineRecord(id, o.split.PartitionOf(id, r.Zone), r, true, now)
	}
}

// RecordedBefore lists the machines that were recorded by a time of day, and are on record still.
func (o *Server) RecordedBefore(atMS int64) (out []peer.MachineRef) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Each(func(id string, r inventory.Record) {
		if r.AtMS > 0 && r.AtMS < atMS {
			out = append(out, peer.MachineRef{ID: id, Zone: r.Zone})
		}
	})
	return out
}

// record writes the records of new machines, and drops those of machines that
// are gone, each on the condition that the partition is still held.
func (o *Server) record(ctx context.Context, fresh inventory.Group, drop []string) {
	came, went := map[int]inventory.Group{}, map[int][]string{}
	parts := map[int]bool{}
	for id, r := range fresh {
		r.AtMS = o.wall().UnixMilli()
		p := o.split.PartitionOf(id, r.Zone)
		if came[p] == nil {
			came[p] = inventory.Group{}
		}
		came[p][id], parts[p] = r, true
	}
	o.mu.Lock()
	for _, id := range drop {
		r, ok := o.records.Find(id)
		if !ok {
			continue
		}
		p := o.split.PartitionOf(id, r.Zone)
		went[p], parts[p] = append(went[p], id), true
	}
	o.mu.Unlock()
	for p := range parts {
		h, mine := o.claims.Leading(Duty(p))
		if !mine {
			continue
		}
		o.mu.Lock()
		list := o.records.PlanWrites(p, came[p], went[p], o.valueMost)
		o.mu.Unlock()
		for len(list) > 0 {
			n, size := 0, 0
			for n < min(len(list), o.txnOps) && (n == 0 || size+list[n].Size() < wire.MaxTxnBytes) {
				size += list[n].Size()
				n++
			}
			if err := o.write(ctx, p, h, list[:n]); err != nil {
				o.log.Debug("recording machines", "part", p, "err", err)
				break
			}
			list = list[n:]
		}
	}
}

func (o *Server) write(ctx context.Context, part int, h leaderelection.Leadership, list []inventory.Write) error {
	m := wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(part), ModRevision: h.ModRevision}}}
	for _, w := range list {
		w.AppendTo(&m)
	}
	rev, err := o.store.Commit(ctx, m)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range list {
		o.recorded(o.records.Put(w.Key, w.Group, rev))
	}
	o.notify()
	return nil
}
