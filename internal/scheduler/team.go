package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Team is a team's guarantee and limit.
type Team struct {
	Name      string
	Guarantee resources.Amounts
	Limit     resources.Amounts // an amount of 0 means none
}

// team is a team that is led here, under one term.
//
// Invariant (argument 8, "Limits"): used counts every assignment from the decision until the attempt is gone for
// certain, and unaccountedCapacity all that the machines not accounted for under this term could hold.
type team struct {
	Team
	term                uint64
	modRevision         uint64 // of the leadership: condition of the team's writes
	attemptCounter      uint64
	orderSalt           uint64 // gives the team an order of machines of its own
	used                resources.Amounts
	jobs                map[string]*job
	accounted           map[string]bool   // machines known to hold no task that is unknown here
	unaccounted         map[string]bool   // recorded machines that are not accounted for
	unaccountedCount    int               // how many they are, as of this scheduling cycle
	unaccountedCapacity resources.Amounts // and what they could hold
	finalWritesInFlight int               // transactions that write final states of its jobs

	yielding   map[string]yielding // partition leaders that keep capacity for other teams
	aboveShare bool                // it uses more than its share of the fleet
}

// AcquireTeam starts leading a team under a term, with its active jobs. modRevision is that of the leadership.
// Every recorded machine is unaccounted for at first (argument 7).
func (s *Scheduler) AcquireTeam(name string, term, modRevision uint64, active []*jobs.Job, now clock.Micros) {
	s.ReleaseTeam(name)
	tm := &team{
		Team:        s.teamConfigs[name],
		orderSalt:   nameHash(name),
		term:        term,
		modRevision: modRevision,
		jobs:        map[string]*job{},
		accounted:   map[string]bool{},
		unaccounted: maps.Clone(s.recordedMachines),
		yielding:    map[string]yielding{},
	}
	s.teams[name] = tm
	for _, j := range active {
		s.addJob(tm, j, now)
	}
	for _, session := range s.sessions {
		delete(session.fencedTerms, name)
	}
}

// ReleaseTeam stops leading a team: its assignments and unsent messages are dropped.
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

// TeamTerms returns the terms of the teams led here.
func (s *Scheduler) TeamTerms() map[string]uint64 {
	out := make(map[string]uint64, len(s.teams))
	for name, tm := range s.teams {
		out[name] = tm.term
	}
	return out
}

// nextAttempt returns the id of a new attempt of a task; attempts are unique over all terms of the team (argument 3).
func (tm *team) nextAttempt(jobID string, task int) peer.TaskID {
	tm.attemptCounter++
	return peer.TaskID{Job: jobID, N: task, Attempt: tm.term<<32 | tm.attemptCounter}
}

// withinLimit reports whether the team's limit leaves room for one more task.
func (tm *team) withinLimit(need resources.Amounts) bool {
	return withinQuota(tm.used.Plus(tm.unaccountedCapacity).Plus(need), tm.Limit)
}

// withinQuota reports whether an amount is within a limit; an amount of 0 there is no limit.
func withinQuota(used, limit resources.Amounts) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}
