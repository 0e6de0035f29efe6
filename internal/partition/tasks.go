package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// taskState is the progress of an attempt on a machine, as this leader knows it. An attempt that a worker lists, but
// that a former leader assigned, is called found. An attempt that the worker first lists as exited, found or not, is
// taskExited at once.
//
//	(accepted)               (found) ----- listed as exited -----+
//	    |                       |                                |
//	    |              +------- | -------- listed as exited -----+
//	    |   run        |        |                                |
//	    v   sent       |        v                                v
//	taskLeased ---> taskSent ---> taskReported -------------> taskExited
//	    |              |      listed  |        listed as         |
//	    |              |              |        exited            |
//	    v              v              v                          v
//	 removed:       removed:       removed:                   removed:
//	 lease expires  stopped, and   no longer                  no longer listed,
//	 or the task    no run command listed                     after acknowledgement
//	 is stopped     can arrive                                and forget command
//	                any more
//
// A held lease is also removed if it can't be started (startHeldLease). All attempts are removed when the worker lease
// expires or the machine is gone; a later incarnation of the worker removes those past taskLeased (docs/design.md,
// "Why the rules hold", number 4).
type taskState uint8

const (
	taskLeased   taskState = iota // its resources are leased; no run command has been sent
	taskSent                      // a run command has been sent at least once; the worker has not listed the attempt yet
	taskReported                  // the worker has listed the attempt
	taskExited                    // the worker lists the attempt as exited
)

// task is one attempt on a machine. While its run command may still arrive (deliveryState.runMayArrive), the worker could
// still start it: it is then not removed as stopped, and gets no forget command (docs/design.md, "Why the rules hold",
// number 2).
type task struct {
	id          peer.TaskID
	team        string
	priority    int
	need        resources.Amounts
	jobRevision uint64 // mod revision of its job's record; 0: found, not assigned by this leader

	phase string // as the worker last listed it; "" if it has not
	cause string // cause of its exit

	state           taskState
	withinGuarantee bool // its job is within its team's guarantee
	held            bool // it has a held lease: no run command is sent before a peer.StartTask
	stopping        bool // it is to stop, with stopGraceS to checkpoint
	jobEnded        bool // its job had ended when commands were last due
	acknowledged    bool // its exit is recorded, or its job has ended: the worker may forget it

	addedAt    clock.Micros // when the lease was accepted, the held lease was started, or the attempt was found
	heldFor    clock.Micros // the longest time that the held lease lasts
	stopGraceS float64

	runTick        uint64       // tick of the heartbeat whose response carried the last run command
	deliveredToken uint64       // fencing token of the last delivery that carried a run command; 0: none
	unanswered     bool         // that delivery has not been answered
	deliveredAt    clock.Micros // when the last delivery carried a command for it; 0: deliver immediately

	version uint64 // the machine's version when the task last changed
}

func (t *task) exited() bool { return t.state == taskExited }

// attemptID returns the id of an attempt of a task, as workers name it; ok is false if the name can't be read.
func attemptID(taskName string, attempt uint64) (id peer.TaskID, ok bool) {
	job, n, ok := wire.SplitTask(taskName)
	return peer.TaskID{Job: job, N: n, Attempt: attempt}, ok
}

// setReported records what the worker lists of the attempt.
func (t *task) setReported(status wire.TaskStatus) {
	t.state, t.phase, t.cause = reportedState(status.Phase), status.Phase, status.Cause
}

// reportedState returns the state of an attempt that its worker lists in a phase.
func reportedState(phase string) taskState {
	if phase == wire.TaskExited {
		return taskExited
	}
	return taskReported
}

// redeliveryInterval is the time after a delivery for which the same command is not delivered again. Each delivery is
// answered, or counts as unanswered, within deliveryTimeout, and the responses to heartbeats carry every command as
// well.
const redeliveryInterval = clock.Second

// mayRedeliver reports whether a command for the task may be delivered (again) now.
func (t *task) mayRedeliver(now clock.Micros) bool {
	return t.deliveredAt == 0 || now > t.deliveredAt+redeliveryInterval
}
