package scheduler

import (
	"maps"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// yielding is an owner that keeps room for other teams than the one that was refused.
type yielding struct {
	until       clock.Micros
	backoff     clock.Micros // how long the last one was
	maxPriority int          // highest that was refused
}

// How long a team keeps off an owner that keeps its room for others. It grows with every
// refusal in a row, so that a team above its share does not ask over and over.
const (
	minYieldBackoff = 100 * clock.Millisecond
	maxYieldBackoff = 800 * clock.Millisecond
)

// recordYielding takes note that an owner keeps its room from the team's work of a rank.
func (tm *team) recordYielding(host string, rank int, now clock.Micros) {
	y := tm.yielding[host]
	if now < y.until {
		y.maxPriority = max(y.maxPriority, rank) // of the same round
		tm.yielding[host] = y
		return
	}
	y.backoff = min(max(2*y.backoff, minYieldBackoff), maxYieldBackoff)
	y.until, y.maxPriority = now+y.backoff, rank
	tm.yielding[host] = y
}

// yieldsAt tells that a job should not ask an owner now: it keeps its room for other teams.
// Work within a guarantee asks all the same, and so does work of higher rank.
func (j *job) yieldsAt(host string, now clock.Micros) bool {
	y, ok := j.team.yielding[host]
	return ok && now < y.until && j.PriorityLevel <= y.maxPriority && !j.withinGuarantee
}

// leaderShares is what an owner last told of the teams' shares of its machines.
type leaderShares struct {
	capacity   resources.Amounts
	standings  []fairshare.Standing
	reportedAt clock.Micros
}

// shareMaxAge is how old an owner's word of the shares may be.
const shareMaxAge = 3 * clock.Second

// updateAboveShare finds out which teams take more than their shares of the fleet. Those that
// are not told of by any owner are not above.
func (s *Scheduler) updateAboveShare(now clock.Micros) {
	if len(s.teams) == 0 {
		return
	}
	taken, share := map[string]float64{}, map[string]float64{}
	for _, o := range s.sessions {
		if !o.reachable || now > o.shares.reportedAt+shareMaxAge {
			continue
		}
		for i := range o.shares.standings {
			standing := &o.shares.standings[i]
			taken[standing.Team] += standing.Taken * o.shares.capacity.CPUs()
			share[standing.Team] += standing.Share * o.shares.capacity.CPUs()
		}
	}
	for name, tm := range s.teams {
		tm.aboveShare = taken[name] > share[name]
		maps.DeleteFunc(tm.yielding, func(_ string, y yielding) bool { return now > y.until+maxYieldBackoff })
	}
}

// maxDemandShapes bounds how many shapes of work are told of for a team: those whose turn it is
// first. The others are told of once those are placed.
const maxDemandShapes = 24

// demandInterval is how often what waits is told to an owner, and counted anew for that. Polls follow
// one another much faster under load, and most of a small controller's time goes into them.
const demandInterval = 250 * clock.Millisecond

// DemandsFor gives what to tell an owner with a poll, nothing where it was told a moment ago.
func (s *Scheduler) DemandsFor(host string, now clock.Micros) []fairshare.Demand {
	o := s.sessions[host]
	if o.demandsSentAt != 0 && now < o.demandsSentAt+demandInterval {
		return nil
	}
	o.demandsSentAt = now
	if s.demandsCountedAt == 0 || now >= s.demandsCountedAt+demandInterval/2 {
		s.demandsCountedAt, s.demands = now, s.teamDemands(now)
	}
	return s.demands
}

// teamDemands counts what waits of each team that is held, also where nothing does. Tasks
// that a former placer may have started, and that wait for machines to be accounted for, are
// left out: no room could be used for them now.
func (s *Scheduler) teamDemands(now clock.Micros) []fairshare.Demand {
	shapes := map[string][]fairshare.Shape{}
	places := map[shapeKey]int{}
	s.eachPlaceableJob(now, func(j *job, tasks int) {
		if j.awaitsAccounting {
			return
		}
		team := j.team.Name
		key := shapeKeyOf(j)
		if at, ok := places[key]; ok {
			shapes[team][at].Tasks += tasks
			return
		}
		if len(shapes[team]) == maxDemandShapes {
			return
		}
		places[key] = len(shapes[team])
		shapes[team] = append(shapes[team], fairshare.Shape{Need: j.Need, Types: j.Types, Zone: j.Zone, Spot: j.Spot,
			Rank: j.PriorityLevel, Owed: j.withinGuarantee, Tasks: tasks})
	})
	out := make([]fairshare.Demand, 0, len(s.teams))
	for name, tm := range s.teams {
		out = append(out, fairshare.Demand{Team: name, Term: tm.term, Shapes: shapes[name]})
	}
	return out
}

// shapeKey is what makes work of a team alike for the owners.
type shapeKey struct {
	team            string
	need            resources.Amounts
	types           string
	zone            string
	spot            bool
	priority        int
	withinGuarantee bool
}

func shapeKeyOf(j *job) shapeKey {
	return shapeKey{j.team.Name, j.Need, strings.Join(j.Types, " "), j.Zone, j.Spot, j.PriorityLevel, j.withinGuarantee}
}
