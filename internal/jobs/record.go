package jobs

import (
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Record is the value of an active job's key, ml/a/ID. Golden tests check its encoded form.
type Record struct {
	wire.Job
	AcceptedMS int64 `json:"accepted_ms"` // wall clock time at the accepting controller, in Unix milliseconds
	// Watermarked jobs may be placed without a watermark of their own in the key-value store: from
	// acceptance on, each of their tasks counts as possibly assigned.
	Watermarked bool `json:"marked,omitempty"`
	// EndPhase is the phase that the job ended in, or empty. It is used only where a transaction takes a
	// single change; elsewhere a Final replaces the record.
	EndPhase string `json:"over,omitempty"`
}

// FinalState returns the final state of a job, and whether its record says that the job has ended.
func (r *Record) FinalState() (f Final, ended bool) {
	return Final{Phase: r.EndPhase, Team: r.Team, Tasks: r.Tasks}, r.EndPhase != ""
}

// Job is an accepted job that is not final. It is immutable: a new record makes a new Job.
type Job struct {
	Record
	ModRevision   uint64            // of its record; grows in the order of acceptance
	Need          resources.Amounts // resource request of one task
	PriorityLevel int               // index of its priority in wire.Priorities
}

// New makes an active job from its record.
func New(record Record, modRevision uint64) *Job {
	return &Job{
		Record:        record,
		ModRevision:   modRevision,
		Need:          resources.Request(record.CPUs, record.GPUs, record.MemGB),
		PriorityLevel: wire.PriorityLevel(record.Priority),
	}
}

// stopGraceMarginS is the time, in seconds, that a stopped task gets in addition to the checkpoint duration
// that its user states, so that a checkpoint of exactly that duration completes.
const stopGraceMarginS = 0.1

// StopGraceS returns how many seconds a task of the job has for a checkpoint when it is stopped. It is 0
// for a job without checkpoints.
func (j *Job) StopGraceS() float64 {
	if j.CheckpointIntervalS > 0 {
		return j.CheckpointDurationS + stopGraceMarginS
	}
	return 0
}

// Final is the stored final state of a job, the value of its key ml/f/ID.
type Final struct {
	Phase string `json:"phase"` // wire.Done or wire.Cancelled
	Team  string `json:"team"`
	Tasks int    `json:"tasks"`
}

// State returns the state that users are told of a final job.
func (f Final) State(id string) wire.JobState {
	s := wire.JobState{ID: id, Phase: f.Phase}
	if f.Phase == wire.Done {
		s.Done = f.Tasks
	}
	return s
}
