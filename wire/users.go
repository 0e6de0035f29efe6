package wire

import "strings"

// Paths for users and the load balancer. Users submit jobs to PathJobs, read a job's state at PathJobs +
// "/ID" and cancel the job at PathJobs + "/ID/withdraw". The load balancer probes PathReady. Operators' monitoring reads
// PathMetrics, in the Prometheus text format.
const (
	PathJobs    = "/api/jobs"
	PathReady   = "/ready"
	PathMetrics = "/metrics"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Phases of a job.
const (
	Pending   = "pending"   // no task runs and none is done yet, or the progress of the active job is not known at present
	Running   = "running"   // some tasks run or are done
	Done      = "done"      // final: all tasks are done
	Cancelled = "cancelled" // final: no task starts any more; those still running are being stopped
)

// Priorities lists the priorities of jobs, the lowest first.
var Priorities = []string{"idle", "normal", "high", "production"}

// PriorityLevel returns the index of a priority in Priorities, or -1 if it is unknown.
func PriorityLevel(priority string) int {
	for level, p := range Priorities {
		if p == priority {
			return level
		}
	}
	return -1
}

// Job is a user's submission: an array of identical tasks that run independently of each other.
type Job struct {
	ID       string   `json:"id"`           // "job-" and digits, chosen by the user; a retry of the submission uses the same id
	Class    string   `json:"jobclass"`     // job class, for which the settings name service objectives
	Team     string   `json:"owner"`        // team whose guarantee and limit apply
	Shape    string   `json:"shape"`        // always "array"
	Priority string   `json:"rank"`         // one of Priorities
	Tasks    int      `json:"shards"`       // number of tasks, 1 to MaxTasks; the tasks are numbered from 0
	CPUs     float64  `json:"cpus"`         // resource request of each task
	GPUs     float64  `json:"accelerators"` // resource request of each task
	MemGB    float64  `json:"mem_gb"`       // resource request of each task
	Image    string   `json:"bundle"`       // container image that a machine fetches before a task runs
	ImageGB  float64  `json:"size_gb"`      // size of the image
	Types    []string `json:"hulls"`        // allowed machine types; empty: any
	Zone     string   `json:"yard"`         // the only allowed zone; "": any
	OneZone  bool     `json:"one_zone"`     // all tasks must run in the same zone
	Spread   bool     `json:"spread"`       // at most half of the tasks, rounded up, may run in one zone
	Spot     bool     `json:"loaners"`      // tasks may run on spot instances
	// RuntimeEstimateS is the user's estimate of a task's run time in seconds, not counting the image fetch.
	RuntimeEstimateS float64 `json:"guess_s"`
	// CheckpointIntervalS is the run time between two checkpoints of a task, in seconds. With 0 the tasks take
	// no checkpoints, not even when they are stopped.
	CheckpointIntervalS float64 `json:"snap_every_s"`
	// CheckpointDurationS is how long a task takes to checkpoint when it is stopped, in seconds.
	CheckpointDurationS float64 `json:"snap_s"`
	// DeadlineS is the time in seconds from the job's submission until it should be done; nil: no deadline.
	DeadlineS *float64 `json:"due_s"`
}

// maxJobIDDigits is the maximum number of digits in a job id.
const maxJobIDDigits = 40

// ValidJobID reports whether id has the form of a job id: "job-" and digits.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	return ok && digits != "" && len(digits) <= maxJobIDDigits && isDecimal(digits)
}

// isDecimal reports whether s consists of decimal digits only.
func isDecimal(s string) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// JobState is the answer to a user's query about a job.
type JobState struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`   // Pending, Running, Done or Cancelled
	Done    int    `json:"done"`    // number of tasks that are done
	Running int    `json:"running"` // number of tasks that run
}

// Error is the body of every response that rejects a request.
type Error struct {
	Error string `json:"error"`
	// Leader is the controller to which the worker must send its heartbeats. It is set in responses with
	// status 421 (Misdirected Request).
	Leader string `json:"steward,omitempty"`
}
