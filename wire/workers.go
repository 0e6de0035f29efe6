package wire

import (
	"fmt"
	"strings"
)

// Paths between controllers and workers: heartbeats go to the controllers, the others to a worker's own
// address.
const (
	PathHeartbeat = "/v1/report"
	PathOrders    = "/orders"
	PathShow      = "/show"
)

// Phases of a task on a machine.
const (
	TaskFetching      = "fetching" // it waits for its image
	TaskRunning       = "running"
	TaskCheckpointing = "saving" // it was stopped and takes its checkpoint
	TaskExited        = "exited" // it has ended, and is reported until it is forgotten
)

// Causes of an exit.
const (
	CauseDone    = "done"    // completed
	CauseStopped = "stopped" // by a stop command
	CauseError   = "error"   // it failed; mostly the machine is faulty
	CauseNoRoom  = "no_room" // start rejected: the machine has not enough free resources
	CauseBusy    = "busy"    // start rejected: the task is on the machine with another attempt
	CauseNoSuch  = "no_such" // start rejected: there is no such job or task
)

// Verbs of commands. All but a run after a forget can be repeated without effect.
const (
	VerbRun    = "run"    // start an attempt, unless the worker knows it in any phase
	VerbStop   = "stop"   // end it, with a checkpoint if its grace suffices
	VerbForget = "forget" // remove an exited attempt from the heartbeats
)

// TaskStatus is one attempt in a worker's heartbeat.
type TaskStatus struct {
	Task         string `json:"shard"` // as TaskName gives it
	Attempt      uint64 `json:"try"`
	Phase        string `json:"phase"`            // one of the phases of a task
	Cause        string `json:"cause,omitempty"`  // of an exit
	Checkpointed bool   `json:"stored,omitempty"` // of a stopped task: its checkpoint was stored
}

// Heartbeat is what a worker sends of itself. Of two, the one with the larger (Incarnation, Tick) is newer.
type Heartbeat struct {
	Machine         string       `json:"host"` // id of the machine
	Addr            string       `json:"addr"` // of the worker, host:port
	Type            string       `json:"hull"` // machine type
	Zone            string       `json:"yard"`
	Spot            bool         `json:"loaners"`
	Incarnation     uint64       `json:"tenure"`   // from 1; the next one begins when the worker's lease expires
	Tick            uint64       `json:"tick"`     // grows with each message of the worker
	FencingToken    uint64       `json:"epoch"`    // the highest that the worker has seen
	EvictionNoticeS *float64     `json:"recall_s"` // until the cloud takes the machine; nil: no notice
	Tasks           []TaskStatus `json:"shards"`   // all on the machine, exited ones included
}

// Order is one command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"shard"` // as TaskName gives it
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"` // of a stop: time to checkpoint
}

// HeartbeatResponse answers a heartbeat and renews the worker's lease. A worker drops one whose token is lower
// than the highest that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64  `json:"epoch"`
	Orders       []Order `json:"orders"` // executed in this order
}

// Orders is the body of POST /orders, which does not renew the worker's lease. Nothing is executed when the
// token is lower than the highest that the worker has seen, or the incarnation is not its present one.
type Orders struct {
	FencingToken uint64  `json:"epoch"`
	Incarnation  uint64  `json:"tenure"`
	Orders       []Order `json:"orders"` // executed in this order
}

// TaskName names a task of a job by its number.
func TaskName(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }

// maxTaskDigits bounds the digits of a task's number, so that it never overflows.
const maxTaskDigits = 7

// SplitTask returns the job and the number that a task's name is made of; ok is false when it is none.
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
