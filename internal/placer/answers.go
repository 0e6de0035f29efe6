package placer

import (
	"time"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Status tells what a job's user may be told; only while the team is held.
func (p *Placer) Status(q peer.JobQuery) peer.JobAnswer {
	if _, ok := p.claims.Mine(Duty(q.Team)); !ok {
		return peer.JobAnswer{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.book.Final(q.ID); ok {
		return peer.JobAnswer{Known: true, Found: true, State: f.State(q.ID)}
	}
	return p.desk.Status(q.Team, q.ID)
}

// withdrawWait bounds how long a withdrawal is tried before its user is told to come back.
const withdrawWait = 1500 * time.Millisecond

// Withdraw ends a job: no task of it starts from now on; once every owner has
// taken that, the end is written, and only then told.
func (p *Placer) Withdraw(q peer.JobQuery) peer.JobAnswer {
	retry := peer.JobAnswer{Known: true, Found: true, Retry: true}
	if _, ok := p.claims.Mine(Duty(q.Team)); !ok {
		return peer.JobAnswer{}
	}
	deadline := time.NewTimer(withdrawWait)
	defer deadline.Stop()
	for {
		hosts, ok := p.ownerHosts()
		p.mu.Lock()
		// Under the lock: between two looks the end could be written and the job dropped,
		// and its user be told to come back although it is cancelled.
		if f, over := p.book.Final(q.ID); over {
			p.mu.Unlock()
			return peer.JobAnswer{Known: true, Found: true, State: f.State(q.ID)}
		}
		ctx := p.running
		tm := p.desk.teams[q.Team]
		if tm == nil || tm.jobs[q.ID] == nil {
			p.mu.Unlock()
			return peer.JobAnswer{Known: tm != nil}
		}
		j := tm.jobs[q.ID]
		if j.finishing && !j.cancelling {
			p.mu.Unlock()
			return retry // its end as done is being written
		}
		p.desk.Cancel(q.Team, q.ID)
		ready := ok && p.desk.Acked(q.ID, hosts) && !j.finishing
		if ready {
			j.finishing = true
		}
		acked := p.acked
		p.mu.Unlock()
		poke(p.wake)
		if ready {
			if err := p.finishCancelled(ctx, j); err != nil {
				return retry
			}
			continue
		}
		select {
		case <-acked:
		case <-deadline.C:
			return retry
		case <-ctx.Done():
			return retry
		}
	}
}

// ownerHosts names the controllers that hold partitions; ok is false while some has no holder.
func (p *Placer) ownerHosts() ([]string, bool) {
	seen := map[string]bool{}
	var out []string
	for _, d := range p.parts {
		h, ok := p.claims.Holder(d)
		if !ok {
			return nil, false
		}
		if !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out, true
}

// Demands lists what waits, for the fleet.
func (p *Placer) Demands() []peer.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.desk.Demands(p.clock.Now())
}

// Views gives the mirror of all machines, for the fleet.
func (p *Placer) Views() []peer.MachineView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.desk.Views(p.clock.Now())
}
