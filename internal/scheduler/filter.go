package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// mayOffer reports whether a task of a job may be assigned to a machine now, apart from capacity.
func (s *selector) mayOffer(j *job, m *machineState, now clock.Micros) bool {
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

// rejectionBackoff is how long no task is assigned to a machine after a rejection, unless a newer view comes before.
const rejectionBackoff = 200 * clock.Millisecond

// findCapacity filters machines that have capacity for a task of a job, a few times as many
// as are sampled; for a small one many more, since it goes where its team's small tasks gather.
func (s *selector) findCapacity(j *job, in *machinesByLevel, now clock.Micros) (out []*machineState) {
	if in == nil {
		return nil
	}
	limit := 4 * s.timing.Sample
	if s.isSmall(j) {
		limit *= 10
	}
	in.walk(capacityLevel(j.Need.CPU), s.rng.Uint64(), func(m *machineState) bool {
		s.examined++
		if m.hasCapacity(j) && s.mayOffer(j, m, now) && !m.recentlyRejected(now) {
			out = append(out, m)
		}
		return len(out) >= limit
	})
	return out
}

// hasCapacity reports whether a machine has capacity for a task of a job.
func (m *machineState) hasCapacity(j *job) bool {
	return j.Need.Fits(m.available) && m.available.Mem > 0
}

// recentlyRejected reports whether a machine's partition leader has rejected an assignment, and no newer view has come.
func (m *machineState) recentlyRejected(now clock.Micros) bool {
	return m.rejected && now < m.rejectedAt+rejectionBackoff
}

// findCapacityAnyImage filters machines that have capacity for a task of a job, those with its image first.
func (s *selector) findCapacityAnyImage(j *job, now clock.Micros) []*machineState {
	list := s.findCapacity(j, s.capacity.withImage(j.Image), now)
	for _, m := range s.findCapacity(j, &s.capacity.all, now) {
		if !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}
