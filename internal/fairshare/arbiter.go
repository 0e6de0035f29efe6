package fairshare

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Shape is work of a team that waits, of one shape: what each task takes and where it may go.
type Shape struct {
	Need  resources.Amounts
	Types []string // allowed machine types; none: any
	Zone  string   // the only allowed zone; none: any
	Spot  bool     // may use spot machines
	Rank  int
	Owed  bool // within its team's guarantee
	Tasks int
}

// Demand is what waits of a team, as the team's placer sees it. It is told again with
// each poll, also when nothing waits.
type Demand struct {
	Team   string
	Term   uint64 // of the team's claim: a former placer's word does not replace a later one's
	Shapes []Shape
}

// Room is free room on one machine.
type Room struct {
	Machine string
	Type    string
	Zone    string
	Spot    bool
	Free    resources.Amounts
}

// fitsRoom tells whether a task of the shape could start in the room now.
func (s *Shape) fitsRoom(r *Room) bool {
	return s.Tasks > 0 && s.Need.Fits(r.Free) && (!r.Spot || s.Spot) && (s.Zone == "" || s.Zone == r.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, r.Type))
}

// Ask is a task for which room is asked.
type Ask struct {
	Team string
	Rank int
	Need resources.Amounts
	Owed bool // within its team's guarantee
}

// Use is what a team's tasks take at an owner, and the part that its guarantee covers.
type Use struct {
	All  resources.Amounts
	Owed resources.Amounts
}

// Standing is a team's share, its use and its demand at one owner.
type Standing struct {
	Team    string
	Weight  float64
	Share   float64           // of the owner's capacity, by the team's dominant resource
	Taken   float64           // the same of what its tasks take
	Waiting resources.Amounts // anywhere, as its placer last told
}

// Settings of an arbiter.
type Settings struct {
	Weights map[string]float64 // by team; 1 where none is given
	// Fresh is how old a placer's word of its team's demand may be. An older one counts
	// for nothing, as if nothing of the team waited.
	Fresh clock.Micros
	// Withhold is for how long free room on a machine is kept from a team that is above its
	// share. Who is below it and waits has asked by then, or can't use the room.
	Withhold clock.Micros
	// Open is for how long a machine whose room was withheld in vain goes to whoever asks.
	Open clock.Micros
}

// receivedDemand is a team's demand and when it arrived.
type receivedDemand struct {
	Demand
	receivedAt clock.Micros
}

// withholding is a machine whose room is kept for a team, and since when.
type withholding struct {
	team  string
	since clock.Micros
}

// Arbiter decides, for one owner of machines, who must leave free room to others.
type Arbiter struct {
	settings     Settings
	demands      map[string]receivedDemand
	capacity     resources.Amounts
	used         map[string]Use
	shares       map[string]float64
	countedAt    clock.Micros
	withholdings map[string]withholding  // by machine whose room is kept
	openUntil    map[string]clock.Micros // by machine: until when it is not
	yielded      uint64
}

// NewArbiter makes an arbiter that knows of no demand, and so withholds nothing.
func NewArbiter(s Settings) *Arbiter {
	return &Arbiter{settings: s, demands: map[string]receivedDemand{}, used: map[string]Use{}, shares: map[string]float64{},
		withholdings: map[string]withholding{}, openUntil: map[string]clock.Micros{}}
}

// UpdateDemand takes what a placer tells of its teams' demand.
func (a *Arbiter) UpdateDemand(list []Demand, now clock.Micros) {
	for _, d := range list {
		if old, ok := a.demands[d.Team]; ok && old.Term > d.Term {
			continue
		}
		a.demands[d.Team] = receivedDemand{d, now}
	}
}

// usageInterval is how often what runs is counted anew, and shares are divided. Grants in
// between are added to the last count.
const usageInterval = clock.Second / 2

// UsageDue tells whether what runs should be counted: some demand is known, and the last count is old.
func (a *Arbiter) UsageDue(now clock.Micros) bool {
	return len(a.demands) > 0 && (a.countedAt == 0 || now >= a.countedAt+usageInterval)
}

// UpdateUsage takes what the teams' tasks take of the owner's capacity, drops words that are too
// old, and divides the capacity.
func (a *Arbiter) UpdateUsage(capacity resources.Amounts, used map[string]Use, now clock.Micros) {
	a.capacity, a.used, a.countedAt = capacity, used, now
	maps.DeleteFunc(a.demands, func(_ string, d receivedDemand) bool { return now > d.receivedAt+a.settings.Fresh })
	maps.DeleteFunc(a.openUntil, func(_ string, until clock.Micros) bool { return now >= until })
	maps.DeleteFunc(a.withholdings, func(_ string, w withholding) bool { return now >= w.since+a.settings.Withhold })
	a.shares = Divide(capacity, a.demandByTeam())
}

func (a *Arbiter) demandByTeam() map[string]Claimant {
	out := make(map[string]Claimant, len(a.used)+len(a.demands))
	for team, u := range a.used {
		out[team] = Claimant{Weight: a.weight(team), Used: u.All, Owed: u.Owed}
	}
	for team, d := range a.demands {
		c := out[team]
		c.Weight = a.weight(team)
		for i := range d.Shapes {
			s := &d.Shapes[i]
			need := s.Need.Times(int64(s.Tasks))
			c.Waiting = c.Waiting.Plus(need)
			if s.Owed {
				c.Owed = c.Owed.Plus(need)
			}
		}
		out[team] = c
	}
	return out
}

func (a *Arbiter) weight(team string) float64 {
	if w, ok := a.settings.Weights[team]; ok {
		return w
	}
	return 1
}

// Yields tells that an ask must leave the room to somebody else: its team is above its share,
// and a team below its own has work of the same rank or a higher one that waits, could
// start right there, and could not once the ask had its part. Work within a guarantee never yields.
// Room is kept for as many tasks as wait, one on a machine, and for a bounded time: what nobody
// takes goes to whoever asks.
func (a *Arbiter) Yields(ask *Ask, room *Room, now clock.Micros) bool {
	if ask.Owed || a.capacity == (resources.Amounts{}) || !a.exceedsShare(ask) || now < a.openUntil[room.Machine] {
		return false
	}
	team, ok := a.waitingTeam(ask, room, now)
	if !ok {
		return false
	}
	w, kept := a.withholdings[room.Machine]
	if !kept {
		w = withholding{team, now}
		a.withholdings[room.Machine] = w
	}
	if now >= w.since+a.settings.Withhold {
		delete(a.withholdings, room.Machine)
		a.openUntil[room.Machine] = now + a.settings.Open
		return false
	}
	a.yielded++
	return true
}

// exceedsShare tells that with a task more a team takes more than its share.
func (a *Arbiter) exceedsShare(ask *Ask) bool {
	return Dominant(a.used[ask.Team].All.Plus(ask.Need), a.capacity) > a.shares[ask.Team]+roundingTolerance
}

// waitingTeam names a team that is below its share and waits for just such room.
func (a *Arbiter) waitingTeam(ask *Ask, room *Room, now clock.Micros) (team string, ok bool) {
	rest := *room
	rest.Free = room.Free.Minus(ask.Need)
	for _, team := range slices.Sorted(maps.Keys(a.demands)) {
		d := a.demands[team]
		if team == ask.Team || now > d.receivedAt+a.settings.Fresh || Dominant(a.used[team].All, a.capacity) >= a.shares[team]-roundingTolerance {
			continue
		}
		for i := range d.Shapes {
			if s := &d.Shapes[i]; s.Rank >= ask.Rank && s.fitsRoom(room) && !s.fitsRoom(&rest) && a.withheldMachines(team, room.Machine) < s.Tasks {
				return team, true
			}
		}
	}
	return "", false
}

// withheldMachines counts the machines whose room is kept for a team, one left out.
func (a *Arbiter) withheldMachines(team, besides string) (n int) {
	for machine, w := range a.withholdings {
		if w.team == team && machine != besides {
			n++
		}
	}
	return n
}

// Granted takes note of a lease.
func (a *Arbiter) Granted(ask *Ask, machine string) {
	u := a.used[ask.Team]
	u.All = u.All.Plus(ask.Need)
	if ask.Owed {
		u.Owed = u.Owed.Plus(ask.Need)
	}
	a.used[ask.Team] = u
	delete(a.withholdings, machine)
	// What was granted waits no more, whatever its placer told before.
	shapes := slices.Clone(a.demands[ask.Team].Shapes)
	for i := range shapes {
		if s := &shapes[i]; s.Need == ask.Need && s.Rank == ask.Rank && s.Owed == ask.Owed && s.Tasks > 0 {
			s.Tasks--
			d := a.demands[ask.Team]
			d.Shapes = shapes
			a.demands[ask.Team] = d
			return
		}
	}
}

// Yielded is how many asks had to leave room to others so far.
func (a *Arbiter) Yielded() uint64 { return a.yielded }

// Capacity is what the standings are fractions of.
func (a *Arbiter) Capacity() resources.Amounts { return a.capacity }

// Standings lists the teams that use room here or wait for it, in order of their names.
func (a *Arbiter) Standings(now clock.Micros) (out []Standing) {
	claims := a.demandByTeam()
	for _, team := range slices.Sorted(maps.Keys(claims)) {
		s := Standing{Team: team, Weight: a.weight(team), Share: a.shares[team], Taken: Dominant(a.used[team].All, a.capacity)}
		if d, ok := a.demands[team]; ok && now <= d.receivedAt+a.settings.Fresh {
			s.Waiting = claims[team].Waiting
		}
		out = append(out, s)
	}
	return out
}
