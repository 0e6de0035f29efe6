package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// mayOffer reports whether a task of a job may be assigned to a machine now, apart from capacity.
func (s *Scheduler) mayOffer(j *job, m *machineState, now clock.Micros) bool {
	return now >= j.avoidUntil[m.ID] && j.fitsConstraints(m) && !j.yieldsAt(m.leader, now) && s.zones.admits(m.Zone, j, now)
}

// fitsConstraints reports whether a machine may take one more task of a job, given where
// the others are or may be (argument 9).
func (j *job) fitsConstraints(m *machineState) bool {
	if m.Spot && !j.Spot || j.Zone != "" && m.Zone != j.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, m.Type) {
		return false
	}
	if j.OneZone {
		for zone, tasks := range j.tasksByZone {
			if tasks > 0 && zone != m.Zone {
				return false
			}
		}
	}
	return !j.Spread || j.tasksByZone[m.Zone]+1 <= (j.Tasks+1)/2
}

// unconstrained reports whether nothing but capacity decides where the tasks of a job may go.
func (j *job) unconstrained() bool {
	return j.Spot && j.Zone == "" && len(j.Types) == 0 && !j.OneZone && !j.Spread && len(j.avoidUntil) == 0
}
