package fairshare

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Settings of an arbiter.
type Settings struct {
	Weights map[string]float64 // by team; 1 where none is given
	// Fresh is how old a demand may be. An older one counts as if nothing of the team waited.
	Fresh clock.Micros
	// Withhold is for how long free resources of a machine are withheld from a team that exceeds its
	// share. A team below its share that waits has requested them by then, or can't use them.
	Withhold clock.Micros
	// Open is for how long a machine whose resources were withheld in vain is open to every team.
	Open clock.Micros
}

// receivedDemand is a team's demand and when it arrived.
type receivedDemand struct {
	Demand
	receivedAt clock.Micros
}

// Arbiter decides, for one partition leader, which assignments must yield to teams below their share.
// It is not safe for concurrent use.
type Arbiter struct {
	settings  Settings
	demands   map[string]receivedDemand // by team
	capacity  resources.Amounts         // of the leader's machines, as of countedAt
	used      map[string]Use            // by team: as of countedAt, and what was granted since
	shares    map[string]float64        // by team, as of countedAt
	countedAt clock.Micros              // latest UpdateUsage; 0: none yet
	withheld  *withholdings
	yielded   uint64 // assignments that yielded, since the start
}

// NewArbiter makes an arbiter that knows of no demand, and so withholds nothing.
func NewArbiter(s Settings) *Arbiter {
	return &Arbiter{
		settings: s,
		demands:  map[string]receivedDemand{},
		used:     map[string]Use{},
		shares:   map[string]float64{},
		withheld: newWithholdings(s.Withhold, s.Open),
	}
}

// UpdateDemand handles the demand of a scheduler's teams. Demand of an earlier term is ignored.
func (a *Arbiter) UpdateDemand(demands []Demand, now clock.Micros) {
	for _, d := range demands {
		if old, ok := a.demands[d.Team]; ok && old.Term > d.Term {
			continue
		}
		a.demands[d.Team] = receivedDemand{d, now}
	}
}

// usageInterval is how often usage is counted anew and shares are divided. Grants in between are added
// to the last count.
const usageInterval = clock.Second / 2

// UsageDue reports whether usage should be counted: some demand is known, and the last count is old.
func (a *Arbiter) UsageDue(now clock.Micros) bool {
	return len(a.demands) > 0 && (a.countedAt == 0 || now >= a.countedAt+usageInterval)
}

// UpdateUsage sets what the teams' tasks take of the leader's capacity, drops demand that is too old and
// withholdings that are over, and divides the capacity.
func (a *Arbiter) UpdateUsage(capacity resources.Amounts, used map[string]Use, now clock.Micros) {
	a.capacity, a.used, a.countedAt = capacity, used, now
	maps.DeleteFunc(a.demands, func(_ string, d receivedDemand) bool { return now > d.receivedAt+a.settings.Fresh })
	a.withheld.forget(now)
	a.shares = Divide(capacity, a.claimants())
}

// claimants returns the division's input: use and demand of each team, also demand that is too old.
func (a *Arbiter) claimants() map[string]Claimant {
	out := make(map[string]Claimant, len(a.used)+len(a.demands))
	for team, u := range a.used {
		out[team] = Claimant{Weight: a.weight(team), Used: u.All, WithinGuarantee: u.WithinGuarantee}
	}
	for team, d := range a.demands {
		c := out[team]
		c.Weight = a.weight(team)
		for i := range d.Shapes {
			s := &d.Shapes[i]
			need := s.Need.Times(int64(s.Tasks))
			c.Waiting = c.Waiting.Plus(need)
			if s.Owed {
				c.WithinGuarantee = c.WithinGuarantee.Plus(need)
			}
		}
		out[team] = c
	}
	return out
}

// weight is a team's weight, 1 where the settings give none.
func (a *Arbiter) weight(team string) float64 {
	if w, ok := a.settings.Weights[team]; ok {
		return w
	}
	return 1
}

// Yields reports whether an assignment must yield: its team exceeds its share, and a team below its own has
// waiting work of the same priority or a higher one that could start on the machine, and could not once
// the assignment had its part. Work within a guarantee never yields. Resources are withheld for as many
// tasks as wait, one on a machine, and for a bounded time: what nobody takes is open to every team.
func (a *Arbiter) Yields(ask *Assignment, room *FreeCapacity, now clock.Micros) bool {
	if ask.WithinGuarantee || a.capacity == (resources.Amounts{}) || !a.exceedsShare(ask) || a.withheld.isOpen(room.Machine, now) {
		return false
	}
	team, ok := a.waitingTeam(ask, room, now)
	if !ok || !a.withheld.withhold(room.Machine, team, now) {
		return false
	}
	a.yielded++
	return true
}

// exceedsShare reports whether a team takes more than its share once it is granted the task:
// dominant(used + need) > share.
func (a *Arbiter) exceedsShare(ask *Assignment) bool {
	return Dominant(a.used[ask.Team].All.Plus(ask.Need), a.capacity) > a.shares[ask.Team]+roundingTolerance
}

// waitingTeam finds a team below its share with waiting work that only fits the machine without the
// asked task. Teams are looked at in order of their names, so that the answer is always the same.
func (a *Arbiter) waitingTeam(ask *Assignment, room *FreeCapacity, now clock.Micros) (team string, ok bool) {
	remaining := *room
	remaining.Free = room.Free.Minus(ask.Need)
	for _, team := range slices.Sorted(maps.Keys(a.demands)) {
		d := a.demands[team]
		if team == ask.Team || now > d.receivedAt+a.settings.Fresh || !a.belowShare(team) {
			continue
		}
		for i := range d.Shapes {
			s := &d.Shapes[i]
			if s.Rank < ask.Rank {
				continue
			}
			onlyWithoutAsked := s.fitsRoom(room) && !s.fitsRoom(&remaining)
			if onlyWithoutAsked && a.withheld.machines(team, room.Machine) < s.Tasks {
				return team, true
			}
		}
	}
	return "", false
}

// belowShare reports whether a team takes less than its share: dominant(used) < share.
func (a *Arbiter) belowShare(team string) bool {
	return Dominant(a.used[team].All, a.capacity) < a.shares[team]-roundingTolerance
}

// RecordAccepted adds a granted resource lease to the team's use, and takes its task off the team's demand.
func (a *Arbiter) RecordAccepted(ask *Assignment, machine string) {
	u := a.used[ask.Team]
	u.All = u.All.Plus(ask.Need)
	if ask.WithinGuarantee {
		u.WithinGuarantee = u.WithinGuarantee.Plus(ask.Need)
	}
	a.used[ask.Team] = u
	a.withheld.release(machine)
	a.reduceDemand(ask)
}

// reduceDemand takes a granted task off its team's demand: it doesn't wait any more, whatever its
// scheduler has sent before. The shapes are cloned since they belong to the message.
func (a *Arbiter) reduceDemand(ask *Assignment) {
	d := a.demands[ask.Team]
	shapes := slices.Clone(d.Shapes)
	for i := range shapes {
		if s := &shapes[i]; s.Need == ask.Need && s.Rank == ask.Rank && s.Owed == ask.WithinGuarantee && s.Tasks > 0 {
			s.Tasks--
			d.Shapes = shapes
			a.demands[ask.Team] = d
			return
		}
	}
}

// YieldCount is how many assignments have yielded since the start.
func (a *Arbiter) YieldCount() uint64 { return a.yielded }

// Capacity is what the standings are fractions of.
func (a *Arbiter) Capacity() resources.Amounts { return a.capacity }

// Standings lists the teams that use resources here or wait for them, in order of their names.
func (a *Arbiter) Standings(now clock.Micros) (out []Standing) {
	all := a.claimants()
	for _, team := range slices.Sorted(maps.Keys(all)) {
		s := Standing{
			Team: team, Weight: a.weight(team), Share: a.shares[team],
			Taken: Dominant(a.used[team].All, a.capacity),
		}
		if d, ok := a.demands[team]; ok && now <= d.receivedAt+a.settings.Fresh {
			s.Waiting = all[team].Waiting
		}
		out = append(out, s)
	}
	return out
}
