package scheduler

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// distributions are the durations that this process has observed for a team since it started.
type distributions struct {
	waits    *telemetry.Distribution // from a job's acceptance until a task of it runs
	lateness *telemetry.Distribution // from a job's deadline until its last task was done; 0 for jobs in time
}

// teamDistributions has the distributions by team.
type teamDistributions map[string]distributions

func (d teamDistributions) forTeam(team string) distributions {
	out, ok := d[team]
	if !ok {
		out = distributions{telemetry.NewDistribution(), telemetry.NewDistribution()}
		d[team] = out
	}
	return out
}

// recordWait records how long a task waited until it was first seen running. It records nothing for jobs that had to place a
// task again, since the wait of such a task began later than the job's.
func (d teamDistributions) recordWait(j *job, now clock.Micros) {
	if j.retries == 0 {
		d.forTeam(j.team.Name).waits.Record(now - j.acceptedAt)
	}
}

// recordLateness records how long after the job's deadline its last task was done.
func (d teamDistributions) recordLateness(j *job, now clock.Micros) {
	if j.DeadlineS != nil {
		d.forTeam(j.team.Name).lateness.Record(now - j.deadline())
	}
}

// TeamStatuses returns the status of each team that this process leads.
func (s *Scheduler) TeamStatuses(now clock.Micros) []peer.TeamStatus {
	out := make([]peer.TeamStatus, 0, len(s.teams))
	for name, tm := range s.teams {
		status := peer.TeamStatus{Team: name, Term: tm.term, Guarantee: tm.Guarantee, Limit: tm.Limit, Used: tm.used, Jobs: len(tm.jobs)}
		for _, j := range tm.jobs {
			status.Waiting += j.waiting()
			status.Running += len(j.assignments)
		}
		if observed, ok := s.distributions[name]; ok {
			status.Waits, status.Lateness = observed.waits.Quantiles(), observed.lateness.Quantiles()
		}
		if s.moves.planner != nil {
			s.addMoveRecords(&status, now)
		}
		out = append(out, status)
	}
	return out
}

// addMoveRecords adds a team's recent moves to its status, and how often each reason has kept a task from being moved.
func (s *Scheduler) addMoveRecords(status *peer.TeamStatus, now clock.Micros) {
	for _, r := range s.moves.planner.Recent(status.Team) {
		status.Moves = append(status.Moves, peer.MoveRecord{Task: wire.TaskName(r.Key.Job, r.Key.N), From: r.From, To: r.To,
			Reason: string(r.Reason), Outcome: string(r.Outcome), Gain: r.Gain, Cost: r.Cost, Ago: now - r.Began})
	}
	declined := s.moves.planner.DeclineCounts(status.Team)
	for _, why := range slices.Sorted(maps.Keys(declined)) {
		status.Unmoved = append(status.Unmoved, peer.DeclinedMoves{Why: string(why), Count: declined[why]})
	}
}
