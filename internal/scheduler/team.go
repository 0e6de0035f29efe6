package scheduler

import (
	"maps"
	"math"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Team is the configured guarantee and limit of a team.
type Team struct {
	Name      string
	Guarantee resources.Amounts
	Limit     resources.Amounts // an amount of 0 means no limit
}

// team is a team that this scheduler leads, under one term.
//
// A machine is accounted for under the term once its views list every task of the team that can be on it: its partition
// leader rejects assignments of the team's earlier terms, commands of former partition leaders can't change the machine,
// and it has no task whose team is unknown.
//
// Invariant: used counts every assignment from the decision until the attempt is known to be gone, and
// unaccountedCapacity is all the capacity of the machines that are not accounted for. Both count against the limit, so
// that the team stays within it whatever a former leader has started (docs/design.md, "Why the rules hold", number 8,
// "Limits").
type team struct {
	Team
	term                uint64
	modRevision         uint64 // of the leadership's key: a condition of writes of final states; jobs accepted before have a lower one
	attemptCounter      uint64 // attempts made under this term
	orderSalt           uint64 // varies the order of machines between teams, see machineOrder
	used                resources.Amounts
	jobs                map[string]*job
	accounted           map[string]bool   // ids of machines that are accounted for
	unaccounted         map[string]bool   // ids of machines that are on record but not accounted for
	unaccountedCount    int               // number of unaccounted machines at the start of this cycle
	unaccountedCapacity resources.Amounts // capacity of these machines
	finalWritesInFlight int               // transactions in flight that write final states of the team's jobs

	yieldBackoffs map[string]yieldBackoff // by partition leader: rejections in favour of other teams
	aboveShare    bool                    // the team uses more than its share of the fleet
}

// AcquireTeam starts leading a team under a term, with its active jobs. modRevision is that of the leadership's key.
// Every machine on record is unaccounted for at first: a former leader may have started tasks there that no view shows
// yet, and placing them again would run them twice (docs/design.md, "Why the rules hold", number 7).
func (s *Scheduler) AcquireTeam(name string, term, modRevision uint64, active []*jobs.Job, now clock.Micros) {
	s.ReleaseTeam(name)
	tm := &team{
		Team:          s.teamConfigs[name],
		orderSalt:     nameHash(name),
		term:          term,
		modRevision:   modRevision,
		jobs:          map[string]*job{},
		accounted:     map[string]bool{},
		unaccounted:   maps.Clone(s.recordedMachines),
		yieldBackoffs: map[string]yieldBackoff{},
	}
	s.teams[name] = tm
	for _, j := range active {
		s.addJob(tm, j, now)
	}
	for _, session := range s.sessions {
		delete(session.fencedTerms, name)
	}
}

// ReleaseTeam stops leading a team, if it is led here: it drops the team's assignments and unsent messages.
func (s *Scheduler) ReleaseTeam(name string) {
	tm := s.teams[name]
	if tm == nil {
		return
	}
	delete(s.teams, name)
	s.abandonMoves(tm, "")
	for _, m := range s.machines {
		for id, a := range m.assignments {
			if a.job.team == tm {
				delete(m.assignments, id)
			}
		}
		s.recomputeAvailable(m)
	}
	for _, session := range s.sessions {
		session.dropTeam(tm)
	}
}

// TeamTerms returns the terms of the teams led here, by name.
func (s *Scheduler) TeamTerms() map[string]uint64 {
	out := make(map[string]uint64, len(s.teams))
	for name, tm := range s.teams {
		out[name] = tm.term
	}
	return out
}

// nextAttempt returns the id of a new attempt of a task. The attempt number contains the term, so it is unique over all
// leaders of the team: a late message about one attempt is never applied to another (docs/design.md, "Why the rules
// hold", number 3).
func (tm *team) nextAttempt(jobID string, task int) peer.TaskID {
	tm.attemptCounter++
	return peer.TaskID{Job: jobID, N: task, Attempt: tm.term<<32 | tm.attemptCounter}
}

// maxAttempt returns an attempt number that is at least as long, in digits, as those of the team's attempts under this term.
func (tm *team) maxAttempt() uint64 { return tm.term<<32 | math.MaxUint32 }

// withinLimit reports whether the team stays within its limit with one more task of this resource request.
func (tm *team) withinLimit(need resources.Amounts) bool {
	return fitsLimit(tm.used.Plus(tm.unaccountedCapacity).Plus(need), tm.Limit)
}

// fitsLimit reports whether an amount is within a limit. A limit of 0 CPUs or GPUs is no limit.
func fitsLimit(used, limit resources.Amounts) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}
