package placer

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/state"
	"github.com/merlinlatch/merlinlatch/wire"
)

// markGap gathers raised marks into one write.
const markGap = 150 * time.Millisecond

// markLoop writes which tasks may be asked for, ahead of their turn.
func (p *Placer) markLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, markGap)
		p.mu.Lock()
		list := p.desk.PlanMarks(p.clock.Now(), p.valueMost)
		p.mu.Unlock()
		for _, w := range list {
			h, ok := p.claims.Mine(Duty(w.Team))
			if !ok {
				continue
			}
			rev, err := p.urgent.Commit(ctx, wire.Multi{
				When: []wire.Cond{{Key: state.Claims + Duty(w.Team), Stamp: h.Stamp}, {Key: w.Key, Stamp: w.Stamp}},
				Then: []wire.Op{{Put: w.Key, Value: w.Marks}}})
			if err != nil {
				p.log.Debug("writing marks", "team", w.Team, "err", err)
				continue
			}
			p.mu.Lock()
			p.desk.Marks(w.Key, w.Marks, rev)
			p.mu.Unlock()
			poke(p.wake)
		}
	}
	return nil
}

// writeLoop writes the ends of jobs at once and progress now and then.
func (p *Placer) writeLoop(ctx context.Context) error {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	var last clock.Micros
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-p.writes:
		}
		p.mu.Lock()
		ready := p.desk.Ready()
		for _, j := range ready {
			j.finishing = true
		}
		p.mu.Unlock()
		for _, j := range ready {
			go p.finish(ctx, j, wire.Done) //nolint:errcheck // tried until it is written or the team is lost
		}
		if now := p.clock.Now(); now >= last+p.progress {
			last = now
			p.writeProgress(ctx)
		}
	}
}

var errLost = errors.New("the team is held no more")

// mine gives the condition that a team is still held under a term.
func (p *Placer) mine(t *team) (wire.Cond, error) {
	h, ok := p.claims.Mine(Duty(t.Name))
	if !ok || h.Term != t.term {
		return wire.Cond{}, errLost
	}
	return wire.Cond{Key: state.Claims + Duty(t.Name), Stamp: h.Stamp}, nil
}

// finish writes a job's final state, on the condition that the team is held
// and the job's record is as it was accepted. While it may have been written
// without this process knowing, the job's user is told nothing from here.
func (p *Placer) finish(ctx context.Context, j *job, phase string) error {
	unknown := false
	for try := 0; ctx.Err() == nil; try++ {
		cond, err := p.mine(j.team)
		if err != nil {
			return err
		}
		p.mu.Lock()
		gone := j.team.jobs[j.ID] != j || p.desk.teams[j.team.Name] != j.team
		j.uncertain = true
		m := wire.Multi{When: []wire.Cond{cond, {Key: state.Active + j.ID, Stamp: j.Stamp}}, Then: []wire.Op{
			{Put: state.Final + j.ID, Value: jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks}}, {Drop: state.Active + j.ID}}}
		if p.txnOps < len(m.Then) {
			over := j.Record
			over.Over = phase
			m.Then = []wire.Op{{Put: state.Active + j.ID, Value: over}}
		}
		var rest []wire.Op // more records of progress than the transaction takes
		for c := range p.desk.progress[j.ID] {
			if op := (wire.Op{Drop: progressKey(j.ID, c)}); len(m.Then) < p.txnOps {
				m.Then = append(m.Then, op)
			} else {
				rest = append(rest, op)
			}
		}
		p.mu.Unlock()
		if gone {
			return nil
		}
		_, err = p.store.Commit(ctx, m)
		if err == nil {
			p.book.Keep(j.ID, jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks})
			p.mu.Lock()
			p.desk.DropJob(j.ID)
			p.mu.Unlock()
			for some := range slices.Chunk(rest, p.txnOps) {
				if _, err := p.store.Commit(ctx, wire.Multi{When: []wire.Cond{cond}, Then: some}); err != nil {
					p.log.Info("dropping progress", "job", j.ID, "err", err)
				}
			}
			p.log.Info("job is over", "job", j.ID, "class", j.Class, "phase", phase, "tasks", j.Tasks,
				"after_s", (p.clock.Now() - j.since).Seconds(), "last_start_s", (j.lastStart - j.since).Seconds(), "again", j.again)
			return nil
		}
		if try%32 == 0 { // once in a while: an outage lasts many tries
			p.log.Info("writing the end of a job", "job", j.ID, "tries", try+1, "err", err)
		}
		if unknown = unknown || !errors.Is(err, state.ErrRefused); !unknown {
			p.mu.Lock()
			j.uncertain = false
			p.mu.Unlock()
		}
		if phase == wire.Cancelled && (!unknown || try >= 2) {
			return err // its user asks again
		}
		pause(ctx, 300*time.Millisecond)
	}
	return ctx.Err()
}

func progressKey(id string, chunk chunkID) string {
	return fmt.Sprintf("%s%s/%s", state.Progress, id, chunk)
}

// progressWrite is a record of a job's progress that is to be written.
type progressWrite struct {
	j     *job
	chunk int
	ends  map[peer.TaskID]string // that are settled with it
}

// size is about how many bytes it takes of a transaction.
func (w *progressWrite) size() int { return min(w.j.per, w.j.Tasks)/6 + 300 }

// writeProgress writes down which tasks are done, and then lets their machines forget them.
func (p *Placer) writeProgress(ctx context.Context) {
	p.mu.Lock()
	byTeam := map[*team][]progressWrite{}
	for _, tm := range p.desk.teams {
		for _, j := range tm.jobs {
			if j.finishing {
				continue
			}
			for c := range j.dirty {
				byTeam[tm] = append(byTeam[tm], progressWrite{j: j, chunk: c})
			}
			if len(j.dirty) == 0 {
				for id, e := range j.unsettled {
					p.desk.settle(j, id, e)
				}
				clear(j.unsettled)
			}
		}
	}
	p.mu.Unlock()
	for tm, list := range byTeam {
		for len(list) > 0 {
			n := 1
			for size := list[0].size(); n < min(len(list), p.txnOps) && size+list[n].size() < wire.MaxMulti; n++ {
				size += list[n].size()
			}
			if !p.store.Spare(n) {
				n = 1
				if !p.store.Spare(1) {
					return
				}
			}
			cond, err := p.mine(tm)
			if err != nil {
				break
			}
			m := wire.Multi{When: []wire.Cond{cond}}
			p.mu.Lock()
			for i := range list[:n] {
				w := &list[i]
				m.When = append(m.When, wire.Cond{Key: state.Active + w.j.ID, Stamp: w.j.Stamp})
				m.Then = append(m.Then, wire.Op{Put: progressKey(w.j.ID, chunkID{w.chunk, w.j.per}), Value: base64.StdEncoding.EncodeToString(w.j.chunk(w.chunk))})
				delete(w.j.dirty, w.chunk)
				w.ends = map[peer.TaskID]string{}
				for id, e := range w.j.unsettled {
					if id.N/w.j.per == w.chunk {
						w.ends[id] = e
					}
				}
			}
			p.mu.Unlock()
			_, err = p.store.Commit(ctx, m)
			p.mu.Lock()
			for _, w := range list[:n] {
				if err != nil {
					w.j.dirty[w.chunk] = true
					continue
				}
				for id, e := range w.ends {
					delete(w.j.unsettled, id)
					p.desk.settle(w.j, id, e)
				}
			}
			p.mu.Unlock()
			if err != nil {
				p.log.Debug("writing progress", "err", err)
				return
			}
			list = list[n:]
		}
	}
	poke(p.wake)
}
