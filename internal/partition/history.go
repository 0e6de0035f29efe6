package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// recordHistory adds an event to the history when a task starts running or exits.
func (s *State) recordHistory(m *machine, id peer.TaskID, phase, cause string) {
	if s.history == nil {
		return
	}
	e := history.Event{Kind: history.TaskRunning, Job: id.Job, Task: int32(id.N), Attempt: id.Attempt, Machine: m.id, Zone: m.Zone}
	switch phase {
	case wire.TaskExited:
		e.Kind, e.Note = history.TaskEnded, cause
	case wire.TaskRunning:
	default:
		return
	}
	s.history.Add(e)
}
