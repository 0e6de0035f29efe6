package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Counters counts what has happened since the scheduler started, for the logs.
type Counters struct {
	Placed, Rejected, Preempted, Done, Stopped, Failed, Lost int          // tasks
	Yielded                                                  int          // assignments rejected in favour of teams below their shares
	MovesStarted, MovesCompleted                             int          // moves begun, and completed
	MachinesExamined                                         int          // machines examined in searches, see machineCache.examined
	FetchCPUs                                                clock.Micros // CPU time that tasks reserved before they ran
}

// Summary is the present state of a scheduler in numbers.
type Summary struct {
	Counters              // since the start
	Waiting, Assigned int // tasks
	CancellingJobs    int // cancelled jobs whose final state has not been written
	SuspectJobs       int // jobs that may be at fault for their failures, see failureHistory
}

// Summary returns the present numbers of tasks and jobs, and the counters.
func (s *Scheduler) Summary() Summary {
	out := Summary{Counters: s.counters}
	out.MachinesExamined = s.examined
	for _, tm := range s.teams {
		for _, j := range tm.jobs {
			if j.cancelling {
				out.CancellingJobs++
			}
			if j.failures.isSuspect() {
				out.SuspectJobs++
			}
			out.Waiting += j.waiting()
			out.Assigned += len(j.assignments)
		}
	}
	return out
}

// Status returns the state of an active job. It asks the user to retry while the job's final state may have been written already.
func (s *Scheduler) Status(teamName, id string) peer.JobResponse {
	tm := s.teams[teamName]
	if tm == nil {
		return peer.JobResponse{}
	}
	j := tm.jobs[id]
	if j == nil {
		return peer.JobResponse{Known: true}
	}
	if j.finalStateUncertain {
		return peer.JobResponse{Known: true, Found: true, Retry: true}
	}
	state := wire.JobState{ID: id, Phase: wire.Pending, Done: j.doneCount}
	for _, a := range j.assignments {
		if a.phase == wire.TaskRunning || a.phase == wire.TaskCheckpointing {
			state.Running++
		}
	}
	if state.Running > 0 || state.Done > 0 {
		state.Phase = wire.Running
	}
	return peer.JobResponse{Known: true, Found: true, State: state}
}
