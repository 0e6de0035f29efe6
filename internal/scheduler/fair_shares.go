package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// yielding is a partition leader's rejection in favour of teams below their shares.
type yielding struct {
	until       clock.Micros
	backoff     clock.Micros // length of the last one
	maxPriority int          // the highest that was rejected
}

// How long a team assigns nothing to a partition leader that keeps its capacity for others. It grows with every
// rejection in a row, so that a team above its share does not ask over and over.
const (
	minYieldBackoff = 100 * clock.Millisecond
	maxYieldBackoff = 800 * clock.Millisecond
)

// recordYielding records that a partition leader keeps its capacity from the team's work of a priority.
func (tm *team) recordYielding(host string, priority int, now clock.Micros) {
	y := tm.yielding[host]
	if now < y.until {
		y.maxPriority = max(y.maxPriority, priority) // of the same batch
		tm.yielding[host] = y
		return
	}
	y.backoff = min(max(2*y.backoff, minYieldBackoff), maxYieldBackoff)
	y.until, y.maxPriority = now+y.backoff, priority
	tm.yielding[host] = y
}

// yieldsAt reports whether a job should not be assigned to a partition leader now: it keeps its capacity for other teams.
// Work within a guarantee is assigned all the same, and so is work of higher priority.
func (j *job) yieldsAt(host string, now clock.Micros) bool {
	y, ok := j.team.yielding[host]
	return ok && now < y.until && j.PriorityLevel <= y.maxPriority && !j.withinGuarantee
}

// leaderShares is what a partition leader last reported of the teams' shares of its machines.
type leaderShares struct {
	capacity   resources.Amounts
	standings  []fairshare.Standing
	reportedAt clock.Micros
}

// shareMaxAge is how old a partition leader's report of the shares may be.
const shareMaxAge = 3 * clock.Second

// updateAboveShare finds out which teams use more than their shares of the fleet. Those that
// no partition leader reports are not above.
func (s *Scheduler) updateAboveShare(now clock.Micros) {
	if len(s.teams) == 0 {
		return
	}
	taken, share := map[string]float64{}, map[string]float64{} // in CPUs, by team
	for _, session := range s.sessions {
		shares := &session.shares
		if !session.reachable || now > shares.reportedAt+shareMaxAge {
			continue
		}
		for i := range shares.standings {
			standing := &shares.standings[i]
			taken[standing.Team] += standing.Taken * shares.capacity.CPUs()
			share[standing.Team] += standing.Share * shares.capacity.CPUs()
		}
	}
	for name, tm := range s.teams {
		tm.aboveShare = taken[name] > share[name]
		maps.DeleteFunc(tm.yielding, func(_ string, y yielding) bool { return now > y.until+maxYieldBackoff })
	}
}
