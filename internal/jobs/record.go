package jobs

import (
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Record is the value of an active job's key, ml/a/ID. Its encoded form is kept by the golden tests.
type Record struct {
	wire.Job
	AcceptedMS int64 `json:"accepted_ms"` // time of day at the accepting controller, in milliseconds
	// Watermarked jobs may be placed without a watermark of their own: each of their tasks
	// counts as assigned from the acceptance on.
	Watermarked bool `json:"marked,omitempty"`
	// EndPhase is the phase that the job ended in. Only where a transaction takes a
	// single change does the end stand here: elsewhere the record is replaced by a Final.
	EndPhase string `json:"over,omitempty"`
}

// End is the final state of a job whose record says that it has ended.
func (r *Record) End() (f Final, ended bool) {
	return Final{Phase: r.EndPhase, Team: r.Team, Tasks: r.Tasks}, r.EndPhase != ""
}

// Job is an accepted job that is not final. It is never changed: a new record makes a new Job.
type Job struct {
	Record
	ModRevision   uint64            // of its record: grows with the order of acceptance
	Need          resources.Amounts // resource request of one task
	PriorityLevel int               // place of its priority in wire.Priorities
}

// New makes a job from its record.
func New(record Record, modRevision uint64) *Job {
	return &Job{
		Record:        record,
		ModRevision:   modRevision,
		Need:          resources.Request(record.CPUs, record.GPUs, record.MemGB),
		PriorityLevel: wire.PriorityLevel(record.Priority),
	}
}

// stopGraceMarginS is what a task gets to stop beyond the checkpoint duration that its user names, in
// seconds, so that a checkpoint that takes just that long is complete.
const stopGraceMarginS = 0.1

// StopGraceS is how many seconds a task of the job has to checkpoint when it is stopped; 0 for a job that
// takes no checkpoints.
func (j *Job) StopGraceS() float64 {
	if j.CheckpointIntervalS > 0 {
		return j.CheckpointDurationS + stopGraceMarginS
	}
	return 0
}

// Final is the durable final state of a job, the value of ml/f/ID.
type Final struct {
	Phase string `json:"phase"` // wire.Done or wire.Cancelled
	Team  string `json:"team"`
	Tasks int    `json:"tasks"`
}

// State is the answer to users about a final job.
func (f Final) State(id string) wire.JobState {
	s := wire.JobState{ID: id, Phase: f.Phase}
	if f.Phase == wire.Done {
		s.Done = f.Tasks
	}
	return s
}
