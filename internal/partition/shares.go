package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// updateDemands passes the demands of the teams to the arbiter. Demands sent by former team leaders are ignored.
func (s *State) updateDemands(list []fairshare.Demand, now clock.Micros) {
	if s.arbiter == nil {
		return
	}
	for i := range list {
		if list[i].Term >= s.teamTerms[list[i].Team] {
			s.arbiter.UpdateDemand(list[i:i+1], now)
		}
	}
	s.updateUsage(now)
}

// updateUsage gives the arbiter the resources that each team uses and the capacity of the usable machines, if the
// arbiter's last count is too old.
func (s *State) updateUsage(now clock.Micros) {
	if !s.arbiter.UsageDue(now) {
		return
	}
	var capacity resources.Amounts
	used := map[string]fairshare.Use{}
	for _, m := range s.machines {
		if m.worker.lost() {
			continue
		}
		if m.usable(now) {
			capacity = capacity.Plus(m.capacity)
		}
		for _, t := range m.tasks {
			if t.exited() || t.team == "" {
				continue
			}
			u := used[t.team]
			u.All = u.All.Plus(t.need)
			if t.withinGuarantee {
				u.WithinGuarantee = u.WithinGuarantee.Plus(t.need)
			}
			used[t.team] = u
		}
	}
	s.arbiter.UpdateUsage(capacity, used, now)
}

// yieldsToOtherTeam reports whether an assignment must leave a machine's free resources to another team.
func (s *State) yieldsToOtherTeam(m *machine, a *peer.Assignment, free resources.Amounts, now clock.Micros) bool {
	if s.arbiter == nil {
		return false
	}
	s.updateUsage(now)
	freeCapacity := fairshare.FreeCapacity{Machine: m.id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: free}
	return s.arbiter.Yields(fairShareAssignment(a), &freeCapacity, now)
}

func fairShareAssignment(a *peer.Assignment) *fairshare.Assignment {
	return &fairshare.Assignment{Team: a.Team, Rank: a.Rank, Need: a.Need, WithinGuarantee: a.Covered}
}

// Standings returns the teams' fair shares of the machines that this process leads, and the capacity that the shares
// refer to.
func (s *State) Standings(now clock.Micros) (capacity resources.Amounts, list []fairshare.Standing) {
	if s.arbiter == nil {
		return resources.Amounts{}, nil
	}
	return s.arbiter.Capacity(), s.arbiter.Standings(now)
}
