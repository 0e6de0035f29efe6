package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// taskRun is the time for which a task ran on a machine.
type taskRun struct {
	machine  string
	duration clock.Micros
}

// A machine is slow if its tasks take more than slowdownThreshold times as long as other tasks of the same jobs, on average
// over at least minSlowdownSamples tasks. Healthy machines differ by about a tenth, and the tasks of a job by more.
const (
	slowdownThreshold  = 1.6
	minSlowdownSamples = 5
	maxSlowdownSamples = 20 // at this number, sum and number of the samples are halved, so that old ones lose influence
	maxSlowdownRatio   = 4  // upper bound of one sample: a single task that hangs must not make a machine slow
	minJobRuns         = 4  // number of recorded runs that a job needs for a comparison
	minOtherRuns       = 2  // number of these that have to be on other machines
	maxRecordedRuns    = 500
)

// recordRun records for how long a task of the job ran on a machine, up to maxRecordedRuns tasks of a job.
func (j *job) recordRun(machine string, duration clock.Micros) {
	if len(j.runs) < maxRecordedRuns {
		j.runs = append(j.runs, taskRun{machine, duration})
	}
}

// detectSlowMachines compares, for a finished job, the run times of its tasks on each machine with those on the other
// machines, and asks for the quarantine of machines on which tasks take much longer. Jobs that have unfinished tasks are not
// compared: the tasks that finish first are the short ones.
func (s *Scheduler) detectSlowMachines(j *job) {
	if len(j.runs) < minJobRuns || j.doneCount < j.Tasks {
		return
	}
	var total clock.Micros
	sum, count := map[string]clock.Micros{}, map[string]int{}
	for _, r := range j.runs {
		total += r.duration
		sum[r.machine] += r.duration
		count[r.machine]++
	}
	for _, r := range j.runs {
		m := s.machines[r.machine]
		others := len(j.runs) - count[r.machine]
		if m == nil || m.slow || others < minOtherRuns {
			continue
		}
		mean := max(((total - sum[r.machine]) / clock.Micros(others)).Seconds(), 0.1)
		if m.recordSlowdown(r.duration.Seconds() / mean); m.slow {
			s.requestQuarantine(m)
		}
	}
}

// recordSlowdown records how long a task took on the machine, as a ratio to the run time of its job's tasks elsewhere.
func (m *machineState) recordSlowdown(ratio float64) {
	if m.slowdownSamples == maxSlowdownSamples {
		m.slowdownSum, m.slowdownSamples = m.slowdownSum/2, maxSlowdownSamples/2
	}
	m.slowdownSum += min(ratio, maxSlowdownRatio)
	m.slowdownSamples++
	m.slow = m.slowdownSamples >= minSlowdownSamples && m.slowdownSum > slowdownThreshold*float64(m.slowdownSamples)
}
