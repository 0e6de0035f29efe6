package scheduler

import (
	"fmt"
	"testing"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// smallFleetSize is about the number of machines at the smaller sites.
const smallFleetSize = 1240

// loadedScheduler returns a scheduler of a fleet without free capacity and with a number of waiting jobs, and the poll response
// that described the fleet.
func loadedScheduler(machines, waiting int) (*Scheduler, *peer.PollResponse) {
	s := NewScheduler(Config{
		Parameters:  Parameters{SampleSize: 12, BaseAssignmentsPerCycle: 40, WorkerLease: lease, PreemptAfter: sec},
		ProcessID:   "scheduler",
		Teams:       []Team{{Name: red}},
		Hosts:       []string{"h0"},
		Seed:        1,
		WallClockMS: func() int64 { return 0 },
	})
	var active []*jobs.Job
	for i := range waiting {
		spec := wire.Job{
			ID: fmt.Sprintf("job-%06d", i), Team: red, Priority: "normal", Tasks: 100, CPUs: 2, MemGB: 1, Spot: true, RuntimeEstimateS: 30,
		}
		active = append(active, jobs.New(jobs.Record{Job: spec, Watermarked: true}, uint64(i+1)))
	}
	s.AcquireTeam(red, 1, 1, active, sec)
	request := s.NextPoll("h0")
	response := &peer.PollResponse{Incarnation: "leader", Cursor: 1, Full: true, Parts: map[int]uint64{0: 1}}
	for i := range machines {
		view := peer.MachineView{ID: fmt.Sprintf("m-%06d", i), Term: 1, Version: 1, Type: "big", Zone: "a",
			Cap: resources.Capacity(32, 0, 64), Free: resources.Capacity(0, 0, 0), Accounted: true, Usable: true, Count: 16, Whole: true}
		for n := range 16 {
			view.Tasks = append(view.Tasks, peer.TaskView{ID: peer.TaskID{Job: "job-999999", N: i*16 + n, Attempt: 1}, Team: "other",
				Rank: 1, Need: resources.Request(2, 0, 1), Phase: wire.TaskRunning})
		}
		response.Machines = append(response.Machines, view)
	}
	s.HandlePollResponse("h0", request, response, sec)
	return s, response
}

// benchmarkCycles measures scheduling cycles at intervals of 50 ms of simulated time.
func benchmarkCycles(b *testing.B, s *Scheduler) {
	b.ReportAllocs()
	now := 2 * sec
	for b.Loop() {
		now += 50 * clock.Millisecond
		s.Schedule(now)
	}
}

// BenchmarkCycleWithoutCapacity measures a scheduling cycle while thousands of tasks wait and no machine has capacity.
func BenchmarkCycleWithoutCapacity(b *testing.B) {
	s, _ := loadedScheduler(smallFleetSize, 60)
	benchmarkCycles(b, s)
}

// BenchmarkCycleWithCapacity measures a scheduling cycle that places a full batch on an empty fleet.
func BenchmarkCycleWithCapacity(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s, response := loadedScheduler(smallFleetSize, 60)
		for i := range response.Machines {
			view := &response.Machines[i]
			view.Free, view.Count, view.Tasks, view.Version = view.Cap, 0, nil, 2
		}
		response.Cursor = 2
		s.HandlePollResponse("h0", s.NextPoll("h0"), response, 2*sec)
		b.StartTimer()
		if s.Schedule(3*sec) == 0 {
			b.Fatal("nothing was placed")
		}
	}
}

// BenchmarkPollOfWholeFleet measures a poll response that contains every machine, as after a restart.
func BenchmarkPollOfWholeFleet(b *testing.B) { benchmarkPolls(b, smallFleetSize) }

// benchmarkPolls measures a poll response that contains a number of machines.
func benchmarkPolls(b *testing.B, machines int) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s, response := loadedScheduler(machines, 1)
		b.StartTimer()
		response.Cursor++
		s.HandlePollResponse("h0", s.NextPoll("h0"), response, 2*sec)
	}
}

// BenchmarkMachineViews measures the request that the autoscaler makes a few times per second.
func BenchmarkMachineViews(b *testing.B) {
	s, _ := loadedScheduler(smallFleetSize, 1)
	var views []peer.MachineView
	b.ReportAllocs()
	for b.Loop() {
		views = s.MachineViews(views[:0], 2*sec)
	}
}

// schedulerAfterRestart returns a scheduler that has seen half of a number of machines, knows the other half only by their records,
// and leads a team with waiting tasks.
func schedulerAfterRestart(machines int) *Scheduler {
	s, _ := loadedScheduler(machines/2, 60)
	for i := range machines / 2 {
		s.HandleMachineRecord(fmt.Sprintf("m-1%05d", i), true)
	}
	return s
}

// BenchmarkCycleAfterRestart measures scheduling cycles just after a restart, when some recorded machines have not been seen yet.
func BenchmarkCycleAfterRestart(b *testing.B) {
	benchmarkCycles(b, schedulerAfterRestart(smallFleetSize))
}
