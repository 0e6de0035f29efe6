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

// The decisions about watermarks; watermarkWriter does the I/O.
//
// A job's watermark is the number of its tasks that may ever have been assigned: a task is assigned only when a watermark above
// it is in the key-value store. So the next scheduler of the team knows which tasks can't be on any machine, and starts those
// immediately, also while some machines are unaccounted (docs/design.md, "Why the rules hold", 7). Many jobs' watermarks share
// a key. Jobs whose tasks should start within a time are watermarked as a whole when they are accepted: users wait for the same
// budget of changes.

const (
	// watermarkStep is by how many tasks a watermark is raised.
	watermarkStep = 256
	// watermarkLead is how long before a job's first task becomes due its watermark is raised whatever its turn.
	watermarkLead = 10 * clock.Second
	// aheadShare is the part of this team's share of the usable CPUs that is to be covered by watermarks ahead of the tasks'
	// turn, one in so many; aheadCPU is added, in millionths of a CPU, for small fleets.
	aheadShare = 4
	aheadCPU   = 64e6
	// watermarkEntryBytes is what a job takes of a record beside its id.
	watermarkEntryBytes = 12
)

// watermarks is a record of watermarks as last known.
type watermarks struct {
	modRevision uint64         // 0: there is no such record
	tasksByJob  map[string]int // watermarks by job id
}

// WatermarkWrite is one key's new value, to be written on the condition of its mod revision.
type WatermarkWrite struct {
	Team        string
	Key         string
	ModRevision uint64
	Watermarks  map[string]int
}

func watermarkPrefix(team string) string { return kvstore.WatermarkPrefix + url.PathEscape(team) + "/" }

// HandleWatermarkRecord takes a record of watermarks, as the replica shows it or as it was written; nil means that it is gone.
// What is older than the newest known changes nothing.
func (s *Scheduler) HandleWatermarkRecord(key string, tasksByJob map[string]int, modRevision uint64) {
	if old := s.watermarks[key]; modRevision < old.modRevision {
		return
	}
	if tasksByJob == nil {
		delete(s.watermarks, key)
		return
	}
	s.watermarks[key] = watermarks{modRevision, tasksByJob}
	for _, tm := range s.teams {
		if strings.HasPrefix(key, watermarkPrefix(tm.Name)) {
			for id, n := range tasksByJob {
				if j := tm.jobs[id]; j != nil {
					j.watermark = max(j.watermark, n)
				}
			}
		}
	}
}

// watermarkOf returns a job's watermark on record.
func (s *Scheduler) watermarkOf(team string, j *jobs.Job) (n int) {
	if j.Watermarked {
		return j.Tasks
	}
	for key, record := range s.watermarks {
		if strings.HasPrefix(key, watermarkPrefix(team)) {
			n = max(n, record.tasksByJob[j.ID])
		}
	}
	return n
}

// PlanWatermarks decides which watermarks to raise: those of the jobs that go first, until what may be assigned fills a quarter
// of this team's part of the usable CPUs. Jobs that are not near their turn stay free for any next scheduler. A value takes
// at most maxBytes.
func (s *Scheduler) PlanWatermarks(now clock.Micros, maxBytes int) (out []WatermarkWrite) {
	plan := watermarkPlan{
		limitCPU: s.capacity.usableCPU/int64(aheadShare*max(1, len(s.teamConfigs))) + aheadCPU,
		aheadCPU: map[*team]int64{},
		raised:   map[*team]map[string]int{},
	}
	for _, j := range s.schedulingOrder(now) {
		plan.consider(j, now)
	}
	for tm, raised := range plan.raised {
		out = append(out, s.watermarkWrites(tm, raised, maxBytes)...)
	}
	slices.SortFunc(out, func(a, b WatermarkWrite) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// watermarkPlan collects the watermarks to raise while jobs are considered in the order of the queue.
type watermarkPlan struct {
	limitCPU int64                    // how much of each team is to be covered ahead
	aheadCPU map[*team]int64          // how much is, by the jobs considered so far
	raised   map[*team]map[string]int // new watermarks by job id
}

// consider raises a job's watermark if all its tasks below it are queued and its team has not enough ahead.
func (p *watermarkPlan) consider(j *job, now clock.Micros) {
	firstTaskDue := !j.hasStarted() && now >= j.acceptedAt+firstTaskDeadline-watermarkLead
	if p.aheadCPU[j.team] > p.limitCPU && !firstTaskDue {
		return
	}
	p.aheadCPU[j.team] += int64(len(j.queue)+max(0, j.watermark-j.nextTask)) * j.Need.CPU
	if j.nextTask < j.watermark || j.watermark >= j.Tasks {
		return
	}
	raised := j.Tasks
	if raised > j.watermark+watermarkStep*3/2 { // a small rest is not worth a write of its own
		raised = j.watermark + watermarkStep
	}
	p.aheadCPU[j.team] += int64(raised-j.watermark) * j.Need.CPU
	if p.raised[j.team] == nil {
		p.raised[j.team] = map[string]int{}
	}
	p.raised[j.team][j.ID] = raised
}

// watermarkWrites puts raised watermarks into the records that hold the jobs' watermarks, or into the first that has room.
func (s *Scheduler) watermarkWrites(tm *team, raised map[string]int, maxBytes int) (out []WatermarkWrite) {
	remaining := slices.Sorted(maps.Keys(raised))
	for n := 0; len(remaining) > 0; n++ {
		key := fmt.Sprintf("%s%d", watermarkPrefix(tm.Name), n)
		write := WatermarkWrite{Team: tm.Name, Key: key, ModRevision: s.watermarks[key].modRevision}
		write.Watermarks = s.watermarks[key].ofActiveJobs(tm)
		before := len(remaining)
		if remaining = write.raise(raised, remaining, maxBytes); len(remaining) < before {
			out = append(out, write)
		}
	}
	return out
}

// ofActiveJobs copies the watermarks of jobs that are active; those that are over need none.
func (w watermarks) ofActiveJobs(tm *team) map[string]int {
	out := map[string]int{}
	for id, n := range w.tasksByJob {
		if tm.jobs[id] != nil {
			out[id] = n
		}
	}
	return out
}

// raise sets the watermarks of the jobs that the record holds, and of those that it has room for; it gives the other ids.
func (w *WatermarkWrite) raise(raised map[string]int, ids []string, maxBytes int) (remaining []string) {
	size := 0
	for id := range w.Watermarks {
		size += len(id) + watermarkEntryBytes
	}
	for _, id := range ids {
		if _, held := w.Watermarks[id]; !held {
			if size += len(id) + watermarkEntryBytes; size > maxBytes {
				remaining = append(remaining, id)
				continue
			}
		}
		w.Watermarks[id] = raised[id]
	}
	return remaining
}

// releaseFormerlyOffered queues the tasks that a former scheduler may have assigned: all machines are accounted, and the tasks
// that run on one are known.
func (j *job) releaseFormerlyOffered() {
	j.awaitsAccounting = false
	var released []int
	for n := range j.offeredByFormer {
		if !j.isDone(n) && j.assignments[n] == nil {
			released = append(released, n)
		}
	}
	j.queue = append(released, j.queue...)
}
