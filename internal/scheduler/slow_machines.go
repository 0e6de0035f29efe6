package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// runTime is how long a task ran, and where.
type runTime struct {
	machine  string
	duration clock.Micros
}

// A machine is slow when its tasks take so many times as long as others of the
// same jobs, over so many tasks. Machines differ by a tenth, tasks by more.
const (
	slowPaceThreshold = 1.6
	minPaceSamples    = 5
)

// detectSlowMachines compares how long a finished job's tasks ran on each machine with how
// long they ran on the others, and has a machine set aside on which tasks take much
// longer. A job is judged only as a whole: those of its tasks that are done
// first are the short ones.
func (s *Scheduler) detectSlowMachines(j *job) {
	if len(j.runs) < 4 || j.doneCount < j.Tasks {
		return
	}
	var all clock.Micros
	sum, count := map[string]clock.Micros{}, map[string]int{}
	for _, r := range j.runs {
		all += r.duration
		sum[r.machine] += r.duration
		count[r.machine]++
	}
	for _, r := range j.runs {
		m := s.machines[r.machine]
		others := len(j.runs) - count[r.machine]
		if m == nil || m.slow || others < 2 {
			continue
		}
		mean := max(((all - sum[r.machine]) / clock.Micros(others)).Seconds(), 0.1)
		if m.paceSamples == 20 { // old news fade
			m.paceSum, m.paceSamples = m.paceSum/2, 10
		}
		m.paceSum += min(r.duration.Seconds()/mean, 4)
		m.paceSamples++
		if m.paceSamples >= minPaceSamples && m.paceSum > slowPaceThreshold*float64(m.paceSamples) {
			m.slow = true
			o := s.sessions[m.leader]
			o.pending.Slow = append(o.pending.Slow, m.ID)
		}
	}
}
