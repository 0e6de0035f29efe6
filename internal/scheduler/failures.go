package scheduler

import (
	"maps"
	"math"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

const (
	errorMachineBackoff = 20 * clock.Second  // how long a job avoids a machine on which one of its tasks has failed
	maxErrorBackoff     = 30 * clock.Second  // longest pause of a job whose tasks keep failing
	backoffMachines     = 3                  // machines on which a job fails in a row until the whole job pauses
	suspectFailures     = 3                  // failures in a row from which on the job itself may be at fault, not the machines
	minSoundRun         = 10 * clock.Second  // least time for which a task of a suspect job runs to show that the job is sound
	minProbeInterval    = 10 * clock.Second  // least time between two machines that are requested for a suspect job
	maxProbeInterval    = 300 * clock.Second // largest such time
)

// failureHistory holds the failures of a job's tasks, and the resulting restrictions. A faulty machine fails all tasks that run
// on it, so failures are counted by machine, not by task: one machine says the same of a job of one task and of a thousand.
//
// A job with suspectFailures failures in a row is suspect: it may have been submitted with a mistake, and would then waste every
// machine that is requested for it. But it may also have met as many faulty machines, and must run all the same. So it is
// retried on the machines that are up, and machines are requested for one of its tasks at a time (a probe), at growing intervals,
// until a task completes, or while one has run for much longer than those that failed.
type failureHistory struct {
	inRow        int                     // failures since a task last completed; those on a machine while it is avoided count once
	failedAt     map[string]clock.Micros // by machine of these failures: time of the first one
	longestRun   clock.Micros            // longest time for which a task ran before one of these failures
	avoidUntil   map[string]clock.Micros // by machine: time before which no task is placed there, since one failed
	backoffUntil clock.Micros            // time before which no task of the job is placed, since many failed

	probeInterval   clock.Micros // time between the last failure of a probe and the next probe; 0: the job is not suspect
	probeAfter      clock.Micros // while the job is suspect: time before which no machine is requested for it
	quarantineAfter clock.Micros // time before which no other machine is quarantined for the job's failures
}

func newFailureHistory() failureHistory {
	return failureHistory{failedAt: map[string]clock.Micros{}, avoidUntil: map[string]clock.Micros{}}
}

// record makes the job avoid a machine on which one of its tasks has failed. Once tasks have failed on backoffMachines machines, or
// often in a row relative to the number of assigned tasks, the whole job backs off exponentially after each failure: otherwise
// it would keep taking the capacity that its failures free. ranFor is for how long the task has run.
func (f *failureHistory) record(machine string, ranFor clock.Micros, assigned int, now clock.Micros) {
	f.longestRun = max(f.longestRun, ranFor)
	if now >= f.avoidUntil[machine] {
		f.inRow++
	}
	if _, failed := f.failedAt[machine]; !failed {
		f.failedAt[machine] = now
	}
	f.avoidUntil[machine] = now + errorMachineBackoff
	if len(f.failedAt) >= backoffMachines || f.inRow > 3*max(1, assigned) {
		f.backoffUntil = now + min(clock.Second<<min(f.inRow/2, 6), maxErrorBackoff)
	}
	if f.inRow >= suspectFailures && now >= f.probeAfter {
		f.probeInterval = min(max(2*f.probeInterval, minProbeInterval), maxProbeInterval)
		f.probeAfter = now + f.probeInterval
	}
}

// recordSuccess records that a task of the job has completed: the job is not at fault. Machines that failed are still avoided
// for their time.
func (f *failureHistory) recordSuccess(now clock.Micros) {
	if f.inRow == 0 && len(f.avoidUntil) == 0 {
		return
	}
	f.inRow, f.longestRun = 0, 0
	f.probeInterval, f.probeAfter, f.quarantineAfter = 0, 0, 0
	clear(f.failedAt)
	maps.DeleteFunc(f.avoidUntil, func(_ string, until clock.Micros) bool { return now >= until })
}

// isSuspect reports whether the job may be at fault for its failures.
func (f *failureHistory) isSuspect() bool { return f.probeInterval > 0 }

// demandLimit returns for how many of the job's tasks machines may be requested now.
func (j *job) demandLimit(now clock.Micros) int {
	switch {
	case !j.failures.isSuspect(), j.outlivesFailures(now):
		return math.MaxInt
	case now < j.failures.probeAfter:
		return 0
	}
	return 1
}

// outlivesFailures reports whether a task of the job has run for so much longer than those that failed that its machine and
// the job seem to be sound.
func (j *job) outlivesFailures(now clock.Micros) bool {
	soundAfter := max(2*j.failures.longestRun, minSoundRun)
	for _, a := range j.assignments {
		if a.runningSince != 0 && now >= a.runningSince+soundAfter {
			return true
		}
	}
	return false
}

// quarantineIfFaulty asks for the quarantine of a machine on which a task of a suspect job has failed, if nothing shows that the
// machine is sound: no task has completed on it since the job first failed there, and none is left on it. Its partition leader may
// take the job to be at fault and leave the machine in use: it would be the room that the job waits for, and fail it again and again.
// Between two probes only one machine is quarantined, so that a job with a mistake takes no fleet with it.
func (s *Scheduler) quarantineIfFaulty(j *job, m *machineState, now clock.Micros) {
	if !j.failures.isSuspect() || now < j.failures.quarantineAfter || m.Sick || m.hasUnfinishedTask() {
		return
	}
	if m.lastCompletionAt >= j.failures.failedAt[m.ID] {
		return
	}
	j.failures.quarantineAfter = max(j.failures.probeAfter, now+minProbeInterval)
	s.requestQuarantine(m)
}

// requestQuarantine asks a machine's partition leader to give it no more tasks, and to have it returned once it is empty.
func (s *Scheduler) requestQuarantine(m *machineState) {
	session := s.sessions[m.leader]
	session.pending.Slow = append(session.pending.Slow, m.ID)
}
