package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// taskState is how far an attempt on a machine has come, as this leader knows it. An attempt that a worker
// lists and that was leased by a former leader is found, and starts as taskReported.
//
//	(accepted)               (found)
//	    |                       |
//	    v     run sent          v
//	taskLeased ---> taskSent ---> taskReported ---> taskExited
//	    |              |      listed  |      listed as   |
//	    |              |              |      exited      |
//	    v              v              v                  v
//	 removed:       removed:       removed:           removed:
//	 lease expires  stopped, and   not listed         not listed any more,
//	 or is ended    no copy of     any more           after acknowledgement
//	                the run can                       and forget command
//	                arrive any more
//
// Every attempt past taskLeased is also removed when it is gone for certain: a later incarnation of the worker is
// seen, the worker lease has expired, or the machine is gone (docs/design.md, argument 4).
type taskState uint8

const (
	taskLeased   taskState = iota // resources are set aside; no run command was ever sent
	taskSent                      // a run command was sent at least once; the worker has not listed the attempt
	taskReported                  // the worker has listed the attempt
	taskExited                    // the worker lists the attempt as exited
)

// task is one attempt on a machine. Its run command may still arrive, whatever else is known, while
// unansweredToken says so (docs/design.md, argument 2).
type task struct {
	id          peer.TaskID
	team        string
	priority    int
	need        resources.Amounts
	jobRevision uint64 // of its job's record; 0: found, not assigned here

	phase string // as the worker listed it last; "" before
	cause string // of its exit

	state           taskState
	withinGuarantee bool // its job is within its team's guarantee
	reserved        bool // a held lease: nothing is sent before peer.StartTask
	stopping        bool // it is to end, with stopGraceS to checkpoint
	acknowledged    bool // its exit is recorded: the worker may forget it

	addedAt     clock.Micros // when the lease was accepted, the held lease was started, or the attempt was found
	reservedFor clock.Micros // for how long a held lease is held at most
	stopGraceS  float64

	runTick         uint64       // tick of the heartbeat whose answer carried the last run command
	unansweredToken uint64       // fencing token of an unanswered delivery that carried a run command; 0: none
	deliveredAt     clock.Micros // when the last delivery carried a command for it; 0: deliver immediately

	version uint64 // of the machine's first view that shows the task as it is
}

func (t *task) exited() bool { return t.state == taskExited }

// reportedState is the state of an attempt that its worker lists in a phase.
func reportedState(phase string) taskState {
	if phase == wire.TaskExited {
		return taskExited
	}
	return taskReported
}

// redeliveryInterval is how long a command for a task is not delivered again: deliveries are answered within
// deliveryTimeout, and heartbeats carry every command as well.
const redeliveryInterval = clock.Second

// mayRedeliver reports whether a command for the task may be delivered once more.
func (t *task) mayRedeliver(now clock.Micros) bool {
	return t.deliveredAt == 0 || now > t.deliveredAt+redeliveryInterval
}
