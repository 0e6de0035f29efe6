package history

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is a rule that a history breaks.
type Violation struct {
	Job  string
	Task int32
	What string
}

// String tells what is wrong.
func (v Violation) String() string { return fmt.Sprintf("%s/%d: %s", v.Job, v.Task, v.What) }

// Check holds the rules against a history: no task runs on two machines at a time, and every job
// that is over has one final answer. Times of different controllers are good to so many
// milliseconds; shorter overlaps are not told. A history that begins late or lacks a controller shows less.
func Check(events []Event, skewMS int64) []Violation {
	list := slices.Clone(events)
	slices.SortStableFunc(list, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	out := checkFinalStates(list)
	return append(out, checkConcurrentRuns(list, skewMS)...)
}

// checkFinalStates finds jobs with more than one final answer.
func checkFinalStates(list []Event) (out []Violation) {
	phases := map[string]string{}
	for _, e := range list {
		if e.Kind != JobOver {
			continue
		}
		if was, ok := phases[e.Job]; ok && was != e.Note {
			out = append(out, Violation{Job: e.Job, What: "it is over as " + was + " and as " + e.Note})
		}
		phases[e.Job] = e.Note
	}
	return out
}

type taskKey struct {
	job  string
	task int32
}

type attemptKey struct {
	taskKey
	attempt uint64
	machine string
}

// attemptRun is one attempt on one machine.
type attemptRun struct {
	attemptKey
	startedMS, endedMS int64 // 0: not seen
}

// checkConcurrentRuns finds tasks that ran on two machines at a time.
func checkConcurrentRuns(list []Event, skewMS int64) (out []Violation) {
	runs := map[attemptKey]*attemptRun{}
	byTask := map[taskKey][]*attemptRun{}
	for _, e := range list {
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
	for task, all := range byTask {
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.overlaps(b, skewMS) {
					out = append(out, Violation{task.job, task.task, fmt.Sprintf("attempt %d on %s and attempt %d on %s ran at the same time",
						a.attempt, a.machine, b.attempt, b.machine)})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.What, b.What))
	})
	return out
}

// overlaps tells that two runs on different machines ran at the same time for longer than
// the clocks may differ. What has no end is not judged: its machine's end may not have been seen.
func (r *attemptRun) overlaps(other *attemptRun, skewMS int64) bool {
	if r.machine == other.machine || r.startedMS == 0 || other.startedMS == 0 || r.endedMS == 0 || other.endedMS == 0 {
		return false
	}
	return min(r.endedMS, other.endedMS)-max(r.startedMS, other.startedMS) > skewMS
}
