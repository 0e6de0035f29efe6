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

// This file has the decisions about watermarks; watermarkWriter does the I/O.
//
// A job's watermark bounds the tasks that may have been assigned: a task is assigned only after a watermark above its number is
// in the key-value store. The team's next leader therefore knows which tasks can't be on any machine, and starts those
// immediately, while the others wait until every machine is accounted for. Without the watermark it could start a task that a
// former leader has started too (docs/design.md, "Why the rules hold", number 7).
//
// The watermarks of many jobs share a record. The acceptance record of a job with few tasks, or whose tasks should start within
// a given time, watermarks all its tasks (jobs.Record.Watermarked): writes of watermarks take from the write budget that users
// wait for.

const (
	// watermarkStep is the number of tasks by which a watermark is raised, unless it is raised to the last task.
	watermarkStep = 256
	// watermarkLeadTime is how long before firstTaskDeadline a job's watermark is raised whatever the job's place in the queue.
	watermarkLeadTime = 10 * clock.Second
	// aheadDivisor and extraAheadCPU determine how much work each team should be able to assign without another watermark: its
	// equal part of the usable CPUs divided by aheadDivisor, plus extraAheadCPU, in micro-CPUs, for small fleets.
	aheadDivisor  = 4
	extraAheadCPU = 64e6
	// watermarkEntryBytes is how many bytes a job takes in a record in addition to its id.
	watermarkEntryBytes = 12
)

// watermarkRecord is the newest known version of a watermark record.
type watermarkRecord struct {
	modRevision uint64         // 0: there is no such record
	tasksByJob  map[string]int // watermarks by job id
}

// WatermarkWrite is a new value of a watermark record, to be written on the condition that its mod revision has not changed.
type WatermarkWrite struct {
	Team        string
	Key         string
	ModRevision uint64
	Watermarks  map[string]int
}

func watermarkPrefix(team string) string { return kvstore.WatermarkPrefix + url.PathEscape(team) + "/" }

// HandleWatermarkRecord applies a watermark record that the replica shows or that this scheduler has written; nil means that it
// was deleted. A record that is older than the newest known version changes nothing.
func (s *Scheduler) HandleWatermarkRecord(key string, tasksByJob map[string]int, modRevision uint64) {
	if old := s.watermarks[key]; modRevision < old.modRevision {
		return
	}
	if tasksByJob == nil {
		delete(s.watermarks, key)
		return
	}
	s.watermarks[key] = watermarkRecord{modRevision, tasksByJob}
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

// watermarkOf returns a job's watermark according to its acceptance record and the watermark records.
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

// PlanWatermarks decides which watermarks to raise: those of the jobs that are first in the queue, until the tasks that may be
// assigned fill a quarter of the team's part of the usable CPUs (see aheadDivisor). The watermarks of later jobs are not raised
// yet, so that a next leader of the team could start their tasks without waiting. A record's value takes at most maxBytes.
func (s *Scheduler) PlanWatermarks(now clock.Micros, maxBytes int) (out []WatermarkWrite) {
	plan := watermarkPlan{
		limitCPU: s.capacity.usableCPU/int64(aheadDivisor*max(1, len(s.teamConfigs))) + extraAheadCPU,
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
	limitCPU int64                    // micro-CPUs of the tasks that each team should be able to assign
	aheadCPU map[*team]int64          // micro-CPUs of the tasks that it can assign, of the jobs considered so far
	raised   map[*team]map[string]int // new watermarks by job id
}

// consider raises a job's watermark if all its tasks below the watermark have been queued, and either its team can't assign
// enough yet or the job's first task is nearly due.
func (p *watermarkPlan) consider(j *job, now clock.Micros) {
	firstTaskDue := !j.hasStarted() && now >= j.acceptedAt+firstTaskDeadline-watermarkLeadTime
	if p.aheadCPU[j.team] > p.limitCPU && !firstTaskDue {
		return
	}
	p.aheadCPU[j.team] += int64(len(j.queue)+max(0, j.watermark-j.nextTask)) * j.Need.CPU
	if j.nextTask < j.watermark || j.watermark >= j.Tasks {
		return
	}
	raised := j.Tasks
	if raised > j.watermark+watermarkStep*3/2 { // a small remainder is not worth a separate write
		raised = j.watermark + watermarkStep
	}
	p.aheadCPU[j.team] += int64(raised-j.watermark) * j.Need.CPU
	if p.raised[j.team] == nil {
		p.raised[j.team] = map[string]int{}
	}
	p.raised[j.team][j.ID] = raised
}

// watermarkWrites puts raised watermarks into the records that have the jobs' watermarks already, or else into the first record
// with room.
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

// ofActiveJobs copies the watermarks of the team's active jobs; the other jobs are over and need none.
func (w watermarkRecord) ofActiveJobs(tm *team) map[string]int {
	out := map[string]int{}
	for id, n := range w.tasksByJob {
		if tm.jobs[id] != nil {
			out[id] = n
		}
	}
	return out
}

// raise sets the watermarks of the jobs that are in the record or fit into it, and returns the ids of the other jobs.
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

// queueAssignedByFormer queues the tasks that a former leader of the team may have assigned. It is called once all machines are
// accounted for, when the tasks that run on any of them are known and need not be queued.
func (j *job) queueAssignedByFormer() {
	j.awaitsAccounting = false
	var released []int
	for n := range j.assignedByFormer {
		if !j.isDone(n) && j.assignments[n] == nil {
			released = append(released, n)
		}
	}
	j.queue = append(released, j.queue...)
}
