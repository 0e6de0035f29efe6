package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/tasklist"
)

// exhaustedDemand records, for one scheduling cycle, for which jobs no capacity was found. The search is then not repeated for the
// same job, nor for a job whose tasks need at least as much as those of an unconstrained job for which none was found.
type exhaustedDemand struct {
	needs         []exhaustedNeed // of unconstrained jobs for which no machine had capacity
	jobs          map[*job]bool   // jobs for which no machine had capacity
	zoneReturning bool            // work returns to a zone in stages, so capacity that one job can't get may be open to another
	// noVictims has the classes for which no tasks to preempt were found.
	noVictims map[victimClass]bool
}

// exhaustedNeed is what one task of a job needs of a machine.
type exhaustedNeed struct {
	resources  resources.Amounts
	entryBytes int  // of the list that the machine's worker reports
	small      bool // it has to leave room on that list to larger tasks, see package tasklist
}

func (j *job) exhaustedNeed() exhaustedNeed {
	return exhaustedNeed{j.Need, j.entryBytes(), tasklist.IsSmall(j.Need)}
}

// covers reports whether no machine has capacity for another need either if none has for this one.
func (n exhaustedNeed) covers(other exhaustedNeed) bool {
	return n.resources.Fits(other.resources) && n.entryBytes <= other.entryBytes && (other.small || !n.small)
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
		if need.covers(j.exhaustedNeed()) {
			return true
		}
	}
	return e.jobs[j]
}

func (e *exhaustedDemand) markExhausted(j *job) {
	if j.unconstrained() && len(j.team.yieldBackoffs) == 0 && !e.zoneReturning {
		e.needs = append(e.needs, j.exhaustedNeed())
	}
	if e.jobs == nil {
		e.jobs = map[*job]bool{}
	}
	e.jobs[j] = true
}
