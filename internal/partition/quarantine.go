package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// How failures of tasks count against machines and jobs.
const (
	jobFaultMachines   = 2 // a job that has failed on more machines is at fault itself
	maxFailuresInRow   = 8 // as many quarantine a machine, however few jobs they are of
	cordonBase         = 5 * clock.Second
	maxCordonDoublings = 4
	maxCordon          = 60 * clock.Second
)

// failingJobs are the machines on which each job failed since one of its tasks was done.
type failingJobs map[string]map[string]bool

// add notes that a job failed on a machine, and gives on how many it has.
func (f failingJobs) add(job, machine string) (machines int) {
	on := f[job]
	if on == nil {
		on = map[string]bool{}
		f[job] = on
	}
	on[machine] = true
	return len(on)
}

// failureRecord is the record of failed tasks of one machine, and what follows from it.
type failureRecord struct {
	inRow         int             // failures since a task was done
	jobs          map[string]bool // of which jobs they are
	cordonedUntil clock.Micros    // no tasks before; 0: not cordoned
	quarantined   bool            // no tasks any more; the machine is returned once it is empty
}

// add counts a failure: the machine is cordoned for longer each time, and quarantined when tasks of
// quarantineJobs jobs have failed in a row.
func (r *failureRecord) add(job string, quarantineJobs int, now clock.Micros) {
	r.inRow++
	r.jobs[job] = true
	r.cordonedUntil = now + min(cordonBase<<min(r.inRow, maxCordonDoublings), maxCordon)
	if len(r.jobs) >= quarantineJobs || r.inRow >= maxFailuresInRow {
		r.quarantined = true
	}
}

// reset forgets the failures; a quarantine stays.
func (r *failureRecord) reset() {
	r.inRow = 0
	clear(r.jobs)
}

// recordExit counts a task's exit for or against its machine and its job.
func (s *State) recordExit(m *machine, t *task, cause string, now clock.Micros) {
	switch cause {
	case wire.CauseDone:
		m.failures.reset()
		delete(s.failingJobs, t.id.Job)
	case wire.CauseError:
		if s.failingJobs.add(t.id.Job, m.id) <= jobFaultMachines {
			m.failures.add(t.id.Job, s.timing.QuarantineErrors, now)
		}
	}
}

// quarantineSlow quarantines machines on which tasks take much longer than elsewhere.
func (s *State) quarantineSlow(ids []string) {
	for _, id := range ids {
		if m := s.machines[id]; m != nil && !m.failures.quarantined {
			m.failures.quarantined = true
			s.markChanged(m)
		}
	}
}
