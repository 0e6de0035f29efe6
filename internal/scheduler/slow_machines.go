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
	maxPaceSamples    = 20 // then half of them is forgotten: old ones fade
	maxPaceSample     = 4  // one task that hangs must not decide
	minJobRuns        = 4  // of a job whose run times are compared
	minOtherRuns      = 2  // on other machines
	maxRecordedRuns   = 500
)

// recordRun records how long a task of a job ran on a machine.
func (j *job) recordRun(machine string, duration clock.Micros) {
	if len(j.runs) < maxRecordedRuns {
		j.runs = append(j.runs, runTime{machine, duration})
	}
}

// detectSlowMachines compares how long a finished job's tasks ran on each machine with how
// long they ran on the others, and has a machine quarantined on which tasks take much
// longer. Only a whole job is compared: those of its tasks that are done
// first are the short ones.
func (s *Scheduler) detectSlowMachines(j *job) {
	if len(j.runs) < minJobRuns || j.doneCount < j.Tasks {
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
		if m == nil || m.slow || others < minOtherRuns {
			continue
		}
		mean := max(((all - sum[r.machine]) / clock.Micros(others)).Seconds(), 0.1)
		if m.recordPace(r.duration.Seconds() / mean); m.slow {
			session := s.sessions[m.leader]
			session.pending.Slow = append(session.pending.Slow, m.ID)
		}
	}
}

// recordPace records the ratio of a task's run time on a machine to those of its job elsewhere.
func (m *machineState) recordPace(ratio float64) {
	if m.paceSamples == maxPaceSamples {
		m.paceSum, m.paceSamples = m.paceSum/2, maxPaceSamples/2
	}
	m.paceSum += min(ratio, maxPaceSample)
	m.paceSamples++
	m.slow = m.paceSamples >= minPaceSamples && m.paceSum > slowPaceThreshold*float64(m.paceSamples)
}
