package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// exhaustedDemand remembers, for one scheduling cycle, what found no capacity: a job that needs as
// much or more, and is as constrained or more, need not search again.
type exhaustedDemand struct {
	needs     []resources.Amounts // of unconstrained jobs
	jobs      map[*job]bool
	staged    bool                 // work returns to a zone: what one job may not have another may
	noVictims map[victimClass]bool // for which no victims were found: of lower priority, of other teams
}

// victimClass is what decides, beside the capacity that a task needs, whose tasks it may preempt.
type victimClass struct {
	need            resources.Amounts
	team            string
	priority        int
	withinGuarantee bool
	guaranteeDue    bool
}

func (j *job) victimClass(guaranteeDue bool) victimClass {
	return victimClass{j.Need, j.team.Name, j.PriorityLevel, j.withinGuarantee, guaranteeDue}
}

func (e *exhaustedDemand) hasNoVictims(j *job, guaranteeDue bool) bool {
	return e.noVictims[j.victimClass(guaranteeDue)]
}

func (e *exhaustedDemand) markNoVictims(j *job, guaranteeDue bool) {
	if !j.unconstrained() || e.staged {
		return
	}
	if e.noVictims == nil {
		e.noVictims = map[victimClass]bool{}
	}
	e.noVictims[j.victimClass(guaranteeDue)] = true
}

func (e *exhaustedDemand) isExhausted(j *job) bool {
	for _, need := range e.needs {
		if need.Fits(j.Need) {
			return true
		}
	}
	return e.jobs[j]
}

func (e *exhaustedDemand) markExhausted(j *job) {
	if j.unconstrained() && len(j.team.yielding) == 0 && !e.staged {
		e.needs = append(e.needs, j.Need)
	}
	if e.jobs == nil {
		e.jobs = map[*job]bool{}
	}
	e.jobs[j] = true
}
