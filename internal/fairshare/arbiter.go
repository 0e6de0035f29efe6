package fairshare

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Settings are the operators' settings of an Arbiter.
type Settings struct {
	Weights map[string]float64 // by team; a team without a weight has weight 1
	// MaxDemandAge is the age up to which a demand counts. With an older one the team counts as if no task waited.
	MaxDemandAge clock.Micros
	// WithholdFor is how long the free resources of a machine are withheld from teams that exceed their shares. If a
	// waiting team below its share could use them, its scheduler has requested them by then.
	WithholdFor clock.Micros
	// OpenFor is how long a machine is open to every team after its resources were withheld and not requested.
	OpenFor clock.Micros
}

// receivedDemand is a team's demand with the time at which it arrived.
type receivedDemand struct {
	Demand
	receivedAt clock.Micros
}

// Arbiter decides for one partition leader which assignments must yield to waiting tasks of teams below their shares.
// It is not safe for concurrent use.
type Arbiter struct {
	settings  Settings
	demands   map[string]receivedDemand // by team
	capacity  resources.Amounts         // of the partition leader's machines, as of countedAt
	used      map[string]Use            // by team: as of countedAt, plus the leases granted since
	shares    map[string]float64        // by team, as of countedAt
	countedAt clock.Micros              // time of the latest UpdateUsage; 0: none yet
	withheld  *withheldMachines
	yielded   uint64 // number of assignments that yielded, since the arbiter was made
}

// NewArbiter returns an arbiter without any demand. It withholds nothing until it receives some.
func NewArbiter(s Settings) *Arbiter {
	return &Arbiter{
		settings: s,
		demands:  map[string]receivedDemand{},
		used:     map[string]Use{},
		shares:   map[string]float64{},
		withheld: newWithheldMachines(s.WithholdFor, s.OpenFor),
	}
}

// UpdateDemand replaces the demand of teams by that received from a scheduler at now. Demand of an earlier term than the
// known one is ignored, since it comes from a scheduler that no longer leads the team.
func (a *Arbiter) UpdateDemand(demands []Demand, now clock.Micros) {
	for _, d := range demands {
		if old, ok := a.demands[d.Team]; ok && old.Term > d.Term {
			continue
		}
		a.demands[d.Team] = receivedDemand{d, now}
	}
}

// usageInterval is the time between two counts of the teams' usage. Each count is followed by a new division of the
// shares. Leases that are granted in between are added to the last count.
const usageInterval = clock.Second / 2

// UsageDue reports whether the caller should count usage and call UpdateUsage: some demand is known, and there is no
// count yet or the last one is at least usageInterval old.
func (a *Arbiter) UsageDue(now clock.Micros) bool {
	return len(a.demands) > 0 && (a.countedAt == 0 || now >= a.countedAt+usageInterval)
}

// UpdateUsage sets the partition leader's capacity and what the teams' tasks take of it, drops demand that is too old and
// withholdings that have ended, and divides the capacity into shares.
func (a *Arbiter) UpdateUsage(capacity resources.Amounts, used map[string]Use, now clock.Micros) {
	a.capacity, a.used, a.countedAt = capacity, used, now
	maps.DeleteFunc(a.demands, func(_ string, d receivedDemand) bool { return now > d.receivedAt+a.settings.MaxDemandAge })
	a.withheld.forget(now)
	a.shares = Divide(capacity, a.claimants())
}

// claimants returns the use and the demand of each team as the input of Divide. It includes demand that is too old and
// has not been dropped yet.
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

// weight returns a team's weight, or 1 if the settings have none.
func (a *Arbiter) weight(team string) float64 {
	if w, ok := a.settings.Weights[team]; ok {
		return w
	}
	return 1
}

// Yields reports whether an assignment must be refused in favour of another team. It must if its team would exceed its
// share, and a team below its share has a waiting task of the same or a higher priority that could start on the
// machine now, but not after the assignment. A task that its team's guarantee covers never yields.
//
// A refusal withholds the machine in favour of the waiting team, unless it is withheld already. It needs a group of waiting
// tasks with the same requirements that has more tasks than other machines are withheld for the team. A machine is withheld
// for a bounded time. If Yields is called after that time and before UpdateUsage drops the withholding, the machine is then
// open to every team for OpenFor, so that resources which a waiting team does not request are used.
func (a *Arbiter) Yields(assignment *Assignment, machine *FreeCapacity, now clock.Micros) bool {
	if assignment.WithinGuarantee || a.capacity == (resources.Amounts{}) || !a.exceedsShare(assignment) ||
		a.withheld.isOpen(machine.Machine, now) {
		return false
	}
	team, ok := a.waitingTeam(assignment, machine, now)
	if !ok || !a.withheld.withhold(machine.Machine, team, now) {
		return false
	}
	a.yielded++
	return true
}

// exceedsShare reports whether a team would take more than its share with the assignment:
// dominant(used + need) > share.
func (a *Arbiter) exceedsShare(assignment *Assignment) bool {
	return Dominant(a.used[assignment.Team].All.Plus(assignment.Need), a.capacity) > a.shares[assignment.Team]+roundingTolerance
}

// waitingTeam returns the first team below its share with a waiting task of the same or a higher priority that fits on the
// machine, but not together with the assignment, and for which not enough other machines are withheld. Teams are
// checked in the order of their names, so that the result does not depend on the iteration order of a map.
func (a *Arbiter) waitingTeam(assignment *Assignment, machine *FreeCapacity, now clock.Micros) (team string, ok bool) {
	remaining := *machine
	remaining.Free = machine.Free.Minus(assignment.Need)
	for _, team := range slices.Sorted(maps.Keys(a.demands)) {
		d := a.demands[team]
		if team == assignment.Team || now > d.receivedAt+a.settings.MaxDemandAge || !a.belowShare(team) {
			continue
		}
		for i := range d.Shapes {
			s := &d.Shapes[i]
			if s.Rank < assignment.Rank {
				continue
			}
			onlyWithoutAssignment := s.fitsOn(machine) && !s.fitsOn(&remaining)
			if onlyWithoutAssignment && a.withheld.machines(team, machine.Machine) < s.Tasks {
				return team, true
			}
		}
	}
	return "", false
}

// belowShare reports whether a team takes less than its share, dominant(used) < share.
func (a *Arbiter) belowShare(team string) bool {
	return Dominant(a.used[team].All, a.capacity) < a.shares[team]-roundingTolerance
}

// RecordAccepted records that a resource lease was granted on a machine: it adds the lease to the team's use, removes the
// task from the team's demand, and ends the withholding of the machine.
func (a *Arbiter) RecordAccepted(assignment *Assignment, machine string) {
	u := a.used[assignment.Team]
	u.All = u.All.Plus(assignment.Need)
	if assignment.WithinGuarantee {
		u.WithinGuarantee = u.WithinGuarantee.Plus(assignment.Need)
	}
	a.used[assignment.Team] = u
	a.withheld.release(machine)
	a.reduceDemand(assignment)
}

// reduceDemand removes a task with a granted lease from its team's demand, since the demand was sent before the grant
// and still counts the task as waiting. It copies the shapes, since they belong to the received message.
func (a *Arbiter) reduceDemand(assignment *Assignment) {
	d := a.demands[assignment.Team]
	shapes := slices.Clone(d.Shapes)
	for i := range shapes {
		if s := &shapes[i]; s.Need == assignment.Need && s.Rank == assignment.Rank && s.Owed == assignment.WithinGuarantee && s.Tasks > 0 {
			s.Tasks--
			d.Shapes = shapes
			a.demands[assignment.Team] = d
			return
		}
	}
}

// YieldCount returns the number of assignments that have yielded since the arbiter was made.
func (a *Arbiter) YieldCount() uint64 { return a.yielded }

// Capacity returns the capacity of which the shares in Standings are fractions.
func (a *Arbiter) Capacity() resources.Amounts { return a.capacity }

// Standings returns the standings of all teams that use resources at this partition leader or have sent their demand to
// it, in the order of their names. Demand that is too old counts as none.
func (a *Arbiter) Standings(now clock.Micros) (out []Standing) {
	all := a.claimants()
	for _, team := range slices.Sorted(maps.Keys(all)) {
		s := Standing{
			Team: team, Weight: a.weight(team), Share: a.shares[team],
			Taken: Dominant(a.used[team].All, a.capacity),
		}
		if d, ok := a.demands[team]; ok && now <= d.receivedAt+a.settings.MaxDemandAge {
			s.Waiting = all[team].Waiting
		}
		out = append(out, s)
	}
	return out
}
