package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// These limits decide whether a failed task counts against its machine or its job, and for how long the machine gets
// no tasks.
const (
	jobFaultThreshold      = 2 // a job that has failed on more machines than this is itself at fault
	maxConsecutiveFailures = 8 // so many failures in a row quarantine a machine, even if all are of one job
	cordonBase             = 5 * clock.Second
	maxCordonDoublings     = 4
	maxCordon              = 60 * clock.Second
)

// failingJobs holds, for each job, the machines on which it has failed since one of its tasks last succeeded.
type failingJobs map[string]map[string]bool

// add records that a job failed on a machine, and returns the number of machines on which it has failed.
func (f failingJobs) add(job, machine string) (machines int) {
	failedOn := f[job]
	if failedOn == nil {
		failedOn = map[string]bool{}
		f[job] = failedOn
	}
	failedOn[machine] = true
	return len(failedOn)
}

// failureRecord counts the failed tasks of one machine, and holds the resulting restrictions.
type failureRecord struct {
	consecutive   int             // failures since a task last succeeded
	jobs          map[string]bool // the jobs of these failures
	cordonedUntil clock.Micros    // the machine gets no tasks before this time; 0: it is not cordoned
	quarantined   bool            // the machine gets no more tasks, and is returned to the cloud once it is empty
}

// add counts a failure. It cordons the machine, for longer with each failure in a row up to maxCordon, and quarantines
// it when tasks of quarantineJobs different jobs, or maxConsecutiveFailures tasks, have failed in a row.
func (r *failureRecord) add(job string, quarantineJobs int, now clock.Micros) {
	r.consecutive++
	r.jobs[job] = true
	r.cordonedUntil = now + min(cordonBase<<min(r.consecutive, maxCordonDoublings), maxCordon)
	if len(r.jobs) >= quarantineJobs || r.consecutive >= maxConsecutiveFailures {
		r.quarantined = true
	}
}

// reset clears the failures. A quarantine and a running cordon stay.
func (r *failureRecord) reset() {
	r.consecutive = 0
	clear(r.jobs)
}

// recordExit updates the failure records of a task's machine and job when the task exits. A success clears both. An
// error counts against the machine, unless the job has failed on more than jobFaultThreshold machines.
func (s *State) recordExit(m *machine, t *task, cause string, now clock.Micros) {
	switch cause {
	case wire.CauseDone:
		m.failures.reset()
		delete(s.failingJobs, t.id.Job)
	case wire.CauseError:
		if s.failingJobs.add(t.id.Job, m.id) <= jobFaultThreshold {
			m.failures.add(t.id.Job, s.timing.QuarantineFailedJobs, now)
		}
	}
}

// quarantineReported quarantines machines on which tasks take much longer than on others, or only failed, as a scheduler reports.
func (s *State) quarantineReported(ids []string) {
	for _, id := range ids {
		if m := s.machines[id]; m != nil && !m.failures.quarantined {
			m.failures.quarantined = true
			s.markChanged(m)
		}
	}
}
