// Package recovery decides how work returns to a zone that was lost: in stages, each of which admits more work, and
// with a bound on concurrent task starts. It does no I/O and takes the time as a parameter.
//
//	Reconcile ------> Urgent ------> Services ------> Cold ------> Open
//	  every machine     no urgent      no other         15 s         all is
//	  accounted for     task waits     task waits                    admitted
//	  (15 s at most)    (20 s)         (15 s)
//
// A stage ends when the condition below it holds, but not before it has lasted two seconds, and at the latest at the
// bound in parentheses. Advance makes this decision for package zone. A Gate at each partition leader (package
// partition) admits work by the present stage; schedulers use a Gate too.
//
// Invariants:
//   - Every stage is bounded, and a Gate that is not notified of the end of a stage opens by itself, so that a
//     zone never stays closed unless operators hold its return.
//   - The bounds of all stages together stay below 90 s, the longest that work may wait while a suitable machine has
//     free capacity.
package recovery

import (
	"fmt"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Stage is a stage of a return. It admits its own work and that of all stages before it.
type Stage int

// Stages of a return, in order.
const (
	Reconcile Stage = iota // the tasks on each machine are accounted for against the jobs' records; no work is admitted
	Urgent                 // urgent work; a machine on which no task has been seen running gets one trial task first
	Services               // other work that should not wait long, with trial tasks too
	Cold                   // work that can wait, with trial tasks too
	Open                   // all work without restrictions: the return is over
)

var stageNames = [...]string{"reconcile", "urgent", "services", "cold", "open"}

// maxDurations are the bounds on the durations of the stages. A stage ends at its bound although its work still waits.
// Together they stay below the longest time that work may wait while a suitable machine has free capacity.
var maxDurations = [...]clock.Micros{
	Reconcile: 15 * clock.Second,
	Urgent:    20 * clock.Second,
	Services:  15 * clock.Second,
	Cold:      15 * clock.Second,
	Open:      0,
}

// minStageDuration is the shortest duration of a stage. By then the schedulers have reported the waiting tasks, without
// which a stage would seem to be done.
const minStageDuration = 2 * clock.Second

// String returns the stage's name, or its number if there is no such stage.
func (s Stage) String() string {
	if !s.valid() {
		return fmt.Sprintf("stage %d", int(s))
	}
	return stageNames[s]
}

// valid reports whether there is such a stage. A number read from a record may stand for no stage.
func (s Stage) valid() bool { return s >= Reconcile && s <= Open }

// StageOf returns the stage with a name, and false if there is none.
func StageOf(name string) (Stage, bool) {
	if i := slices.Index(stageNames[:], name); i >= 0 {
		return Stage(i), true
	}
	return Open, false
}

// Priority levels of jobs, as wire.PriorityLevel returns them.
const (
	idlePriority = 0
	highPriority = 2
)

// DefaultStage returns the stage that admits a job of a priority level: Urgent for high priorities, and for normal
// priority with a deadline; Services for other jobs of normal priority; Cold for idle priority.
func DefaultStage(priority int, deadline bool) Stage {
	switch {
	case priority >= highPriority || deadline && priority > idlePriority:
		return Urgent
	case priority > idlePriority:
		return Services
	}
	return Cold
}

// MaxDuration returns the bound on a stage's duration, or 0 if there is no such stage.
func (s Stage) MaxDuration() clock.Micros {
	if !s.valid() {
		return 0
	}
	return maxDurations[s]
}

// Progress is the state of the fleet by which Advance decides whether a stage is over.
type Progress struct {
	Unaccounted int           // number of reachable machines in the zone that are not accounted for
	Waiting     map[Stage]int // number of waiting tasks, by the stage that admits them
}

// Advance returns the next stage if stage s, which has lasted for the given time, is over, and s otherwise.
func Advance(s Stage, lasted clock.Micros, p Progress) Stage {
	switch {
	case s >= Open:
		return Open
	case lasted >= s.MaxDuration():
		return s + 1
	case lasted < minStageDuration:
		return s
	case s.done(p):
		return s + 1
	}
	return s
}

// done reports whether a stage's purpose is met: all machines are accounted for, or no task of the stage waits.
func (s Stage) done(p Progress) bool {
	switch s {
	case Reconcile:
		return p.Unaccounted == 0
	case Urgent, Services:
		return p.Waiting[s] == 0
	case Cold, Open:
		return false // Cold always lasts until its bound, so that trial tasks run on further machines
	}
	return false
}
