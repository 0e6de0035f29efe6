package scheduler

import (
	"math"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// eachPlaceableJob visits the jobs of the queue team by team, in order, each
// with how many tasks its team's limit leaves room for.
func (s *Scheduler) eachPlaceableJob(now clock.Micros, visit func(j *job, tasks int)) {
	queue := s.schedulingOrder(now)
	for _, tm := range s.teams {
		room := tm.roomBelowLimit()
		for _, j := range queue {
			if j.team != tm || j.consecutiveErrors > maxErrorsWithDemand {
				continue
			}
			if n := min(j.waiting(), tasksThatFit(room, j.Need)); n > 0 {
				room = room.Minus(j.Need.Times(int64(n)))
				visit(j, n)
			}
		}
	}
}

// maxErrorsWithDemand is after how many errors in a row a job's tasks count as no demand: machines for it would be wasted.
const maxErrorsWithDemand = 6

// roomBelowLimit is what a team may still use.
func (tm *team) roomBelowLimit() resources.Amounts {
	room := resources.Amounts{CPU: math.MaxInt64 / 4, GPU: math.MaxInt64 / 4}
	if tm.Limit.CPU > 0 {
		room.CPU = tm.Limit.CPU - tm.used.CPU
	}
	if tm.Limit.GPU > 0 {
		room.GPU = tm.Limit.GPU - tm.used.GPU
	}
	return room
}

// tasksThatFit is how many tasks fit by CPUs and GPUs; it may be below 0.
func tasksThatFit(room, need resources.Amounts) int {
	n := math.MaxInt
	if need.CPU > 0 {
		n = min(n, int(room.CPU/need.CPU))
	}
	if need.GPU > 0 {
		n = min(n, int(room.GPU/need.GPU))
	}
	return n
}

// Demands lists what waits, for the autoscaler.
func (s *Scheduler) Demands(now clock.Micros) (out []peer.Demand) {
	s.eachPlaceableJob(now, func(j *job, tasks int) {
		out = append(out, peer.Demand{
			Need:    j.Need,
			Types:   j.Types,
			Zone:    j.Zone,
			Spot:    j.Spot,
			Rank:    j.PriorityLevel,
			Waiting: tasks,
			RunFor:  clock.FromSeconds(j.RuntimeEstimateS),
			Stage:   int(j.stage) + 1,
			Slack:   s.slack(j, now),
		})
	})
	return out
}

// slack is how long a job's tasks may wait; 0: not known, or late already.
func (s *Scheduler) slack(j *job, now clock.Micros) clock.Micros {
	if j.DeadlineS != nil {
		if j.missesDeadline(now) {
			return 0
		}
		return max(clock.Second, j.deadline()-now-clock.FromSeconds(j.RuntimeEstimateS))
	}
	// To be finished within a time is as good as a deadline.
	if start := s.timing.latestStart(j); start != math.MaxInt64 && now < start {
		return start - now
	}
	return 0
}

// maxDemandShapes bounds how many shapes of work are published for a team: the first in the queue. The others are
// published once those are placed.
const maxDemandShapes = 24

// demandInterval is how often demand is published to a partition leader, and counted anew for that. Polls follow
// one another much faster under load, and most of a small controller's time goes into them.
const demandInterval = 250 * clock.Millisecond

// demandPublication is the demand of the teams led here, as last counted for the partition leaders.
type demandPublication struct {
	demands   []fairshare.Demand
	countedAt clock.Micros // 0: never
}

// isStale reports whether the demand is to be counted anew.
func (p *demandPublication) isStale(now clock.Micros) bool {
	return p.countedAt == 0 || now >= p.countedAt+demandInterval/2
}

// DemandsFor returns what to publish to a partition leader with a poll, nothing where it was sent a moment ago.
func (s *Scheduler) DemandsFor(host string, now clock.Micros) []fairshare.Demand {
	session := s.sessions[host]
	if session.demandsSentAt != 0 && now < session.demandsSentAt+demandInterval {
		return nil
	}
	session.demandsSentAt = now
	if s.published.isStale(now) {
		s.published = demandPublication{demands: s.teamDemands(now), countedAt: now}
	}
	return s.published.demands
}

// teamDemands counts what waits of each team that is led here, also where nothing does. Tasks
// that a former leader may have started, and that wait for machines to be accounted for, are
// left out: no capacity could be used for them now.
func (s *Scheduler) teamDemands(now clock.Micros) []fairshare.Demand {
	shapes := map[string][]fairshare.Shape{}
	indices := map[shapeKey]int{}
	s.eachPlaceableJob(now, func(j *job, tasks int) {
		if j.awaitsAccounting {
			return
		}
		team := j.team.Name
		key := shapeKeyOf(j)
		if i, ok := indices[key]; ok {
			shapes[team][i].Tasks += tasks
			return
		}
		if len(shapes[team]) == maxDemandShapes {
			return
		}
		indices[key] = len(shapes[team])
		shapes[team] = append(shapes[team], fairshare.Shape{Need: j.Need, Types: j.Types, Zone: j.Zone, Spot: j.Spot,
			Rank: j.PriorityLevel, Owed: j.withinGuarantee, Tasks: tasks})
	})
	out := make([]fairshare.Demand, 0, len(s.teams))
	for name, tm := range s.teams {
		out = append(out, fairshare.Demand{Team: name, Term: tm.term, Shapes: shapes[name]})
	}
	return out
}

// shapeKey is what makes work of a team alike for the partition leaders.
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
