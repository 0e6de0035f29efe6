package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// SetArbiter has contended room divided among teams by fair shares.
func (t *State) SetArbiter(a *fairshare.Arbiter) { t.arbiter = a }

// hearDemands takes what placers tell of their teams' demand. A former placer's word counts
// for nothing.
func (t *State) hearDemands(list []fairshare.Demand, now clock.Micros) {
	if t.arbiter == nil {
		return
	}
	for i := range list {
		if list[i].Term >= t.teamTerms[list[i].Team] {
			t.arbiter.UpdateDemand(list[i:i+1], now)
		}
	}
	t.countShares(now)
}

// countShares has the arbiter count anew what runs, where that is due.
func (t *State) countShares(now clock.Micros) {
	if !t.arbiter.UsageDue(now) {
		return
	}
	var capacity resources.Amounts
	used := map[string]fairshare.Use{}
	for _, m := range t.machines {
		if m.silent || m.gone {
			continue
		}
		if m.usable(now) {
			capacity = capacity.Plus(m.cap)
		}
		for _, k := range m.tasks {
			if k.exited() || k.team == "" {
				continue
			}
			u := used[k.team]
			u.All = u.All.Plus(k.need)
			if k.covered {
				u.Owed = u.Owed.Plus(k.need)
			}
			used[k.team] = u
		}
	}
	t.arbiter.UpdateUsage(capacity, used, now)
}

// yields tells that an ask must leave a machine's free room to another team.
func (t *State) yields(m *machine, a *peer.Assignment, free resources.Amounts, now clock.Micros) bool {
	if t.arbiter == nil {
		return false
	}
	t.countShares(now)
	room := fairshare.Room{Machine: m.id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: free}
	return t.arbiter.Yields(shareAsk(a), &room, now)
}

func shareAsk(a *peer.Assignment) *fairshare.Ask {
	return &fairshare.Ask{Team: a.Team, Rank: a.Rank, Need: a.Need, Owed: a.Covered}
}

// Standings gives the teams' shares of the machines held, the capacity that they are of, and
// how many asks had to leave room to other teams.
func (o *Server) Standings() (capacity resources.Amounts, list []fairshare.Standing, yielded uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table.arbiter == nil {
		return resources.Amounts{}, nil, 0
	}
	capacity, list = o.table.Standings(o.clock.Now())
	return capacity, list, o.table.arbiter.Yielded()
}

// Standings gives the teams' shares of the machines held, and the capacity that they are of.
func (t *State) Standings(now clock.Micros) (capacity resources.Amounts, list []fairshare.Standing) {
	if t.arbiter == nil {
		return resources.Amounts{}, nil
	}
	return t.arbiter.Capacity(), t.arbiter.Standings(now)
}
