package history

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A full ring overwrites its oldest events. A reader that pages through it must get the remaining events in order,
// each once, and learn how many are lost; otherwise an incomplete history would pass for a complete one.
func TestRingBeyondCapacityKeepsLatestEvents(t *testing.T) {
	var nilRing *Ring
	nilRing.Add(Event{})
	require.Empty(t, nilRing.Page(0, 10).Events)
	now := int64(0)
	r := NewRing("a", 64, func() int64 { now++; return now })
	for i := range 100 {
		r.Add(Event{Kind: TaskRunning, Job: fmt.Sprint(i)})
	}
	page := r.Page(0, 50)
	require.EqualValues(t, 36, page.Lost)
	require.Len(t, page.Events, 50)
	require.Equal(t, "36", page.Events[0].Job)
	require.Equal(t, "a", page.Events[0].Controller)
	require.EqualValues(t, 37, page.Events[0].AtMS)
	require.True(t, page.More)
	rest := r.Page(page.Next, 50)
	require.Len(t, rest.Events, 14)
	require.Zero(t, rest.Lost)
	require.False(t, rest.More)
	require.Equal(t, "99", rest.Events[13].Job)
}

func TestReadReturnsEventsThatWriteStored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.parquet")
	var events []Event
	for i := range 3000 {
		events = append(events, Event{
			AtMS: int64(1000 + i), Controller: "a", Kind: TaskEnded, Job: fmt.Sprintf("job-%d", i/10), Task: int32(i % 10),
			Attempt: uint64(i) << 32, Machine: "m-1", Zone: "z", Note: "done",
		})
	}
	require.NoError(t, Write(path, events))
	got, err := Read(path)
	require.NoError(t, err)
	require.Equal(t, events, got)
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Less(t, info.Size(), int64(60_000), "size in bytes of the compressed file")
	require.NoError(t, os.WriteFile(path, []byte("no history"), 0o600))
	_, err = Read(path)
	require.Error(t, err)
	_, err = Read(path + ".none")
	require.Error(t, err)
	require.Error(t, Write(filepath.Join(path, "x"), events))
}

func TestCheckReportsConcurrentRunsAndConflictingFinalStates(t *testing.T) {
	taskEvent := func(at int64, kind Kind, attempt uint64, machine string) Event {
		return Event{AtMS: at, Kind: kind, Job: "job-1", Attempt: attempt, Machine: machine}
	}
	finalState := func(phase string) Event { return Event{AtMS: 9000, Kind: JobFinished, Job: "job-1", Note: phase} }
	// The first attempt runs for four seconds. Clip makes each append below copy the slice, so that the cases don't
	// overwrite each other's events.
	first := slices.Clip([]Event{taskEvent(1000, TaskRunning, 1, "m-1"), taskEvent(5000, TaskEnded, 1, "m-1")})
	for name, test := range map[string]struct {
		events []Event
		want   int
	}{
		"one after the other":         {append(first, taskEvent(5100, TaskRunning, 2, "m-2"), taskEvent(8000, TaskEnded, 2, "m-2")), 0},
		"at the same time":            {append(first, taskEvent(3000, TaskRunning, 2, "m-2"), taskEvent(8000, TaskEnded, 2, "m-2")), 1},
		"less than the clocks differ": {append(first, taskEvent(4500, TaskRunning, 2, "m-2"), taskEvent(8000, TaskEnded, 2, "m-2")), 0},
		"seen by two leaders":         {[]Event{first[0], taskEvent(2000, TaskRunning, 1, "m-1"), first[1]}, 0},
		"one final state, seen twice": {[]Event{finalState("done"), finalState("done")}, 0},
		"two final states":            {[]Event{finalState("done"), finalState("cancelled")}, 1},
	} {
		t.Run(name, func(t *testing.T) { require.Len(t, Check(test.events, 1000), test.want) })
	}
}
