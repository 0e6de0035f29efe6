package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// exhaustedDemand records, for one scheduling cycle, for which jobs no capacity was found. The search is then not repeated for the
// same job, nor for a job whose tasks need at least as much as those of an unconstrained job for which none was found.
type exhaustedDemand struct {
	needs         []resources.Amounts // requests of one task of unconstrained jobs for which no machine had capacity
	jobs          map[*job]bool       // jobs for which no machine had capacity
	zoneReturning bool                // work returns to a zone in stages, so capacity that one job can't get may be open to another
	// noVictims has the classes for which no tasks to preempt were found.
	noVictims map[victimClass]bool
}

// victimClass is what decides which tasks a job may preempt: unconstrained jobs of the same class have the same victims, and
// constrained ones have no others.
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
	if !j.unconstrained() || e.zoneReturning {
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

// markExhausted records that no capacity was found for a job. If the lists of workers limited the choice, that holds for this job alone:
// others need more or less of a list (package tasklist).
func (e *exhaustedDemand) markExhausted(j *job, limitedByList bool) {
	if !limitedByList && j.unconstrained() && len(j.team.yieldBackoffs) == 0 && !e.zoneReturning {
		e.needs = append(e.needs, j.Need)
	}
	if e.jobs == nil {
		e.jobs = map[*job]bool{}
	}
	e.jobs[j] = true
}
