package wire

import (
	"fmt"
	"strings"
)

// Paths between controllers and workers. Workers send heartbeats to a controller at PathHeartbeat. A controller
// sends commands to a worker's address at PathOrders, and checks at PathShow whether the worker answers.
const (
	PathHeartbeat = "/v1/report"
	PathOrders    = "/orders"
	PathShow      = "/show"
)

// Phases of a task on a machine.
const (
	TaskFetching      = "fetching" // the machine fetches the task's image
	TaskRunning       = "running"
	TaskCheckpointing = "saving" // the task was stopped and writes its checkpoint
	TaskExited        = "exited" // the task has ended; the worker reports it until it gets a forget command
)

// Causes for which a task has exited.
const (
	CauseDone    = "done"    // the task completed
	CauseStopped = "stopped" // a stop command ended the task
	CauseError   = "error"   // the task failed, in most cases because the machine is faulty
	CauseNoRoom  = "no_room" // the start was rejected: the machine lacks free resources
	CauseBusy    = "busy"    // the start was rejected: another attempt of the task is on the machine
	CauseNoSuch  = "no_such" // the start was rejected: there is no such job or task
)

// Verbs of commands. A worker ignores a repeated command, except for a run that arrives after the attempt was
// forgotten: that one starts the attempt again.
const (
	VerbRun    = "run"    // start an attempt, unless the worker already has it in some phase
	VerbStop   = "stop"   // end an attempt, with a checkpoint if the grace period suffices for it
	VerbForget = "forget" // stop reporting an exited attempt in heartbeats
)

// TaskStatus describes one attempt in a worker's heartbeat.
type TaskStatus struct {
	Task         string `json:"shard"`            // name of the task, as TaskName forms it
	Attempt      uint64 `json:"try"`              // number of the attempt, from the run command
	Phase        string `json:"phase"`            // one of the phases of a task, such as TaskRunning
	Cause        string `json:"cause,omitempty"`  // why an exited task ended, such as CauseDone
	Checkpointed bool   `json:"stored,omitempty"` // the checkpoint of a stopped task was stored
}

// Heartbeat is a worker's report on itself and its tasks. Of two heartbeats of a worker the newer one has the
// greater incarnation or, with equal incarnations, the greater tick.
type Heartbeat struct {
	Machine         string       `json:"host"` // id of the machine
	Addr            string       `json:"addr"` // address of the worker, host:port
	Type            string       `json:"hull"` // machine type
	Zone            string       `json:"yard"`
	Spot            bool         `json:"loaners"`  // the machine is a spot instance
	Incarnation     uint64       `json:"tenure"`   // starts at 1 and grows each time the worker's lease expires
	Tick            uint64       `json:"tick"`     // grows with each message that the worker sends
	FencingToken    uint64       `json:"epoch"`    // the highest fencing token that the worker has seen
	EvictionNoticeS *float64     `json:"recall_s"` // time until the cloud takes the machine back; nil: no eviction notice
	Tasks           []TaskStatus `json:"shards"`   // all attempts on the machine, including exited ones
}

// Order is one command to a worker, for one attempt.
type Order struct {
	Verb    string   `json:"verb"`                  // VerbRun, VerbStop or VerbForget
	Task    string   `json:"shard"`                 // name of the task, as TaskName forms it
	Attempt uint64   `json:"try"`                   // number of the attempt
	GraceS  *float64 `json:"wind_down_s,omitempty"` // grace period of a stop, in which the task can checkpoint
}

// HeartbeatResponse answers a heartbeat and renews the worker's lease. A worker ignores a response with a lower
// fencing token than the highest that it has seen, because a former leader sent it.
type HeartbeatResponse struct {
	FencingToken uint64  `json:"epoch"`
	Orders       []Order `json:"orders"` // commands, executed in this order
}

// Orders is the body of a request to PathOrders, which sends commands without renewing the worker's lease. A
// worker executes none of them when the fencing token is lower than the highest that it has seen, or the
// incarnation is not its present one.
type Orders struct {
	FencingToken uint64  `json:"epoch"`
	Incarnation  uint64  `json:"tenure"` // incarnation of the worker that the commands are meant for
	Orders       []Order `json:"orders"` // commands, executed in this order
}

// TaskName returns the name of a job's task: the job's id, a slash and the task's number.
func TaskName(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }

// maxTaskDigits is the maximum number of digits in a task's number, so that parsing it never overflows.
const maxTaskDigits = 7

// SplitTask splits a task's name, as TaskName forms it, into the job's id and the task's number; ok is false if
// name is not a task's name.
func SplitTask(name string) (job string, n int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return "", 0, false
	}
	digits := name[slash+1:]
	if digits == "" || len(digits) > maxTaskDigits || !isDecimal(digits) {
		return "", 0, false
	}
	for _, c := range digits {
		n = n*10 + int(c-'0')
	}
	return name[:slash], n, true
}
