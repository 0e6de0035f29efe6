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

// smallFleetSize is about as many machines as the smaller sites have in all.
const smallFleetSize = 1240

// loadedScheduler is a scheduler of a fleet without capacity for more, with many jobs that wait, and the answer
// from which it knows the fleet.
func loadedScheduler(machines, waiting int) (*Scheduler, *peer.PollResponse) {
	s := NewScheduler(Config{
		Timing:   Timing{Sample: 12, Batch: 40, Lease: lease, PreemptAfter: sec},
		Instance: "scheduler",
		Teams:    []Team{{Name: red}},
		Hosts:    []string{"h0"},
		Seed:     1,
		WallMS:   func() int64 { return 0 },
	})
	var active []*jobs.Job
	for i := range waiting {
		spec := wire.Job{
			ID: fmt.Sprintf("job-%06d", i), Team: red, Priority: "normal", Tasks: 100, CPUs: 2, MemGB: 1, Spot: true, RuntimeEstimateS: 30,
		}
		active = append(active, jobs.New(jobs.Record{Job: spec, Watermarked: true}, uint64(i+1)))
	}
	s.AcquireTeam(red, 1, 1, active, sec)
	in := s.NextPoll("h0")
	ans := &peer.PollResponse{Incarnation: "leader", Cursor: 1, Full: true, Parts: map[int]uint64{0: 1}}
	for i := range machines {
		v := peer.MachineView{ID: fmt.Sprintf("m-%06d", i), Term: 1, Version: 1, Type: "big", Zone: "a", Cap: resources.Capacity(32, 0, 64),
			Free: resources.Capacity(0, 0, 0), Accounted: true, Usable: true, Count: 16, Whole: true}
		for n := range 16 {
			v.Tasks = append(v.Tasks, peer.TaskView{ID: peer.TaskID{Job: "job-999999", N: i*16 + n, Attempt: 1}, Team: "other",
				Rank: 1, Need: resources.Request(2, 0, 1), Phase: wire.TaskRunning})
		}
		ans.Machines = append(ans.Machines, v)
	}
	s.HandlePollResponse("h0", in, ans, sec)
	return s, ans
}

// benchmarkCycles has a scheduler decide every 50 ms.
func benchmarkCycles(b *testing.B, s *Scheduler) {
	b.ReportAllocs()
	now := 2 * sec
	for b.Loop() {
		now += 50 * clock.Millisecond
		s.Schedule(now)
	}
}

// A cycle of decisions while thousands of tasks wait and nothing is free.
func BenchmarkCycleWithoutCapacity(b *testing.B) {
	s, _ := loadedScheduler(smallFleetSize, 60)
	benchmarkCycles(b, s)
}

// A cycle of decisions that places a full batch on a fleet that is empty.
func BenchmarkCycleWithCapacity(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s, ans := loadedScheduler(smallFleetSize, 60)
		for i := range ans.Machines {
			v := &ans.Machines[i]
			v.Free, v.Count, v.Tasks, v.Version = v.Cap, 0, nil, 2
		}
		ans.Cursor = 2
		s.HandlePollResponse("h0", s.NextPoll("h0"), ans, 2*sec)
		b.StartTimer()
		if s.Schedule(3*sec) == 0 {
			b.Fatal("nothing was placed")
		}
	}
}

// Every machine's view is applied, as after a restart.
func BenchmarkPollOfWholeFleet(b *testing.B) { benchmarkPolls(b, smallFleetSize) }

// benchmarkPolls has a scheduler apply the views of so many machines in one answer.
func benchmarkPolls(b *testing.B, machines int) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s, ans := loadedScheduler(machines, 1)
		b.StartTimer()
		ans.Cursor++
		s.HandlePollResponse("h0", s.NextPoll("h0"), ans, 2*sec)
	}
}

// What the autoscaler asks for a few times a second.
func BenchmarkMachineViews(b *testing.B) {
	s, _ := loadedScheduler(smallFleetSize, 1)
	var views []peer.MachineView
	b.ReportAllocs()
	for b.Loop() {
		views = s.MachineViews(views[:0], 2*sec)
	}
}

// schedulerAfterRestart is a scheduler that knows so many machines by their records, has seen
// half of them, and leads a team with tasks that wait.
func schedulerAfterRestart(machines int) *Scheduler {
	s, _ := loadedScheduler(machines/2, 60)
	for i := range machines / 2 {
		s.HandleMachineRecord(fmt.Sprintf("m-1%05d", i), true)
	}
	return s
}

// Cycles of decisions just after a restart, when machines on record were not seen yet.
func BenchmarkCycleAfterRestart(b *testing.B) {
	benchmarkCycles(b, schedulerAfterRestart(smallFleetSize))
}
