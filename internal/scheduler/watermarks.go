package scheduler

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// A job's watermark is the number of its tasks that may ever have been asked for: a
// task is asked for only when a watermark above it is in the state service. So the
// next placer of the team knows which tasks can't be on any machine, and starts
// those at once, also while some machines are not accounted for. Many jobs'
// watermarks share a key. Jobs whose tasks should start within a time are marked
// as a whole when they are accepted: users wait for the same budget of changes.

// watermarkStep is by how many tasks a watermark is raised.
const watermarkStep = 256

type watermarks struct {
	stamp uint64 // 0: not there
	of    map[string]int
}

// WatermarkWrite is one key's new value, to be written on the condition of its stamp.
type WatermarkWrite struct {
	Team        string
	Key         string
	ModRevision uint64
	Watermarks  map[string]int
}

func watermarkPrefix(team string) string { return kvstore.WatermarkPrefix + url.PathEscape(team) + "/" }

// HandleWatermarkRecord takes a record of watermarks, as the replica shows it or as it was written.
// Older words than the newest known change nothing; nil means that it is gone.
func (d *Scheduler) HandleWatermarkRecord(key string, of map[string]int, stamp uint64) {
	if old := d.watermarks[key]; stamp < old.stamp {
		return
	}
	if of == nil {
		delete(d.watermarks, key)
		return
	}
	d.watermarks[key] = watermarks{stamp, of}
	for _, tm := range d.teams {
		if strings.HasPrefix(key, watermarkPrefix(tm.Name)) {
			for id, n := range of {
				if j := tm.jobs[id]; j != nil {
					j.watermark = max(j.watermark, n)
				}
			}
		}
	}
}

// watermarkOf gives a job's watermark on record.
func (d *Scheduler) watermarkOf(team string, j *jobs.Job) (n int) {
	if j.Watermarked {
		return j.Tasks
	}
	for key, r := range d.watermarks {
		if strings.HasPrefix(key, watermarkPrefix(team)) {
			n = max(n, r.of[j.ID])
		}
	}
	return n
}

// PlanWatermarks decides which watermarks to raise: of the jobs that go first, until
// enough can be asked for to fill a quarter of this team's part of the
// machines. Jobs that are not near their turn stay free for any next placer. A
// value takes at most so many bytes.
func (d *Scheduler) PlanWatermarks(now clock.Micros, most int) (out []WatermarkWrite) {
	raise := map[*team]map[string]int{}
	ahead := map[*team]int64{}
	for _, j := range d.schedulingOrder(now) {
		tm := j.team
		due := !j.hasStarted() && now >= j.acceptedAt+firstTaskDeadline-10*clock.Second
		if ahead[tm] > d.capacity.usableCPU/int64(4*len(d.teamConfigs))+64e6 && !due {
			continue
		}
		ahead[tm] += int64(len(j.queue)+max(0, j.watermark-j.nextTask)) * j.Need.CPU
		if j.nextTask < j.watermark || j.watermark >= j.Tasks {
			continue
		}
		to := j.Tasks
		if to > j.watermark+watermarkStep*3/2 {
			to = j.watermark + watermarkStep
		}
		ahead[tm] += int64(to-j.watermark) * j.Need.CPU
		if raise[tm] == nil {
			raise[tm] = map[string]int{}
		}
		raise[tm][j.ID] = to
	}
	for tm, up := range raise {
		out = append(out, d.watermarkWrites(tm, up, most)...)
	}
	slices.SortFunc(out, func(a, b WatermarkWrite) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// watermarkWrites puts raised watermarks where the jobs' watermarks are, or where there is room.
func (d *Scheduler) watermarkWrites(tm *team, up map[string]int, most int) (out []WatermarkWrite) {
	prefix := watermarkPrefix(tm.Name)
	rest := slices.Sorted(maps.Keys(up))
	for n := 0; len(rest) > 0; n++ {
		key := fmt.Sprintf("%s%d", prefix, n)
		old := d.watermarks[key]
		w := WatermarkWrite{Team: tm.Name, Key: key, ModRevision: old.stamp, Watermarks: map[string]int{}}
		size := 0
		for id, n := range old.of {
			if tm.jobs[id] != nil { // jobs that are over need no watermark
				w.Watermarks[id] = n
				size += len(id) + 12
			}
		}
		var over []string
		changed := false
		for _, id := range rest {
			if _, here := w.Watermarks[id]; !here {
				if size += len(id) + 12; size > most {
					over = append(over, id)
					continue
				}
			}
			w.Watermarks[id], changed = up[id], true
		}
		if changed {
			out = append(out, w)
		}
		rest = over
	}
	return out
}

// releaseFormerlyOffered lets the tasks that a former placer may have asked for be placed: all
// machines are accounted for, and those that are on none are known.
func (j *job) releaseFormerlyOffered() {
	j.awaitsAccounting = false
	var again []int
	for n := range j.offeredByFormer {
		if !j.isDone(n) && j.assignments[n] == nil {
			again = append(again, n)
		}
	}
	j.queue = append(again, j.queue...)
}
