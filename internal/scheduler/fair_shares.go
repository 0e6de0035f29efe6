package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// yieldBackoff describes the latest rejection by a partition leader in favour of teams below their shares.
type yieldBackoff struct {
	until       clock.Micros // until then no work of maxPriority or less is assigned there, unless it is guaranteed
	backoff     clock.Micros // time from the rejection to until
	maxPriority int          // highest priority that was rejected
}

// Bounds of the time for which a team holds work back (backsOffAt) from a partition leader that keeps its capacity for other
// teams. The time doubles with every rejection that follows within maxYieldBackoff after it, until an assignment is accepted, so
// that a team above its share does not repeat its requests in every cycle.
const (
	minYieldBackoff = 100 * clock.Millisecond
	maxYieldBackoff = 800 * clock.Millisecond
)

// recordYield records that a partition leader has rejected the team's work of a priority in favour of other teams.
func (tm *team) recordYield(host string, priority int, now clock.Micros) {
	y := tm.yieldBackoffs[host]
	if now < y.until {
		y.maxPriority = max(y.maxPriority, priority) // usually a further rejection of the same batch
		tm.yieldBackoffs[host] = y
		return
	}
	y.backoff = min(max(2*y.backoff, minYieldBackoff), maxYieldBackoff)
	y.until, y.maxPriority = now+y.backoff, priority
	tm.yieldBackoffs[host] = y
}

// backsOffAt reports whether the job should not be assigned to a partition leader now because the leader keeps its capacity for
// other teams. Work within a guarantee, and work of a higher priority than was rejected, is assigned all the same.
func (j *job) backsOffAt(host string, now clock.Micros) bool {
	y, ok := j.team.yieldBackoffs[host]
	return ok && now < y.until && j.PriorityLevel <= y.maxPriority && !j.withinGuarantee
}

// leaderShares are the teams' shares of a partition leader's machines, as it last reported them.
type leaderShares struct {
	capacity   resources.Amounts
	standings  []fairshare.Standing
	reportedAt clock.Micros
}

// shareMaxAge is the age up to which a partition leader's report of the shares is used.
const shareMaxAge = 3 * clock.Second

// updateAboveShare determines which teams use more than their shares of the fleet, from the reports of the reachable partition
// leaders. Teams that no report contains are not above their shares.
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
		maps.DeleteFunc(tm.yieldBackoffs, func(_ string, y yieldBackoff) bool { return now > y.until+maxYieldBackoff })
	}
}
