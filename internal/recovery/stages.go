// Package recovery is the plan by which work returns to a zone that was lost: in stages, each
// of which admits more, with a bound on what starts at a time. It is plain code that takes the time.
//
//	Reconcile ------> Urgent ------> Services ------> Cold ------> Open
//	  every machine     no urgent      no other         15 s         all is
//	  accounted for     task waits     task waits                    admitted
//	  (15 s at most)    (20 s)         (15 s)
//
// A stage ends when what stands below it holds, not before it has lasted two seconds, and at its
// bound at the latest. Advance says so where the state of zones is decided (package zone). A Gate
// admits work by the stage at each partition leader (package partition), and at each scheduler.
//
// Invariants:
//   - Stages are bounded, and a Gate opens by itself where it isn't notified of a stage's end: a zone
//     never stays closed, except by operators' hold.
//   - All bounds together stay below the 90 s for which work may wait while a machine that fits has room.
package recovery

import (
	"fmt"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Stage of a return. A stage admits the work of its own and of those before.
type Stage int

// Stages, in order.
const (
	Reconcile Stage = iota // every machine's tasks are accounted for against the jobs' records; nothing new
	Urgent                 // urgent work; a machine on which no task was seen running yet gets one trial task
	Services               // other work, in the same way
	Cold                   // work that can wait
	Open                   // all is admitted: the return is over
)

var stageNames = [...]string{"reconcile", "urgent", "services", "cold", "open"}

// maxDurations are the bounds of the stages: whatever waits, a stage is over by then. Together they stay
// below the time for which work may wait while a machine that fits has room.
var maxDurations = [...]clock.Micros{
	Reconcile: 15 * clock.Second,
	Urgent:    20 * clock.Second,
	Services:  15 * clock.Second,
	Cold:      15 * clock.Second,
	Open:      0,
}

// minStageDuration is how long a stage lasts at least: what waits must have been reported by then.
const minStageDuration = 2 * clock.Second

// String is the stage's name.
func (s Stage) String() string {
	if !s.known() {
		return fmt.Sprintf("stage %d", int(s))
	}
	return stageNames[s]
}

// known reports whether there is such a stage: the number may come from a record.
func (s Stage) known() bool { return s >= Reconcile && s <= Open }

// StageOf returns the stage of a name.
func StageOf(name string) (Stage, bool) {
	if i := slices.Index(stageNames[:], name); i >= 0 {
		return Stage(i), true
	}
	return Open, false
}

// Levels of priorities, as jobs have them.
const (
	idlePriority = 0
	highPriority = 2
)

// DefaultStage is the stage of a job by its priority's level and by whether it has a deadline: what is
// urgent by priority or has a deadline goes first, what is idle last.
func DefaultStage(priority int, deadline bool) Stage {
	switch {
	case priority >= highPriority || deadline && priority > idlePriority:
		return Urgent
	case priority > idlePriority:
		return Services
	}
	return Cold
}

// MaxDuration is the longest that a stage lasts.
func (s Stage) MaxDuration() clock.Micros {
	if !s.known() {
		return 0
	}
	return maxDurations[s]
}

// Facts is what decides when a stage is over.
type Facts struct {
	Unsettled int           // machines that are reachable and not accounted for
	Waiting   map[Stage]int // tasks that wait, by the stage that admits them
}

// Advance returns the stage that follows when a stage has lasted for so long: the same, or the next.
func Advance(s Stage, lasted clock.Micros, f Facts) Stage {
	switch {
	case s >= Open:
		return Open
	case lasted >= s.MaxDuration():
		return s + 1
	case lasted < minStageDuration:
		return s
	case s.done(f):
		return s + 1
	}
	return s
}

// done reports whether what a stage is for is done.
func (s Stage) done(f Facts) bool {
	switch s {
	case Reconcile:
		return f.Unsettled == 0
	case Urgent, Services:
		return f.Waiting[s] == 0
	case Cold, Open:
		return false // trial tasks warm machines for as long as Cold lasts
	}
	return false
}
