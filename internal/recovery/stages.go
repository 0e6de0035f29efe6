// Package recovery is the plan by which work returns to a zone that was lost: in stages, each
// of which admits more, with a bound on what starts at a time. Progress decides when a stage is
// over, where the state of zones is decided; Gate admits work at each owner of machines.
// Both are plain code that takes the time.
package recovery

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Stage of a return. A stage admits the work of its own and of those before.
type Stage int

// Stages, in order.
const (
	Reconcile Stage = iota // every machine's tasks are settled against the jobs' records; nothing new
	Urgent                 // urgent work; a machine that was not seen at work yet gets one trial task
	Services               // other work, in the same way
	Cold                   // work that can wait
	Open                   // all is admitted: the return is over
)

var stageNames = [...]string{"reconcile", "urgent", "services", "cold", "open"}

// String is the stage's name.
func (s Stage) String() string {
	if s < Reconcile || s > Open {
		return fmt.Sprintf("stage %d", int(s))
	}
	return stageNames[s]
}

// StageOf gives the stage of a name.
func StageOf(name string) (Stage, bool) {
	for i, n := range stageNames {
		if n == name {
			return Stage(i), true
		}
	}
	return Open, false
}

// idlePriority and highPriority are levels of ranks as jobs have them.
const (
	idlePriority = 0
	highPriority = 2
)

// DefaultStage is the stage of a job by its rank and by whether it has a deadline: what is
// urgent by rank or has a deadline goes first, what is idle last.
func DefaultStage(rank int, deadline bool) Stage {
	switch {
	case rank >= highPriority || deadline && rank > idlePriority:
		return Urgent
	case rank > idlePriority:
		return Services
	}
	return Cold
}

// Bounds of the stages: whatever waits, a stage is over by then. Together they stay below the time
// for which work may wait while a machine that fits has room.
var maxDurations = [...]clock.Micros{
	Reconcile: 15 * clock.Second,
	Urgent:    20 * clock.Second,
	Services:  15 * clock.Second,
	Cold:      15 * clock.Second,
	Open:      0,
}

// MaxDuration is the longest that a stage lasts.
func (s Stage) MaxDuration() clock.Micros {
	if s < Reconcile || s > Open {
		return 0
	}
	return maxDurations[s]
}

// minStageDuration is how long a stage lasts at minStageDuration: what waits must have been told.
const minStageDuration = 2 * clock.Second

// Facts is what decides when a stage is over.
type Facts struct {
	Unsettled int           // machines that are heard and not accounted for
	Waiting   map[Stage]int // tasks that wait, by the stage that admits them
}

// Advance gives the stage that follows when a stage has lasted for so long: the same, or the next.
func Advance(s Stage, lasted clock.Micros, f Facts) Stage {
	if s >= Open {
		return Open
	}
	if lasted >= s.MaxDuration() {
		return s + 1
	}
	if lasted < minStageDuration {
		return s
	}
	switch s {
	case Reconcile:
		if f.Unsettled == 0 {
			return Urgent
		}
	case Urgent, Services:
		if f.Waiting[s] == 0 {
			return s + 1
		}
	case Cold:
		// Machines are warmed by trial tasks for as long as the stage lasts.
	}
	return s
}
