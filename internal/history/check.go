package history

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation describes how a job or a task violates an invariant, according to a history.
type Violation struct {
	Job  string
	Task int32
	What string
}

// String returns the task and the description of the violation.
func (v Violation) String() string { return fmt.Sprintf("%s/%d: %s", v.Job, v.Task, v.What) }

// Check returns the violations of two invariants: no task runs on two machines at a time, and a finished job has
// one final state. The clocks of two controllers may differ by skewMS milliseconds, so Check does not report runs
// that overlap by no more than that. It can't find violations whose events the history lacks, for example because a
// controller's events are missing or its oldest ones were overwritten.
func Check(events []Event, skewMS int64) []Violation {
	ordered := slices.Clone(events)
	slices.SortStableFunc(ordered, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return append(checkFinalStates(ordered), checkConcurrentRuns(ordered, skewMS)...)
}

// checkFinalStates returns a violation for each final state of a job that differs from the one recorded before it.
func checkFinalStates(ordered []Event) (out []Violation) {
	phases := map[string]string{}
	for _, e := range ordered {
		if e.Kind != JobFinished {
			continue
		}
		if earlier, ok := phases[e.Job]; ok && earlier != e.Note {
			out = append(out, Violation{Job: e.Job, What: "it is over as " + earlier + " and as " + e.Note})
		}
		phases[e.Job] = e.Note
	}
	return out
}

// taskKey identifies a task.
type taskKey struct {
	job  string
	task int32
}

// attemptKey identifies an attempt of a task on a machine.
type attemptKey struct {
	taskKey
	attempt uint64
	machine string
}

// attemptRun holds the start and the end of an attempt on a machine.
type attemptRun struct {
	attemptKey
	startedMS, endedMS int64 // milliseconds since the Unix epoch; 0 if the history has no such event
}

// checkConcurrentRuns returns a violation for each two attempts of a task that ran on different machines at a time.
func checkConcurrentRuns(ordered []Event, skewMS int64) (out []Violation) {
	for task, runs := range collectRuns(ordered) {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.overlaps(b, skewMS) {
					what := fmt.Sprintf("attempt %d on %s and attempt %d on %s ran at the same time",
						a.attempt, a.machine, b.attempt, b.machine)
					out = append(out, Violation{Job: task.job, Task: task.task, What: what})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.What, b.What))
	})
	return out
}

// collectRuns returns the attempts of each task in the order of their first events. Several leaders may record the
// same attempt: its start is its first running event, and its end is its last ended event.
func collectRuns(ordered []Event) map[taskKey][]*attemptRun {
	runs := map[attemptKey]*attemptRun{}
	byTask := map[taskKey][]*attemptRun{}
	for _, e := range ordered {
		if e.Kind != TaskRunning && e.Kind != TaskEnded {
			continue
		}
		task := taskKey{e.Job, e.Task}
		key := attemptKey{task, e.Attempt, e.Machine}
		r := runs[key]
		if r == nil {
			r = &attemptRun{attemptKey: key}
			runs[key] = r
			byTask[task] = append(byTask[task], r)
		}
		if e.Kind == TaskRunning && r.startedMS == 0 {
			r.startedMS = e.AtMS
		}
		if e.Kind == TaskEnded {
			r.endedMS = e.AtMS
		}
	}
	return byTask
}

// overlaps reports whether two attempts ran on different machines at the same time for longer than skewMS. It returns
// false if the start or the end of an attempt is not known: an attempt ends with the loss of its machine, and the
// history may lack that event.
func (r *attemptRun) overlaps(other *attemptRun, skewMS int64) bool {
	if r.machine == other.machine || r.startedMS == 0 || other.startedMS == 0 || r.endedMS == 0 || other.endedMS == 0 {
		return false
	}
	return min(r.endedMS, other.endedMS)-max(r.startedMS, other.startedMS) > skewMS
}
