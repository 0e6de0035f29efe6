package placer

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/state"
)

// A job's mark is the number of its tasks that may ever have been asked for: a
// task is asked for only when a mark above it is in the state service. So the
// next placer of the team knows which tasks can't be on any machine, and starts
// those at once, also while some machines are not accounted for. Many jobs'
// marks share a key. Jobs whose tasks should start within a time are marked
// as a whole when they are accepted: users wait for the same budget of changes.

// markStep is by how many tasks a mark is raised.
const markStep = 256

type marks struct {
	stamp uint64 // 0: not there
	of    map[string]int
}

// MarkWrite is one key's new value, to be written on the condition of its stamp.
type MarkWrite struct {
	Team  string
	Key   string
	Stamp uint64
	Marks map[string]int
}

func markPrefix(team string) string { return state.Marks + url.PathEscape(team) + "/" }

// Marks takes a record of marks, as the replica shows it or as it was written.
// Older words than the newest known change nothing; nil means that it is gone.
func (d *Desk) Marks(key string, of map[string]int, stamp uint64) {
	if old := d.marks[key]; stamp < old.stamp {
		return
	}
	if of == nil {
		delete(d.marks, key)
		return
	}
	d.marks[key] = marks{stamp, of}
	for _, tm := range d.teams {
		if strings.HasPrefix(key, markPrefix(tm.Name)) {
			for id, n := range of {
				if j := tm.jobs[id]; j != nil {
					j.mark = max(j.mark, n)
				}
			}
		}
	}
}

// markOf gives a job's mark on record.
func (d *Desk) markOf(team string, j *jobs.Job) (n int) {
	if j.Marked {
		return j.Tasks
	}
	for key, r := range d.marks {
		if strings.HasPrefix(key, markPrefix(team)) {
			n = max(n, r.of[j.ID])
		}
	}
	return n
}

// PlanMarks decides which marks to raise: of the jobs that go first, until
// enough can be asked for to fill a quarter of this team's part of the
// machines. Jobs that are not near their turn stay free for any next placer. A
// value takes at most so many bytes.
func (d *Desk) PlanMarks(now clock.Micros, most int) (out []MarkWrite) {
	raise := map[*team]map[string]int{}
	ahead := map[*team]int64{}
	for _, j := range d.order(now) {
		tm := j.team
		due := !j.begun() && now >= j.since+beginWithin-10*clock.Second
		if ahead[tm] > d.usable/int64(4*len(d.known))+64e6 && !due {
			continue
		}
		ahead[tm] += int64(len(j.queue)+max(0, j.mark-j.next)) * j.Need.CPU
		if j.next < j.mark || j.mark >= j.Tasks {
			continue
		}
		to := j.Tasks
		if to > j.mark+markStep*3/2 {
			to = j.mark + markStep
		}
		ahead[tm] += int64(to-j.mark) * j.Need.CPU
		if raise[tm] == nil {
			raise[tm] = map[string]int{}
		}
		raise[tm][j.ID] = to
	}
	for tm, up := range raise {
		out = append(out, d.markWrites(tm, up, most)...)
	}
	slices.SortFunc(out, func(a, b MarkWrite) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// markWrites puts raised marks where the jobs' marks are, or where there is room.
func (d *Desk) markWrites(tm *team, up map[string]int, most int) (out []MarkWrite) {
	prefix := markPrefix(tm.Name)
	rest := slices.Sorted(maps.Keys(up))
	for n := 0; len(rest) > 0; n++ {
		key := fmt.Sprintf("%s%d", prefix, n)
		old := d.marks[key]
		w := MarkWrite{Team: tm.Name, Key: key, Stamp: old.stamp, Marks: map[string]int{}}
		size := 0
		for id, n := range old.of {
			if tm.jobs[id] != nil { // jobs that are over need no mark
				w.Marks[id] = n
				size += len(id) + 12
			}
		}
		var over []string
		changed := false
		for _, id := range rest {
			if _, here := w.Marks[id]; !here {
				if size += len(id) + 12; size > most {
					over = append(over, id)
					continue
				}
			}
			w.Marks[id], changed = up[id], true
		}
		if changed {
			out = append(out, w)
		}
		rest = over
	}
	return out
}

// unpark lets the tasks that a former placer may have asked for be placed: all
// machines are accounted for, and those that are on none are known.
func (j *job) unpark() {
	j.parked = false
	var again []int
	for n := range j.former {
		if !j.isDone(n) && j.bound[n] == nil {
			again = append(again, n)
		}
	}
	j.queue = append(again, j.queue...)
}
