package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// mayAssign reports whether a job's constraints and failures, its team's yield backoff and the zone's state allow a task of the
// job on a machine now. It does not look at the machine's capacity.
func (s *selector) mayAssign(j *job, m *machineState, now clock.Micros) bool {
	return now >= j.failures.avoidUntil[m.ID] && j.fitsConstraints(m) && !j.backsOffAt(m.leader, now) && s.zones.admits(m.Zone, j, now)
}

// fitsConstraints reports whether the job's constraints allow one more of its tasks on a machine. The zone constraints
// count every task that is or may be on a machine, since an unanswered assignment may have been accepted (docs/design.md,
// "Why the rules hold", number 9).
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

// unconstrained reports whether the job has no constraints on its machines and avoids none of them because of failures.
func (j *job) unconstrained() bool {
	return j.Spot && j.Zone == "" && len(j.Types) == 0 && !j.OneZone && !j.Spread && len(j.failures.avoidUntil) == 0
}

// rejectionBackoff is how long no task is assigned to a machine's free capacity after its partition leader has rejected an
// assignment, other than by yielding to another team, unless a newer view of the machine arrives.
const rejectionBackoff = 200 * clock.Millisecond

// findCapacity returns machines with capacity for a task of a job: up to four times the sample size, so that the search
// stays cheap. For a small task it returns up to ten times as many, because all candidates are compared in the order in
// which the team packs its small tasks.
func (s *selector) findCapacity(j *job, machines *machinesByLevel, now clock.Micros) (out []*machineState) {
	if machines == nil {
		return nil
	}
	limit := 4 * s.parameters.SampleSize
	if s.isSmall(j) {
		limit *= 10
	}
	machines.walk(capacityLevel(j.Need.CPU), s.rng.Uint64(), func(m *machineState) bool {
		s.examined++
		if m.hasCapacity(j) && s.mayAssign(j, m, now) && !m.recentlyRejected(now) && s.checkListRoom(j, m) {
			out = append(out, m)
		}
		return len(out) >= limit
	})
	return out
}

// hasCapacity reports whether the machine has capacity for a task of a job.
func (m *machineState) hasCapacity(j *job) bool {
	return j.Need.Fits(m.available) && m.available.Mem > 0
}

// recentlyRejected reports whether the machine's partition leader has rejected an assignment, other than by yielding to another
// team, within rejectionBackoff and no newer view has arrived since.
func (m *machineState) recentlyRejected(now clock.Micros) bool {
	return m.rejected && now < m.rejectedAt+rejectionBackoff
}

// findCapacityAnyImage returns machines with capacity for a task of a job, those with the job's image first.
func (s *selector) findCapacityAnyImage(j *job, now clock.Micros) []*machineState {
	candidates := s.findCapacity(j, s.capacity.withImage(j.Image), now)
	for _, m := range s.findCapacity(j, &s.capacity.all, now) {
		if !slices.Contains(candidates, m) {
			candidates = append(candidates, m)
		}
	}
	return candidates
}
