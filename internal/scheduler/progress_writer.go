package scheduler

import (
	"context"
	"encoding/base64"
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

func progressKey(id string, chunk chunkID) string {
	return fmt.Sprintf("%s%s/%s", kvstore.ProgressPrefix, id, chunk)
}

// progressWrite is a record of a job's progress that is to be written.
type progressWrite struct {
	j     *job
	chunk int
	bits  []byte
	ends  map[peer.TaskID]string // that are settled with it
}

// size is about how many bytes it takes of a transaction.
func (w *progressWrite) size() int { return min(w.j.chunkTasks, w.j.Tasks)/6 + 300 }

// writeProgress writes down which tasks are done, and then lets their machines forget them.
func (s *Server) writeProgress(ctx context.Context) {
	s.mu.Lock()
	byTeam := map[*team][]progressWrite{}
	for _, tm := range s.scheduler.teams {
		for _, j := range tm.jobs {
			if j.finalWriteInFlight || j.doneCount == j.Tasks {
				continue // its end costs no more, and says all of it
			}
			for c := range j.dirtyChunks {
				byTeam[tm] = append(byTeam[tm], progressWrite{j: j, chunk: c})
			}
			if len(j.dirtyChunks) == 0 {
				for id, e := range j.unacknowledged {
					s.scheduler.acknowledge(j, id, e)
				}
				clear(j.unacknowledged)
			}
		}
	}
	s.mu.Unlock()
	for tm, list := range byTeam {
		for len(list) > 0 {
			n := 1
			for size := list[0].size(); n < min(len(list), s.txnOps) && size+list[n].size() < wire.MaxTxnBytes; n++ {
				size += list[n].size()
			}
			if !s.store.HasSpareWrites(n) {
				n = 1
				if !s.store.HasSpareWrites(1) {
					return
				}
			}
			cond, err := s.teamCondition(tm)
			if err != nil {
				break
			}
			m := wire.Txn{Conditions: []wire.Condition{cond}}
			s.mu.Lock()
			for i := range list[:n] {
				w := &list[i]
				at := chunkID{w.chunk, w.j.chunkTasks}
				w.bits = w.j.chunk(w.chunk)
				// Without the record's own stamp a late copy of an earlier write would take
				// back what is written down and forgotten by the workers since.
				m.Conditions = append(m.Conditions, wire.Condition{Key: kvstore.ActiveJobPrefix + w.j.ID, ModRevision: w.j.ModRevision},
					wire.Condition{Key: progressKey(w.j.ID, at), ModRevision: s.scheduler.progress[w.j.ID][at].modRevision})
				m.Operations = append(m.Operations, wire.Operation{Put: progressKey(w.j.ID, at), Value: base64.StdEncoding.EncodeToString(w.bits)})
				delete(w.j.dirtyChunks, w.chunk)
				w.ends = map[peer.TaskID]string{}
				for id, e := range w.j.unacknowledged {
					if id.N/w.j.chunkTasks == w.chunk {
						w.ends[id] = e
					}
				}
			}
			s.mu.Unlock()
			rev, err := s.store.Commit(ctx, m)
			s.mu.Lock()
			for _, w := range list[:n] {
				if err != nil {
					w.j.dirtyChunks[w.chunk] = true
					continue
				}
				if s.isActive(w.j) {
					s.scheduler.HandleProgressRecord(w.j.ID, chunkID{w.chunk, w.j.chunkTasks}, w.bits, rev)
				}
				for id, e := range w.ends {
					delete(w.j.unacknowledged, id)
					s.scheduler.acknowledge(w.j, id, e)
				}
			}
			s.mu.Unlock()
			if err != nil {
				s.log.Debug("writing progress", "err", err)
				return
			}
			list = list[n:]
		}
	}
	wake(s.wake)
}
