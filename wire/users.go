package wire

import "strings"

// Paths that users and the load balancer use. Below PathJobs, "/ID" is a job and "/ID/withdraw" its
// cancellation.
const (
	PathJobs  = "/api/jobs"
	PathReady = "/ready"
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// Phases of a job.
const (
	Pending   = "pending" // no task runs
	Running   = "running"
	Done      = "done"      // final: all tasks are done
	Cancelled = "cancelled" // final
)

// Priorities are the priorities, lowest first.
var Priorities = []string{"idle", "normal", "high", "production"}

// PriorityLevel returns the place of a priority in Priorities, -1 when it is unknown.
func PriorityLevel(priority string) int {
	for level, p := range Priorities {
		if p == priority {
			return level
		}
	}
	return -1
}

// Job is a submission: a job array of equal tasks that are independent of each other.
type Job struct {
	ID       string   `json:"id"`           // "job-" and digits, chosen by the user; a retry uses the same one
	Class    string   `json:"jobclass"`     // the settings say what is expected of each class
	Team     string   `json:"owner"`        // whose guarantee and limit apply
	Shape    string   `json:"shape"`        // "array"
	Priority string   `json:"rank"`         // one of Priorities
	Tasks    int      `json:"shards"`       // 1 to MaxTasks; they are numbered from 0
	CPUs     float64  `json:"cpus"`         // for each task
	GPUs     float64  `json:"accelerators"` // for each task
	MemGB    float64  `json:"mem_gb"`       // for each task
	Image    string   `json:"bundle"`       // that a machine needs before a task runs
	ImageGB  float64  `json:"size_gb"`      // size of the image
	Types    []string `json:"hulls"`        // machine types that are allowed; none: any
	Zone     string   `json:"yard"`         // the only zone that is allowed; "": any
	OneZone  bool     `json:"one_zone"`     // all tasks must be in one zone
	Spread   bool     `json:"spread"`       // at most half of the tasks, rounded up, may be in one zone
	Spot     bool     `json:"loaners"`      // spot instances are allowed
	// RuntimeEstimateS is the user's estimate of a task's run time, without the fetch of the image.
	RuntimeEstimateS float64 `json:"guess_s"`
	// CheckpointIntervalS is the run time between checkpoints; 0: the tasks take none, also when they are
	// stopped.
	CheckpointIntervalS float64 `json:"snap_every_s"`
	// CheckpointDurationS is how long a stopped task takes to checkpoint.
	CheckpointDurationS float64 `json:"snap_s"`
	// DeadlineS is when the job should be done, counted from its submission; nil: there is no deadline.
	DeadlineS *float64 `json:"due_s"`
}

// maxJobIDDigits bounds the digits of a job id.
const maxJobIDDigits = 40

// ValidJobID reports whether id has the form of a job id: "job-" and digits.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	return ok && digits != "" && len(digits) <= maxJobIDDigits && isDecimal(digits)
}

// isDecimal reports that s has no characters but decimal digits.
func isDecimal(s string) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// JobState is the answer to users about a job.
type JobState struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`    // tasks that are done
	Running int    `json:"running"` // tasks that run
}

// Error is the body of every rejection.
type Error struct {
	Error string `json:"error"`
	// Leader is the controller that a worker is to send its heartbeats to, in answers with status 421.
	Leader string `json:"steward,omitempty"`
}
