package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Counters is what happened since the start, for the logs.
type Counters struct {
	Placed, Rejected, Preempted, Done, Stopped, Failed, Lost int
	Yielded                                                  int          // rejected since other teams have a better right
	Moves, Moved                                             int          // begun, and carried out
	MachinesExamined                                         int          // machines examined in search of capacity
	FetchCPUs                                                clock.Micros // CPU time from placing tasks until they ran
}

// Summary is the state of scheduling in numbers.
type Summary struct {
	Counters              // since the start
	Waiting, Assigned int // tasks
	CancellingJobs    int // whose final state is not written yet
}

// Summary returns the state of scheduling in numbers.
func (s *Scheduler) Summary() Summary {
	out := Summary{Counters: s.counters}
	out.MachinesExamined = s.examined
	for _, tm := range s.teams {
		for _, j := range tm.jobs {
			if j.cancelling {
				out.CancellingJobs++
			}
			out.Waiting += j.waiting()
			out.Assigned += len(j.assignments)
		}
	}
	return out
}

// Status returns what a job's user may be answered.
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
