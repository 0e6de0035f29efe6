package scheduler

import (
	"math"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// eachPlaceableJob calls visit for the jobs of the scheduling queue, team by team and within a team in the queue's order. tasks
// is how many of the job's waiting tasks fit below the team's limit, after those of the team's earlier jobs. Jobs without such
// tasks are left out, and of suspect jobs all tasks but a probe (failureHistory).
func (s *Scheduler) eachPlaceableJob(now clock.Micros, visit func(j *job, tasks int)) {
	queue := s.schedulingOrder(now)
	for _, tm := range s.teams {
		remaining := tm.remainingBelowLimit()
		for _, j := range queue {
			if j.team != tm {
				continue
			}
			if n := min(j.waiting(), tasksThatFit(remaining, j.Need), j.demandLimit(now)); n > 0 {
				remaining = remaining.Minus(j.Need.Times(int64(n)))
				visit(j, n)
			}
		}
	}
}

// remainingBelowLimit returns how many CPUs and GPUs the team may still use below its limit.
func (tm *team) remainingBelowLimit() resources.Amounts {
	remaining := resources.Amounts{CPU: math.MaxInt64 / 4, GPU: math.MaxInt64 / 4}
	if tm.Limit.CPU > 0 {
		remaining.CPU = tm.Limit.CPU - tm.used.CPU
	}
	if tm.Limit.GPU > 0 {
		remaining.GPU = tm.Limit.GPU - tm.used.GPU
	}
	return remaining
}

// tasksThatFit returns how many tasks fit into a capacity by their CPUs and GPUs. It may be negative if the capacity is.
func tasksThatFit(capacity, need resources.Amounts) int {
	n := math.MaxInt
	if need.CPU > 0 {
		n = min(n, int(capacity.CPU/need.CPU))
	}
	if need.GPU > 0 {
		n = min(n, int(capacity.GPU/need.GPU))
	}
	return n
}

// Demands returns, for the autoscaler, the waiting tasks of each job that fit below its team's limit, see eachPlaceableJob.
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

// slack returns for how long a job's tasks may still wait before they are late; 0 if they are late already, or if neither a
// deadline nor the job's class sets a time. For a deadline that can still be met it returns at least one second.
func (s *Scheduler) slack(j *job, now clock.Micros) clock.Micros {
	if j.DeadlineS != nil {
		if j.missesDeadline(now) {
			return 0
		}
		return max(clock.Second, j.deadline()-now-clock.FromSeconds(j.RuntimeEstimateS))
	}
	// The time within which jobs of this class should be finished counts like a deadline.
	if start := s.parameters.latestStart(j); start != math.MaxInt64 && now < start {
		return start - now
	}
	return 0
}

// maxDemandShapes limits how many shapes are published for a team, which are the first ones in the queue. The others are
// published after these have been placed. A shape stands for tasks with the same requirements.
const maxDemandShapes = 24

// demandInterval is the minimum time between two publications of the demand to a partition leader. Not every poll carries the
// demand, since polls follow each other much faster under load and take most of a small controller's time.
const demandInterval = 250 * clock.Millisecond

// demandPublication is the demand of the teams that this process leads, as last computed for the partition leaders.
type demandPublication struct {
	demands    []fairshare.Demand
	computedAt clock.Micros // 0: never
}

// isStale reports whether the demand must be computed again before it is published.
func (p *demandPublication) isStale(now clock.Micros) bool {
	return p.computedAt == 0 || now >= p.computedAt+demandInterval/2
}

// DemandsFor returns the demand to publish to a partition leader with the next poll, or nil if demandInterval has not passed since
// the last publication to it.
func (s *Scheduler) DemandsFor(host string, now clock.Micros) []fairshare.Demand {
	session := s.sessions[host]
	if session.demandsSentAt != 0 && now < session.demandsSentAt+demandInterval {
		return nil
	}
	session.demandsSentAt = now
	if s.published.isStale(now) {
		s.published = demandPublication{demands: s.teamDemands(now), computedAt: now}
	}
	return s.published.demands
}

// teamDemands computes the demand of each team that this process leads, also of teams for which nothing waits. It leaves out jobs
// with tasks that a former leader may have started, since these tasks wait until all machines are accounted for and could not use
// capacity now.
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

// shapeKey identifies a shape: tasks of a team with the same key are alike for the partition leaders.
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
